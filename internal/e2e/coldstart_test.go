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

// restartTimeout is the time within which a restarted target must get work again.
// It is several times the cold start duration and the longest lease.
const restartTimeout = 45 * time.Second

// slowOrdersWithColdStart returns a plan whose targets can take one request at a
// time while cold, fewer than there are instances. The deadlines are short (1 s),
// because a lease whose holder is lost is kept for the longest execution time of
// a request: it must end while the holder is suspended.
func slowOrdersWithColdStart(targets int, coldDuration time.Duration) testcluster.ServicePlan {
	plan := slowOrders(targets)
	plan.ColdStart.DurationMs = int(coldDuration.Milliseconds())
	for i := range plan.Classes {
		plan.Classes[i].DeadlineMs = 1000
	}
	return plan
}

// restartTargets crashes the processes of targets, which then restart cold. It
// returns their previous boot ids by target name.
func restartTargets(ctx context.Context, targets ...*testcluster.Target) map[string]string {
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

// executionsSince returns the executions by processes that started after the one
// with the boot id old.
func executionsSince(journal targetserver.Journal, old string) (runs []targetserver.Entry) {
	passed := false
	for _, e := range journal.Entries {
		passed = passed || e.BootID == old
		if passed && e.BootID != old && e.Executed() {
			runs = append(runs, e)
		}
	}
	return runs
}

// waitForWorkAfterRestart waits until each target has executed 10 requests since
// the process with its old boot id.
func waitForWorkAfterRestart(ctx context.Context, targets []*testcluster.Target, old map[string]string) {
	GinkgoHelper()
	start := time.Now()
	for _, t := range targets {
		Eventually(ctx, func() int { return len(executionsSince(fetchJournal(ctx, t), old[t.Name])) }).WithTimeout(restartTimeout).
			WithPolling(50*time.Millisecond).Should(BeNumerically(">=", 10), "%s gets no work after its restart", t.Name)
	}
	AddReportEntry("restart", fmt.Sprintf("%d targets got 10 requests each within %v", len(targets), time.Since(start)))
}

// overloads returns the overloads that the targets recorded.
func overloads(ctx context.Context, cluster *testcluster.Cluster) (found []string) {
	for _, t := range cluster.Targets {
		for _, o := range fetchJournal(ctx, t).Overloads {
			found = append(found, fmt.Sprintf("%s: %d in flight at %s", t.Name, o.InFlight, o.At.Format("05.000")))
		}
	}
	return found
}

// expectUsedWhileCold checks that targets got requests while they were cold.
// Without any, the spec would prove nothing.
func expectUsedWhileCold(ctx context.Context, targets []*testcluster.Target) {
	GinkgoHelper()
	for _, t := range targets {
		counters := fetchJournal(ctx, t).Counters
		Expect(counters.MaxInFlightWhileCold).To(BeNumerically("==", 1), t.Name)
	}
}

var _ = Describe("Cold targets (P2)", func() {
	// Guards against instances that together overload a restarted target: because
	// they still consider it warm, because two of them hold a lease, or because
	// each uses a fixed share of less than one request.
	DescribeTable("are never overloaded after an unannounced restart", func(ctx SpecContext, instances int) {
		cluster := startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: instances,
			Services: []testcluster.ServicePlan{slowOrdersWithColdStart(5, 1500*time.Millisecond)},
		})
		warmUpTargets(ctx, cluster)
		load := startTraffic(ctx, cluster, trafficMix{Rate: 100, Surge: 60, Seed: 2})
		load.waitForProgress(ctx)
		rounds := [][]*testcluster.Target{{cluster.Targets[0]}, {cluster.Targets[1], cluster.Targets[2]}, {cluster.Targets[0]}}
		for _, targets := range rounds {
			waitForWorkAfterRestart(ctx, targets, restartTargets(ctx, targets...))
		}
		load.waitForProgress(ctx)
		load.Stop()
		Expect(overloads(ctx, cluster)).To(BeEmpty())
		expectUsedWhileCold(ctx, cluster.Targets)
		expectAtMostOnce(ctx, cluster)
	},
		Entry("with 3 instances", SpecTimeout(3*time.Minute), 3),
		Entry("with 5 instances", SpecTimeout(3*time.Minute), 5),
	)

	// Guards against a holder that uses a lease which expired while it was
	// suspended, and against one that still considers a target warm which
	// restarted in the meantime.
	It("are not overloaded by a lease holder that resumes after a suspension", func(ctx SpecContext) {
		cluster := startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3,
			Services: []testcluster.ServicePlan{slowOrdersWithColdStart(5, 6*time.Second)},
		})
		warmUpTargets(ctx, cluster)
		load := startTraffic(ctx, cluster, trafficMix{Rate: 100, Surge: 60, Seed: 4, AttemptLimit: 2 * time.Second})
		load.waitForProgress(ctx)
		first, second := cluster.Targets[0], cluster.Targets[1]
		old := restartTargets(ctx, first)
		var holder *testcluster.Instance
		Eventually(ctx, func() bool {
			runs := executionsSince(fetchJournal(ctx, first), old[first.Name])
			for _, i := range cluster.Instances {
				if len(runs) > 0 && runs[len(runs)-1].Instance == i.ID {
					holder = i
				}
			}
			return holder != nil
		}).WithTimeout(restartTimeout).WithPolling(10 * time.Millisecond).Should(BeTrue())
		Expect(holder.Suspend()).To(Succeed())
		suspendedAt := time.Now()
		old[second.Name] = restartTargets(ctx, second)[second.Name]
		Consistently(ctx, func() []string { return overloads(ctx, cluster) }).WithTimeout(4 * time.Second).
			WithPolling(100 * time.Millisecond).Should(BeEmpty())
		Expect(holder.Resume()).To(Succeed())
		state, err := first.Control.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Cold).To(BeTrue(), "the holder must resume while the target is cold")
		AddReportEntry("suspended", fmt.Sprintf("%s for %v", holder.ID, time.Since(suspendedAt)))
		waitForWorkAfterRestart(ctx, []*testcluster.Target{first, second}, old)
		waitForWork(ctx, []*testcluster.Target{first, second}, time.Now())
		load.waitForProgress(ctx)
		load.Stop()
		Expect(overloads(ctx, cluster)).To(BeEmpty())
		expectUsedWhileCold(ctx, cluster.Targets)
		expectAtMostOnce(ctx, cluster)
	}, SpecTimeout(3*time.Minute))
})
