package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Bounds of the guarantees to users that the soak checks.
const (
	// faultGracePeriod is how long after a fault its consequences are tolerated.
	faultGracePeriod = 3 * time.Second
	// drainBound is how long after it began to drain a target may get requests.
	drainBound = 2 * time.Second
	// evacuationBound is how long after its evacuation a zone may get requests.
	evacuationBound = 5 * time.Second
	// configBound is how long after its publication a change of the
	// configuration may not be in force.
	configBound = 2 * time.Second
	// maxColdPerSecond is the number of requests that a cold target may get
	// within a second: its configured rate times the allowed overshoot, plus
	// the slack.
	maxColdPerSecond = coldPerSecond*1.5 + 5
	// closeRaceWindow is the time after it was sent in which a request may fail
	// because the instance closed the connection at the same moment.
	closeRaceWindow = 200 * time.Millisecond
	// directoryBound is how long a directory may list an instance whose process
	// has ended.
	directoryBound = faultGracePeriod + 3*time.Second
	// pauseReaction is how long after it was asked for a pause an instance may still
	// send requests, and maxPausedArrivals how many may come later.
	pauseReaction     = 500 * time.Millisecond
	maxPausedArrivals = 2
	// answerGracePeriod is how long after its deadline a request may be
	// unanswered.
	answerGracePeriod = time.Second
)

// request is a request that a caller sent.
type request struct {
	id, path, content string // content is the digest of the method, URI and body
	service           string
	nonIdempotent     bool // must not run twice
	sentAt            time.Time
	instance          *instance
	executions        int  // by all targets
	refused           bool // answered as not run
}

// checker records what callers sent and what targets ran, and checks the one
// against the other. It is safe for concurrent use.
type checker struct {
	mu                 sync.Mutex
	requests           map[string]*request
	drainAckedAt       map[*target]time.Time   // when the store acknowledged that the target drains
	evacuatedAt        map[string]time.Time    // by zone
	routeRemovedAt     map[string]time.Time    // by the path prefix of the route
	recentColdArrivals map[*target][]time.Time // within the last second, while cold
	leavingPassedOn    map[link]time.Time      // when the instance first passed on a response that said that the target leaves
	pauses             map[link]*pauseWindow
	crashes            map[string]*crashCount // by path
	storeFaultUntil    time.Time              // effects of store faults are expected until then
	lastStallAt        time.Time              // when the test machine last stalled the soak itself
	violations         []string
	counts             map[string]int // counters of the result
}

func newChecker() *checker {
	return &checker{
		requests: map[string]*request{}, drainAckedAt: map[*target]time.Time{}, evacuatedAt: map[string]time.Time{},
		routeRemovedAt: map[string]time.Time{}, recentColdArrivals: map[*target][]time.Time{}, counts: map[string]int{},
		leavingPassedOn: map[link]time.Time{}, pauses: map[link]*pauseWindow{}, crashes: map[string]*crashCount{},
	}
}

// link is an instance and the id of a target that has responded to it.
type link struct {
	instance *instance
	targetID string
}

// pauseWindow is the time in which a target wants no requests from an instance.
type pauseWindow struct {
	askedAt  time.Time
	until    time.Time
	arrivals int // requests of the instance later than pauseReaction after askedAt
}

// addViolation records a violation of a rule. The caller holds the mutex.
func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// recordSent records a request just before the caller sends it.
func (c *checker) recordSent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.id] = r
}

// timeBoundsApply reports whether the rules with a time bound apply to an
// instance, which no fault has affected for faultGracePeriod. The caller holds
// the mutex.
func (c *checker) timeBoundsApply(i *instance, now time.Time) bool {
	since := now.Add(-faultGracePeriod)
	return c.storeFaultUntil.Before(since) && c.lastStallAt.Before(since) && i.healthyFor(now, faultGracePeriod)
}

