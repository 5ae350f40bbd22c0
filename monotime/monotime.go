// Package monotime converts times to integers that can be stored in atomic
// variables and are not affected by steps of the wall clock.
package monotime

import "time"

// base is the reference time. It is about 100 years before the start of the
// process, so that the fixed dates in tests also give positive values. It has a
// monotonic clock reading.
var base = time.Now().Add(-100 * 365 * 24 * time.Hour)

// Nanos returns the number of nanoseconds from a reference time, which is fixed for
// the lifetime of the process, to t. It returns 0 for the zero time.
func Nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return int64(t.Sub(base))
}

// Seconds returns the number of whole seconds from the same reference time to t.
func Seconds(t time.Time) int64 { return Nanos(t) / int64(time.Second) }
