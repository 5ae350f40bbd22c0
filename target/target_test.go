package target_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/target"
)

var _ = Describe("Target", func() {
	now := time.Unix(1_000_000, 0)
	var t *target.Target

	BeforeEach(func() { t = target.New(target.Spec{Name: "orders-1", Slots: 4, Links: 4}) })

	// Guards against sending requests to a target before anything is known about
	// it.
	It("admits nothing while cold without a lease", func() {
		Expect(t.Transition(1, target.StateCold, 4)).To(BeTrue())
		_, ok := t.Admit(now)
		Expect(ok).To(BeFalse())
		t.Lease(now.Add(time.Second))
		_, ok = t.Admit(now)
		Expect(ok).To(BeTrue())
	})

	// Guards against a non-atomic check of the limit, which concurrent goroutines
	// could exceed.
	It("never admits more than the limit", func() {
		t.Transition(1, target.StateWarm, 4)
		var inFlight, peak atomic.Int32
		var group sync.WaitGroup
		for range 16 {
			group.Go(func() {
				for range 2000 {
					permit, ok := t.Admit(now)
					if !ok {
						continue
					}
					count := inFlight.Add(1)
					for old := peak.Load(); count > old && !peak.CompareAndSwap(old, count); old = peak.Load() {
					}
					inFlight.Add(-1)
					permit.Release()
				}
			})
		}
		group.Wait()
		Expect(peak.Load()).To(BeNumerically("<=", 4))
		Expect(t.InFlight()).To(BeZero())
	})

	// Guards against learning about the requests of other instances only from their
	// next heartbeat, and against a server that reports an impossible load.
	It("takes the load of other instances from the answers of the server", func() {
		t.Transition(1, target.StateWarm, 4)
		idle := t.ExpectedDelay(now)
		_, _ = t.Admit(now)
		_, _ = t.Admit(now)
		t.ObserveServerLoad(now, 1)
		Expect(t.ExpectedDelay(now)).To(Equal(idle), "the reported request is the other one of this instance")
		t.ObserveServerLoad(now.Add(time.Second), 8)
		Expect(t.ExpectedDelay(now.Add(time.Second))).To(BeNumerically("~", idle*10/4, idle/100))
		for i := range 20 {
			t.ObserveServerLoad(now.Add(time.Duration(2+i)*time.Second), 1<<30)
		}
		Expect(t.ExpectedDelay(now.Add(21 * time.Second))).To(BeNumerically("<=", idle*34/4))
		before := t.ExpectedDelay(now.Add(21 * time.Second))
		t.ObserveServerLoad(now.Add(21*time.Second), -1)
		Expect(t.ExpectedDelay(now.Add(21 * time.Second))).To(Equal(before))
	})

	// Guards against sending a request to the new, cold process if a restart is
	// detected after the request was admitted.
	It("invalidates the permits of the old process on a restart", func() {
		t.Transition(1, target.StateWarm, 4)
		permit, _ := t.Admit(now)
		Expect(permit.MaySend(now)).To(BeTrue())
		Expect(t.Restarted(1)).To(BeTrue())
		Expect(permit.MaySend(now)).To(BeFalse())
		Expect(t.InFlight()).To(BeZero())
		permit.Release()
		Expect(t.InFlight()).To(BeZero())
	})

	// Guards against a warm-up step that is applied after the start of a drain and
	// reverts it.
	It("stays leaving until its process ends", func() {
		Expect(t.Transition(1, target.StateLeaving, 0)).To(BeTrue())
		Expect(t.Transition(1, target.StateWarm, 4)).To(BeFalse())
		_, ok := t.Admit(now)
		Expect(ok).To(BeFalse())
		t.Restarted(1)
		Expect(t.Transition(2, target.StateWarm, 4)).To(BeTrue())
	})

	// Guards against two reports of the same restart that start two generations.
	It("counts a restart once, however often it is reported", func() {
		Expect(t.Restarted(1)).To(BeTrue())
		Expect(t.Restarted(1)).To(BeFalse())
	})

	// Guards against a lease holder that was paused between admission and the
	// write.
	It("forbids sending to a cold target after the end of the lease", func() {
		t.Transition(1, target.StateCold, 1)
		t.Lease(now.Add(time.Second))
		permit, ok := t.Admit(now)
		Expect(ok).To(BeTrue())
		Expect(permit.MaySend(now.Add(999 * time.Millisecond))).To(BeTrue())
		Expect(permit.MaySend(now.Add(time.Second))).To(BeFalse())
	})

	// Guards against a target that fails fast and therefore looks idle.
	It("blocks the target longer after each consecutive failure", func() {
		t.Transition(1, target.StateWarm, 4)
		t.RecordFailure(now)
		Expect(t.Admits(now.Add(49 * time.Millisecond))).To(BeFalse())
		Expect(t.Admits(now.Add(50 * time.Millisecond))).To(BeTrue())
		second := now.Add(50 * time.Millisecond)
		t.RecordFailure(second)
		Expect(t.Admits(second.Add(99 * time.Millisecond))).To(BeFalse())
		Expect(t.Admits(second.Add(100 * time.Millisecond))).To(BeTrue())
		t.RecordResponse(time.Millisecond)
		third := second.Add(100 * time.Millisecond)
		t.RecordFailure(third)
		Expect(t.Admits(third.Add(49 * time.Millisecond))).To(BeFalse())
		Expect(t.Admits(third.Add(50 * time.Millisecond))).To(BeTrue())
	})

	// Guards against missing a restart during which a connection remained open.
	It("treats a second boot ID within a generation as a restart", func() {
		Expect(t.ObserveBootID(1, "a")).To(BeTrue())
		Expect(t.ObserveBootID(1, "a")).To(BeTrue())
		Expect(t.ObserveBootID(1, "b")).To(BeFalse())
		_, generation := t.State()
		Expect(generation).To(BeNumerically("==", 2))
		Expect(t.ObserveBootID(2, "b")).To(BeTrue())
		Expect(t.ObserveBootID(1, "a")).To(BeTrue(), "a late answer of the old process changes nothing")
	})

	// Guards against warming up a server again that only lost its connections.
	It("resumes only the process of the previous generation", func() {
		t.Transition(1, target.StateWarm, 4)
		t.ObserveBootID(1, "a")
		t.Restarted(1)
		Expect(t.Resume(2, "b")).To(BeFalse())
		Expect(t.Resume(2, "")).To(BeFalse())
		Expect(t.Resume(2, "a")).To(BeTrue())
		state, _ := t.State()
		Expect(state).To(Equal(target.StateWarm))
		Expect(t.Limit()).To(Equal(4))

		t.Restarted(2)
		Expect(t.Resume(3, "a")).To(BeFalse(), "no boot ID was received in generation 2")
	})
})

