package resend_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/caller/resend"
)

// settlement is what the owner of a key has recorded under it.
type settlement uint8

const (
	unseen settlement = iota
	ran
	refusedForGood
	ranOutcomeUnknown
)

// copySent is a copy that is still on its way when the caller has given it up.
type copySent struct{ key string }

// world models instances that keep the protocol: only the owner of a ticket
// runs its keys, each at most once, and a recorded refusal is final.
type world struct {
	t       *rapid.T
	ledger  map[string]settlement
	expired map[string]bool // tickets
	delayed []copySent
	effects int
}

// arrive lets a copy reach the owner of its key and returns what it answers.
func (w *world) arrive(key string) resend.Result {
	ticket, _, _ := strings.Cut(key, "/")
	if w.expired[ticket] {
		return resend.Result{Event: resend.EventTooOld}
	}
	recorded, replayed := w.ledger[key]
	if !replayed {
		recorded = rapid.SampledFrom([]settlement{ran, refusedForGood, ranOutcomeUnknown}).Draw(w.t, "settlement")
		w.ledger[key] = recorded
		if recorded != refusedForGood {
			w.effects++
		}
	}
	event := map[settlement]resend.Event{
		ran: resend.EventAnswered, refusedForGood: resend.EventNotRun, ranOutcomeUnknown: resend.EventUnknown,
	}[recorded]
	return resend.Result{Event: event, Replayed: replayed}
}

// deliverDelayed lets copies arrive that the caller has given up as lost.
func (w *world) deliverDelayed(all bool) {
	for len(w.delayed) > 0 && (all || rapid.Bool().Draw(w.t, "deliver")) {
		w.arrive(w.delayed[0].key)
		w.delayed = w.delayed[1:]
	}
}

// send carries one copy with the faults that a network and instances can add.
func (w *world) send(key string) resend.Result {
	switch rapid.SampledFrom([]string{"refused", "lost", "delayed", "answer lost", "arrives", "arrives", "arrives twice", "owner gone", "expires"}).Draw(w.t, "fault") {
	case "refused":
		return resend.Result{Event: resend.EventNotSent}
	case "lost":
		return resend.Result{Event: resend.EventLost}
	case "delayed":
		w.delayed = append(w.delayed, copySent{key})
		return resend.Result{Event: resend.EventLost}
	case "answer lost":
		w.arrive(key)
		return resend.Result{Event: resend.EventLost}
	case "arrives twice": // net/http resends on a fresh connection
		w.arrive(key)
		if rapid.Bool().Draw(w.t, "expires between") {
			ticket, _, _ := strings.Cut(key, "/")
			w.expired[ticket] = true
		}
		result := w.arrive(key)
		result.SentBefore = true
		return result
	case "owner gone":
		return resend.Result{Event: resend.EventUnknown}
	case "expires":
		ticket, _, _ := strings.Cut(key, "/")
		w.expired[ticket] = true
	}
	return w.arrive(key)
}

// raiseChecks makes rapid try more cases than its default of 100, since the
// faults that matter need three or four events in a certain order.
func raiseChecks(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	if checks.Value.String() != checks.DefValue {
		return // set on the command line
	}
	if err := checks.Value.Set("5000"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = checks.Value.Set(checks.DefValue) })
}

func drawInstances(t *rapid.T) []*resend.Instance {
	var instances []*resend.Instance
	for n := range rapid.IntRange(1, 7).Draw(t, "instances") {
		instances = append(instances, &resend.Instance{
			ID: fmt.Sprintf("entry-%d", n), Zone: fmt.Sprintf("az-%d", n%3),
			Ticket: fmt.Sprintf("entry-%d.00000000000000aa.1", n),
		})
	}
	return instances
}

var start = time.Unix(1_000_000, 0)

