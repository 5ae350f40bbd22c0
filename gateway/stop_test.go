package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/gateway"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var _ = Describe("Stop", func() {
	// Guards against a stop that refuses callers who cannot know of it yet, and
	// against one that takes work which the end of the process would cut.
	It("takes requests for the first part of the grace time only", func() {
		s := &gateway.Stop{Grace: 6 * time.Second}
		now := time.Now()
		Expect(s.Takes(now)).To(BeTrue())
		Expect(s.Leaving()).To(BeFalse())
		s.Begin(now)
		s.Begin(now.Add(time.Hour))
		Expect(s.Leaving()).To(BeTrue())
		Expect(s.Takes(now.Add(2 * time.Second))).To(BeTrue())
		Expect(s.Takes(now.Add(3 * time.Second))).To(BeFalse())
		Expect(s.EndAfter()).To(BeNumerically("<", s.Grace))
		Expect(s.CloseAfter()).To(BeNumerically("<", s.EndAfter()))
	})
})
