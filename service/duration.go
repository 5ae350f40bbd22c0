package service

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// durationWeight is the weight of a new response time in a class's average.
	durationWeight = 0.1
	// durationSamples is the number of answers before the average is used.
	durationSamples = 8
)

// Durations keeps the usual response time of each class of a service. It is safe
// for concurrent use. A target's own average mixes the classes, so a report that
// runs for seconds beside lookups of milliseconds needs its own.
type Durations struct {
	classes sync.Map // class name to *duration
}

type duration struct {
	mean    atomic.Uint64 // seconds, as float64 bits
	samples atomic.Uint32
}

// Answered records the response time of a whole answer.
func (d *Durations) Answered(class string, took time.Duration) {
	found, ok := d.classes.Load(class)
	if !ok {
		found, _ = d.classes.LoadOrStore(class, &duration{})
	}
	c := found.(*duration)
	first := c.samples.Add(1) == 1
	for {
		old := c.mean.Load()
		mean := math.Float64frombits(old)
		next := mean + durationWeight*(took.Seconds()-mean)
		if first {
			next = took.Seconds()
		}
		if c.mean.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Usual returns the usual response time of a class, and false before enough
// answers came.
func (d *Durations) Usual(class string) (time.Duration, bool) {
	found, ok := d.classes.Load(class)
	if !ok {
		return 0, false
	}
	c := found.(*duration)
	if c.samples.Load() < durationSamples {
		return 0, false
	}
	return time.Duration(math.Float64frombits(c.mean.Load()) * float64(time.Second)), true
}