// Guards against a non-idempotent request that runs twice, a "not run" verdict
// for a request that ran or runs later, and an answer to a request that did not
// run, whatever is lost, delayed, duplicated, refused or expired.
func TestOnceRunsAtMostOnce(t *testing.T) {
	raiseChecks(t)
	rapid.Check(t, func(t *rapid.T) {
		instances := drawInstances(t)
		w := &world{t: t, ledger: map[string]settlement{}, expired: map[string]bool{}}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		terms := resend.Terms{Deadline: start.Add(time.Minute), MaxSends: rapid.IntRange(1, 6).Draw(t, "max"), Zone: "az-1"}
		plan := resend.New(terms)
		now, left := start, 0
		for steps := 0; ; steps++ {
			if steps > 200 {
				t.Fatal("the plan does not end")
			}
			step := plan.Next(now, instances, random)
			if step.Action == resend.ActionStop {
				break
			}
			if step.Action == resend.ActionWait {
				now = step.Until
				w.deliverDelayed(false)
				continue
			}
			result := w.send(step.Key)
			if result.Event != resend.EventNotSent {
				left++
			}
			plan.Record(now, result, random)
		}
		w.deliverDelayed(true)
		if w.effects > 1 {
			t.Fatalf("the request ran %d times", w.effects)
		}
		if left > terms.MaxSends {
			t.Fatalf("%d copies left, %d allowed", left, terms.MaxSends)
		}
		checkVerdict(t, plan.Verdict(), w.effects, left)
	})
}

func checkVerdict(t *rapid.T, verdict resend.Verdict, effects, left int) {
	switch verdict {
	case resend.VerdictAnswered:
		if effects != 1 {
			t.Fatalf("answered, but ran %d times", effects)
		}
	case resend.VerdictNotRun:
		if effects != 0 {
			t.Fatal("reported as not run, but ran")
		}
	case resend.VerdictUnreachable:
		if left != 0 {
			t.Fatalf("reported as unreachable after %d copies", left)
		}
	case resend.VerdictUnknown, resend.VerdictTooOld:
	default:
		t.Fatalf("unexpected verdict %d", verdict)
	}
}

// Guards against copies that leave after the deadline or before the time that
// a retry-after names, for both kinds of requests.
func TestTimesAreKept(t *testing.T) {
	raiseChecks(t)
	rapid.Check(t, func(t *rapid.T) {
		instances := drawInstances(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		kind := rapid.SampledFrom([]resend.Kind{resend.Once, resend.Idempotent}).Draw(t, "kind")
		deadline := start.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond)
		plan := resend.New(resend.Terms{Kind: kind, Deadline: deadline, MaxSends: 5})
		now, earliest := start, start
		for {
			step := plan.Next(now, instances, random)
			if step.Action == resend.ActionStop {
				return
			}
			if step.Action == resend.ActionWait {
				if !step.Until.After(now) || !step.Until.Before(deadline) {
					t.Fatalf("waits from %v until %v with deadline %v", now, step.Until, deadline)
				}
				now = step.Until
				continue
			}
			if !now.Before(deadline) || now.Before(earliest) {
				t.Fatalf("sends at %v, earliest %v, deadline %v", now, earliest, deadline)
			}
			if (step.Key == "") != (kind == resend.Idempotent) {
				t.Fatalf("kind %d has key %q", kind, step.Key)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "took")) * time.Millisecond)
			event := rapid.SampledFrom([]resend.Event{resend.EventNotRun, resend.EventUnknown, resend.EventLost, resend.EventNotSent}).Draw(t, "event")
			result := resend.Result{Event: event}
			if event == resend.EventNotRun {
				result.RetryAfter = time.Duration(rapid.IntRange(0, 500).Draw(t, "retry after")) * time.Millisecond
				earliest = now.Add(result.RetryAfter)
			}
			plan.Record(now, result, random)
		}
	})
}

