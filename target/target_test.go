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

	// Guards against a target that is sent to before anything is known about it.
	It("admits nothing while cold without a lease", func() {
		Expect(t.Transition(1, target.StateCold, 4)).To(BeTrue())
		_, ok := t.Admit(now)
		Expect(ok).To(BeFalse())
		t.Lease(now.Add(time.Second))
		_, ok = t.Admit(now)
		Expect(ok).To(BeTrue())
	})

	// Guards against "load, compare, add" admission, which overshoots the limit
	// when many goroutines race.
	It("never admits more than the limit", func() {
		t.Transition(1, target.StateWarm, 4)
		var inFlight, most atomic.Int32
		var group sync.WaitGroup
		for range 16 {
			group.Go(func() {
				for range 2000 {
					permit, ok := t.Admit(now)
					if !ok {
						continue
					}
					count := inFlight.Add(1)
					for old := most.Load(); count > old && !most.CompareAndSwap(old, count); old = most.Load() {
					}
					inFlight.Add(-1)
					permit.Release()
				}
			})
		}
		group.Wait()
		Expect(most.Load()).To(BeNumerically("<=", 4))
		Expect(t.InFlight()).To(BeZero())
	})

	// Guards against requests of other instances that are noticed only with their
	// next heartbeat, and against a server that reports an impossible load.
	It("takes the load of others from the answers of the server", func() {
		t.Transition(1, target.StateWarm, 4)
		idle := t.ExpectedDelay(now)
		_, _ = t.Admit(now)
		_, _ = t.Admit(now)
		t.ReportServer(now, 1)
		Expect(t.ExpectedDelay(now)).To(Equal(idle), "the request inside is this instance's other one")
		t.ReportServer(now.Add(time.Second), 8)
		Expect(t.ExpectedDelay(now.Add(time.Second))).To(BeNumerically("~", idle*10/4, idle/100))
		for i := range 20 {
			t.ReportServer(now.Add(time.Duration(2+i)*time.Second), 1<<30)
		}
		Expect(t.ExpectedDelay(now.Add(21 * time.Second))).To(BeNumerically("<=", idle*34/4))
		before := t.ExpectedDelay(now.Add(21 * time.Second))
		t.ReportServer(now.Add(21*time.Second), -1)
		Expect(t.ExpectedDelay(now.Add(21 * time.Second))).To(Equal(before))
	})

	// Guards against a restart that is noticed after a request was admitted: the
	// request must not go to the new, cold process.
	It("takes back permits of the old process at a restart", func() {
		t.Transition(1, target.StateWarm, 4)
		permit, _ := t.Admit(now)
		Expect(permit.MaySend(now)).To(BeTrue())
		Expect(t.Restarted(1)).To(BeTrue())
		Expect(permit.MaySend(now)).To(BeFalse())
		Expect(t.InFlight()).To(BeZero())
		permit.Release()
		Expect(t.InFlight()).To(BeZero())
	})

	// Guards against a warm-up step that overtakes the news of a drain.
	It("stays leaving until its process ends", func() {
		Expect(t.Transition(1, target.StateLeaving, 0)).To(BeTrue())
		Expect(t.Transition(1, target.StateWarm, 4)).To(BeFalse())
		_, ok := t.Admit(now)
		Expect(ok).To(BeFalse())
		t.Restarted(1)
		Expect(t.Transition(2, target.StateWarm, 4)).To(BeTrue())
	})

	// Guards against two reports of one restart making the new process cold twice.
	It("counts one restart once", func() {
		Expect(t.Restarted(1)).To(BeTrue())
		Expect(t.Restarted(1)).To(BeFalse())
	})

	// Guards against a holder that was paused between admission and the write.
	It("forbids sending to a cold target after the lease", func() {
		t.Transition(1, target.StateCold, 1)
		t.Lease(now.Add(time.Second))
		permit, ok := t.Admit(now)
		Expect(ok).To(BeTrue())
		Expect(permit.MaySend(now.Add(999 * time.Millisecond))).To(BeTrue())
		Expect(permit.MaySend(now.Add(time.Second))).To(BeFalse())
	})

	// Guards against a target that fails fast and therefore looks idle.
	It("pauses longer after each consecutive failure", func() {
		t.Transition(1, target.StateWarm, 4)
		t.Failed(now)
		Expect(t.Admits(now.Add(49 * time.Millisecond))).To(BeFalse())
		Expect(t.Admits(now.Add(50 * time.Millisecond))).To(BeTrue())
		second := now.Add(50 * time.Millisecond)
		t.Failed(second)
		Expect(t.Admits(second.Add(99 * time.Millisecond))).To(BeFalse())
		Expect(t.Admits(second.Add(100 * time.Millisecond))).To(BeTrue())
		t.Answered(time.Millisecond)
		third := second.Add(100 * time.Millisecond)
		t.Failed(third)
		Expect(t.Admits(third.Add(49 * time.Millisecond))).To(BeFalse())
		Expect(t.Admits(third.Add(50 * time.Millisecond))).To(BeTrue())
	})

	// Guards against a restart that left a connection open in between.
	It("takes a second boot id within a generation for a restart", func() {
		Expect(t.SawBootID(1, "a")).To(BeTrue())
		Expect(t.SawBootID(1, "a")).To(BeTrue())
		Expect(t.SawBootID(1, "b")).To(BeFalse())
		_, generation := t.State()
		Expect(generation).To(BeNumerically("==", 2))
		Expect(t.SawBootID(2, "b")).To(BeTrue())
		Expect(t.SawBootID(1, "a")).To(BeTrue(), "a late answer of the old process is no news")
	})

	// Guards against a cold start of a server that only lost its connections.
	It("resumes only the process that the generation before stood for", func() {
		t.Transition(1, target.StateWarm, 4)
		t.SawBootID(1, "a")
		t.Restarted(1)
		Expect(t.Resume(2, "b")).To(BeFalse())
		Expect(t.Resume(2, "")).To(BeFalse())
		Expect(t.Resume(2, "a")).To(BeTrue())
		state, _ := t.State()
		Expect(state).To(Equal(target.StateWarm))
		Expect(t.Limit()).To(Equal(4))

		t.Restarted(2)
		Expect(t.Resume(3, "a")).To(BeFalse(), "no answer of generation 2 named its process")
	})
})

