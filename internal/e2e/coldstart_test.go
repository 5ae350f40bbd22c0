package e2e

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/testcluster"
)

// backToWork bounds the time until a target that restarted gets work again. It
// is several times the cold time and the longest time of a lease.
const backToWork = 45 * time.Second

// coldOrders has targets that bear one request while cold, fewer than there are
// instances. Its deadlines are short, because a lease whose holder is lost is
// kept for the longest run of a request: here it ends during the freeze.
func coldOrders(targets int, cold time.Duration) testcluster.ServicePlan {
	plan := busyOrders(targets)
	plan.ColdStart.DurationMs = int(cold.Milliseconds())
	for i := range plan.Classes {
		plan.Classes[i].DeadlineMs = 1000
	}
	return plan
}

// restart crashes targets and returns the boot ids of the processes that ended.
func restart(ctx context.Context, targets ...*testcluster.Target) map[string]string {
	GinkgoHelper()
	old := map[string]string{}
	for _, t := range targets {
		state, err := t.Control.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		old[t.Name] = state.BootID
	}
	for _, t := range targets {
		_, err := t.Control.Restart(ctx)
		Expect(err).NotTo(HaveOccurred())
	}
	return old
}

// runsSince returns the executions of the processes that came after a boot id.
func runsSince(journal targetserver.Journal, old string) (runs []targetserver.Entry) {
	passed := false
	for _, e := range journal.Entries {
		passed = passed || e.BootID == old
		if passed && e.BootID != old && e.Ran() {
			runs = append(runs, e)
		}
	}
	return runs
}

func waitForNewProcess(ctx context.Context, targets []*testcluster.Target, old map[string]string) {
	GinkgoHelper()
	began := time.Now()
	for _, t := range targets {
		Eventually(ctx, func() int { return len(runsSince(journalOf(ctx, t), old[t.Name])) }).WithTimeout(backToWork).
			WithPolling(50*time.Millisecond).Should(BeNumerically(">=", 10), "%s gets no work after its restart", t.Name)
	}
	AddReportEntry("restart", fmt.Sprintf("%d targets got 10 requests each within %v", len(targets), time.Since(began)))
}

// overloads returns what the targets recorded about overload while cold.
func overloads(ctx context.Context, f *testcluster.Cluster) (found []string) {
	for _, t := range f.Targets {
		for _, o := range journalOf(ctx, t).Overloads {
			found = append(found, fmt.Sprintf("%s: %d inside at %s", t.Name, o.InFlight, o.At.Format("05.000")))
		}
	}
	return found
}

// expectUsedCold checks that targets were used while cold; a spec in which
// nobody sends to them would prove nothing.
func expectUsedCold(ctx context.Context, targets []*testcluster.Target) {
	GinkgoHelper()
	for _, t := range targets {
		counters := journalOf(ctx, t).Counters
		Expect(counters.MaxInFlightWhileCold).To(BeNumerically("==", 1), t.Name)
	}
}

var _ = Describe("Cold targets (P2)", func() {
	// Guards against instances that together send more to a restarted target
	// than it bears: because they still believe it to be warm, because two of
	// them hold a lease, or because they use fixed shares of less than one.
	DescribeTable("are never overloaded when they restart without warning", func(ctx SpecContext, instances int) {
		f := startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: instances,
			Services: []testcluster.ServicePlan{coldOrders(5, 1500*time.Millisecond)},
		})
		warmUp(ctx, f)
		load := startTraffic(ctx, f, mix{Rate: 100, Surge: 60, Seed: 2})
		load.keepsGoing(ctx)
		rounds := [][]*testcluster.Target{{f.Targets[0]}, {f.Targets[1], f.Targets[2]}, {f.Targets[0]}}
		for _, targets := range rounds {
			waitForNewProcess(ctx, targets, restart(ctx, targets...))
		}
		load.keepsGoing(ctx)
		load.Stop()
		Expect(overloads(ctx, f)).To(BeEmpty())
		expectUsedCold(ctx, f.Targets)
		expectOnce(ctx, f)
	},
		Entry("with 3 instances", SpecTimeout(3*time.Minute), 3),
		Entry("with 5 instances", SpecTimeout(3*time.Minute), 5),
	)

	// Guards against a holder that sends under a lease which expired while it
	// was paused, and against one that still takes a target for warm which
	// restarted meanwhile.
	It("are not overloaded by a lease holder that was frozen and wakes", func(ctx SpecContext) {
		f := startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3,
			Services: []testcluster.ServicePlan{coldOrders(5, 6*time.Second)},
		})
		warmUp(ctx, f)
		load := startTraffic(ctx, f, mix{Rate: 100, Surge: 60, Seed: 4, AttemptLimit: 2 * time.Second})
		load.keepsGoing(ctx)
		first, second := f.Targets[0], f.Targets[1]
		old := restart(ctx, first)
		var holder *testcluster.Instance
		Eventually(ctx, func() bool {
			runs := runsSince(journalOf(ctx, first), old[first.Name])
			for _, i := range f.Instances {
				if len(runs) > 0 && runs[len(runs)-1].Instance == i.ID {
					holder = i
				}
			}
			return holder != nil
		}).WithTimeout(backToWork).WithPolling(10 * time.Millisecond).Should(BeTrue())
		Expect(holder.Suspend()).To(Succeed())
		frozen := time.Now()
		old[second.Name] = restart(ctx, second)[second.Name]
		Consistently(ctx, func() []string { return overloads(ctx, f) }).WithTimeout(4 * time.Second).
			WithPolling(100 * time.Millisecond).Should(BeEmpty())
		Expect(holder.Resume()).To(Succeed())
		state, err := first.Control.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Cold).To(BeTrue(), "the holder must wake while the target is cold")
		AddReportEntry("frozen", fmt.Sprintf("%s for %v", holder.ID, time.Since(frozen)))
		waitForNewProcess(ctx, []*testcluster.Target{first, second}, old)
		waitForWork(ctx, []*testcluster.Target{first, second}, time.Now())
		load.keepsGoing(ctx)
		load.Stop()
		Expect(overloads(ctx, f)).To(BeEmpty())
		expectUsedCold(ctx, f.Targets)
		expectOnce(ctx, f)
	}, SpecTimeout(3*time.Minute))
})
