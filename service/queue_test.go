package service_test

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/service"
)

// actor is a request as a state machine: it chooses a target, joins the queue,
// waits, and chooses again.
type actor struct {
	state     string // idle, failed (found no permit), queued, holding (has a permit)
	wakeEpoch uint64 // result of Queue.WakeEpoch before the choice
	waiter    *service.Waiter
}

// permits models the targets by the number of free permits.
type permits struct {
	queue *service.Queue
	free  int
	now   time.Time
}

// step runs the next operation of an actor. Operations of other actors may run in
// between.
func (p *permits) step(a *actor, request service.QueueRequest) {
	switch a.state {
	case "idle":
		a.wakeEpoch = p.queue.WakeEpoch()
		a.state = "failed"
		if p.free > 0 {
			p.free--
			a.state = "holding"
		}
	case "failed":
		request.WakeEpoch = a.wakeEpoch
		w, err := p.queue.JoinAt(p.now, request)
		a.waiter, a.state = w, "queued"
		if err != nil {
			a.state = "idle"
		}
	case "queued":
		switch {
		case !isReady(a.waiter):
		case a.waiter.Displaced():
			a.state = "idle"
		case p.free > 0:
			p.free--
			p.queue.Served(a.waiter)
			a.state = "holding"
		default:
			p.queue.Rejoin(a.waiter)
		}
	case "holding":
		p.free++ // the permit is released before the wake-up, as in production
		p.queue.NotifyRelease(p.now)
		a.state = "idle"
	}
}

