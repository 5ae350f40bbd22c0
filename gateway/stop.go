package gateway

import (
	"sync/atomic"
	"time"
)

// Stop is the planned stop of an instance as its requests see it. It is safe for
// concurrent use.
type Stop struct {
	// Grace is the time from the signal until the process is ended by force.
	Grace time.Duration

	began atomic.Pointer[time.Time]
}

// Parts of the grace time. Callers keep an answer of the directory for a few
// seconds and go on to connect; what they send early in the stop can still be
// answered in full, what they send later is refused at once, so that they take
// another instance.
const (
	takePart  = 0.42
	closePart = 0.62
	endPart   = 0.95
)

// Begin starts the stop.
func (s *Stop) Begin(now time.Time) { s.began.CompareAndSwap(nil, &now) }

// Leaving tells whether the stop has begun.
func (s *Stop) Leaving() bool { return s.began.Load() != nil }

// Takes tells whether a new request is still served.
func (s *Stop) Takes(now time.Time) bool {
	began := s.began.Load()
	return began == nil || now.Sub(*began) < s.part(takePart)
}

// CloseAfter is the time from the signal until no connection is accepted any more,
// and EndAfter until requests that are still running are given up.
func (s *Stop) CloseAfter() time.Duration { return s.part(closePart) }

// EndAfter is the time from the signal until the process ends.
func (s *Stop) EndAfter() time.Duration { return s.part(endPart) }

func (s *Stop) part(of float64) time.Duration { return time.Duration(of * float64(s.Grace)) }
