// Package target models one server of a service: its admission limit, the
// requests in flight to it, its state, and an estimate of its response time.
//
// A Target is shared by all request goroutines. Admission, release and state
// changes are compare-and-swap operations on a single word, so that after a
// restart of the server no request is admitted under the old limit. The package
// starts no goroutines and does no I/O. The caller passes in the current time.
package target

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
)

// State is the state of a target as one entry instance sees it.
type State uint8

const (
	// StateCold admits requests only while a lease is held; see Target.Lease.
	StateCold State = iota
	// StateWarming admits up to a limit that doubles with each window of answers.
	StateWarming
	// StateWarm admits up to the full limit.
	StateWarm
	// StateLeaving admits nothing; requests in flight complete normally.
	StateLeaving
)

var stateNames = [...]string{"cold", "warming", "warm", "leaving"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Layout of a stateWord, from the lowest bit: requests in flight (16 bits),
// limit (12 bits), state (4 bits), generation (32 bits).
const (
	limitShift      = 16
	stateShift      = 28
	generationShift = 32
	inFlightMask    = 1<<16 - 1
	limitMask       = 1<<12 - 1
	stateMask       = 1<<4 - 1
	maxLimit        = limitMask
)

// stateWord packs the fields of a Target that must change together.
type stateWord uint64

func pack(generation uint32, state State, limit, inFlight int) stateWord {
	limit = min(max(limit, 0), maxLimit)
	return stateWord(generation)<<generationShift | stateWord(state)<<stateShift | stateWord(limit)<<limitShift | stateWord(inFlight)
}

func (w stateWord) inFlight() int      { return int(w & inFlightMask) }
func (w stateWord) limit() int         { return int(w >> limitShift & limitMask) }
func (w stateWord) state() State       { return State(w >> stateShift & stateMask) }
func (w stateWord) generation() uint32 { return uint32(w >> generationShift) }

// Spec is the immutable description of a target.
type Spec struct {
	Name    string
	Address string
	Zone    string
	Slots   int // requests that the server executes concurrently
	// Links is the maximum number of connections from one instance to the target.
	Links int
}

// Permit is the right to send one request to a target. It must be released
// exactly once.
type Permit struct {
	Target     *Target
	Generation uint32
}

// Target is one server as one entry instance sees it. It is safe for concurrent
// use. Atomic times are in monotime nanoseconds.
type Target struct {
	Spec Spec

	stateWord    atomic.Uint64 // see type stateWord
	responseTime atomic.Uint64 // moving average in seconds, as float64 bits
	peerLoad     atomic.Uint64 // average of requests in flight from other instances, as float64 bits
	peerLoadAt   atomic.Int64  // time of the last update of peerLoad
	failures     atomic.Uint32 // consecutive failures
	blockedUntil atomic.Int64  // no request is admitted before this time
	answers      atomic.Uint64 // complete responses received by this instance
	boot         atomic.Pointer[observedBoot]
	previous     atomic.Pointer[previousProcess]
	leaseUntil   atomic.Int64 // in StateCold, no request is sent from this time on

	serverColdUntil  atomic.Int64 // the server is known or assumed to be cold until this time
	pacingInterval   atomic.Int64 // minimum time between permits while the server is cold, in nanoseconds
	nextColdPermitAt atomic.Int64 // while the server is cold, no permit is given before this time
	pausedUntil      atomic.Int64 // the server has asked for no requests before this time

	report       atomic.Pointer[receivedReport]
	avgSlowdown  atomic.Uint64 // moving average of the reported slowdowns, as float64 bits
	avgOtherLoad atomic.Uint64 // moving average of the requests of other instances, as float64 bits
	probeSentAt  atomic.Int64  // time of the oldest unanswered load probe; 0 if there is none
	failureRate  atomic.Uint64 // moving average of the share of failed requests, as float64 bits
}

// updateAverage adds a sample with the given weight to an exponentially weighted
// moving average.
func updateAverage(average *atomic.Uint64, sample, weight float64) {
	for {
		old := average.Load()
		mean := math.Float64frombits(old)
		if average.CompareAndSwap(old, math.Float64bits(mean+weight*(sample-mean))) {
			return
		}
	}
}

// defaultResponseTime is the estimate of the response time before the first
// answer.
const defaultResponseTime = 20 * time.Millisecond

// New returns a cold target that admits nothing.
func New(spec Spec) *Target { return newWithGeneration(spec, 1) }

// Successor returns a cold target for a server that was removed and is added
// again. It starts at a generation that t never had, so that proofs of warmth
// and queries of peers for the earlier generations do not apply to it.
func (t *Target) Successor(spec Spec) *Target {
	// +2, because a late report of a broken link can still advance t by one.
	_, generation := t.State()
	return newWithGeneration(spec, generation+2)
}

func newWithGeneration(spec Spec, generation uint32) *Target {
	t := &Target{Spec: spec}
	t.stateWord.Store(uint64(pack(generation, StateCold, 0, 0)))
	t.responseTime.Store(math.Float64bits(defaultResponseTime.Seconds()))
	return t
}

// NewWarm returns a target in StateWarm with the given limit. A cold server is
// reported to it by MarkServerCold.
func NewWarm(spec Spec, limit int) *Target {
	t := newWithGeneration(spec, 1)
	t.Transition(1, StateWarm, limit)
	return t
}

// State returns the state of the target and its generation.
func (t *Target) State() (State, uint32) {
	w := stateWord(t.stateWord.Load())
	return w.state(), w.generation()
}

// InFlight returns the number of requests from this instance in flight.
func (t *Target) InFlight() int { return stateWord(t.stateWord.Load()).inFlight() }

// Limit returns the maximum number of requests from this instance in flight.
func (t *Target) Limit() int { return stateWord(t.stateWord.Load()).limit() }

// Admit returns a permit if the target accepts one more request now.
func (t *Target) Admit(now time.Time) (Permit, bool) {
	if monotime.Nanos(now) < t.blockedUntil.Load() || t.paused(now) {
		return Permit{}, false
	}
	for {
		w := stateWord(t.stateWord.Load())
		if w.inFlight() >= w.limit() || !t.allows(w, now) || !t.pacingIntervalElapsed(now) {
			return Permit{}, false
		}
		if t.stateWord.CompareAndSwap(uint64(w), uint64(w+1)) {
			permit := Permit{Target: t, Generation: w.generation()}
			// The interval is taken last, so that it is not used up without a permit.
			if !t.takePacingInterval(now) {
				permit.Release()
				return Permit{}, false
			}
			return permit, true
		}
	}
}

// Release returns the permit. Releasing a permit of an earlier generation has no
// effect, because a restart has reset the number of requests in flight.
func (p Permit) Release() {
	t := p.Target
	for {
		w := stateWord(t.stateWord.Load())
		if w.generation() != p.Generation || w.inFlight() == 0 {
			return
		}
		if t.stateWord.CompareAndSwap(uint64(w), uint64(w-1)) {
			return
		}
	}
}

// MaySend reports whether the request may still be sent: since the permit was
// given, the target has not restarted, announced that it is leaving or asked for a
// pause, and, if it is cold, the lease is still valid. It must be called directly
// before the first write, because this process may have been paused since Admit.
func (p Permit) MaySend(now time.Time) bool {
	w := stateWord(p.Target.stateWord.Load())
	return w.generation() == p.Generation && w.state() != StateLeaving && p.Target.allows(w, now) && !p.Target.paused(now)
}

// allows reports whether the state allows sending a request now. A cold target
// requires a lease.
func (t *Target) allows(w stateWord, now time.Time) bool {
	return w.state() != StateCold || monotime.Nanos(now) < t.leaseUntil.Load()
}

// Lease allows requests to the target in StateCold until the given time. The
// zero time ends the lease.
func (t *Target) Lease(until time.Time) {
	if until.IsZero() {
		t.leaseUntil.Store(0)
		return
	}
	t.leaseUntil.Store(monotime.Nanos(until))
}

// Transition sets state and limit if the target is still in the given
// generation, and reports whether it did. StateLeaving is final within a
// generation.
func (t *Target) Transition(generation uint32, state State, limit int) bool {
	for {
		w := stateWord(t.stateWord.Load())
		if w.generation() != generation {
			return false
		}
		if w.state() == StateLeaving && state != StateLeaving {
			return false
		}
		next := pack(generation, state, limit, w.inFlight())
		if t.stateWord.CompareAndSwap(uint64(w), uint64(next)) {
			return true
		}
	}
}

// previousProcess is what was known about the process of the previous generation
// when that generation ended. It is immutable.
type previousProcess struct {
	generation uint32
	state      State
	limit      int
	bootID     string
}

// Restarted records evidence that the process of the given generation has
// ended, and reports whether that generation was the current one. The target
// then starts a new generation in StateCold. Evidence about an earlier
// generation has no effect, so several goroutines may report the same restart.
func (t *Target) Restarted(generation uint32) bool {
	for {
		w := stateWord(t.stateWord.Load())
		if w.generation() != generation {
			return false
		}
		if t.stateWord.CompareAndSwap(uint64(w), uint64(pack(generation+1, StateCold, 0, 0))) {
			t.savePrevious(w)
			return true
		}
	}
}

// savePrevious saves the state of a generation that ended, if the boot ID of its
// process is known.
func (t *Target) savePrevious(w stateWord) {
	if boot := t.boot.Load(); boot != nil && boot.generation == w.generation() {
		t.previous.Store(&previousProcess{w.generation(), w.state(), w.limit(), boot.bootID})
	}
}

// Resume restores the state and limit of the previous generation if the boot ID
// shows that the process did not restart and only its connections had broken. It
// reports whether it did. Only StateWarm and StateWarming are restored.
func (t *Target) Resume(generation uint32, bootID string) bool {
	previous := t.previous.Load()
	if bootID == "" || previous == nil || previous.generation+1 != generation || previous.bootID != bootID {
		return false
	}
	if previous.state != StateWarm && previous.state != StateWarming {
		return false
	}
	return t.Transition(generation, previous.state, previous.limit)
}

// HasBootID reports whether the target has sent a boot ID with any answer.
func (t *Target) HasBootID() bool { return t.boot.Load() != nil }

const (
	// responseTimeWeight is the weight of a new sample in the moving average of
	// the response time. The minimum of several noisy estimates is usually one
	// that is too low, so the average must cover many samples; 0.05 follows a
	// server that becomes slow within 20 answers.
	responseTimeWeight = 0.05
	// firstBackoff and maxBackoff bound the time for which a target is blocked
	// after consecutive failures.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// peerLoadHalfLife is the half-life with which the load from peers decays
	// after its last update, because reports are already stale on arrival.
	peerLoadHalfLife = time.Second
	// peerAverageHalfLife is the half-life of a load report from peers in the
	// moving average. It is several times the age of a report on arrival.
	peerAverageHalfLife = 700 * time.Millisecond
	// serverAverageHalfLife is the same for load reports that the server sends
	// with its answers. It can be shorter, because these reports are only a few
	// milliseconds old and differ between instances, so that instances do not all
	// react to the same report at once.
	serverAverageHalfLife = 50 * time.Millisecond
	// maxReportedLoad bounds a reported load, as a multiple of the slots of the
	// server, so that one wrong report does not keep requests away for long.
	maxReportedLoad = 8
)

// RecordResponse records a complete response and its response time.
func (t *Target) RecordResponse(responseTime time.Duration) {
	t.answers.Add(1)
	t.failures.Store(0)
	updateAverage(&t.responseTime, responseTime.Seconds(), responseTimeWeight)
}

// Answers returns the number of complete responses so far.
func (t *Target) Answers() uint64 { return t.answers.Load() }

// observedBoot is a boot ID and the generation in which it was observed. It is
// immutable.
type observedBoot struct {
	generation uint32
	bootID     string
}

// ObserveBootID records the boot ID that was received with an answer of the
// given generation. A second boot ID within one generation shows that the
// process has restarted while a connection remained open; ObserveBootID then
// returns false.
func (t *Target) ObserveBootID(generation uint32, id string) bool {
	if id == "" {
		return true
	}
	for {
		known := t.boot.Load()
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
		if t.boot.CompareAndSwap(known, &observedBoot{generation, id}) {
			return true
		}
	}
}

// RecordFailure records an attempt that the target declined or that got no
// complete, valid response. Consecutive failures block the target for
// exponentially increasing times, so that a target that fails fast does not
// attract requests because it looks idle. Failures while the target is blocked
// are not counted, because requests in flight at the same time fail together.
func (t *Target) RecordFailure(now time.Time) {
	for {
		blockedUntil := t.blockedUntil.Load()
		if monotime.Nanos(now) < blockedUntil {
			return
		}
		count := t.failures.Load() + 1
		backoff := min(firstBackoff<<min(count-1, 10), maxBackoff)
		if t.blockedUntil.CompareAndSwap(blockedUntil, monotime.Nanos(now.Add(backoff))) {
			t.failures.Store(count)
			return
		}
	}
}

const (
	// unreachableBlock is the time for which a target is blocked after a
	// connection to it could not be opened. Each further attempt may delay a
	// request by the time of a dial.
	unreachableBlock = time.Second
	// replacedBlock is the same after another process answered at the address
	// of the target. A process that starts there under the same name is
	// registered as a new target.
	replacedBlock = 3 * time.Second
)

// MarkUnreachable records that a connection to the target could not be opened.
func (t *Target) MarkUnreachable(now time.Time) { t.block(now, unreachableBlock) }

// MarkReplaced records that another process answered at the address of the
// target.
func (t *Target) MarkReplaced(now time.Time) { t.block(now, replacedBlock) }

// block makes the target admit no requests for at least the given time.
func (t *Target) block(now time.Time, duration time.Duration) {
	until := monotime.Nanos(now.Add(duration))
	for {
		old := t.blockedUntil.Load()
		if old >= until || t.blockedUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// ObservePeerLoad records the number of requests in flight from other
// instances, as reported by them. Reports are averaged over time: all instances
// receive the same reports with a delay, and reacting to each one would make
// all of them choose the same target at once. Negative, infinite and NaN values
// are ignored.
func (t *Target) ObservePeerLoad(now time.Time, inFlight float64) {
	if math.IsNaN(inFlight) || inFlight < 0 || math.IsInf(inFlight, 1) {
		return
	}
	t.updatePeerLoad(now, inFlight, peerAverageHalfLife)
}

// ObserveServerLoad records the load that the server sent with an answer: the
// number of requests that it held, without the answered one. Those that are not
// in flight from this instance are attributed to the other instances.
// ObserveServerLoad must be called before the permit of the answered request is
// released. Negative values are ignored.
func (t *Target) ObserveServerLoad(now time.Time, load int) {
	if load < 0 {
		return
	}
	load = min(load, maxReportedLoad*max(1, t.Spec.Slots))
	others := max(0, load-max(0, t.InFlight()-1))
	t.updatePeerLoad(now, float64(others), serverAverageHalfLife)
}

func (t *Target) updatePeerLoad(now time.Time, inFlight float64, halfLife time.Duration) {
	last := t.peerLoadAt.Swap(monotime.Nanos(now))
	weight := 1.0
	if last != 0 {
		elapsed := max(0, time.Duration(monotime.Nanos(now)-last))
		weight = 1 - math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
	}
	updateAverage(&t.peerLoad, inFlight, weight)
}

// ExpectedDelay estimates the response time of one more request.
func (t *Target) ExpectedDelay(now time.Time) time.Duration {
	w := stateWord(t.stateWord.Load())
	mean := math.Float64frombits(t.responseTime.Load())
	peers := math.Float64frombits(t.peerLoad.Load())
	if peers > 0 {
		age := time.Duration(monotime.Nanos(now) - t.peerLoadAt.Load())
		peers *= math.Exp2(-age.Seconds() / peerLoadHalfLife.Seconds())
	}
	slots := float64(max(1, t.Spec.Slots))
	queued := max(1, (float64(w.inFlight())+peers+1)/slots)
	return time.Duration(queued * mean * float64(time.Second))
}

// Admits reports whether Admit would return a permit now. The result may be
// stale by the time it is used; only Admit is authoritative.
func (t *Target) Admits(now time.Time) bool {
	w := stateWord(t.stateWord.Load())
	return w.inFlight() < w.limit() && t.allows(w, now) && t.pacingIntervalElapsed(now) &&
		monotime.Nanos(now) >= t.blockedUntil.Load() && !t.paused(now)
}
