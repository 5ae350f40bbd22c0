package target

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
)

// rateBurst is the burst tolerance: as many events may happen at once as the
// limit allows in this time. Target selection sends health probes in bursts,
// while the limit on them is a mean over a day.
const rateBurst = 10 * time.Second

// RateLimiter limits the rate of events by the generic cell rate algorithm
// (GCRA). The zero value is ready to use. It is safe for concurrent use.
type RateLimiter struct {
	theoreticalArrival atomic.Int64 // time of the next event at a constant rate, in monotime nanoseconds
}

// Allow reports whether another event may happen now and, if so, counts it. The
// interval is the minimum mean time between two events; 0 means no limit.
func (r *RateLimiter) Allow(now time.Time, interval time.Duration) bool {
	if interval <= 0 {
		return true
	}
	at := monotime.Nanos(now)
	for {
		old := r.theoreticalArrival.Load()
		next := max(old, at) + int64(interval)
		if next-at > int64(max(rateBurst, interval)) {
			return false
		}
		if r.theoreticalArrival.CompareAndSwap(old, next) {
			return true
		}
	}
}
