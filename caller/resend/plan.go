// Package resend decides where a caller sends a request next, whether it may
// send it again, and under which key. It does no I/O and starts no goroutine;
// time and randomness are arguments.
//
// A non-idempotent request has a key, and only one incarnation of one instance
// may run that key, at most once. The Plan therefore takes a new key only when
// it is certain that no earlier copy of the request ran or will run:
//
//   - no copy under the present key has left the caller, or
//   - the product refused the present key as "not run", which is final.
//
// In every other case the request is sent again under the same key.
package resend

import (
	"fmt"
	"strings"
	"time"
)

// Kind tells whether a request may run more than once.
type Kind uint8

const (
	// Once is a request that must not run twice. It is sent with a key.
	Once Kind = iota
	// Idempotent is a request that may run any number of times.
	Idempotent
)

// Backoff before a resend: the first wait, doubled with each further resend up
// to the longest. A tenth of a second is well below interactive deadlines and
// long enough for an instance to lose its place in the directory after a few.
const (
	firstBackoff   = 10 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
)

// resendsAtOwner is how often a copy under the same key may be lost at the
// instance of its ticket before another instance is asked to forward it.
const resendsAtOwner = 2

// Random is the randomness a plan needs; *rand.Rand of math/rand/v2 has it.
type Random interface {
	Uint64() uint64
}

// Terms are the fixed properties of the request.
type Terms struct {
	Kind     Kind
	Deadline time.Time
	// MaxSends bounds the copies that may leave the caller. It also bounds the
	// number of times that all listed instances are tried in vain.
	MaxSends int
	// Zone is the caller's own availability zone.
	Zone string
	// Key is set when an earlier call already sent the request under it.
	Key string
}

// Event is what became of one copy.
type Event uint8

const (
	// EventAnswered means that a whole answer of a target came back.
	EventAnswered Event = iota + 1
	// EventNotSent means that certainly no byte of this copy left the caller.
	EventNotSent
	// EventLost means that bytes may have left and no whole answer came back.
	EventLost
	// EventNotRun is the outcome not-run.
	EventNotRun
	// EventUnknown is the outcome unknown.
	EventUnknown
	// EventTooOld is the outcome too-old.
	EventTooOld
	// EventCrashesTargets is the outcome crashes-targets.
	EventCrashesTargets
	// EventInvalid is the outcome invalid.
	EventInvalid
)

// Result describes the end of one copy.
type Result struct {
	Event      Event
	RetryAfter time.Duration
	// Replayed means that the outcome had been recorded earlier under the key.
	Replayed bool
	// SentBefore means that a lower layer had already written the same copy on
	// another connection before the one that gave this result.
	SentBefore bool
}

// Action is what the caller does next.
type Action uint8

const (
	// ActionSend means: send a copy to Step.Instance under Step.Key.
	ActionSend Action = iota + 1
	// ActionWait means: call Next again at Step.Until.
	ActionWait
	// ActionStop means: return Plan.Verdict to the caller.
	ActionStop
)

// Step is one decision.
type Step struct {
	Action   Action
	Instance *Instance
	Key      string // empty for idempotent requests
	Until    time.Time
	// Refresh asks for a new directory answer before the next decision, because
	// the listed instances refuse connections or their tickets have expired.
	Refresh bool
}

// Verdict is the end of the whole call.
type Verdict uint8

const (
	// VerdictOpen means that the call has not ended.
	VerdictOpen Verdict = iota
	// VerdictAnswered means that a whole answer came back.
	VerdictAnswered
	// VerdictNotRun means that the request certainly did not run.
	VerdictNotRun
	// VerdictUnreachable means that no copy left the caller.
	VerdictUnreachable
	// VerdictUnknown means that the request may have run.
	VerdictUnknown
	// VerdictTooOld means that the key has expired and an earlier copy may have
	// run.
	VerdictTooOld
	// VerdictCrashesTargets means that targets that ran the request went down.
	VerdictCrashesTargets
	// VerdictInvalid means that the request is malformed and was not sent on.
	VerdictInvalid
)

// Plan holds the state of one call. It is used by one goroutine at a time.
type Plan struct {
	terms Terms

	key        string
	owner      string // instance whose ticket is in key
	mayHaveRun bool   // a copy that is not settled as "not run" may have left
	lost       int    // copies lost under the present key

	sends     int
	rounds    int
	last      *Instance
	refused   map[string]bool // instance ids
	tried     map[string]bool // instance ids
	expired   map[string]bool // tickets
	notBefore time.Time
	refresh   bool
	verdict   Verdict
}

// New returns the plan of one call.
func New(terms Terms) *Plan {
	p := &Plan{
		terms:   terms,
		refused: map[string]bool{},
		tried:   map[string]bool{},
		expired: map[string]bool{},
	}
	if terms.Kind == Once && terms.Key != "" {
		p.key = terms.Key
		p.owner, _, _ = strings.Cut(terms.Key, ".")
		p.mayHaveRun = true
	}
	return p
}

