// Package resend implements the retry policy of the caller library: to which
// instance a request is sent next, whether it may be sent again, and under
// which request key. The same request may be sent several times; each of these
// transmissions, including the first, is called a copy. The package does no I/O
// and starts no goroutines; the current time and the source of randomness are
// passed in.
//
// A non-idempotent request has a key. It begins with a ticket, a string that the
// directory, the list of instances, gives for each instance and that expires.
// Only one incarnation (one run of the process) of one instance, the owner of the
// ticket and the key, may execute the request under that key, and at most once. A
// Plan therefore switches to a new key only if no earlier copy of the request
// was or will be executed:
//
//   - no copy under the current key has left the caller, or
//   - the outcome of the current key is "not-run", which is final, or
//   - the ticket of the current key has expired, and the copy that was refused
//     for this reason is the only one that has left the caller.
//
// In all other cases the request is sent again under the same key.
package resend

import (
	"fmt"
	"strings"
	"time"
)

// Kind specifies whether a request may be executed more than once.
type Kind uint8

const (
	// AtMostOnce is a request that must not be executed twice. It is sent with
	// a request key.
	AtMostOnce Kind = iota
	// Idempotent is a request that may be executed any number of times. It is
	// sent without a key.
	Idempotent
)

// Bounds of the exponential backoff before a resend, which doubles each time.
// The first backoff is short, so that an interactive request can be resent several
// times before its deadline; after a few resends the backoff is long enough for a
// failed instance to be removed from the directory.
const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// maxLostBeforeForwarding is the number of copies that may be lost under the same
// key, at any instance, before further copies go to an instance other than the
// owner of the key, which forwards them to the owner.
const maxLostBeforeForwarding = 2

// Random is a source of random numbers, for example a *rand.Rand of
// math/rand/v2.
type Random interface {
	Uint64() uint64
}

// Terms are the parameters of one call, which do not change during the call.
type Terms struct {
	Kind     Kind
	Deadline time.Time
	// MaxSends is the maximum number of copies that may leave the caller. The
	// call also ends after this many times without a usable instance.
	MaxSends int
	// Zone is the caller's own availability zone.
	Zone string
	// Key is the request key of an earlier call that sent the same request. It
	// is empty if there was none.
	Key string
}

// Event classifies what the caller has learned about one copy: the response, that
// it was lost or not sent, or an outcome that the instance reported.
type Event uint8

const (
	// EventAnswered means that a target's complete response was received, or
	// that an instance reports that the target has answered but that it no
	// longer has the response.
	EventAnswered Event = iota + 1
	// EventNotSent means that no byte of this copy was written to a connection.
	EventNotSent
	// EventLost means that bytes of this copy may have been sent and no
	// complete response was received.
	EventLost
	// EventNotRun means that the instance reports not-run: this copy was not
	// executed. For a request with a key this holds for all copies under it.
	EventNotRun
	// EventUnknown means that the instance reports unknown: the request may have
	// been executed.
	EventUnknown
	// EventTooOld means that the instance reports too-old: it refused this copy
	// before execution, which says nothing about earlier copies.
	EventTooOld
	// EventCrashesTargets means that the instance reports crashes-targets: targets
	// crashed while they executed the request. It ends the call.
	EventCrashesTargets
	// EventInvalid means that the instance reports invalid: it rejected this copy
	// as malformed and forwarded it to no target. It ends the call.
	EventInvalid
)

// Result is an Event with the details that decide about the next copy.
type Result struct {
	Event Event
	// RetryAfter is the minimum delay before the next copy that the instance
	// asked for; 0 means none.
	RetryAfter time.Duration
	// Replayed means that the outcome was recorded for an earlier copy with the
	// same key.
	Replayed bool
	// SentBefore means that the HTTP transport may have retried this copy on a
	// second connection after it wrote to a first; the result comes from the last.
	SentBefore bool
}

// Action specifies what the caller does for a Step.
type Action uint8

const (
	// ActionSend means to send a copy to Step.Instance with Step.Key and to
	// pass the result to Plan.Record.
	ActionSend Action = iota + 1
	// ActionWait means to call Plan.Next again at Step.Until.
	ActionWait
	// ActionStop means that the call has ended with Plan.Verdict.
	ActionStop
)

