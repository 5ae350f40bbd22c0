package e2e

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/logservice"
	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/testcluster"
)

// slowTargets makes every request run for about half a second, so that faults
// occur during its execution.
func slowTargets(ctx context.Context, cluster *testcluster.Cluster) {
	for _, t := range cluster.Targets {
		_, err := t.Control.SetFaults(ctx, targetserver.Faults{SlowFactor: 100})
		Expect(err).NotTo(HaveOccurred())
	}
}

// waitForExecution waits until a request with the key runs or has run once.
func waitForExecution(ctx context.Context, cluster *testcluster.Cluster, key string) {
	Eventually(func() int { return countExecutions(ctx, cluster, key) }).WithTimeout(10 * time.Second).WithPolling(20 * time.Millisecond).Should(Equal(1))
}

var _ = Describe("A request key", func() {
	var cluster *testcluster.Cluster
	var wire *wireClient

	BeforeEach(func(ctx SpecContext) {
		cluster = startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2"}, Instances: 3, Services: []testcluster.ServicePlan{orders(4)},
		})
		wire = newWireClient()
		waitUntilServing(ctx, cluster, wire)
	}, NodeTimeout(time.Minute))

	// Guards against a second execution, or a report that the request did not
	// run, when it is sent again through another instance after the owner of
	// its key was killed.
	It("is not executed again after its owner was killed", func(ctx SpecContext) {
		slowTargets(ctx, cluster)
		key := latestTicket(ctx, cluster.Instances[1], cluster.Instances[0]) + "/reorder-1"
		go func() {
			defer GinkgoRecover()
			wire.send(ctx, wireRequest{address: cluster.Instances[0].CallerAddress, class: "reorder", key: key, path: "/orders/1"})
		}()
		waitForExecution(ctx, cluster, key)
		cluster.Instances[0].Kill()
		for _, other := range cluster.Instances[1:] {
			got := wire.send(ctx, wireRequest{address: other.CallerAddress, class: "reorder", key: key, path: "/orders/1", deadline: 3 * time.Second})
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.outcome).To(Equal("unknown"), got.body)
		}
		Expect(cluster.StartInstance(ctx, cluster.Instances[0])).To(Succeed())
		Eventually(func() string {
			return wire.send(ctx, wireRequest{address: cluster.Instances[0].CallerAddress, class: "reorder", key: key, path: "/orders/1", deadline: 3 * time.Second}).outcome
		}).WithTimeout(20 * time.Second).Should(Equal("unknown"))
		Expect(countExecutions(ctx, cluster, key)).To(Equal(1))
	}, SpecTimeout(time.Minute))

	// Guards against a second execution if the owner of the key is suspended:
	// one through another instance in the meantime, one by the owner after it
	// resumes.
	It("is not executed again while its owner is suspended or after it resumes", func(ctx SpecContext) {
		slowTargets(ctx, cluster)
		key := latestTicket(ctx, cluster.Instances[1], cluster.Instances[0]) + "/reorder-2"
		responses := make(chan wireResponse, 1)
		go func() {
			defer GinkgoRecover()
			responses <- wire.send(ctx, wireRequest{address: cluster.Instances[0].CallerAddress, class: "reorder", key: key, path: "/orders/2"})
		}()
		waitForExecution(ctx, cluster, key)
		Expect(cluster.Instances[0].Suspend()).To(Succeed())
		for range 3 {
			got := wire.send(ctx, wireRequest{address: cluster.Instances[1].CallerAddress, class: "reorder", key: key, path: "/orders/2", deadline: time.Second})
			Expect(got.outcome).To(Equal("unknown"), got.body)
		}
		Expect(cluster.Instances[0].Resume()).To(Succeed())
		var first wireResponse
		Eventually(responses).WithTimeout(15 * time.Second).Should(Receive(&first))
		Expect(first.outcome).To(Equal("answered"), first.body)
		var replay wireResponse
		Eventually(func() string {
			replay = wire.send(ctx, wireRequest{address: cluster.Instances[1].CallerAddress, class: "reorder", key: key, path: "/orders/2", deadline: 3 * time.Second})
			return replay.outcome
		}).WithTimeout(15 * time.Second).Should(Equal("answered"))
		Expect(replay.body).To(Equal(first.body))
		Expect(replay.replayed).To(BeTrue(), "the outcome recorded at the owner must be replayed through another instance")
		Expect(countExecutions(ctx, cluster, key)).To(Equal(1))
	}, SpecTimeout(time.Minute))

	// Guards against copies that arrive concurrently at all instances and run
	// more than once, or get different answers, while the log service is
	// unavailable.
	It("is executed once, with the same answer for every copy, during an outage of the log", func(ctx SpecContext) {
		_, err := cluster.LogControl.SetFaults(ctx, logservice.Faults{Outage: "unavailable"})
		Expect(err).NotTo(HaveOccurred())
		ownerTicket := latestTicket(ctx, cluster.Instances[1], cluster.Instances[0])
		for number := range 20 {
			key := fmt.Sprintf("%s/booking-%d", ownerTicket, number)
			var group sync.WaitGroup
			answers := make([]wireResponse, 6)
			for i := range answers {
				group.Go(func() {
					defer GinkgoRecover()
					answers[i] = wire.send(ctx, wireRequest{address: cluster.Instances[i%3].CallerAddress, class: "reorder", key: key, path: "/orders/3"})
				})
			}
			group.Wait()
			for _, a := range answers {
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.outcome).To(Equal("answered"), a.body)
				Expect(a.body).To(Equal(answers[0].body))
			}
			Expect(countExecutions(ctx, cluster, key)).To(Equal(1))
		}
	}, SpecTimeout(time.Minute))

	// Guards against executing a delayed copy after the key was refused as not
	// run: the caller may already have sent the work again under another key.
	It("is never executed after it was refused as not run", func(ctx SpecContext) {
		for _, t := range cluster.Targets {
			_, err := t.Control.Drain(ctx, true)
			Expect(err).NotTo(HaveOccurred())
		}
		key := latestTicket(ctx, cluster.Instances[1], cluster.Instances[0]) + "/refund-1"
		request := wireRequest{address: cluster.Instances[0].CallerAddress, class: "reorder", key: key, path: "/refunds/1", deadline: 2 * time.Second}
		got := wire.send(ctx, request)
		Expect(got.outcome).To(Equal("not-run"), got.body)
		for _, t := range cluster.Targets {
			_, err := t.Control.Drain(ctx, false)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, i := range cluster.Instances {
			request.address = i.CallerAddress
			Expect(wire.send(ctx, request).outcome).To(Equal("not-run"))
		}
		Expect(countExecutions(ctx, cluster, key)).To(BeZero())
	}, SpecTimeout(time.Minute))
})