// recordExecution records that a target runs a request, and checks that it may.
func (c *checker) recordExecution(a *arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.id]
	if r == nil {
		c.addViolation("UNASKED", "target %s runs request %q, which no caller sent", a.target.id, a.id)
		return
	}
	r.executions++
	if r.content != a.content {
		c.addViolation("UNASKED", "target %s runs request %s %s with content digest %s, sent with %s", a.target.id, a.id, r.path, a.content, r.content)
	}
	if r.service != a.target.service {
		c.addViolation("ROUTE", "request %s for service %s runs at target %s of service %s", a.id, r.service, a.target.id, a.target.service)
	}
	if r.nonIdempotent && r.executions > 1 {
		c.addViolation("TWICE", "non-idempotent request %s ran %d times, last at target %s", a.id, r.executions, a.target.id)
	}
	if r.nonIdempotent && r.refused {
		c.addViolation("REFUSED", "non-idempotent request %s runs at target %s after it was refused", a.id, a.target.id)
	}
	c.checkTimeBounds(a, r)
}

// checkTimeBounds checks the rules with a time bound, and the rate of requests
// to cold targets. The caller holds the mutex.
func (c *checker) checkTimeBounds(a *arrival, r *request) {
	boundsApply := c.timeBoundsApply(r.instance, a.arrivedAt)
	if boundsApply {
		c.counts["judged by time"]++
	}
	if drainAckedAt, draining := c.drainAckedAt[a.target]; draining && boundsApply && a.arrivedAt.Sub(drainAckedAt) > drainBound {
		c.addViolation("DRAIN", "request %s reaches target %s %v after it began to drain, limit %v, from %s",
			a.id, a.target.id, a.arrivedAt.Sub(drainAckedAt), drainBound, r.instance.name)
	}
	if evacuatedAt, evacuated := c.evacuatedAt[a.target.zone]; evacuated && boundsApply && a.arrivedAt.Sub(evacuatedAt) > evacuationBound {
		c.addViolation("EVAC", "request %s reaches target %s in %s %v after the evacuation of the zone, limit %v",
			a.id, a.target.id, a.target.zone, a.arrivedAt.Sub(evacuatedAt), evacuationBound)
	}
	if removedAt, removed := c.routeRemovedAt[r.path]; removed && boundsApply && r.sentAt.Sub(removedAt) > configBound {
		c.addViolation("CONFIG", "request %s runs on route %s, removed %v before the request was sent, limit %v",
			a.id, r.path, r.sentAt.Sub(removedAt), configBound)
	}
	if a.arrivedAt.Sub(a.target.startedAt) > coldDuration {
		return
	}
	var recent []time.Time
	for _, at := range c.recentColdArrivals[a.target] {
		if a.arrivedAt.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	c.recentColdArrivals[a.target] = append(recent, a.arrivedAt)
	if len(recent)+1 > maxColdPerSecond {
		c.addViolation("FAILBACK", "cold target %s gets %d requests in a second, limit %.0f", a.target.id, len(recent)+1, float64(maxColdPerSecond))
	}
}

// recordArrival records that a request reaches a target, and checks that the target
// had not told the instance to send none.
func (c *checker) recordArrival(a *arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.id]
	if r == nil {
		return
	}
	from := link{r.instance, a.target.id}
	if passedOnAt, leaving := c.leavingPassedOn[from]; leaving && r.sentAt.Sub(passedOnAt) > drainBound && r.instance.runningSince(passedOnAt) && c.lastStallAt.Before(passedOnAt) {
		c.addViolation("DRAIN", "request %s reaches target %s, sent %v after %s passed on that the target leaves, limit %v",
			a.id, a.target.id, r.sentAt.Sub(passedOnAt), r.instance.name, drainBound)
	}
	if window := c.pauses[from]; window != nil && a.arrivedAt.After(window.askedAt.Add(pauseReaction)) && a.arrivedAt.Before(window.until) {
		window.arrivals++
		if window.arrivals > maxPausedArrivals && r.instance.runningSince(window.askedAt) && c.lastStallAt.Before(window.askedAt) && !a.target.path.impairedSince(window.askedAt) {
			c.addViolation("BUDGET", "request %s is number %d to reach target %s from %s, %v after it asked for a pause until %v after that, limit %d",
				a.id, window.arrivals, a.target.id, r.instance.name, a.arrivedAt.Sub(window.askedAt), window.until.Sub(window.askedAt), maxPausedArrivals)
		}
	}
}

