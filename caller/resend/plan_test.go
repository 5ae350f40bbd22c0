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

// recordedOutcome is the outcome that the owner of a key has recorded under it.
type recordedOutcome uint8

const (
	notRecorded recordedOutcome = iota
	executed
	refused
	outcomeUnknown
)

// delayedCopy is a copy that is still in transit when the caller considers it
// lost.
type delayedCopy struct{ key string }

// protocolModel simulates instances that follow the protocol: only the owner of
// a ticket executes its keys, each at most once, and a recorded refusal is
// final.
type protocolModel struct {
	t          *rapid.T
	ledger     map[string]recordedOutcome
	expired    map[string]bool // tickets
	delayed    []delayedCopy
	executions int
}

// deliver delivers a copy to the owner of its key and returns the owner's
// result.
func (m *protocolModel) deliver(key string) resend.Result {
	ticket, _, _ := strings.Cut(key, "/")
	if m.expired[ticket] {
		return resend.Result{Event: resend.EventTooOld}
	}
	recorded, replayed := m.ledger[key]
	if !replayed {
		recorded = rapid.SampledFrom([]recordedOutcome{executed, refused, outcomeUnknown}).Draw(m.t, "settlement")
		m.ledger[key] = recorded
		if recorded != refused {
			m.executions++
		}
	}
	event := map[recordedOutcome]resend.Event{
		executed: resend.EventAnswered, refused: resend.EventNotRun, outcomeUnknown: resend.EventUnknown,
	}[recorded]
	return resend.Result{Event: event, Replayed: replayed}
}

// deliverDelayed delivers copies that the caller considers lost: all of them,
// or a number that rapid draws.
func (m *protocolModel) deliverDelayed(all bool) {
	for len(m.delayed) > 0 && (all || rapid.Bool().Draw(m.t, "deliver")) {
		m.deliver(m.delayed[0].key)
		m.delayed = m.delayed[1:]
	}
}

// send sends one copy and simulates a fault of the network or of an instance.
func (m *protocolModel) send(key string) resend.Result {
	switch rapid.SampledFrom([]string{"refused", "lost", "delayed", "answer lost", "arrives", "arrives", "arrives twice", "owner unreachable", "expires"}).Draw(m.t, "fault") {
	case "refused":
		return resend.Result{Event: resend.EventNotSent}
	case "lost":
		return resend.Result{Event: resend.EventLost}
	case "delayed":
		m.delayed = append(m.delayed, delayedCopy{key})
		return resend.Result{Event: resend.EventLost}
	case "answer lost":
		m.deliver(key)
		return resend.Result{Event: resend.EventLost}
	case "arrives twice": // net/http resends on a fresh connection
		m.deliver(key)
		if rapid.Bool().Draw(m.t, "expires between") {
			ticket, _, _ := strings.Cut(key, "/")
			m.expired[ticket] = true
		}
		result := m.deliver(key)
		result.SentBefore = true
		return result
	case "owner unreachable":
		return resend.Result{Event: resend.EventUnknown}
	case "expires":
		ticket, _, _ := strings.Cut(key, "/")
		m.expired[ticket] = true
	}
	return m.deliver(key)
}

// raiseRapidChecks raises the number of rapid test cases from the default of
// 100 to 5000, since the faults of interest need three or four events in a
// certain order.
func raiseRapidChecks(t *testing.T) {
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

// Guards against a non-idempotent request that is executed twice, the verdict
// "not run" for a request that is executed sooner or later, and the verdict
// "answered" for a request that is not, when copies and answers are lost,
// delayed, duplicated or refused and tickets expire.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	raiseRapidChecks(t)
	rapid.Check(t, func(t *rapid.T) {
		instances := drawInstances(t)
		m := &protocolModel{t: t, ledger: map[string]recordedOutcome{}, expired: map[string]bool{}}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		terms := resend.Terms{Deadline: start.Add(time.Minute), MaxSends: rapid.IntRange(1, 6).Draw(t, "max"), Zone: "az-1"}
		plan := resend.New(terms)
		now, sent := start, 0
		for steps := 0; ; steps++ {
			if steps > 200 {
				t.Fatalf("the plan has not stopped after %d steps", steps)
			}
			step := plan.Next(now, instances, random)
			if step.Action == resend.ActionStop {
				break
			}
			if step.Action == resend.ActionWait {
				now = step.Until
				m.deliverDelayed(false)
				continue
			}
			result := m.send(step.Key)
			if result.Event != resend.EventNotSent {
				sent++
			}
			plan.Record(now, result, random)
		}
		m.deliverDelayed(true)
		if m.executions > 1 {
			t.Fatalf("the request was executed %d times, want at most 1", m.executions)
		}
		if sent > terms.MaxSends {
			t.Fatalf("%d copies were sent, want at most %d", sent, terms.MaxSends)
		}
		checkVerdict(t, plan.Verdict(), m.executions, sent)
	})
}

