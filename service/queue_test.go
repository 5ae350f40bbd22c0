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

// actor is one request of the model: it chooses, joins, waits, and chooses again.
type actor struct {
	state  string // idle, failed, queued, holding
	seen   uint64
	waiter *service.Waiter
}

// permits is the model of the targets: it counts the free permits.
type permits struct {
	queue *service.Queue
	free  int
	now   time.Time
}

// step moves an actor on by one operation; between any two, others may run.
func (p *permits) step(a *actor, demand service.Demand) {
	switch a.state {
	case "idle":
		a.seen = p.queue.Seen()
		a.state = "failed"
		if p.free > 0 {
			p.free--
			a.state = "holding"
		}
	case "failed":
		demand.Seen = a.seen
		w, err := p.queue.JoinAt(p.now, demand)
		a.waiter, a.state = w, "queued"
		if err != nil {
			a.state = "idle"
		}
	case "queued":
		switch {
		case !ready(a.waiter):
		case a.waiter.Displaced():
			a.state = "idle"
		case p.free > 0:
			p.free--
			p.queue.Taken(a.waiter)
			a.state = "holding"
		default:
			p.queue.Rejoin(a.waiter)
		}
	case "holding":
		p.free++ // the permit is free before the wake-up, as in Permit.Release
		p.queue.Released(p.now)
		a.state = "idle"
	}
}

