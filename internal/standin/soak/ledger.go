package soak

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the users' rules that the soak checks.
const (
	touch         = 3 * time.Second // an instance is excused for as long after a fault
	drainBound    = 2 * time.Second
	evacuateBound = 5 * time.Second
	configBound   = 2 * time.Second
	coldPerSecond = coldRate*1.5 + 5
	// lossSlack is the time after its last byte in which a request may cross the
	// end of its connection.
	lossSlack = 200 * time.Millisecond
	// directoryBound is how long a directory may name an instance that has ended.
	directoryBound = touch + 3*time.Second
	// lateAnswer is how long after its deadline a request may be without an answer.
	lateAnswer = time.Second
)

// request is one that a caller sent.
type request struct {
	id, path, content string
	service           string
	once              bool // must not run twice
	sent              time.Time
	instance          *instance
	runs              int
	refused           bool // answered as not run
}

// ledger holds what callers sent and what targets ran, and checks one against the
// other. It is safe for concurrent use.
type ledger struct {
	mu                  sync.Mutex
	requests            map[string]*request
	leftAt              map[*target]time.Time // when the store acknowledged that a target leaves
	evacuated           map[string]time.Time
	removed             map[string]time.Time // routes that the operator removed
	lastSecond          map[*target][]time.Time
	storeDisturbedUntil time.Time // faults of the store show until then
	stalled             time.Time // when this machine last gave no time to the soak
	violations          []string
	counts              map[string]int
}

func newLedger() *ledger {
	return &ledger{
		requests: map[string]*request{}, leftAt: map[*target]time.Time{}, evacuated: map[string]time.Time{},
		removed: map[string]time.Time{}, lastSecond: map[*target][]time.Time{}, counts: map[string]int{},
	}
}

func (l *ledger) violate(rule, format string, args ...any) {
	l.violations = append(l.violations, rule+": "+fmt.Sprintf(format, args...))
}

// sends records a request before it leaves its caller.
func (l *ledger) sends(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// boundsApply tells whether rules with a time bound hold for an instance. The caller
// holds the mutex.
func (l *ledger) boundsApply(i *instance, now time.Time) bool {
	since := now.Add(-touch)
	return l.storeDisturbedUntil.Before(since) && l.stalled.Before(since) && i.inTouch(now, touch)
}

// ran records that a target runs a request.
func (l *ledger) ran(a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[a.id]
	if r == nil {
		l.violate("UNASKED", "target %s runs %q, which nobody sent", a.target.id, a.id)
		return
	}
	r.runs++
	if r.content != a.content {
		l.violate("UNASKED", "target %s runs %s %s with other content", a.target.id, a.id, r.path)
	}
	if r.service != a.target.service {
		l.violate("ROUTE", "%s for %s runs at %s of %s", a.id, r.service, a.target.id, a.target.service)
	}
	if r.once && r.runs > 1 {
		l.violate("TWICE", "%s ran %d times, last at %s", a.id, r.runs, a.target.id)
	}
	if r.once && r.refused {
		l.violate("REFUSED", "%s runs at %s after it was refused", a.id, a.target.id)
	}
	l.checkBounds(a, r)
}

// checkBounds checks the rules with a time bound. The caller holds the mutex.
func (l *ledger) checkBounds(a *arrival, r *request) {
	bounded := l.boundsApply(r.instance, a.at)
	if bounded {
		l.counts["judged by time"]++
	}
	if left, leaves := l.leftAt[a.target]; leaves && bounded && a.at.Sub(left) > drainBound {
		l.violate("DRAIN", "%s reaches %s %v after it began to leave, from %s", a.id, a.target.id, a.at.Sub(left), r.instance.name)
	}
	if out, evacuated := l.evacuated[a.target.zone]; evacuated && bounded && a.at.Sub(out) > evacuateBound {
		l.violate("EVAC", "%s reaches %s in %s %v after its evacuation", a.id, a.target.id, a.target.zone, a.at.Sub(out))
	}
	if gone, removed := l.removed[r.path]; removed && bounded && r.sent.Sub(gone) > configBound {
		l.violate("CONFIG", "%s runs on route %s, removed %v before it was sent", a.id, r.path, r.sent.Sub(gone))
	}
	if a.at.Sub(a.target.born) > coldTime {
		return
	}
	var recent []time.Time
	for _, at := range l.lastSecond[a.target] {
		if a.at.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	l.lastSecond[a.target] = append(recent, a.at)
	if len(recent)+1 > coldPerSecond {
		l.violate("FAILBACK", "cold target %s gets %d requests in a second", a.target.id, len(recent)+1)
	}
}

// outcome is what a caller got.
type outcome struct {
	status    int
	signature string
	body      string
	err       error
	took      time.Duration
	added     time.Time // when the route was acknowledged
	wanted    time.Duration
}

// ended checks what a caller got.
func (l *ledger) ended(r *request, o *outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.counts[kindOf(o)]++
	if o.took > o.wanted+lateAnswer && r.instance.undisturbed(r.sent.Add(-touch)) && l.stalled.Before(r.sent) {
		l.violate("LATE", "%s at %s has no answer %v after it was sent", r.id, r.instance.name, o.took)
	}
	switch {
	case o.err != nil:
		l.endedWithout(r, o)
	case o.status == 200:
		if o.signature == "" || o.body != answerTo(r.id, r.content) {
			l.violate("MIXED", "%s got %d bytes with signature %q, not its answer", r.id, len(o.body), o.signature)
		}
	case o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421:
		r.refused = true
		if r.once && r.runs > 0 {
			l.violate("REFUSED", "%s got %d and ran", r.id, o.status)
		}
	case o.status == 404:
		if o.added.IsZero() {
			l.violate("DENIED", "%s got 404 on %s from %s", r.id, r.path, r.instance.name)
		} else if l.boundsApply(r.instance, now) && r.sent.Sub(o.added) > configBound && l.removed[r.path].IsZero() {
			l.violate("CONFIG", "%s got 404 from %s, %v after its route was acknowledged", r.id, r.instance.name, r.sent.Sub(o.added))
		}
	}
}

// endedWithout checks a connection that ended without a whole answer, at an
// instance that was at most asked to stop. The caller holds the mutex.
func (l *ledger) endedWithout(r *request, o *outcome) {
	if !r.instance.undisturbed(r.sent.Add(-touch)) || o.took >= o.wanted || l.stalled.After(r.sent.Add(-touch)) {
		return
	}
	if r.runs > 0 || o.took > lossSlack {
		l.violate("LOST", "%s at %s ended after %v without an answer (%d runs): %v", r.id, r.instance.name, o.took, r.runs, o.err)
	}
}

func kindOf(o *outcome) string {
	if o.err != nil {
		return "no answer"
	}
	return fmt.Sprint(o.status)
}

// disturbStore notes that faults of the store show until the given time.
func (l *ledger) disturbStore(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeDisturbedUntil = later(l.storeDisturbedUntil, until)
}

// change runs a function under the mutex.
func (l *ledger) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}
