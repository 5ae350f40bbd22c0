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

var _ = Describe("Shutdown", func() {
	// Guards against a shutdown that refuses callers that cannot know of it
	// yet, and against accepting requests that the end of the process would
	// interrupt.
	It("accepts requests only during the first part of the grace time", func() {
		s := &gateway.Shutdown{Grace: func() time.Duration { return 6 * time.Second }}
		now := time.Now()
		Expect(s.AcceptsRequest(now, now.Add(time.Hour))).To(BeTrue())
		Expect(s.Leaving()).To(BeFalse())
		s.Begin(now)
		s.Begin(now.Add(time.Hour))
		Expect(s.Leaving()).To(BeTrue())
		Expect(s.AcceptsRequest(now.Add(2*time.Second), now.Add(3*time.Second))).To(BeTrue())
		Expect(s.AcceptsRequest(now.Add(3*time.Second), now.Add(3*time.Second))).To(BeFalse())
		Expect(s.AcceptsRequest(now, now.Add(s.EndAfter()))).To(BeTrue())
		Expect(s.AcceptsRequest(now, now.Add(s.EndAfter()+time.Millisecond))).To(BeFalse(), "it would be cut at the end")
		Expect(s.EndAfter()).To(BeNumerically("<", s.Grace()))
		Expect(s.CloseAfter()).To(BeNumerically("<", s.EndAfter()))
	})
})
