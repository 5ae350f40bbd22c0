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

// slowed makes every request run for about half a second, so that faults hit
// while it runs.
func slowed(ctx context.Context, f *testcluster.Cluster) {
	for _, t := range f.Targets {
		_, err := t.Control.SetFaults(ctx, targetserver.Faults{SlowFactor: 100})
		Expect(err).NotTo(HaveOccurred())
	}
}

func started(ctx context.Context, f *testcluster.Cluster, key string) {
	Eventually(func() int { return ran(ctx, f, key) }).WithTimeout(10 * time.Second).WithPolling(20 * time.Millisecond).Should(Equal(1))
}

var _ = Describe("A key", func() {
	var f *testcluster.Cluster
	var w *wire

	BeforeEach(func(ctx SpecContext) {
		f = startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2"}, Instances: 3, Services: []testcluster.ServicePlan{orders(4)},
		})
		w = newWire()
		warm(ctx, f, w)
	}, NodeTimeout(time.Minute))

	// Guards against a resend through another instance that runs the request a
	// second time, or reports that it did not run, after its owner was killed.
	It("does not run again after its owner was killed", func(ctx SpecContext) {
		slowed(ctx, f)
		key := ticket(ctx, f.Instances[1], f.Instances[0]) + "/reorder-1"
		go func() {
			defer GinkgoRecover()
			w.send(ctx, wireRequest{address: f.Instances[0].CallerAddress, class: "reorder", key: key, path: "/orders/1"})
		}()
		started(ctx, f, key)
		f.Instances[0].Kill()
		for _, other := range f.Instances[1:] {
			got := w.send(ctx, wireRequest{address: other.CallerAddress, class: "reorder", key: key, path: "/orders/1", deadline: 3 * time.Second})
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.outcome).To(Equal("unknown"), got.body)
		}
		Expect(f.StartInstance(ctx, f.Instances[0])).To(Succeed())
		Eventually(func() string {
			return w.send(ctx, wireRequest{address: f.Instances[0].CallerAddress, class: "reorder", key: key, path: "/orders/1", deadline: 3 * time.Second}).outcome
		}).WithTimeout(20 * time.Second).Should(Equal("unknown"))
		Expect(ran(ctx, f, key)).To(Equal(1))
	}, SpecTimeout(time.Minute))

	// Guards against two runs around a frozen owner: one through another instance
	// while it sleeps, one by itself when it wakes.
	It("does not run again while its owner is frozen or after it woke", func(ctx SpecContext) {
		slowed(ctx, f)
		key := ticket(ctx, f.Instances[1], f.Instances[0]) + "/reorder-2"
		first := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			first <- w.send(ctx, wireRequest{address: f.Instances[0].CallerAddress, class: "reorder", key: key, path: "/orders/2"})
		}()
		started(ctx, f, key)
		Expect(f.Instances[0].Suspend()).To(Succeed())
		for range 3 {
			got := w.send(ctx, wireRequest{address: f.Instances[1].CallerAddress, class: "reorder", key: key, path: "/orders/2", deadline: time.Second})
			Expect(got.outcome).To(Equal("unknown"), got.body)
		}
		Expect(f.Instances[0].Resume()).To(Succeed())
		var whole reply
		Eventually(first).WithTimeout(15 * time.Second).Should(Receive(&whole))
		Expect(whole.outcome).To(Equal("answered"), whole.body)
		var again reply
		Eventually(func() string {
			again = w.send(ctx, wireRequest{address: f.Instances[1].CallerAddress, class: "reorder", key: key, path: "/orders/2", deadline: 3 * time.Second})
			return again.outcome
		}).WithTimeout(15 * time.Second).Should(Equal("answered"))
		Expect(again.body).To(Equal(whole.body))
		Expect(again.replayed).To(BeTrue(), "the outcome was recorded at the owner, behind another instance")
		Expect(ran(ctx, f, key)).To(Equal(1))
	}, SpecTimeout(time.Minute))

	// Guards against copies that arrive together at all instances and run more
	// than once, or get different answers, while the log service is out.
	It("runs once and gives every copy one answer during an outage of the log", func(ctx SpecContext) {
		_, err := f.LogControl.SetFaults(ctx, logservice.Faults{Outage: "unavailable"})
		Expect(err).NotTo(HaveOccurred())
		owned := ticket(ctx, f.Instances[1], f.Instances[0])
		for number := range 20 {
			key := fmt.Sprintf("%s/booking-%d", owned, number)
			var group sync.WaitGroup
			answers := make([]reply, 6)
			for i := range answers {
				group.Go(func() {
					defer GinkgoRecover()
					answers[i] = w.send(ctx, wireRequest{address: f.Instances[i%3].CallerAddress, class: "reorder", key: key, path: "/orders/3"})
				})
			}
			group.Wait()
			for _, a := range answers {
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.outcome).To(Equal("answered"), a.body)
				Expect(a.body).To(Equal(answers[0].body))
			}
			Expect(ran(ctx, f, key)).To(Equal(1))
		}
	}, SpecTimeout(time.Minute))

	// Guards against a delayed copy that runs after its key was refused as not
	// run, when the caller has already sent the work again under another key.
	It("never runs after it was refused as not run", func(ctx SpecContext) {
		for _, t := range f.Targets {
			_, err := t.Control.Drain(ctx, true)
			Expect(err).NotTo(HaveOccurred())
		}
		key := ticket(ctx, f.Instances[1], f.Instances[0]) + "/refund-1"
		request := wireRequest{address: f.Instances[0].CallerAddress, class: "reorder", key: key, path: "/refunds/1", deadline: 2 * time.Second}
		got := w.send(ctx, request)
		Expect(got.outcome).To(Equal("not-run"), got.body)
		for _, t := range f.Targets {
			_, err := t.Control.Drain(ctx, false)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, i := range f.Instances {
			request.address = i.CallerAddress
			Expect(w.send(ctx, request).outcome).To(Equal("not-run"))
		}
		Expect(ran(ctx, f, key)).To(BeZero())
	}, SpecTimeout(time.Minute))
})
