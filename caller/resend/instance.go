package resend

import (
	"sync/atomic"
	"time"
)

// Instance is one entry instance as listed in a directory response. The
// exported fields are immutable. The avoidance state is atomic because all
// requests that use the same directory share the Instance.
type Instance struct {
	ID      string
	Zone    string // availability zone
	Address string // host:port
	Ticket  string // prefix of the request keys that this instance owns

	avoidedUntil atomic.Int64 // Unix time in nanoseconds
}

// Avoid makes requests prefer other instances until the given time. It never
// shortens an earlier call.
func (i *Instance) Avoid(until time.Time) {
	next := until.UnixNano()
	for {
		current := i.avoidedUntil.Load()
		if current >= next || i.avoidedUntil.CompareAndSwap(current, next) {
			return
		}
	}
}

// Avoided reports whether requests prefer other instances at time now.
func (i *Instance) Avoided(now time.Time) bool {
	return now.UnixNano() < i.avoidedUntil.Load()
}