var _ = Describe("Plan", func() {
	var random *rand.Rand
	var own, near, far *resend.Instance
	var all []*resend.Instance

	BeforeEach(func() {
		random = rand.New(rand.NewPCG(1, 1))
		own = &resend.Instance{ID: "own", Zone: "az-1", Ticket: "own.00000000000000aa.1"}
		near = &resend.Instance{ID: "near", Zone: "az-1", Ticket: "near.00000000000000bb.1"}
		far = &resend.Instance{ID: "far", Zone: "az-2", Ticket: "far.00000000000000cc.1"}
		all = []*resend.Instance{own, near, far}
	})

	plan := func(kind resend.Kind) *resend.Plan {
		return resend.New(resend.Terms{Kind: kind, Deadline: start.Add(time.Minute), MaxSends: 4, Zone: "az-1"})
	}
	sendNext := func(p *resend.Plan, now *time.Time) resend.Step {
		for {
			step := p.Next(*now, all, random)
			if step.Action != resend.ActionWait {
				return step
			}
			*now = step.Until
		}
	}

	// Guards against one instance of the zone that gets all requests.
	It("spreads new requests over the instances of the own zone", func() {
		counts := map[string]int{}
		for range 1000 {
			counts[plan(resend.Once).Next(start, all, random).Instance.ID]++
		}
		Expect(counts["far"]).To(BeZero())
		Expect(counts["own"]).To(BeNumerically("~", 500, 100))
	})

	// Guards against a new key after a copy under the old one may have left.
	It("keeps the key when an instance refuses the connection after a lost copy", func() {
		now, p := start, plan(resend.Once)
		first := sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventLost}, random)
		second := sendNext(p, &now)
		Expect(second.Instance).To(Equal(first.Instance), "a resend goes to the owner of the key")
		p.Record(now, resend.Result{Event: resend.EventNotSent}, random)
		third := sendNext(p, &now)
		Expect(third.Key).To(Equal(first.Key))
		Expect(third.Instance).NotTo(Equal(first.Instance))
	})

	// Guards against a wait for an instance that is gone.
	It("goes to another instance at once, under a new key, if nothing was sent", func() {
		p := plan(resend.Once)
		first := p.Next(start, all, random)
		p.Record(start, resend.Result{Event: resend.EventNotSent}, random)
		second := p.Next(start, all, random)
		Expect(second.Action).To(Equal(resend.ActionSend))
		Expect(second.Instance).NotTo(Equal(first.Instance))
		Expect(second.Key).To(HavePrefix(second.Instance.Ticket + "/"))
	})

	// Guards against "not run" for an idempotent request of which another copy
	// may have run.
	It("reports an idempotent request as unknown if only its last copy was refused", func() {
		now, p := start, plan(resend.Idempotent)
		sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventLost}, random)
		sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventNotRun, RetryAfter: time.Hour}, random)
		Expect(sendNext(p, &now).Action).To(Equal(resend.ActionStop))
		Expect(p.Verdict()).To(Equal(resend.VerdictUnknown))
	})

	// Guards against resends that wait for a recorded outcome to change.
	It("stops when the outcome recorded under the key is unknown", func() {
		now, p := start, plan(resend.Once)
		sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventUnknown, Replayed: true}, random)
		Expect(p.Next(now, all, random).Action).To(Equal(resend.ActionStop))
		Expect(p.Verdict()).To(Equal(resend.VerdictUnknown))
	})

	// Guards against a new key for work that an earlier call may have started.
	It("never leaves a key given by the caller while its outcome is open", func() {
		key := "own.00000000000000aa.1/earlier"
		now := start
		p := resend.New(resend.Terms{Deadline: start.Add(time.Minute), MaxSends: 4, Key: key})
		for _, event := range []resend.Event{resend.EventNotSent, resend.EventLost, resend.EventUnknown, resend.EventLost} {
			Expect(sendNext(p, &now).Key).To(Equal(key))
			p.Record(now, resend.Result{Event: event}, random)
		}
	})
})
