package e2e

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/knownred"
	"fulmarhoist.example/internal/standin/soak"
)

// skipKnownRed skips a test that KNOWN-RED.txt lists as failing. .ci/run prints
// that file.
func skipKnownRed(test string) {
	skip, err := knownred.Skip(test)
	Expect(err).NotTo(HaveOccurred())
	if skip {
		Skip("listed in KNOWN-RED.txt")
	}
}

// Seeds that once failed are kept as regression tests, each with its cause.
var _ = Describe("The soak with random faults", func() {
	// Guards against violated guarantees when faults of instances, targets, the
	// store and the paths between them follow each other and overlap.
	DescribeTable("violates no guarantee to users", func(ctx SpecContext, seed uint64, kinds ...string) {
		skipKnownRed(fmt.Sprintf("soak seed %d", seed))
		result, err := soak.Run(ctx, soak.Settings{
			Seed: seed, FaultDuration: 8 * time.Second, Bin: binDir, Dir: GinkgoT().TempDir(), Zones: []string{"az-1", "az-2"},
			Instances: 3, Targets: 8, Callers: 16, FaultKinds: kinds,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Violations).To(BeEmpty(), "%v", result.Events)
		Expect(result.Counts["200"]).To(BeNumerically(">", 100))
	},
		// The kinds of fault of the seeds that once failed are fixed, because new kinds
		// change which ones a seed selects.
		Entry("seed 100", SpecTimeout(time.Minute), uint64(100), "configuration changed", "all instances stopped in turn", "zone evacuated",
			"instance down for long", "store forgets"),
		// An instance that was down could not listen again: its port had been
		// taken by an outgoing connection of the soak.
		Entry("seed 102", SpecTimeout(time.Minute), uint64(102), "configuration changed", "zone evacuated", "instance stopped",
			"instance frozen", "all instances stopped in turn"),
		// A target got work 2.3 s after it had left: a call to the store that
		// began while the connection was cut failed only after the cut had
		// ended, and the removal of the target was taken for an effect of the
		// outage.
		Entry("seed 7000", SpecTimeout(time.Minute), uint64(7000), "path to the store impaired", "store forgets",
			"all instances stopped in turn", "target crashes", "target leaves"),
		// The directories listed an instance 6 s after its end: after an outage of
		// the store the list of members was completed too late.
		Entry("seed 9001", SpecTimeout(time.Minute), uint64(9001), "store refuses", "store forgets", "instance down for long",
			"configuration changed", "target leaves"),
		Entry("targets that announce in responses that they leave", SpecTimeout(time.Minute), uint64(300), "target announces that it leaves"),
		Entry("targets that ask for a pause", SpecTimeout(time.Minute), uint64(301), "target asks for a pause"),
		Entry("targets that respond without end", SpecTimeout(time.Minute), uint64(302), "target responds without end"),
	)
})
