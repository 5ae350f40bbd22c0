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
	// Guards against back-offs and leases that last too long or too short because
	// the values differ by another amount than the times.
	It("preserves the order of times and the differences between them", func() {
		now := time.Now()
		Expect(monotime.Nanos(now.Add(time.Second)) - monotime.Nanos(now)).To(Equal(int64(time.Second)))
		Expect(monotime.Nanos(now)).To(BeNumerically(">", 0))
		Expect(monotime.Nanos(time.Time{})).To(BeZero())
	})
})
