// Package loadgen makes open-loop load: requests are due at times that are set
// beforehand and do not depend on how fast answers come back. Latency counts
// from the time at which a request was due, so a slow answer does not hide the
// wait of later requests.
//
// The package knows nothing of HTTP; a Sender sends the requests.
package loadgen

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Arrival is how the times between requests are distributed.
type Arrival string

const (
	// Poisson gives exponentially distributed times, as independent callers do.
	Poisson Arrival = "poisson"
	// Even gives equal times.
	Even Arrival = "even"
)

// Class is a kind of request and its share of the load.
type Class struct {
	Name   string
	Weight float64
}

// Shot is one scheduled request.
type Shot struct {
	Number int
	Class  int           // index into the classes
	Due    time.Duration // since the start of the run
}

// Schedule yields the requests of a run. The same seed, rate, arrival and
// classes give the same schedule.
type Schedule struct {
	rate    float64
	arrival Arrival
	// Times and classes have sources of their own, so that a change of the mix
	// leaves the times as they are.
	times   *rand.Rand
	picks   *rand.Rand
	weights []float64 // running sums
	number  int
	due     float64 // seconds, for Poisson
}

// NewSchedule returns the schedule for a rate in requests per second.
func NewSchedule(rate float64, arrival Arrival, classes []Class, seed uint64) *Schedule {
	s := &Schedule{
		rate:    rate,
		arrival: arrival,
		times:   rand.New(rand.NewPCG(seed, 1)),
		picks:   rand.New(rand.NewPCG(seed, 2)),
	}
	sum := 0.0
	for _, class := range classes {
		sum += class.Weight
		s.weights = append(s.weights, sum)
	}
	return s
}

// Next returns the next request; due times never go back.
func (s *Schedule) Next() Shot {
	shot := Shot{Number: s.number, Class: s.pick()}
	if s.arrival == Even {
		// Computed from the number, so that rounding does not add up.
		s.due = float64(s.number) / s.rate
	} else {
		s.due += s.times.ExpFloat64() / s.rate
	}
	s.number++
	shot.Due = time.Duration(math.Min(s.due*float64(time.Second), math.MaxInt64/2))
	return shot
}

func (s *Schedule) pick() int {
	at := s.picks.Float64() * s.weights[len(s.weights)-1]
	return min(len(s.weights)-1, sort.Search(len(s.weights), func(n int) bool { return s.weights[n] > at }))
}