var _ = Describe("Queue", func() {
	start := time.Unix(1_000_000, 0)

	// Guards against a request that waits while a permit is free: in every
	// interleaving, once no actor can proceed, there must not be both free permits
	// and waiting requests.
	It("loses no wake-up and does not exceed its limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.IntRange(1, 4).Draw(t, "limit")
			p := &permits{queue: service.NewQueue(limit), free: rapid.IntRange(1, 3).Draw(t, "permits"), now: start}
			actors := make([]*actor, 8)
			for i := range actors {
				actors[i] = &actor{state: "idle"}
			}
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				a := rapid.SampledFrom(actors).Draw(t, "actor")
				p.now = p.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 9).Draw(t, "kind") {
				case 0:
					if a.state == "queued" {
						p.queue.Leave(a.waiter)
						a.state = "idle"
					}
				case 1:
					p.queue.WakeAll()
				default:
					p.step(a, service.QueueRequest{
						Rank:         service.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
						PromoteAfter: time.Duration(rapid.IntRange(0, 2).Draw(t, "bound")) * 30 * time.Millisecond,
					})
				}
				if p.queue.Len() > limit {
					t.Fatalf("%d requests are waiting, limit is %d", p.queue.Len(), limit)
				}
			}
			for progressed := true; progressed; { // run all actors that can proceed, without further releases
				progressed = false
				for _, a := range actors {
					if a.state == "failed" || (a.state == "queued" && isReady(a.waiter)) {
						p.step(a, service.QueueRequest{})
						progressed = true
					}
				}
			}
			waiting := 0
			for _, a := range actors {
				if a.state == "queued" {
					waiting++
				}
			}
			if waiting != p.queue.Len() || (waiting > 0 && p.free > 0) {
				t.Fatalf("%d requests are waiting (Queue.Len() = %d) with %d free permits", waiting, p.queue.Len(), p.free)
			}
		})
	})

	// Guards against waking in another order than: overdue, then rank, then
	// arrival.
	It("wakes in order of overdue time, rank and arrival, also after Rejoin", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q, now := service.NewQueue(100), start
			type item struct {
				rank      service.Rank
				promoteAt time.Time // zero without PromoteAfter
				arrival   int
				waiter    *service.Waiter
			}
			var items []*item
			for i := range rapid.IntRange(1, 20).Draw(t, "count") {
				now = now.Add(time.Millisecond)
				request := service.QueueRequest{Rank: service.Rank(rapid.SampledFrom([]int{0, 1, 63, 64, 255}).Draw(t, "rank"))}
				request.PromoteAfter = time.Duration(rapid.IntRange(0, 40).Draw(t, "bound")) * time.Millisecond
				w, err := q.JoinAt(now, request)
				if err != nil {
					t.Fatal(err)
				}
				it := &item{request.Rank, time.Time{}, i, w}
				if request.PromoteAfter > 0 {
					it.promoteAt = now.Add(request.PromoteAfter)
				}
				items = append(items, it)
			}
			for len(items) > 0 {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
				overdue := func(it *item) bool { return !it.promoteAt.IsZero() && !it.promoteAt.After(now) }
				want := slices.MinFunc(items, func(a, b *item) int {
					switch {
					case overdue(a) != overdue(b):
						return map[bool]int{true: -1, false: 1}[overdue(a)]
					case overdue(a) && !a.promoteAt.Equal(b.promoteAt):
						return a.promoteAt.Compare(b.promoteAt)
					case !overdue(a) && a.rank != b.rank:
						return int(a.rank) - int(b.rank)
					}
					return a.arrival - b.arrival
				})
				q.NotifyRelease(now)
				if !isReady(want.waiter) {
					t.Fatalf("request %d of rank %d was not woken", want.arrival, want.rank)
				}
				if rapid.IntRange(0, 3).Draw(t, "rejoin") == 0 {
					q.Rejoin(want.waiter)
					continue
				}
				q.Served(want.waiter)
				items = slices.DeleteFunc(items, func(it *item) bool { return it == want })
			}
		})
	})

	// Guards against queueing a request that cannot meet its deadline, and against
	// refusing all requests forever after a slow period.
	It("refuses a request that would miss its deadline", func() {
		q, now := service.NewQueue(100), start
		for range 20 {
			_, err := q.JoinAt(now, service.QueueRequest{})
			Expect(err).NotTo(HaveOccurred())
		}
		for range 10 {
			now = now.Add(10 * time.Millisecond)
			q.NotifyRelease(now)
		}
		var deadlineErr *service.DeadlineError
		_, err := q.JoinAt(now, service.QueueRequest{Deadline: now.Add(100 * time.Millisecond)})
		Expect(errors.As(err, &deadlineErr)).To(BeTrue(), "10 requests ahead at 10 ms each")
		Expect(deadlineErr.Wait).To(Equal(110 * time.Millisecond))
		_, err = q.JoinAt(now, service.QueueRequest{Deadline: now.Add(120 * time.Millisecond)})
		Expect(err).NotTo(HaveOccurred())
		_, err = q.JoinAt(now, service.QueueRequest{Deadline: now.Add(120 * time.Millisecond), ExpectedResponseTime: 20 * time.Millisecond})
		Expect(errors.As(err, &deadlineErr)).To(BeTrue())
		_, err = q.JoinAt(now, service.QueueRequest{Deadline: now})
		Expect(errors.As(err, &deadlineErr)).To(BeTrue(), "the deadline has passed")
		q.WakeAll()
		_, err = q.JoinAt(now, service.QueueRequest{Deadline: now.Add(time.Millisecond)})
		Expect(err).NotTo(HaveOccurred(), "no requests ahead")
	})

	// Guards against refusing requests that would be served in time because one
	// pause, such as a cold start, is multiplied by the number of requests ahead.
	It("does not take a single pause for the release interval", func() {
		q, now := service.NewQueue(100), start
		join := func(timeout time.Duration) error {
			_, err := q.JoinAt(now, service.QueueRequest{Deadline: now.Add(timeout)})
			return err
		}
		for range 30 {
			Expect(join(time.Minute)).To(Succeed())
		}
		now = now.Add(500 * time.Millisecond)
		q.NotifyRelease(now)
		for range 9 {
			now = now.Add(10 * time.Millisecond)
			q.NotifyRelease(now)
		}
		Expect(join(2*time.Second)).To(Succeed(), "20 requests ahead after a long first interval")
		now = now.Add(300 * time.Millisecond)
		Expect(join(3*time.Second)).To(Succeed(), "21 requests ahead after a pause")
		now = now.Add(10 * time.Second)
		Expect(join(3*time.Second)).NotTo(Succeed(), "21 requests ahead and no release for 10 s")
	})

	// Guards against a queue full of requests of low rank that shuts out
	// interactive ones, and against displacing uploads or overdue requests.
	It("displaces the newest request of the worst rank and reports it", func() {
		q := service.NewQueue(3)
		join := func(now time.Time, request service.QueueRequest) *service.Waiter {
			w, err := q.JoinAt(now, request)
			Expect(err).NotTo(HaveOccurred())
			return w
		}
		overdue := join(start, service.QueueRequest{Rank: 2, PromoteAfter: time.Second})
		displaced := join(start, service.QueueRequest{Rank: 2, PromoteAfter: time.Minute})
		undisplaceable := join(start, service.QueueRequest{Rank: 3, Undisplaceable: true})
		later := start.Add(2 * time.Second)
		join(later, service.QueueRequest{Rank: 0})
		Expect(isReady(displaced)).To(BeTrue())
		Expect(displaced.Displaced()).To(BeTrue())
		q.Rejoin(displaced)
		q.Leave(displaced)
		Expect(q.Len()).To(Equal(3))
		var full *service.QueueFullError
		_, err := q.JoinAt(later, service.QueueRequest{Rank: 0})
		Expect(errors.As(err, &full)).To(BeTrue())
		Expect(isReady(overdue) || isReady(undisplaceable)).To(BeFalse())
	})

	// Guards against accepting a request that will miss its deadline, because requests
	// of worse ranks that have waited for long go before it.
	It("counts requests of worse ranks that have reached their PromoteAfter as ahead", func() {
		q, now := service.NewQueue(100), start
		for range 10 {
			w, err := q.JoinAt(now, service.QueueRequest{})
			Expect(err).NotTo(HaveOccurred())
			now = now.Add(100 * time.Millisecond)
			q.NotifyRelease(now)
			q.Served(w)
		}
		for range 20 {
			_, err := q.JoinAt(now, service.QueueRequest{Rank: 2, PromoteAfter: time.Second})
			Expect(err).NotTo(HaveOccurred())
		}
		urgent := func(at time.Time) error {
			w, err := q.JoinAt(at, service.QueueRequest{Deadline: at.Add(time.Second)})
			if err == nil {
				q.Leave(w)
			}
			return err
		}
		Expect(urgent(now.Add(900 * time.Millisecond))).To(Succeed())
		var late *service.DeadlineError
		Expect(errors.As(urgent(now.Add(time.Second)), &late)).To(BeTrue())
	})

	// Guards against lost wake-ups and data races with concurrent goroutines.
	It("serves all requests of concurrent goroutines", func() {
		q, free := service.NewQueue(1000), atomic.Int32{}
		free.Store(2)
		takePermit := func() bool {
			for {
				n := free.Load()
				if n == 0 {
					return false
				}
				if free.CompareAndSwap(n, n-1) {
					return true
				}
			}
		}
		var group sync.WaitGroup
		for i := range 64 {
			group.Go(func() {
				for range 100 {
					epoch := q.WakeEpoch()
					if !takePermit() {
						w, err := q.JoinAt(start, service.QueueRequest{Rank: service.Rank(i % 3), WakeEpoch: epoch})
						if err != nil {
							panic(err)
						}
						for <-w.Ready(); !takePermit(); <-w.Ready() {
							q.Rejoin(w)
						}
						q.Served(w)
					}
					free.Add(1)
					q.NotifyRelease(start)
				}
			})
		}
		group.Wait()
		Expect(q.Len()).To(BeZero())
		Expect(free.Load()).To(Equal(int32(2)))
	})
})