var _ = Describe("Warmup", func() {
	now := time.Unix(1_000_000, 0)
	terms := target.ColdTerms{MaxConcurrent: 1, Duration: 2 * time.Second, Answers: 3, MaxInstances: 7}
	var t *target.Target
	var w *target.Warmup

	BeforeEach(func() {
		t = target.New(target.Spec{Name: "orders-1", Slots: 4, Links: 4})
		w = target.NewWarmup(t)
		w.SetTerms(terms)
		w.Connected(now, 1)
	})

	answers := func(count int) {
		for range count {
			t.RecordResponse(time.Millisecond)
		}
	}

	// Guards against overloading a cold server that handles one concurrent request,
	// because each of seven instances sends one.
	It("admits nothing without the lease if the share is less than one", func() {
		w.Step(now, false)
		Expect(t.Limit()).To(BeZero())
		w.Step(now, true)
		Expect(t.Limit()).To(Equal(1))
	})

	// Guards against a warm-up that depends on the time alone or on the number of
	// answers alone.
	It("stays cold until the cold duration has passed and enough answers were received", func() {
		w.Step(now, true)
		answers(10)
		w.Step(now.Add(1999*time.Millisecond), true)
		state, _ := t.State()
		Expect(state).To(Equal(target.StateCold))
		w.Step(now.Add(2*time.Second), true)
		state, _ = t.State()
		Expect(state).To(Equal(target.StateWarming))
	})

	It("doubles the limit with each window of answers up to the number of links", func() {
		w.ProvedWarm()
		limits := []int{t.Limit()}
		for range 3 {
			answers(t.Limit())
			w.Step(now, false)
			limits = append(limits, t.Limit())
		}
		Expect(limits).To(Equal([]int{1, 2, 4, 4}))
		state, _ := t.State()
		Expect(state).To(Equal(target.StateWarm))
	})

	// Guards against continuing the warm-up of the old process after a restart.
	It("starts over after a restart", func() {
		w.ProvedWarm()
		t.Restarted(1)
		answers(10)
		w.Step(now.Add(time.Minute), true)
		Expect(t.Limit()).To(BeZero())
	})
})

var _ = Describe("ProbeBudget", func() {
	// Guards against instances that each use the whole budget.
	It("keeps seven instances together within one probe per second", func() {
		now := time.Unix(1_000_000, 0)
		var budgets []*target.ProbeBudget
		for range 7 {
			budgets = append(budgets, target.NewProbeBudget(1, 7))
		}
		sent := 0
		for step := range 70_000 {
			for _, b := range budgets {
				if b.Allow(now.Add(time.Duration(step) * time.Millisecond)) {
					sent++
				}
			}
		}
		Expect(sent).To(Equal(70))
	})
})
