// Package loadgen generates open-loop load: requests are due at scheduled times
// that do not depend on how fast responses arrive. Latency is measured from the
// time at which a request was due, which avoids coordinated omission: a slow
// response does not hide the delay of later requests.
//
// The package is independent of HTTP; a Sender sends the requests.
package loadgen

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Arrival is the arrival process: the distribution of the times between requests.
type Arrival string

const (
	// Poisson is a Poisson process, with exponentially distributed times between
	// requests, as independent callers produce.
	Poisson Arrival = "poisson"
	// Even has equal times between requests.
	Even Arrival = "even"
)

// Class is a class of requests with its share of the load.
type Class struct {
	Name   string
	Weight float64 // relative to the sum of all weights
}

// ScheduledRequest is one scheduled request.
type ScheduledRequest struct {
	Number int           // consecutive, from 0
	Class  int           // index into the classes
	Due    time.Duration // since the start of the run
}

// Schedule generates the scheduled requests of a run. It is deterministic for a
// given seed, rate, arrival process and list of classes.
type Schedule struct {
	rate    float64
	arrival Arrival
	// Due times and classes are drawn from separate sources, so that a change of
	// the class weights does not change the due times.
	arrivalRand       *rand.Rand
	classRand         *rand.Rand
	cumulativeWeights []float64 // running sums of the weights
	nextNumber        int
	lastDueSeconds    float64 // since the start of the run
}

// NewSchedule returns a schedule with the given rate in requests per second.
func NewSchedule(rate float64, arrival Arrival, classes []Class, seed uint64) *Schedule {
	s := &Schedule{
		rate:        rate,
		arrival:     arrival,
		arrivalRand: rand.New(rand.NewPCG(seed, 1)),
		classRand:   rand.New(rand.NewPCG(seed, 2)),
	}
	total := 0.0
	for _, class := range classes {
		total += class.Weight
		s.cumulativeWeights = append(s.cumulativeWeights, total)
	}
	return s
}

// Next returns the next request. Due times never decrease.
func (s *Schedule) Next() ScheduledRequest {
	request := ScheduledRequest{Number: s.nextNumber, Class: s.pickClass()}
	if s.arrival == Even {
		// Computed from the number, so that rounding errors do not accumulate.
		s.lastDueSeconds = float64(s.nextNumber) / s.rate
	} else {
		s.lastDueSeconds += s.arrivalRand.ExpFloat64() / s.rate
	}
	s.nextNumber++
	request.Due = time.Duration(math.Min(s.lastDueSeconds*float64(time.Second), math.MaxInt64/2))
	return request
}

// pickClass draws a class according to the weights and returns its index.
func (s *Schedule) pickClass() int {
	point := s.classRand.Float64() * s.cumulativeWeights[len(s.cumulativeWeights)-1]
	return min(len(s.cumulativeWeights)-1, sort.Search(len(s.cumulativeWeights), func(n int) bool { return s.cumulativeWeights[n] > point }))
}