var _ = Describe("Warmup", func() {
	now := time.Unix(1_000_000, 0)
	terms := target.ColdTerms{Bears: 1, Duration: 2 * time.Second, Answers: 3, MaxInstances: 7}
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
			t.Answered(time.Millisecond)
		}
	}

	// Guards against seven instances that each send one request to a server that
	// bears one.
	It("gives nothing without the lease where the share is below one", func() {
		w.Step(now, false)
		Expect(t.Limit()).To(BeZero())
		w.Step(now, true)
		Expect(t.Limit()).To(Equal(1))
	})

	// Guards against a ramp by time alone, or by answers alone.
	It("stays cold until the duration has passed and enough answers came", func() {
		w.Step(now, true)
		answers(10)
		w.Step(now.Add(1999*time.Millisecond), true)
		state, _ := t.State()
		Expect(state).To(Equal(target.StateCold))
		w.Step(now.Add(2*time.Second), true)
		state, _ = t.State()
		Expect(state).To(Equal(target.StateWarming))
	})

	It("doubles the limit with each window of answers up to the links", func() {
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

	// Guards against the ramp of the old process going on after a restart.
	It("starts again after a restart", func() {
		w.ProvedWarm()
		t.Restarted(1)
		answers(10)
		w.Step(now.Add(time.Minute), true)
		Expect(t.Limit()).To(BeZero())
	})
})

var _ = Describe("ProbeBudget", func() {
	// Guards against a budget that each instance spends in full.
	It("keeps seven instances together within one probe a second", func() {
		now := time.Unix(1_000_000, 0)
		var budgets []*target.ProbeBudget
		for range 7 {
			budgets = append(budgets, target.NewProbeBudget(1, 7))
		}
		sent := 0
		for step := range 70_000 {
			for _, b := range budgets {
				if b.Take(now.Add(time.Duration(step) * time.Millisecond)) {
					sent++
				}
			}
		}
		Expect(sent).To(Equal(70))
	})
})