// Step is the next action of a call, as decided by Plan.Next.
type Step struct {
	Action   Action
	Instance *Instance
	Key      string    // empty for idempotent requests
	Until    time.Time // end of the wait; only set for ActionWait
	// RefreshDirectory asks for a newer directory before the next step, because
	// the listed instances refuse connections or their tickets have expired.
	RefreshDirectory bool
}

// Verdict is the final result of a call.
type Verdict uint8

const (
	// VerdictPending means that the call has not ended.
	VerdictPending Verdict = iota
	// VerdictAnswered means that a target has answered the request.
	VerdictAnswered
	// VerdictNotRun means that the request was not executed and will not be.
	VerdictNotRun
	// VerdictUnreachable means that no copy left the caller: no instance was
	// reachable, or the deadline passed or the call was canceled first.
	VerdictUnreachable
	// VerdictUnknown means that the request may have been executed.
	VerdictUnknown
	// VerdictTooOld means that the key has expired and an earlier copy may have
	// been executed, or that an idempotent request was refused as too old.
	VerdictTooOld
	// VerdictCrashesTargets means that targets crashed while they executed the
	// request.
	VerdictCrashesTargets
	// VerdictInvalid means that an instance rejected the request as malformed
	// and forwarded it to no target.
	VerdictInvalid
)

// Plan holds the state of one call. It is not safe for concurrent use.
type Plan struct {
	terms Terms

	key        string
	owner      string // ID of the instance whose ticket is in key
	mayHaveRun bool   // an earlier copy may have been executed or may still be
	lost       int    // copies lost under the current key

	sends          int             // copies that may have left the caller
	failedRounds   int             // times that no listed instance was eligible
	last           *Instance       // instance of the latest copy
	unreachable    map[string]bool // IDs of instances to which nothing could be written
	tried          map[string]bool // IDs of instances that a copy was sent to without success
	expired        map[string]bool // expired tickets
	notBefore      time.Time       // earliest time of the next copy
	needsDirectory bool            // a newer directory is needed
	verdict        Verdict
}

// New returns the plan for one call.
func New(terms Terms) *Plan {
	p := &Plan{
		terms:       terms,
		unreachable: map[string]bool{},
		tried:       map[string]bool{},
		expired:     map[string]bool{},
	}
	if terms.Kind == AtMostOnce && terms.Key != "" {
		p.key = terms.Key
		p.owner, _, _ = strings.Cut(terms.Key, ".")
		p.mayHaveRun = true
	}
	return p
}

// Verdict returns the result of the call.
func (p *Plan) Verdict() Verdict { return p.verdict }

// Key returns the current request key. It is empty if the next copy gets a new
// one or if the request is idempotent.
func (p *Plan) Key() string { return p.key }

// Sends returns the number of copies that may have left the caller.
func (p *Plan) Sends() int { return p.sends }

// Next decides the next step, given the instances in the current directory, and
// changes the plan accordingly: it may generate a key, count a copy as sent,
// start a backoff or end the call.
func (p *Plan) Next(now time.Time, instances []*Instance, random Random) Step {
	needsDirectory := p.needsDirectory
	p.needsDirectory = false
	switch {
	case p.verdict != VerdictPending:
	case !now.Before(p.terms.Deadline), !p.notBefore.Before(p.terms.Deadline):
		p.Stop()
	case p.sends >= p.terms.MaxSends, p.failedRounds >= p.terms.MaxSends:
		p.Stop()
	case now.Before(p.notBefore):
		return Step{Action: ActionWait, Until: p.notBefore, RefreshDirectory: needsDirectory}
	default:
		step := p.planSend(now, instances, random)
		step.RefreshDirectory = step.RefreshDirectory || needsDirectory
		return step
	}
	return Step{Action: ActionStop}
}

