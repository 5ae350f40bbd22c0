package e2e

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/soak"
)

// Seeds that once failed are kept here, each with a line on its cause.
var _ = Describe("The soak with random faults", func() {
	// Guards against broken promises when faults of instances, targets, the store
	// and the paths between them come in series and overlap.
	DescribeTable("breaks no promise to users", func(ctx SpecContext, seed uint64) {
		result, err := soak.Run(ctx, soak.Settings{
			Seed: seed, Length: 8 * time.Second, Bin: bin, Dir: GinkgoT().TempDir(), Zones: []string{"az-1", "az-2"},
			Instances: 3, Targets: 8, Callers: 16,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Violations).To(BeEmpty(), "%v", result.Events)
		Expect(result.Counts["200"]).To(BeNumerically(">", 100))
	},
		Entry("seed 100", uint64(100), SpecTimeout(time.Minute)),
		// An instance that was down could not listen again: its port had gone to an
		// outgoing connection of the soak.
		Entry("seed 102", uint64(102), SpecTimeout(time.Minute)),
	)
})