var _ = Describe("Queue", func() {
	start := time.Unix(1_000_000, 0)

	// Guards against a request that waits while a permit is free: in any
	// interleaving, once nobody can move, free permits and waiting requests
	// never exist together.
	It("loses no wake-up and stays within its limit", func() {
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
					p.step(a, service.Demand{
						Rank:    service.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
						MaxWait: time.Duration(rapid.IntRange(0, 2).Draw(t, "bound")) * 30 * time.Millisecond,
					})
				}
				if p.queue.Len() > limit {
					t.Fatalf("%d wait, limit %d", p.queue.Len(), limit)
				}
			}
			for moved := true; moved; { // let everybody who can move do so, without new releases
				moved = false
				for _, a := range actors {
					if a.state == "failed" || (a.state == "queued" && ready(a.waiter)) {
						p.step(a, service.Demand{})
						moved = true
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
				t.Fatalf("%d wait (queue says %d) with %d free permits", waiting, p.queue.Len(), p.free)
			}
		})
	})

	// Guards against an order other than: past the bound, then rank, then arrival.
	It("wakes by bound, rank and arrival, also after Rejoin", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q, now := service.NewQueue(100), start
			type item struct {
				rank   service.Rank
				bound  time.Time
				order  int
				waiter *service.Waiter
			}
			var items []*item
			for i := range rapid.IntRange(1, 20).Draw(t, "count") {
				now = now.Add(time.Millisecond)
				d := service.Demand{Rank: service.Rank(rapid.SampledFrom([]int{0, 1, 63, 64, 255}).Draw(t, "rank"))}
				d.MaxWait = time.Duration(rapid.IntRange(0, 40).Draw(t, "bound")) * time.Millisecond
				w, err := q.JoinAt(now, d)
				if err != nil {
					t.Fatal(err)
				}
				it := &item{d.Rank, time.Time{}, i, w}
				if d.MaxWait > 0 {
					it.bound = now.Add(d.MaxWait)
				}
				items = append(items, it)
			}
			for len(items) > 0 {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
				overdue := func(it *item) bool { return !it.bound.IsZero() && !it.bound.After(now) }
				want := slices.MinFunc(items, func(a, b *item) int {
					switch {
					case overdue(a) != overdue(b):
						return map[bool]int{true: -1, false: 1}[overdue(a)]
					case overdue(a) && !a.bound.Equal(b.bound):
						return a.bound.Compare(b.bound)
					case !overdue(a) && a.rank != b.rank:
						return int(a.rank) - int(b.rank)
					}
					return a.order - b.order
				})
				q.Released(now)
				if !ready(want.waiter) {
					t.Fatalf("request %d of rank %d was not woken", want.order, want.rank)
				}
				if rapid.IntRange(0, 3).Draw(t, "rejoin") == 0 {
					q.Rejoin(want.waiter)
					continue
				}
				q.Taken(want.waiter)
				items = slices.DeleteFunc(items, func(it *item) bool { return it == want })
			}
		})
	})

	// Guards against a request that waits although it cannot meet its deadline,
	// and against a refusal for ever after a slow time.
	It("refuses a request that would miss its deadline", func() {
		q, now := service.NewQueue(100), start
		for range 20 {
			_, err := q.JoinAt(now, service.Demand{})
			Expect(err).NotTo(HaveOccurred())
		}
		for range 10 {
			now = now.Add(10 * time.Millisecond)
			q.Released(now)
		}
		var late *service.LateError
		_, err := q.JoinAt(now, service.Demand{Deadline: now.Add(100 * time.Millisecond)})
		Expect(errors.As(err, &late)).To(BeTrue(), "10 ahead at 10 ms each")
		Expect(late.Wait).To(Equal(110 * time.Millisecond))
		_, err = q.JoinAt(now, service.Demand{Deadline: now.Add(120 * time.Millisecond)})
		Expect(err).NotTo(HaveOccurred())
		_, err = q.JoinAt(now, service.Demand{Deadline: now.Add(120 * time.Millisecond), Run: 20 * time.Millisecond})
		Expect(errors.As(err, &late)).To(BeTrue())
		_, err = q.JoinAt(now, service.Demand{Deadline: now})
		Expect(errors.As(err, &late)).To(BeTrue(), "the deadline has passed")
		q.WakeAll()
		_, err = q.JoinAt(now, service.Demand{Deadline: now.Add(time.Millisecond)})
		Expect(err).NotTo(HaveOccurred(), "nobody is ahead")
	})

	// Guards against one pause, such as a cold start, that counts for each of the
	// requests ahead and has requests refused that would be served in time.
	It("does not take one pause for the service rate", func() {
		q, now := service.NewQueue(100), start
		join := func(left time.Duration) error {
			_, err := q.JoinAt(now, service.Demand{Deadline: now.Add(left)})
			return err
		}
		for range 30 {
			Expect(join(time.Minute)).To(Succeed())
		}
		now = now.Add(500 * time.Millisecond)
		q.Released(now)
		for range 9 {
			now = now.Add(10 * time.Millisecond)
			q.Released(now)
		}
		Expect(join(2*time.Second)).To(Succeed(), "20 ahead after a long first interval")
		now = now.Add(300 * time.Millisecond)
		Expect(join(3*time.Second)).To(Succeed(), "21 ahead after a pause")
		now = now.Add(10 * time.Second)
		Expect(join(3*time.Second)).NotTo(Succeed(), "21 ahead and no release for long")
	})

	// Guards against a full queue of reports that keeps interactive requests
	// out, and against displacing uploads or requests past their bound.
	It("displaces the last of the worst rank and tells it", func() {
		q := service.NewQueue(3)
		join := func(now time.Time, d service.Demand) *service.Waiter {
			w, err := q.JoinAt(now, d)
			Expect(err).NotTo(HaveOccurred())
			return w
		}
		first := join(start, service.Demand{Rank: 2, MaxWait: time.Second})
		last := join(start, service.Demand{Rank: 2, MaxWait: time.Minute})
		kept := join(start, service.Demand{Rank: 3, Kept: true})
		later := start.Add(2 * time.Second)
		join(later, service.Demand{Rank: 0})
		Expect(ready(last)).To(BeTrue())
		Expect(last.Displaced()).To(BeTrue())
		q.Rejoin(last)
		q.Leave(last)
		Expect(q.Len()).To(Equal(3))
		var overflow *service.OverflowError
		_, err := q.JoinAt(later, service.Demand{Rank: 0})
		Expect(errors.As(err, &overflow)).To(BeTrue())
		Expect(ready(first) || ready(kept)).To(BeFalse())
	})

	// Guards against lost wake-ups and races between real goroutines.
	It("serves every request of concurrent goroutines", func() {
		q, free := service.NewQueue(1000), atomic.Int32{}
		free.Store(2)
		choose := func() bool {
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
					seen := q.Seen()
					if !choose() {
						w, err := q.JoinAt(start, service.Demand{Rank: service.Rank(i % 3), Seen: seen})
						if err != nil {
							panic(err)
						}
						for <-w.Ready(); !choose(); <-w.Ready() {
							q.Rejoin(w)
						}
						q.Taken(w)
					}
					free.Add(1)
					q.Released(start)
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
				w, err := q.JoinAt(now, service.Demand{Rank: 1, Deadline: now.Add(time.Second)})
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
				q.Released(now)
				q.Taken(waiters[(i+1)%len(waiters)])
			}
		})
	}
}

// BenchmarkQueueContention measures joining and waking from all processors.
func BenchmarkQueueContention(b *testing.B) {
	q, now := service.NewQueue(10_000), time.Unix(1_000_000, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w, err := q.JoinAt(now, service.Demand{Rank: 1})
			if err != nil {
				b.Error(err)
				return
			}
			q.Released(now)
			q.Leave(w)
		}
	})
}