// Verdict returns how the call ended.
func (p *Plan) Verdict() Verdict { return p.verdict }

// Key returns the present key; it is empty if the next copy takes a new one.
func (p *Plan) Key() string { return p.key }

// Sends returns how many copies may have left the caller.
func (p *Plan) Sends() int { return p.sends }

// Next decides what to do now, given the instances of the present directory.
func (p *Plan) Next(now time.Time, instances []*Instance, random Random) Step {
	refresh := p.refresh
	p.refresh = false
	switch {
	case p.verdict != VerdictOpen:
	case !now.Before(p.terms.Deadline), !p.notBefore.Before(p.terms.Deadline):
		p.Stop()
	case p.sends >= p.terms.MaxSends, p.rounds >= p.terms.MaxSends:
		p.Stop()
	case now.Before(p.notBefore):
		return Step{Action: ActionWait, Until: p.notBefore, Refresh: refresh}
	default:
		return p.send(now, instances, random)
	}
	return Step{Action: ActionStop}
}

// send picks an instance and, if there is none under the present key, a key.
func (p *Plan) send(now time.Time, instances []*Instance, random Random) Step {
	instance := p.pick(now, instances, random)
	if instance == nil {
		p.rounds++
		clear(p.refused)
		p.pause(now, 0, random)
		p.refresh = true
		return p.Next(now, instances, random)
	}
	if p.terms.Kind == Once && p.key == "" {
		p.owner = instance.ID
		p.lost = 0
		p.key = fmt.Sprintf("%s/%016x%016x", instance.Ticket, random.Uint64(), random.Uint64())
	}
	p.last = instance
	p.sends++
	return Step{Action: ActionSend, Instance: instance, Key: p.key}
}

// Record takes the result of the copy that the last step asked to send.
func (p *Plan) Record(now time.Time, result Result, random Random) {
	if p.verdict != VerdictOpen || p.last == nil {
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
		p.pause(now, 0, random)
	case EventNotRun:
		p.recordNotRun()
		p.pause(now, result.RetryAfter, random)
	case EventUnknown:
		p.recordUnknown(result)
		p.pause(now, result.RetryAfter, random)
	case EventTooOld:
		p.recordTooOld()
		p.pause(now, 0, random)
	case EventCrashesTargets:
		p.verdict = VerdictCrashesTargets
	case EventInvalid:
		p.verdict = VerdictInvalid
		if p.mayHaveRun {
			p.verdict = VerdictUnknown
		}
	}
}

// recordNotSent makes the next step go elsewhere at once. The key changes only
// if no earlier copy under it has left the caller.
func (p *Plan) recordNotSent() {
	p.sends--
	p.refused[p.last.ID] = true
	if !p.mayHaveRun {
		p.key = ""
	}
}

// recordNotRun gives up the key: the refusal settles all copies under it. The
// refusal of an idempotent copy, which has no key, says nothing about others.
func (p *Plan) recordNotRun() {
	p.tried[p.last.ID] = true
	if p.terms.Kind == Once {
		p.mayHaveRun = false
		p.key = ""
	}
}

// recordUnknown ends the call if the outcome recorded under the key is unknown,
// since it will not change.
func (p *Plan) recordUnknown(result Result) {
	p.tried[p.last.ID] = true
	p.mayHaveRun = true
	if p.terms.Kind == Once && result.Replayed {
		p.verdict = VerdictUnknown
	}
}

// recordTooOld gives up the ticket if this was the only copy under the key: it
// was not started, so the request did not run.
func (p *Plan) recordTooOld() {
	if p.mayHaveRun || p.terms.Kind == Idempotent {
		p.verdict = VerdictTooOld
		return
	}
	ticket, _, _ := strings.Cut(p.key, "/")
	p.expired[ticket] = true
	p.key = ""
	p.refresh = true
}

// Stop ends the call with what is known so far: at the deadline, after the last
// resend, or when the caller gives up.
func (p *Plan) Stop() {
	switch {
	case p.verdict != VerdictOpen:
	case p.mayHaveRun:
		p.verdict = VerdictUnknown
	case p.sends == 0:
		p.verdict = VerdictUnreachable
	default:
		p.verdict = VerdictNotRun
	}
}

// pause sets the earliest time of the next copy. Half of the backoff is random,
// so that callers that failed together do not come back together.
func (p *Plan) pause(now time.Time, retryAfter time.Duration, random Random) {
	backoff := longestBackoff
	if steps := p.sends + p.rounds - 1; steps < 6 {
		backoff = min(longestBackoff, firstBackoff<<max(0, steps))
	}
	half := backoff / 2
	jitter := time.Duration(random.Uint64() % uint64(half+1))
	p.notBefore = now.Add(max(retryAfter, half+jitter))
}
