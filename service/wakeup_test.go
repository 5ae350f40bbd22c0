package service_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

// warmTarget returns a warm target that admits as many requests as it has slots.
func warmTarget(name string, slots int) *target.Target {
	t := target.New(target.Spec{Name: name, Slots: slots})
	_, generation := t.State()
	t.Transition(generation, target.StateWarm, slots)
	return t
}

// newView returns a view of one zone.
func newView(targets ...*target.Target) *service.View {
	return service.NewView(1, []*zone.Zone{{Name: "az-1", Targets: targets}})
}

// isReady reports whether the channel of the waiter is closed.
func isReady(w *service.Waiter) bool {
	select {
	case <-w.Ready():
		return true
	default:
		return false
	}
}

var _ = Describe("Queue wake-ups", func() {
	now := time.Unix(1_000_000, 0)

	// Guards against a request that waits while a permit is free because a wake-up
	// between its failed choice and Rejoin was lost.
	It("keeps a wake-up that arrives before Rejoin", func() {
		q := service.NewQueue(4)
		w, err := q.Join(0, now)
		Expect(err).NotTo(HaveOccurred())
		q.Wake()
		Expect(isReady(w)).To(BeTrue())
		q.Wake()
		q.Rejoin(w)
		Expect(isReady(w)).To(BeTrue())
	})

	// Guards against inserting a waiter into the queue twice.
	It("ignores Rejoin of a waiting request", func() {
		q := service.NewQueue(4)
		w, err := q.Join(0, now)
		Expect(err).NotTo(HaveOccurred())
		q.Rejoin(w)
		Expect(q.Len()).To(Equal(1))
	})

	// Guards against passing on the same wake-up twice.
	It("passes on an unused wake-up only once", func() {
		q := service.NewQueue(4)
		var waiters []*service.Waiter
		for range 3 {
			w, err := q.Join(0, now)
			Expect(err).NotTo(HaveOccurred())
			waiters = append(waiters, w)
		}
		q.Wake()
		q.Leave(waiters[0])
		q.Leave(waiters[0])
		Expect(isReady(waiters[1])).To(BeTrue())
		Expect(isReady(waiters[2])).To(BeFalse())
	})
})
