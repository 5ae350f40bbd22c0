package service_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

func warm(name string, slots int) *target.Target {
	t := target.New(target.Spec{Name: name, Slots: slots})
	_, generation := t.State()
	t.Transition(generation, target.StateWarm, slots)
	return t
}

func viewOf(targets ...*target.Target) *service.View {
	return service.NewView(1, []*zone.Zone{{Name: "az-1", Targets: targets}})
}

func ready(w *service.Waiter) bool {
	select {
	case <-w.Ready():
		return true
	default:
		return false
	}
}

var _ = Describe("Queue wake-ups", func() {
	now := time.Unix(1_000_000, 0)

	// Guards against a request that waits while a permit is free, because the
	// wake-up came between its failed choice and Rejoin.
	It("keeps a wake-up that arrives before Rejoin", func() {
		q := service.NewQueue(4)
		w, err := q.Join(0, now)
		Expect(err).NotTo(HaveOccurred())
		q.Wake()
		Expect(ready(w)).To(BeTrue())
		q.Wake()
		q.Rejoin(w)
		Expect(ready(w)).To(BeTrue())
	})

	// Guards against a waiter that is in the queue twice.
	It("ignores Rejoin of a request that still waits", func() {
		q := service.NewQueue(4)
		w, err := q.Join(0, now)
		Expect(err).NotTo(HaveOccurred())
		q.Rejoin(w)
		Expect(q.Len()).To(Equal(1))
	})

	// Guards against a second wake-up from one that was passed on already.
	It("passes an unused wake-up on once", func() {
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
		Expect(ready(waiters[1])).To(BeTrue())
		Expect(ready(waiters[2])).To(BeFalse())
	})
})