func BenchmarkQueueJoinWake(b *testing.B) {
	for name, ahead := range map[string]int{"empty": 0, "1000 ahead": 1000} {
		b.Run(name, func(b *testing.B) {
			q, now := service.NewQueue(10_000), time.Unix(1_000_000, 0)
			waiters := make([]*service.Waiter, ahead+1)
			join := func(i int) {
				w, err := q.JoinAt(now, service.QueueRequest{Rank: 1, Deadline: now.Add(time.Second)})
				if err != nil {
					b.Fatal(err)
				}
				waiters[i%len(waiters)] = w
			}
			for i := range ahead {
				join(i)
			}
			b.ReportAllocs()
			for i := ahead; b.Loop(); i++ {
				join(i)
				q.NotifyRelease(now)
				q.Served(waiters[(i+1)%len(waiters)])
			}
		})
	}
}

// BenchmarkQueueContention measures JoinAt and NotifyRelease under contention
// from all processors.
func BenchmarkQueueContention(b *testing.B) {
	q, now := service.NewQueue(10_000), time.Unix(1_000_000, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w, err := q.JoinAt(now, service.QueueRequest{Rank: 1})
			if err != nil {
				b.Error(err)
				return
			}
			q.NotifyRelease(now)
			q.Leave(w)
		}
	})
}
