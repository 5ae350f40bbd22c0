// Package monotime turns times into integers that fit an atomic word and do not
// follow steps of the time of day.
package monotime

import "time"

// base lies far before the start of the process, so that the times of tests with
// fixed dates are positive too. It keeps a monotonic reading.
var base = time.Now().Add(-100 * 365 * 24 * time.Hour)

// Nanos returns the time in nanoseconds since a fixed moment of this process.
// The zero time gives 0.
func Nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return int64(t.Sub(base))
}

// Seconds returns the time in whole seconds since the same moment.
func Seconds(t time.Time) int64 { return Nanos(t) / int64(time.Second) }
