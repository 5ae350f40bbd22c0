package gateway

import (
	"sync/atomic"
	"time"
)

// Shutdown is the graceful shutdown of an instance. It is safe for concurrent
// use.
type Shutdown struct {
	// Grace returns the time from the signal until the process is killed.
	Grace func() time.Duration

	startedAt atomic.Pointer[time.Time]
}

// Fractions of the grace time at which the phases of the shutdown end: new
// requests are served, connections are accepted, requests in flight are
// finished. Callers cache a response of the directory for a few seconds and
// keep connecting. Requests that arrive early in the shutdown can still be
// served completely; later ones are refused at once, so that callers use
// another instance.
const (
	acceptFraction = 0.42
	closeFraction  = 0.62
	endFraction    = 0.95
)

// Begin starts the shutdown. Only the first call has an effect.
func (s *Shutdown) Begin(now time.Time) { s.startedAt.CompareAndSwap(nil, &now) }

// Leaving reports whether the shutdown has begun.
func (s *Shutdown) Leaving() bool { return s.startedAt.Load() != nil }

// AcceptsRequest reports whether a new request is still served, which will have ended
// by the given time. A request that may be in flight at the end of the shutdown is
// refused: it would be cut there, while another instance can serve it now.
func (s *Shutdown) AcceptsRequest(now, endsBy time.Time) bool {
	startedAt := s.startedAt.Load()
	if startedAt == nil {
		return true
	}
	return now.Sub(*startedAt) < s.graceFraction(acceptFraction) && !endsBy.After(startedAt.Add(s.EndAfter()))
}

// CloseAfter returns the time from the signal until the listener is closed.
func (s *Shutdown) CloseAfter() time.Duration { return s.graceFraction(closeFraction) }

// EndAfter returns the time from the signal until requests that are still in
// flight are abandoned and the process ends.
func (s *Shutdown) EndAfter() time.Duration { return s.graceFraction(endFraction) }

// graceFraction returns the given fraction of the grace time.
func (s *Shutdown) graceFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.Grace()))
}
