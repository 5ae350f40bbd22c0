package target

import (
	"time"

	"fulmarhoist.example/monotime"
)

// CoolFor records that the server is cold for the given time from now on. While
// it is cold, Admit gives at most one permit per pace interval.
func (t *Target) CoolFor(now time.Time, length time.Duration) {
	until := monotime.Nanos(now.Add(length))
	for {
		old := t.coolUntil.Load()
		if old >= until || t.coolUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// Warmed records that the server itself says that it is not cold.
func (t *Target) Warmed() { t.coolUntil.Store(0) }

// Cool tells whether the server is known to be cold, or may be.
func (t *Target) Cool(now time.Time) bool { return monotime.Nanos(now) < t.coolUntil.Load() }

// SetPace sets the least time between two permits while the server is cold. All
// instances together must stay within what a cold server bears, so each gets a
// share. With a negative interval this instance gives no permit at all.
func (t *Target) SetPace(interval time.Duration) { t.pace.Store(int64(interval)) }

// paced tells whether a cold server may get a request now.
func (t *Target) paced(now time.Time) bool {
	if !t.Cool(now) {
		return true
	}
	return t.pace.Load() >= 0 && monotime.Nanos(now) >= t.pacedAt.Load()
}

// takePace takes the right to send one request to a cold server.
func (t *Target) takePace(now time.Time) bool {
	if !t.Cool(now) {
		return true
	}
	interval := t.pace.Load()
	next := t.pacedAt.Load()
	if interval < 0 || monotime.Nanos(now) < next {
		return false
	}
	return t.pacedAt.CompareAndSwap(next, monotime.Nanos(now)+interval)
}