func checkVerdict(t *rapid.T, verdict resend.Verdict, executions, sent int) {
	switch verdict {
	case resend.VerdictAnswered:
		if executions != 1 {
			t.Fatalf("verdict answered, but the request was executed %d times, want 1", executions)
		}
	case resend.VerdictNotRun:
		if executions != 0 {
			t.Fatalf("verdict not run, but the request was executed %d times", executions)
		}
	case resend.VerdictUnreachable:
		if sent != 0 {
			t.Fatalf("verdict unreachable, but %d copies were sent", sent)
		}
	case resend.VerdictUnknown, resend.VerdictTooOld:
	default:
		t.Fatalf("unexpected verdict %d", verdict)
	}
}

// Guards against copies that are sent after the deadline or before a
// retry-after has passed, for both kinds of requests.
func TestSendTimesRespectDeadlineAndRetryAfter(t *testing.T) {
	raiseRapidChecks(t)
	rapid.Check(t, func(t *rapid.T) {
		instances := drawInstances(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		kind := rapid.SampledFrom([]resend.Kind{resend.AtMostOnce, resend.Idempotent}).Draw(t, "kind")
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
					t.Fatalf("wait from %v until %v is not between now and the deadline %v", now, step.Until, deadline)
				}
				now = step.Until
				continue
			}
			if !now.Before(deadline) || now.Before(earliest) {
				t.Fatalf("copy sent at %v, want from %v until before the deadline %v", now, earliest, deadline)
			}
			if (step.Key == "") != (kind == resend.Idempotent) {
				t.Fatalf("request of kind %d is sent with key %q; only kind %d has a key", kind, step.Key, resend.AtMostOnce)
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

	// Guards against sending all requests to one instance of the zone.
	It("spreads new requests over the instances of its own zone", func() {
		counts := map[string]int{}
		for range 1000 {
			counts[plan(resend.AtMostOnce).Next(start, all, random).Instance.ID]++
		}
		Expect(counts["far"]).To(BeZero())
		Expect(counts["own"]).To(BeNumerically("~", 500, 100))
	})

	// Guards against switching to a new key when a copy with the old key may
	// have been sent.
	It("keeps the key when an instance refuses the connection after a lost copy", func() {
		now, p := start, plan(resend.AtMostOnce)
		first := sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventLost}, random)
		second := sendNext(p, &now)
		Expect(second.Instance).To(Equal(first.Instance), "a resend must go to the owner of the key")
		p.Record(now, resend.Result{Event: resend.EventNotSent}, random)
		third := sendNext(p, &now)
		Expect(third.Key).To(Equal(first.Key))
		Expect(third.Instance).NotTo(Equal(first.Instance))
	})

	// Guards against resending to instances of an old directory: the request for a
	// newer one was dropped if the backoff was already over.
	It("asks for a newer directory with the next copy if the backoff is over", func() {
		now, p := start, plan(resend.AtMostOnce)
		sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventTooOld}, random)
		step := p.Next(now.Add(time.Minute/2), all, random)
		Expect(step.Action).To(Equal(resend.ActionSend))
		Expect(step.RefreshDirectory).To(BeTrue())
	})

	// Guards against a backoff, or a resend to the same instance, when an
	// instance cannot be connected to.
	It("tries another instance immediately, with a new key, if nothing was sent", func() {
		p := plan(resend.AtMostOnce)
		first := p.Next(start, all, random)
		p.Record(start, resend.Result{Event: resend.EventNotSent}, random)
		second := p.Next(start, all, random)
		Expect(second.Action).To(Equal(resend.ActionSend))
		Expect(second.Instance).NotTo(Equal(first.Instance))
		Expect(second.Key).To(HavePrefix(second.Instance.Ticket + "/"))
	})

	// Guards against "not run" for an idempotent request that may have been
	// executed by an earlier copy.
	It("reports an idempotent request as unknown if only its last copy was refused", func() {
		now, p := start, plan(resend.Idempotent)
		sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventLost}, random)
		sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventNotRun, RetryAfter: time.Hour}, random)
		Expect(sendNext(p, &now).Action).To(Equal(resend.ActionStop))
		Expect(p.Verdict()).To(Equal(resend.VerdictUnknown))
	})

	// Guards against resends although a recorded outcome never changes.
	It("stops when the outcome recorded under the key is unknown", func() {
		now, p := start, plan(resend.AtMostOnce)
		sendNext(p, &now)
		p.Record(now, resend.Result{Event: resend.EventUnknown, Replayed: true}, random)
		Expect(p.Next(now, all, random).Action).To(Equal(resend.ActionStop))
		Expect(p.Verdict()).To(Equal(resend.VerdictUnknown))
	})

	// Guards against a new key for a request that an earlier call may have had
	// executed.
	It("keeps a key given by the caller while its outcome is unknown", func() {
		key := "own.00000000000000aa.1/earlier"
		now := start
		p := resend.New(resend.Terms{Deadline: start.Add(time.Minute), MaxSends: 4, Key: key})
		for _, event := range []resend.Event{resend.EventNotSent, resend.EventLost, resend.EventUnknown, resend.EventLost} {
			Expect(sendNext(p, &now).Key).To(Equal(key))
			p.Record(now, resend.Result{Event: event}, random)
		}
	})
})
