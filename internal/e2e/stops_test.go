package e2e

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/testcluster"
)

var _ = Describe("A planned stop of instances (P8)", func() {
	// Guards against a stop that cuts requests in flight, that refuses callers
	// which still hold the address, or that never ends; and against a new
	// incarnation that callers reach before it can serve.
	It("replaces all instances one after another without a failed request", func(ctx SpecContext) {
		f := startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3, Services: []testcluster.ServicePlan{busyOrders(6)},
		})
		warmUp(ctx, f)
		load := startTraffic(ctx, f, mix{Rate: 150, Surge: 40, Seed: 8})
		load.keepsGoing(ctx)
		for _, i := range f.Instances {
			old := i.Process
			Expect(old.Terminate()).To(Succeed())
			ended, cancel := context.WithTimeout(ctx, 30*time.Second)
			Expect(old.Wait(ended)).To(Succeed(), "%s must exit with 0", i.ID)
			cancel()
			Expect(f.StartInstance(ctx, i)).To(Succeed())
			Expect(i.PID()).NotTo(Equal(old.PID()))
			waitForVersion(ctx, f, 1, 20*time.Second)
			began := time.Now()
			Eventually(ctx, func() (served bool) {
				for _, s := range load.Done() {
					served = served || s.Instance == i.ID && s.Due.After(began) && s.Answered()
				}
				return served
			}).WithTimeout(20*time.Second).Should(BeTrue(), "the new %s gets no work", i.ID)
		}
		load.expectAllAnswered()
		expectOnce(ctx, f)
		for _, t := range f.Targets {
			expectNoneCut(t.Name, journalOf(ctx, t))
		}
	}, SpecTimeout(3*time.Minute))
})

var _ = Describe("A planned stop of a target (P7)", func() {
	// Guards against instances that go on sending to a target that is leaving,
	// or that cut what runs there. The target itself announces it in one entry
	// and the instance list in the other, since either signal may come alone.
	DescribeTable("brings it no new work and cuts none", func(ctx SpecContext, leave func(context.Context, *testcluster.Cluster, *testcluster.Target) error) {
		f := startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3, Services: []testcluster.ServicePlan{busyOrders(6)},
		})
		warmUp(ctx, f)
		load := startTraffic(ctx, f, mix{Rate: 100, Surge: 60, Seed: 7})
		load.keepsGoing(ctx)
		target := f.Targets[1]
		Expect(leave(ctx, f, target)).To(Succeed())
		expectQuiet(ctx, load, []*testcluster.Target{target}, time.Now())
		load.expectAllAnswered()
		expectOnce(ctx, f)
	},
		Entry("after its own word", SpecTimeout(2*time.Minute), func(ctx context.Context, _ *testcluster.Cluster, t *testcluster.Target) error {
			_, err := t.Control.Drain(ctx, true)
			return err
		}),
		Entry("after the instance list's word", SpecTimeout(2*time.Minute), func(ctx context.Context, f *testcluster.Cluster, t *testcluster.Target) error {
			_, err := f.ListControl.Leave(ctx, t.Name)
			return err
		}),
	)
})
