package target

import (
	"time"

	"fulmarhoist.example/monotime"
)

// MarkServerCold records that the server is cold for at least the given time
// from now. While it is cold, Admit gives at most one permit per interval set
// by SetPacingInterval.
func (t *Target) MarkServerCold(now time.Time, duration time.Duration) {
	until := monotime.Nanos(now.Add(duration))
	for {
		old := t.serverColdUntil.Load()
		if old >= until || t.serverColdUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// MarkServerWarm records that the server reports that it is not cold.
func (t *Target) MarkServerWarm() { t.serverColdUntil.Store(0) }

// ServerCold reports whether the server is known or assumed to be cold.
func (t *Target) ServerCold(now time.Time) bool {
	return monotime.Nanos(now) < t.serverColdUntil.Load()
}

// SetPacingInterval sets the minimum time between two permits while the server
// is cold. It is the share of this instance in the rate that all instances
// together may send to a cold server. A negative interval means that no permits
// are given at all.
func (t *Target) SetPacingInterval(interval time.Duration) { t.pacingInterval.Store(int64(interval)) }

// pacingIntervalElapsed reports whether another permit may be given now. A
// server that is not cold is not paced.
func (t *Target) pacingIntervalElapsed(now time.Time) bool {
	if !t.ServerCold(now) {
		return true
	}
	return t.pacingInterval.Load() >= 0 && monotime.Nanos(now) >= t.nextColdPermitAt.Load()
}

// takePacingInterval is like pacingIntervalElapsed and, if the server is cold,
// starts the next interval.
func (t *Target) takePacingInterval(now time.Time) bool {
	if !t.ServerCold(now) {
		return true
	}
	interval := t.pacingInterval.Load()
	next := t.nextColdPermitAt.Load()
	if interval < 0 || monotime.Nanos(now) < next {
		return false
	}
	return t.nextColdPermitAt.CompareAndSwap(next, monotime.Nanos(now)+interval)
}
