package service

import (
	"time"

	"fulmarhoist.example/target"
)

// scanLimit is the number of candidates up to which all are compared. Above it
// the scan starts at a random place and covers this many.
const scanLimit = 32

// ShortestExpectedDelay chooses the target with the least expected response
// time, with the round trip to its zone added. It follows the join the shortest
// queue family in Goncharenko and Lokhvitsky, "Cluster Load Balancing
// Algorithms Based on Shortest Queue Models".
type ShortestExpectedDelay struct{}

// Choose implements Policy. If another goroutine takes the last permit of the
// best target first, the scan is repeated, at most once per candidate.
func (ShortestExpectedDelay) Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool) {
	count := len(view.Candidates)
	if count == 0 {
		return target.Permit{}, false
	}
	start := int(random % uint64(count))
	for range count {
		best := leastDelay(now, view.Candidates, tried, start)
		if best == nil {
			return target.Permit{}, false
		}
		if permit, ok := best.Admit(now); ok {
			return permit, true
		}
	}
	return target.Permit{}, false
}

// leastDelay scans from a random start, so that instances with equal estimates
// do not all choose the same target.
func leastDelay(now time.Time, candidates []Candidate, tried Tried, start int) *target.Target {
	var best *target.Target
	var bestDelay time.Duration
	for i := range min(len(candidates), scanLimit) {
		c := candidates[(start+i)%len(candidates)]
		if !c.Target.Admits(now) || tried.Has(c.Target) {
			continue
		}
		delay := c.Target.ExpectedDelay(now) + c.RoundTrip
		if best == nil || delay < bestDelay {
			best, bestDelay = c.Target, delay
		}
	}
	return best
}
