package e2e

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/relay"
	"fulmarhoist.example/internal/standin/testcluster"
)

// newWorkLimit is the time after which a zone or target that was taken out of
// service must not receive new work (guarantees P3 and P7).
const newWorkLimit = 3 * time.Second

// slowOrders returns the plan of the service that the failure specs use. Its
// targets are slow enough that bursts queue, and stay cold long enough (1.5 s)
// that a returning target gets requests while it is cold.
func slowOrders(targets int) testcluster.ServicePlan {
	plan := orders(targets)
	plan.MeanServiceTime, plan.ServiceTimeStdDev = 20*time.Millisecond, 8*time.Millisecond
	plan.ColdStart.DurationMs = 1500
	return plan
}

// expectNoNewWork waits until 100 requests that were due later than newWorkLimit
// after the acceptance have been answered, and checks that the targets got no new
// work after that limit.
func expectNoNewWork(ctx context.Context, load *traffic, targets []*testcluster.Target, accepted time.Time) {
	GinkgoHelper()
	limit := accepted.Add(newWorkLimit)
	Eventually(ctx, func() int { return load.answeredAfter(limit) }).WithTimeout(30 * time.Second).Should(BeNumerically(">=", 100))
	for _, t := range targets {
		journal := fetchJournal(ctx, t)
		Expect(lastArrival(journal, limit)).To(BeZero(), "new work at %s, %v after the acceptance", t.Name,
			lastArrival(journal, limit).Sub(accepted))
		expectNoneInterrupted(t.Name, journal)
		if last := lastArrival(journal, accepted); !last.IsZero() {
			AddReportEntry("no new work", fmt.Sprintf("last new work at %s came %v after the acceptance", t.Name, last.Sub(accepted)))
		}
	}
}

// waitForWork waits until each target has started 5 requests after the given
// time.
func waitForWork(ctx context.Context, targets []*testcluster.Target, after time.Time) {
	GinkgoHelper()
	for _, t := range targets {
		Eventually(ctx, func() int { return countExecutionsAfter(fetchJournal(ctx, t), after) }).WithTimeout(30*time.Second).
			WithPolling(50*time.Millisecond).Should(BeNumerically(">=", 5), "%s gets no work", t.Name)
	}
}

var _ = Describe("An availability zone (P3)", func() {
	const zone = "az-2"
	var cluster *testcluster.Cluster
	var load *traffic

	startUnderLoad := func(ctx SpecContext, relays map[string][]testcluster.Route) {
		cluster = startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1", zone, "az-3"}, Instances: 3, Services: []testcluster.ServicePlan{slowOrders(6)}, Relays: relays,
		})
		warmUpTargets(ctx, cluster)
		load = startTraffic(ctx, cluster, trafficMix{Rate: 100, Surge: 60, Seed: 3})
		load.waitForProgress(ctx)
	}

	// Guards against an instance that keeps sending to a zone that is out of
	// service, against a planned change that interrupts or fails requests, and
	// against requests that wait for a target which accepts none any more.
	// When the zone returns, guards against targets that get the full load while
	// they are cold, or that stay idle.
	It("gets no new work while it is out of service, and returns through cold start", func(ctx SpecContext) {
		startUnderLoad(ctx, nil)
		Expect(cluster.SetZoneOutOfService(ctx, zone, true)).To(Succeed())
		expectNoNewWork(ctx, load, targetsIn(cluster, zone), time.Now())

		// The targets restart while the zone is out of service and are still cold
		// when it returns.
		for _, t := range targetsIn(cluster, zone) {
			_, err := t.Control.Restart(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(cluster.SetZoneOutOfService(ctx, zone, false)).To(Succeed())
		waitForWork(ctx, targetsIn(cluster, zone), time.Now())
		usedCold := 0
		for _, t := range targetsIn(cluster, zone) {
			journal := fetchJournal(ctx, t)
			Expect(journal.Counters.OverloadsWhileCold).To(BeZero(), t.Name)
			Expect(journal.Counters.MaxInFlightWhileCold).To(BeNumerically("<=", 1), t.Name)
			usedCold += int(journal.Counters.MaxInFlightWhileCold)
		}
		Expect(usedCold).To(BeNumerically(">", 0), "no target was used while it was cold, so the spec proves nothing")
		load.expectAllAnswered()
		expectAtMostOnce(ctx, cluster)
	}, SpecTimeout(2*time.Minute))

	// Guards against an instance that cannot reach the log and therefore does not
	// learn that the zone is out of service: it has to learn this from a peer.
	It("gets no new work from an instance that cannot reach the log", func(ctx SpecContext) {
		startUnderLoad(ctx, map[string][]testcluster.Route{"entry-2": {testcluster.RouteLog}})
		Expect(cluster.Instances[1].Relays[testcluster.RouteLog].SetMode(ctx, relay.ModeCut)).To(Succeed())
		Expect(cluster.SetZoneOutOfService(ctx, zone, true)).To(Succeed())
		expectNoNewWork(ctx, load, targetsIn(cluster, zone), time.Now())
		served := map[string]int{}
		for _, s := range load.Done() {
			served[s.Instance]++
		}
		Expect(served["entry-2"]).To(BeNumerically(">", 20), "the instance that is cut off must serve: %v", served)
		load.expectAllAnswered()
		expectAtMostOnce(ctx, cluster)
	}, SpecTimeout(2*time.Minute))
})
