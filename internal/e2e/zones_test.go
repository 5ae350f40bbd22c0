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

// newWorkLimit is the time after which a part that was taken out of service may
// receive no new work (promises P3 and P7).
const newWorkLimit = 3 * time.Second

// busyOrders is the service of the failure specs: its targets are slow enough
// that surges queue, and stay cold long enough that a return falls into it.
func busyOrders(targets int) testcluster.ServicePlan {
	plan := orders(targets)
	plan.MeanServiceTime, plan.ServiceTimeStdDev = 20*time.Millisecond, 8*time.Millisecond
	plan.ColdStart.DurationMs = 1500
	return plan
}

// expectQuiet waits for the limit after a moment, and some requests longer, and
// checks that the targets got nothing new since then.
func expectQuiet(ctx context.Context, load *traffic, targets []*testcluster.Target, accepted time.Time) {
	GinkgoHelper()
	limit := accepted.Add(newWorkLimit)
	Eventually(ctx, func() int { return load.answeredAfter(limit) }).WithTimeout(30 * time.Second).Should(BeNumerically(">=", 100))
	for _, t := range targets {
		journal := journalOf(ctx, t)
		Expect(lastArrival(journal, limit)).To(BeZero(), "new work at %s, %v after the acceptance", t.Name,
			lastArrival(journal, limit).Sub(accepted))
		expectNoneCut(t.Name, journal)
		if last := lastArrival(journal, accepted); !last.IsZero() {
			AddReportEntry("quiet", fmt.Sprintf("last new work at %s came %v after the acceptance", t.Name, last.Sub(accepted)))
		}
	}
}

// waitForWork waits until each target runs requests that came after a moment.
func waitForWork(ctx context.Context, targets []*testcluster.Target, after time.Time) {
	GinkgoHelper()
	for _, t := range targets {
		Eventually(ctx, func() int { return ranAfter(journalOf(ctx, t), after) }).WithTimeout(30*time.Second).
			WithPolling(50*time.Millisecond).Should(BeNumerically(">=", 5), "%s gets no work", t.Name)
	}
}

var _ = Describe("An availability zone (P3)", func() {
	const zone = "az-2"
	var f *testcluster.Cluster
	var load *traffic

	start := func(ctx SpecContext, relays map[string][]testcluster.Route) {
		f = startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1", zone, "az-3"}, Instances: 3, Services: []testcluster.ServicePlan{busyOrders(6)}, Relays: relays,
		})
		warmUp(ctx, f)
		load = startTraffic(ctx, f, mix{Rate: 100, Surge: 60, Seed: 3})
		load.keepsGoing(ctx)
	}

	// Guards against an instance that goes on sending to a zone that is out of
	// service, against a planned change that cuts or fails requests, and against
	// requests that wait for a target which no longer takes any.
	// On return it guards against targets that are sent the full load while they
	// are cold, or that stay idle.
	It("gets no new work once it is out, and returns through cold start", func(ctx SpecContext) {
		start(ctx, nil)
		Expect(f.SetZoneOut(ctx, zone, true)).To(Succeed())
		expectQuiet(ctx, load, targetsIn(f, zone), time.Now())

		// The servers restart during the maintenance and are still cold when
		// the zone returns.
		for _, t := range targetsIn(f, zone) {
			_, err := t.Control.Restart(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(f.SetZoneOut(ctx, zone, false)).To(Succeed())
		waitForWork(ctx, targetsIn(f, zone), time.Now())
		usedCold := 0
		for _, t := range targetsIn(f, zone) {
			journal := journalOf(ctx, t)
			Expect(journal.Counters.OverloadsWhileCold).To(BeZero(), t.Name)
			Expect(journal.Counters.MaxInFlightWhileCold).To(BeNumerically("<=", 1), t.Name)
			usedCold += int(journal.Counters.MaxInFlightWhileCold)
		}
		Expect(usedCold).To(BeNumerically(">", 0), "no target was used while it was cold, which would prove nothing")
		load.expectAllAnswered()
		expectOnce(ctx, f)
	}, SpecTimeout(2*time.Minute))

	// Guards against an instance that is cut off from the log and therefore
	// never learns that the zone is out: it has to learn it from a peer.
	It("gets no new work from an instance that cannot reach the log", func(ctx SpecContext) {
		start(ctx, map[string][]testcluster.Route{"entry-2": {testcluster.RouteLog}})
		Expect(f.Instances[1].Relays[testcluster.RouteLog].SetMode(ctx, relay.ModeCut)).To(Succeed())
		Expect(f.SetZoneOut(ctx, zone, true)).To(Succeed())
		expectQuiet(ctx, load, targetsIn(f, zone), time.Now())
		served := map[string]int{}
		for _, s := range load.Done() {
			served[s.Instance]++
		}
		Expect(served["entry-2"]).To(BeNumerically(">", 20), "the instance that is cut off must serve: %v", served)
		load.expectAllAnswered()
		expectOnce(ctx, f)
	}, SpecTimeout(2*time.Minute))
})