// planSend selects an instance and generates a key if the request needs one and has
// none. If no instance is eligible it schedules a new round after a backoff.
func (p *Plan) planSend(now time.Time, instances []*Instance, random Random) Step {
	instance := p.pick(now, instances, random)
	if instance == nil {
		p.failedRounds++
		clear(p.unreachable)
		p.backOff(now, 0, random)
		p.needsDirectory = true
		return p.Next(now, instances, random)
	}
	if p.terms.Kind == AtMostOnce && p.key == "" {
		p.owner = instance.ID
		p.lost = 0
		p.key = fmt.Sprintf("%s/%016x%016x", instance.Ticket, random.Uint64(), random.Uint64())
	}
	p.last = instance
	p.sends++
	return Step{Action: ActionSend, Instance: instance, Key: p.key}
}

// Record updates the key, the backoff and the verdict with the result of the copy
// that the last step asked for.
func (p *Plan) Record(now time.Time, result Result, random Random) {
	if p.verdict != VerdictPending || p.last == nil {
		return
	}
	p.mayHaveRun = p.mayHaveRun || result.SentBefore
	switch result.Event {
	case EventAnswered:
		p.verdict = VerdictAnswered
	case EventNotSent:
		p.recordNotSent()
	case EventLost:
		p.tried[p.last.ID] = true
		p.mayHaveRun = true
		p.lost++
		p.backOff(now, 0, random)
	case EventNotRun:
		p.recordNotRun()
		p.backOff(now, result.RetryAfter, random)
	case EventUnknown:
		p.recordUnknown(result)
		p.backOff(now, result.RetryAfter, random)
	case EventTooOld:
		p.recordTooOld()
		p.backOff(now, 0, random)
	case EventCrashesTargets:
		p.verdict = VerdictCrashesTargets
	case EventInvalid:
		p.verdict = VerdictInvalid
		if p.mayHaveRun {
			p.verdict = VerdictUnknown
		}
	}
}

// recordNotSent makes the next step select another instance without backoff.
// The key changes only if no earlier copy under it has left the caller.
func (p *Plan) recordNotSent() {
	p.sends--
	p.unreachable[p.last.ID] = true
	if !p.mayHaveRun {
		p.key = ""
	}
}

// recordNotRun discards the key, since the outcome "not-run" is final for all
// copies under it. Copies of an idempotent request have no key, so "not-run"
// for one says nothing about the others.
func (p *Plan) recordNotRun() {
	p.tried[p.last.ID] = true
	if p.terms.Kind == AtMostOnce {
		p.mayHaveRun = false
		p.key = ""
	}
}

// recordUnknown ends the call if the outcome "unknown" is recorded under the
// key, since a recorded outcome does not change.
func (p *Plan) recordUnknown(result Result) {
	p.tried[p.last.ID] = true
	p.mayHaveRun = true
	if p.terms.Kind == AtMostOnce && result.Replayed {
		p.verdict = VerdictUnknown
	}
}

// recordTooOld marks the ticket as expired and drops the key if no other copy may
// have been executed: this copy was refused before execution, so the request has
// not been executed. Otherwise, and for an idempotent request, it ends the call.
func (p *Plan) recordTooOld() {
	if p.mayHaveRun || p.terms.Kind == Idempotent {
		p.verdict = VerdictTooOld
		return
	}
	ticket, _, _ := strings.Cut(p.key, "/")
	p.expired[ticket] = true
	p.key = ""
	p.needsDirectory = true
}

// Stop ends the call with the result known so far. It is used at the deadline,
// after the last resend, and when the call is canceled.
func (p *Plan) Stop() {
	switch {
	case p.verdict != VerdictPending:
	case p.mayHaveRun:
		p.verdict = VerdictUnknown
	case p.sends == 0:
		p.verdict = VerdictUnreachable
	default:
		p.verdict = VerdictNotRun
	}
}

// backOff sets the earliest time of the next copy: after a random time from half
// to all of the backoff, so that callers whose requests failed together do not
// retry together, or after retryAfter, without jitter, if that is longer. From
// 6 doublings on, initialBackoff exceeds maxBackoff: it would be 640 ms.
func (p *Plan) backOff(now time.Time, retryAfter time.Duration, random Random) {
	backoff := maxBackoff
	if doublings := p.sends + p.failedRounds - 1; doublings < 6 {
		backoff = min(maxBackoff, initialBackoff<<max(0, doublings))
	}
	half := backoff / 2
	jitter := time.Duration(random.Uint64() % uint64(half+1))
	p.notBefore = now.Add(max(retryAfter, half+jitter))
}
