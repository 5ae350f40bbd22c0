package service

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// responseTimeWeight is the weight of a new response time in the exponential
	// moving average of its class.
	responseTimeWeight = 0.1
	// minResponseTimeSamples is the number of responses required before the average
	// is used.
	minResponseTimeSamples = 8
)

// ResponseTimes keeps the average response time of each request class of a service.
// The average that a target keeps mixes the classes and says little about a class
// that takes seconds next to one that takes milliseconds. It is safe for concurrent
// use.
type ResponseTimes struct {
	classes sync.Map // class name (string) to *responseTimeAverage
}

// responseTimeAverage is the moving average of one class.
type responseTimeAverage struct {
	mean    atomic.Uint64 // seconds, as float64 bits
	samples atomic.Uint32
}

// Record records the response time of a complete response.
func (r *ResponseTimes) Record(class string, responseTime time.Duration) {
	found, ok := r.classes.Load(class)
	if !ok {
		found, _ = r.classes.LoadOrStore(class, &responseTimeAverage{})
	}
	average := found.(*responseTimeAverage)
	first := average.samples.Add(1) == 1
	for {
		old := average.mean.Load()
		mean := math.Float64frombits(old)
		next := mean + responseTimeWeight*(responseTime.Seconds()-mean)
		if first {
			next = responseTime.Seconds()
		}
		if average.mean.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Average returns the average response time of a class, or false if too few
// responses have been recorded.
func (r *ResponseTimes) Average(class string) (time.Duration, bool) {
	found, ok := r.classes.Load(class)
	if !ok {
		return 0, false
	}
	average := found.(*responseTimeAverage)
	if average.samples.Load() < minResponseTimeSamples {
		return 0, false
	}
	return time.Duration(math.Float64frombits(average.mean.Load()) * float64(time.Second)), true
}
