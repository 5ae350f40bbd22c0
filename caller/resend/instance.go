package resend

import (
	"sync/atomic"
	"time"
)

// Instance is one entry instance as a directory answer names it. The names are
// immutable; whether the instance refused a connection is an atomic, because
// all requests that use the same answer share it.
type Instance struct {
	ID      string
	Zone    string
	Address string
	Ticket  string

	avoidedUntil atomic.Int64 // Unix time in nanoseconds
}

// Avoid makes later requests prefer other instances until the given time.
func (i *Instance) Avoid(until time.Time) {
	next := until.UnixNano()
	for {
		current := i.avoidedUntil.Load()
		if current >= next || i.avoidedUntil.CompareAndSwap(current, next) {
			return
		}
	}
}

// Avoided tells whether other instances are preferred at the given time.
func (i *Instance) Avoided(now time.Time) bool {
	return now.UnixNano() < i.avoidedUntil.Load()
}
