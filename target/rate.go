package target

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
)

// rateBurst is the time whose events may happen at once. The bound on questions to
// servers holds for a day, and the choice of a target asks in bursts.
const rateBurst = 10 * time.Second

// Rate bounds how often something happens. Its zero value is ready to use, and it
// is safe for concurrent use.
type Rate struct {
	spent atomic.Int64 // time that the events so far are worth, monotime nanoseconds
}

// Take tells whether another event may happen now, and counts it. The interval is
// the least mean time between two events; 0 sets no bound.
func (r *Rate) Take(now time.Time, interval time.Duration) bool {
	if interval <= 0 {
		return true
	}
	at := monotime.Nanos(now)
	for {
		old := r.spent.Load()
		next := max(old, at) + int64(interval)
		if next-at > int64(max(rateBurst, interval)) {
			return false
		}
		if r.spent.CompareAndSwap(old, next) {
			return true
		}
	}
}
