package e2e

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/testcluster"
)

var _ = Describe("A planned stop of instances (P8)", func() {
	// Guards against a stop that interrupts requests in flight, that refuses
	// callers which still use the address, or that never ends; and against a
	// restarted instance that is listed before it can serve.
	It("replaces all instances one after another without a failed request", func(ctx SpecContext) {
		cluster := startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3, Services: []testcluster.ServicePlan{slowOrders(6)},
		})
		warmUpTargets(ctx, cluster)
		load := startTraffic(ctx, cluster, trafficMix{Rate: 150, Surge: 40, Seed: 8})
		load.waitForProgress(ctx)
		for _, instance := range cluster.Instances {
			old := instance.Process
			Expect(old.Terminate()).To(Succeed())
			ended, cancel := context.WithTimeout(ctx, 30*time.Second)
			Expect(old.Wait(ended)).To(Succeed(), "%s must exit with 0", instance.ID)
			cancel()
			Expect(cluster.StartInstance(ctx, instance)).To(Succeed())
			Expect(instance.PID()).NotTo(Equal(old.PID()))
			waitForVersion(ctx, cluster, 1, 20*time.Second)
			start := time.Now()
			Eventually(ctx, func() (served bool) {
				for _, s := range load.Done() {
					served = served || s.Instance == instance.ID && s.Due.After(start) && s.Answered()
				}
				return served
			}).WithTimeout(20*time.Second).Should(BeTrue(), "the restarted %s gets no work", instance.ID)
		}
		load.expectAllAnswered()
		expectAtMostOnce(ctx, cluster)
		for _, t := range cluster.Targets {
			expectNoneInterrupted(t.Name, fetchJournal(ctx, t))
		}
	}, SpecTimeout(3*time.Minute))
})

var _ = Describe("A planned stop of a target (P7)", func() {
	// Guards against instances that keep sending to a target that is leaving, or
	// that interrupt requests running there. In one entry the target announces
	// the stop, in the other the instance list does, since either signal may come
	// alone.
	DescribeTable("brings it no new work and interrupts none", func(ctx SpecContext, leave func(context.Context, *testcluster.Cluster, *testcluster.Target) error) {
		cluster := startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3, Services: []testcluster.ServicePlan{slowOrders(6)},
		})
		warmUpTargets(ctx, cluster)
		load := startTraffic(ctx, cluster, trafficMix{Rate: 100, Surge: 60, Seed: 7})
		load.waitForProgress(ctx)
		target := cluster.Targets[1]
		Expect(leave(ctx, cluster, target)).To(Succeed())
		expectNoNewWork(ctx, load, []*testcluster.Target{target}, time.Now())
		load.expectAllAnswered()
		expectAtMostOnce(ctx, cluster)
	},
		Entry("announced by the target", SpecTimeout(2*time.Minute), func(ctx context.Context, _ *testcluster.Cluster, t *testcluster.Target) error {
			_, err := t.Control.Drain(ctx, true)
			return err
		}),
		Entry("announced by the instance list", SpecTimeout(2*time.Minute), func(ctx context.Context, cluster *testcluster.Cluster, t *testcluster.Target) error {
			_, err := cluster.ListControl.Leave(ctx, t.Name)
			return err
		}),
	)
})
