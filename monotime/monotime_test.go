package monotime_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/monotime"
)

func TestMonotime(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "monotime")
}

var _ = Describe("Nanos", func() {
	// A time without a monotonic reading stands for one after a step of the
	// clock: back-offs and leases that compare times of day would last too long.
	It("keeps the order and the distance of times", func() {
		now := time.Now()
		Expect(monotime.Nanos(now.Add(time.Second)) - monotime.Nanos(now)).To(Equal(int64(time.Second)))
		Expect(monotime.Nanos(now)).To(BeNumerically(">", 0))
		Expect(monotime.Nanos(time.Time{})).To(BeZero())
	})
})
