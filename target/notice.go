package target

import (
	"time"

	"fulmarhoist.example/monotime"
)

// Notice is what a server says in a response about the requests that it wants from
// now on. The zero value says nothing.
type Notice struct {
	// Leaving is true if the server is about to shut down.
	Leaving bool
	// Pause is the time for which the server wants no requests.
	Pause time.Duration
}

const (
	// MaxPause bounds the time for which a server can ask for a pause, so that a
	// wrong value does not exclude it for good.
	MaxPause = 10 * time.Minute
	// pauseSpread is the largest random extension of a pause, as a share of its
	// length, and maxPauseSpread the same as a time. Without it, all instances
	// would return to a server at the same moment.
	pauseSpread    = 0.25
	maxPauseSpread = time.Second
)

// ObserveNotice records what the process of the given generation says in a
// response. The argument random, from 0 to 1, selects the extension of a pause.
func (t *Target) ObserveNotice(now time.Time, generation uint32, notice Notice, random float64) {
	if notice.Leaving {
		t.MarkLeaving(generation)
	}
	if notice.Pause > 0 {
		t.pause(now, notice.Pause, random)
	}
}

// MarkLeaving records that the process of the given generation has announced that
// it is leaving, and reports whether that process is still the current one. The
// target then admits no requests until a later process takes its place.
func (t *Target) MarkLeaving(generation uint32) bool {
	return t.Transition(generation, StateLeaving, 0)
}

// Leaving reports whether the current process has announced that it is leaving.
func (t *Target) Leaving() bool {
	state, _ := t.State()
	return state == StateLeaving
}

// pause makes the target admit no requests for the given time, plus a random
// extension. A shorter pause does not end a longer one.
func (t *Target) pause(now time.Time, duration time.Duration, random float64) {
	duration = min(duration, MaxPause)
	extension := random * min(pauseSpread*float64(duration), float64(maxPauseSpread))
	t.extendPause(monotime.Nanos(now.Add(duration + time.Duration(extension))))
}

// extendPause makes the target admit no requests before the given time.
func (t *Target) extendPause(until int64) {
	for {
		old := t.pausedUntil.Load()
		if old >= until || t.pausedUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// paused reports whether the server has asked for no requests at this time.
func (t *Target) paused(now time.Time) bool { return monotime.Nanos(now) < t.pausedUntil.Load() }

// PausedUntil returns the end of the pause for which the server has asked, and
// false if it takes requests.
func (t *Target) PausedUntil(now time.Time) (time.Time, bool) {
	left := t.pausedUntil.Load() - monotime.Nanos(now)
	if left <= 0 {
		return time.Time{}, false
	}
	return now.Add(time.Duration(left)), true
}

// InheritNotices takes over what the same process has announced while it was known
// as another target, for example with other slots.
func (t *Target) InheritNotices(previous *Target) {
	if previous.Leaving() {
		_, generation := t.State()
		t.MarkLeaving(generation)
	}
	t.extendPause(previous.pausedUntil.Load())
}
