// Package target models one server of a service: its admission limit, the
// requests in flight to it, its state, and the estimate of its response time.
//
// A Target is shared by all request goroutines. Admission, release and changes
// of state are compare-and-swap operations on one word, so that a restart of
// the server lowers the limit before another request can be admitted. The
// package starts no goroutine, does no I/O, and takes time from its caller.
package target

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
)

// State is what an entry instance believes about a target.
type State uint8

const (
	// StateCold admits nothing without leave from the other instances.
	StateCold State = iota
	// StateWarming admits a limit that grows with each window of answers.
	StateWarming
	// StateWarm admits up to the slots of the server.
	StateWarm
	// StateLeaving admits nothing; requests in flight end normally.
	StateLeaving
)

var stateNames = [...]string{"cold", "warming", "warm", "leaving"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// The word holds, from the lowest bit: in flight (16), limit (12), state (4),
// generation (32).
const (
	limitShift      = 16
	stateShift      = 28
	generationShift = 32
	inFlightMask    = 1<<16 - 1
	limitMask       = 1<<12 - 1
	stateMask       = 1<<4 - 1
	maxLimit        = limitMask
)

type word uint64

func pack(generation uint32, state State, limit, inFlight int) word {
	limit = min(max(limit, 0), maxLimit)
	return word(generation)<<generationShift | word(state)<<stateShift | word(limit)<<limitShift | word(inFlight)
}

func (w word) inFlight() int      { return int(w & inFlightMask) }
func (w word) limit() int         { return int(w >> limitShift & limitMask) }
func (w word) state() State       { return State(w >> stateShift & stateMask) }
func (w word) generation() uint32 { return uint32(w >> generationShift) }

// Spec is the fixed description of a target.
type Spec struct {
	Name    string
	Address string
	Zone    string
	Slots   int
	// Links is how many connections one instance may hold to the target.
	Links int
}

// Permit is the right to send one request. It is released exactly once.
type Permit struct {
	Target     *Target
	Generation uint32
}

// Target is one server as one entry instance sees it.
type Target struct {
	Spec Spec

	word      atomic.Uint64
	service   atomic.Uint64 // smoothed response time in seconds, as float64 bits
	peerLoad  atomic.Uint64 // requests in flight from other instances, as float64 bits
	peerAt    atomic.Int64  // time of peerLoad, monotime nanoseconds
	failures  atomic.Uint32 // consecutive failures
	blockedTo atomic.Int64  // no new work before this time, monotime nanoseconds
	answers   atomic.Uint64 // whole answers since this instance knows the target
	process   atomic.Pointer[process]
	ended     atomic.Pointer[endedGeneration]
	coldUntil atomic.Int64 // work for a cold target may start before this time, monotime nanoseconds

	coolUntil atomic.Int64 // the server says it is cold until then, monotime nanoseconds
	pace      atomic.Int64 // least time between permits while it is cold, nanoseconds
	pacedAt   atomic.Int64 // no permit for the cold server before, monotime nanoseconds

	report        atomic.Pointer[observed]
	usualSlowdown atomic.Uint64 // average of the reported slowdowns, as float64 bits
	usualOthers   atomic.Uint64 // average of the others' requests inside, as float64 bits
	askedAt       atomic.Int64  // unanswered question for a report, monotime nanoseconds; 0 if none
	failing       atomic.Uint64 // smoothed share of failed requests, as float64 bits
}

// average moves a value towards a new one by the given weight.
func average(value *atomic.Uint64, next, weight float64) {
	for {
		old := value.Load()
		mean := math.Float64frombits(old)
		if value.CompareAndSwap(old, math.Float64bits(mean+weight*(next-mean))) {
			return
		}
	}
}

// defaultServiceTime is the estimate before the first answer.
const defaultServiceTime = 20 * time.Millisecond

// New returns a cold target that admits nothing.
func New(spec Spec) *Target { return newAt(spec, 1) }

// Successor returns a cold target for a server that was out and returns. Its
// generations are ones that the target did not have: what peers proved about
// those, or were asked about them, says nothing about the server now.
func (t *Target) Successor(spec Spec) *Target {
	// One late report of a broken link can still advance the old target.
	_, generation := t.State()
	return newAt(spec, generation+2)
}

func newAt(spec Spec, generation uint32) *Target {
	t := &Target{Spec: spec}
	t.word.Store(uint64(pack(generation, StateCold, 0, 0)))
	t.service.Store(math.Float64bits(defaultServiceTime.Seconds()))
	return t
}

// NewWarm returns a target that admits up to the given limit at once. Whether its
// server is cold is told by CoolFor.
func NewWarm(spec Spec, limit int) *Target {
	t := newAt(spec, 1)
	t.Transition(1, StateWarm, limit)
	return t
}

// State returns the state and the generation it belongs to.
func (t *Target) State() (State, uint32) {
	w := word(t.word.Load())
	return w.state(), w.generation()
}

// InFlight returns the requests that this instance has in flight at the target.
func (t *Target) InFlight() int { return word(t.word.Load()).inFlight() }

// Limit returns how many requests this instance may have in flight.
func (t *Target) Limit() int { return word(t.word.Load()).limit() }

// Admit takes a permit if the limit allows one more request.
func (t *Target) Admit(now time.Time) (Permit, bool) {
	if monotime.Nanos(now) < t.blockedTo.Load() {
		return Permit{}, false
	}
	paced := false
	for {
		w := word(t.word.Load())
		if w.inFlight() >= w.limit() || !t.allows(w, now) {
			return Permit{}, false
		}
		if !paced && !t.takePace(now) {
			return Permit{}, false
		}
		paced = true
		if t.word.CompareAndSwap(uint64(w), uint64(w+1)) {
			return Permit{Target: t, Generation: w.generation()}, true
		}
	}
}

// Release gives a permit back. A permit of an earlier generation has no effect:
// the server that it counted against is gone.
func (p Permit) Release() {
	t := p.Target
	for {
		w := word(t.word.Load())
		if w.generation() != p.Generation || w.inFlight() == 0 {
			return
		}
		if t.word.CompareAndSwap(uint64(w), uint64(w-1)) {
			return
		}
	}
}

// MaySend is called directly before the first write. It tells whether the
// target is still the process that the permit was given for and, if it is cold,
// whether the lease still holds: this process may have been paused since Admit.
func (p Permit) MaySend(now time.Time) bool {
	w := word(p.Target.word.Load())
	return w.generation() == p.Generation && p.Target.allows(w, now)
}

// allows tells whether work may start now. A cold target needs a lease.
func (t *Target) allows(w word, now time.Time) bool {
	return w.state() != StateCold || monotime.Nanos(now) < t.coldUntil.Load()
}

// Lease allows work for the cold target until the given time. The zero time
// ends the lease.
func (t *Target) Lease(until time.Time) {
	if until.IsZero() {
		t.coldUntil.Store(0)
		return
	}
	t.coldUntil.Store(monotime.Nanos(until))
}

// Transition sets state and limit if the target is still in the given
// generation, and tells whether it did. A process that is leaving stays leaving.
func (t *Target) Transition(generation uint32, state State, limit int) bool {
	for {
		w := word(t.word.Load())
		if w.generation() != generation {
			return false
		}
		if w.state() == StateLeaving && state != StateLeaving {
			return false
		}
		next := pack(generation, state, limit, w.inFlight())
		if t.word.CompareAndSwap(uint64(w), uint64(next)) {
			return true
		}
	}
}

// endedGeneration is what was known about a process when its last connection
// broke. It is immutable.
type endedGeneration struct {
	generation uint32
	state      State
	limit      int
	bootID     string
}

// Restarted records evidence that the process of the given generation is gone.
// The target becomes cold in a new generation. Evidence about an earlier
// generation has no effect, so many goroutines may report the same restart.
func (t *Target) Restarted(generation uint32) bool {
	for {
		w := word(t.word.Load())
		if w.generation() != generation {
			return false
		}
		if t.word.CompareAndSwap(uint64(w), uint64(pack(generation+1, StateCold, 0, 0))) {
			t.remember(w)
			return true
		}
	}
}

func (t *Target) remember(w word) {
	if known := t.process.Load(); known != nil && known.generation == w.generation() {
		t.ended.Store(&endedGeneration{w.generation(), w.state(), w.limit(), known.bootID})
	}
}

// Resume restores state and limit if the process of the given generation turns
// out to be the one of the generation before: only its connections had broken.
// It tells whether it did.
func (t *Target) Resume(generation uint32, bootID string) bool {
	before := t.ended.Load()
	if bootID == "" || before == nil || before.generation+1 != generation || before.bootID != bootID {
		return false
	}
	if before.state != StateWarm && before.state != StateWarming {
		return false
	}
	return t.Transition(generation, before.state, before.limit)
}

// Identifiable tells whether the target names its process in answers.
func (t *Target) Identifiable() bool { return t.process.Load() != nil }

const (
	// smoothing is the weight of a new response time in the moving average. The
	// least of several noisy estimates is mostly one that is too low, so the
	// average has to be long; 0.05 follows a slow server within 20 answers.
	smoothing = 0.05
	// firstBackoff and maxBackoff bound the pause after consecutive failures.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// peerLoadHalfLife discounts the load that peers reported: reports are
	// already stale when they arrive.
	peerLoadHalfLife = time.Second
	// peerAverageHalfLife is the time in which the weight of a report in the
	// average of reports halves. It is several times the age of a report.
	peerAverageHalfLife = 700 * time.Millisecond
	// serverAverageHalfLife is the same for the loads that the server reports
	// with its answers. They are a few milliseconds old, and each instance gets
	// others, so that instances do not follow them all at once.
	serverAverageHalfLife = 50 * time.Millisecond
	// maxReported bounds a reported load, in slots: one wrong report must not
	// keep work away for long.
	maxReported = 8
)

// Answered records a whole answer and its response time.
func (t *Target) Answered(took time.Duration) {
	t.answers.Add(1)
	t.failures.Store(0)
	average(&t.service, took.Seconds(), smoothing)
}

// Answers returns the number of whole answers so far.
func (t *Target) Answers() uint64 { return t.answers.Load() }

// process is a boot id with the generation that it was seen in. It is immutable.
type process struct {
	generation uint32
	bootID     string
}

// SawBootID records the boot id that came with an answer of the given
// generation. A second id within one generation is evidence of a restart that
// left a connection open; the result is false then.
func (t *Target) SawBootID(generation uint32, id string) bool {
	if id == "" {
		return true
	}
	for {
		known := t.process.Load()
		if known != nil && known.generation == generation {
			if known.bootID == id {
				return true
			}
			t.Restarted(generation)
			return false
		}
		if known != nil && known.generation > generation {
			return true
		}
		if t.process.CompareAndSwap(known, &process{generation, id}) {
			return true
		}
	}
}

// Failed records an attempt without an answer. Consecutive failures take the
// target out of the choice for a time that doubles, so that a target that fails
// fast does not look idle. Requests that were in flight together fail together;
// failures during a pause are part of the one that caused it.
func (t *Target) Failed(now time.Time) {
	for {
		blocked := t.blockedTo.Load()
		if monotime.Nanos(now) < blocked {
			return
		}
		count := t.failures.Load() + 1
		backoff := min(firstBackoff<<min(count-1, 10), maxBackoff)
		if t.blockedTo.CompareAndSwap(blocked, monotime.Nanos(now.Add(backoff))) {
			t.failures.Store(count)
			return
		}
	}
}

const (
	// unreachableFor is how long a target gets no work after a connection to it
	// could not be opened; each try may cost a request the time of a dial.
	unreachableFor = time.Second
	// replacedFor is the same after another process answered at its address. A
	// process that starts there under the same name registers as a new target.
	replacedFor = 3 * time.Second
)

// Unreachable records that a connection could not be opened.
func (t *Target) Unreachable(now time.Time) { t.block(now, unreachableFor) }

// Replaced records that another process answered at the address.
func (t *Target) Replaced(now time.Time) { t.block(now, replacedFor) }

// block keeps new work away for a time.
func (t *Target) block(now time.Time, length time.Duration) {
	until := monotime.Nanos(now.Add(length))
	for {
		old := t.blockedTo.Load()
		if old >= until || t.blockedTo.CompareAndSwap(old, until) {
			return
		}
	}
}

// ReportPeers records the requests in flight from other instances. Reports are
// averaged over time: all instances see the same reports late, and following each
// one sends all of them to the same target at once. A load that is not a number
// of requests is ignored.
func (t *Target) ReportPeers(now time.Time, inFlight float64) {
	if math.IsNaN(inFlight) || inFlight < 0 || math.IsInf(inFlight, 1) {
		return
	}
	t.averagePeers(now, inFlight, peerAverageHalfLife)
}

// ReportServer records the requests that the server had inside when it answered.
// It is called before the permit of the answered request is released. What is
// not in flight from this instance is from the others.
func (t *Target) ReportServer(now time.Time, inside int) {
	if inside < 0 {
		return
	}
	inside = min(inside, maxReported*max(1, t.Spec.Slots))
	others := max(0, inside-max(0, t.InFlight()-1))
	t.averagePeers(now, float64(others), serverAverageHalfLife)
}

func (t *Target) averagePeers(now time.Time, inFlight float64, halfLife time.Duration) {
	last := t.peerAt.Swap(monotime.Nanos(now))
	weight := 1.0
	if last != 0 {
		passed := max(0, time.Duration(monotime.Nanos(now)-last))
		weight = 1 - math.Exp2(-passed.Seconds()/halfLife.Seconds())
	}
	average(&t.peerLoad, inFlight, weight)
}

// ExpectedDelay estimates the response time of one more request.
func (t *Target) ExpectedDelay(now time.Time) time.Duration {
	w := word(t.word.Load())
	mean := math.Float64frombits(t.service.Load())
	peers := math.Float64frombits(t.peerLoad.Load())
	if peers > 0 {
		age := time.Duration(monotime.Nanos(now) - t.peerAt.Load())
		peers *= math.Exp2(-age.Seconds() / peerLoadHalfLife.Seconds())
	}
	slots := float64(max(1, t.Spec.Slots))
	queued := max(1, (float64(w.inFlight())+peers+1)/slots)
	return time.Duration(queued * mean * float64(time.Second))
}

// Admits tells whether Admit would have given a permit. The answer may be stale
// when it is used; only Admit decides.
func (t *Target) Admits(now time.Time) bool {
	w := word(t.word.Load())
	return w.inFlight() < w.limit() && t.allows(w, now) && t.paced(now) && monotime.Nanos(now) >= t.blockedTo.Load()
}