// recordPauseRequest records that a target has refused a request and asked its
// instance for a pause.
func (c *checker) recordPauseRequest(t *target, requestID string, now, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[requestID]
	if r == nil {
		return
	}
	c.counts["pauses asked for"]++
	from := link{r.instance, t.id}
	if window := c.pauses[from]; window != nil && now.Before(window.until) {
		return // requests within the pause are checked against its first answer
	}
	c.pauses[from] = &pauseWindow{askedAt: now, until: until}
}

// recordLeaving records that an instance has passed on a response that said that
// the target leaves. The caller holds the mutex.
func (c *checker) recordLeaving(i *instance, o *outcome) {
	targetID, _, signed := strings.Cut(o.signature, ".")
	if !o.leaving || !signed {
		return
	}
	c.counts["leaving passed on"]++
	from := link{i, targetID}
	if c.leavingPassedOn[from].IsZero() || !i.runningSince(c.leavingPassedOn[from]) {
		c.leavingPassedOn[from] = time.Now()
	}
}

// outcome is what a caller got for a request.
type outcome struct {
	status       int
	signature    string // of the target that answered
	body         string
	err          error
	leaving      bool          // the response said that the target leaves
	elapsed      time.Duration // from sending to the end of the response
	routeAddedAt time.Time     // when the store acknowledged the route; zero for fixed routes
	deadline     time.Duration // as the request said
}

// recordOutcome counts and checks the outcome of a request.
func (c *checker) recordOutcome(r *request, o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.counts[counterName(o)]++
	c.recordLeaving(r.instance, o)
	if o.elapsed > o.deadline+answerGracePeriod && r.instance.undisturbedSince(r.sentAt.Add(-faultGracePeriod)) && c.lastStallAt.Before(r.sentAt) {
		c.addViolation("LATE", "request %s at %s has no answer %v after it was sent, deadline %v", r.id, r.instance.name, o.elapsed, o.deadline)
	}
	switch {
	case o.err != nil:
		c.checkNoAnswer(r, o)
	case o.status == 200:
		if o.signature == "" || o.body != answerBody(r.id, r.content) {
			c.addViolation("MIXED", "request %s got %d bytes with signature %q, which are not its answer", r.id, len(o.body), o.signature)
		}
	case o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421:
		r.refused = true
		if r.nonIdempotent && r.executions > 0 {
			c.addViolation("REFUSED", "non-idempotent request %s got status %d but ran", r.id, o.status)
		}
	case o.status == 404:
		if o.routeAddedAt.IsZero() {
			c.addViolation("DENIED", "request %s got status 404 on fixed route %s from %s", r.id, r.path, r.instance.name)
		} else if c.timeBoundsApply(r.instance, now) && r.sentAt.Sub(o.routeAddedAt) > configBound && c.routeRemovedAt[r.path].IsZero() {
			c.addViolation("CONFIG", "request %s got status 404 from %s, sent %v after the store acknowledged its route, limit %v",
				r.id, r.instance.name, r.sentAt.Sub(o.routeAddedAt), configBound)
		}
	}
}

// checkNoAnswer checks a request that failed without a complete answer. It is
// lost if it had run or failed later than closeRaceWindow, unless its deadline
// had passed or a fault affected the instance; a planned stop is no excuse. The
// caller holds the mutex.
func (c *checker) checkNoAnswer(r *request, o *outcome) {
	if !r.instance.undisturbedSince(r.sentAt.Add(-faultGracePeriod)) || o.elapsed >= o.deadline || c.lastStallAt.After(r.sentAt.Add(-faultGracePeriod)) {
		return
	}
	if r.executions > 0 || o.elapsed > closeRaceWindow {
		c.addViolation("LOST", "request %s at %s ended after %v without an answer (%d executions): %v", r.id, r.instance.name, o.elapsed, r.executions, o.err)
	}
}

// counterName returns the counter of the result that counts the outcome.
func counterName(o *outcome) string {
	if o.err != nil {
		return "no answer"
	}
	return fmt.Sprint(o.status)
}

// noteStoreFault records that a fault affects the store until the given time.
func (c *checker) noteStoreFault(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFaultUntil = later(c.storeFaultUntil, until)
}

// withLock calls f while it holds the mutex.
func (c *checker) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}
