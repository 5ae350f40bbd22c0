package target_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/target"
)

var _ = Describe("Reports", func() {
	var t *target.Target
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }

	BeforeEach(func() { t = target.NewWarm(target.Spec{Name: "orders-1", Slots: 2, Links: 3}, 3) })

	// Guards against preferring a server whose machine is currently slow.
	It("raises the delay of a slow machine while the report is recent", func() {
		t.Observe(now, target.Report{Slots: 2, Slowdown: 1})
		t.Observe(at(time.Second), target.Report{Slots: 2, Slowdown: 5})
		recent := t.RelativeDelay(at(time.Second))
		old := t.RelativeDelay(at(3 * time.Second))
		Expect(recent).To(BeNumerically("~", 5, 0.1))
		Expect(old).To(And(BeNumerically(">", 1), BeNumerically("<", 4)))
	})

	// Guards against a server that looks idle because all its load comes from other
	// instances.
	It("counts the requests of other instances", func() {
		t.Observe(now, target.Report{Running: 2, Waiting: 2, Slots: 2, Slowdown: 1})
		Expect(t.RelativeDelay(now)).To(BeNumerically(">", 2))
		Expect(t.Saturated(now, 1)).To(BeTrue())
		Expect(t.Saturated(now, 3)).To(BeFalse())
	})

	// Guards against counting the requests of this instance twice.
	It("counts the requests of this instance once", func() {
		permit, _ := t.Admit(now)
		t.Observe(now, target.Report{Running: 1, Slots: 2, Slowdown: 1})
		loaded := t.RelativeDelay(now)
		permit.Release()
		Expect(t.RelativeDelay(now)).To(BeNumerically("<", loaded))
		Expect(t.RelativeDelay(now)).To(BeNumerically("~", 1, 0.01))
	})

	// Guards against a server that fails fast and therefore looks idle.
	It("raises the delay of a failing server until it recovers", func() {
		before := t.RelativeDelay(now)
		for range 5 {
			t.RecordResult(true)
		}
		Expect(t.RelativeDelay(now)).To(BeNumerically(">", 3*before))
		for range 40 {
			t.RecordResult(false)
		}
		Expect(t.RelativeDelay(now)).To(BeNumerically("~", before, 0.05))
	})

	// Guards against preferring a server that does not even answer a load probe.
	It("raises the delay of a server that does not answer a load probe", func() {
		t.ProbeSent(now)
		Expect(t.RelativeDelay(at(5 * time.Millisecond))).To(BeNumerically("~", 3, 0.01))
		t.ProbeEnded()
		Expect(t.RelativeDelay(at(5 * time.Millisecond))).To(BeNumerically("~", 1, 0.01))
	})

	// Guards against a wrong report that keeps requests away from a server for
	// good.
	It("bounds the effect of a report", func() {
		t.Observe(now, target.Report{Running: 1_000_000, Slots: 2, Slowdown: 1e9})
		Expect(t.RelativeDelay(at(20 * time.Second))).To(BeNumerically("<", 1000))
	})

	It("bounds the effect of the newest report too", func() {
		t.Observe(now, target.Report{Running: 1_000_000, Waiting: 1_000_000, Slots: 2, Slowdown: 1})
		Expect(t.RelativeDelay(now)).To(BeNumerically("<", 12))
		Expect(t.Saturated(now, 16)).To(BeFalse())
	})
})

var _ = Describe("Pacing", func() {
	now := time.Now()

	// Guards against a cold server that gets less than its share: a goroutine that lost
	// the race for the last permit had used up the interval.
	It("does not use up the interval without giving a permit", func() {
		t := target.NewWarm(target.Spec{Name: "orders-1", Slots: 1, Links: 2}, 1)
		busy, _ := t.Admit(now)
		t.MarkServerCold(now, time.Hour)
		t.SetPacingInterval(time.Minute)
		_, ok := t.Admit(now)
		Expect(ok).To(BeFalse())
		busy.Release()
		_, ok = t.Admit(now)
		Expect(ok).To(BeTrue())
	})

	It("gives at most one permit per interval to competing goroutines", func() {
		t := target.NewWarm(target.Spec{Name: "orders-1", Slots: 4, Links: 5}, 5)
		t.MarkServerCold(now, time.Hour)
		t.SetPacingInterval(time.Minute)
		var granted atomic.Int32
		var group sync.WaitGroup
		for range 64 {
			group.Go(func() {
				if _, ok := t.Admit(now); ok {
					granted.Add(1)
				}
			})
		}
		group.Wait()
		Expect(granted.Load()).To(Equal(int32(1)))
		Expect(t.InFlight()).To(Equal(1))
	})

	// Guards against a burst of requests to a server that is known to be cold.
	It("admits one request per interval while the server is cold", func() {
		t := target.NewWarm(target.Spec{Name: "orders-1", Slots: 4, Links: 5}, 5)
		t.SetPacingInterval(time.Second)
		t.MarkServerCold(now, 3*time.Second)
		Expect(t.Admits(now)).To(BeTrue())
		_, ok := t.Admit(now)
		Expect(ok).To(BeTrue())
		Expect(t.Admits(now.Add(500 * time.Millisecond))).To(BeFalse())
		_, ok = t.Admit(now.Add(1001 * time.Millisecond))
		Expect(ok).To(BeTrue())
		t.MarkServerWarm()
		_, ok = t.Admit(now.Add(1002 * time.Millisecond))
		Expect(ok).To(BeTrue())
	})

	// Guards against an instance that sends requests although it has no share in
	// the rate allowed for a cold server.
	It("admits nothing with a negative interval while the server is cold", func() {
		t := target.NewWarm(target.Spec{Name: "orders-1", Slots: 4, Links: 5}, 5)
		t.SetPacingInterval(-1)
		t.MarkServerCold(now, time.Second)
		_, ok := t.Admit(now)
		Expect(ok).To(BeFalse())
		_, ok = t.Admit(now.Add(2 * time.Second))
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("RateLimiter", func() {
	// Guards against exceeding the limit on health probes when all instances probe
	// as often as they are allowed to, in bursts. A minute stands for the day over
	// which the limit is averaged.
	It("keeps the probes of all instances within the limit over a day", func() {
		const instances, perSecond, day = 5, 60, 60 * time.Second
		interval := instances * time.Second * 10 / (perSecond * 8) // four fifths of the limit
		start := time.Now()
		sent := 0
		for range instances {
			var limiter target.RateLimiter
			for at := time.Duration(0); at < day; at += time.Millisecond {
				// Alternates between 5 s without probes and 5 s of as many as
				// allowed.
				if at/(5*time.Second)%2 == 1 && limiter.Allow(start.Add(at), interval) {
					sent++
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", perSecond*day.Seconds()))
		Expect(sent).To(BeNumerically(">", 0.5*perSecond*day.Seconds()))
	})

	It("does not limit events if the interval is 0", func() {
		var limiter target.RateLimiter
		for range 1000 {
			Expect(limiter.Allow(time.Now(), 0)).To(BeTrue())
		}
	})
})
