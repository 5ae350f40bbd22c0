package service

import (
	"time"

	"fulmarhoist.example/target"
)

// scanLimit is the number of candidates that are compared at once. With more
// candidates, windows of this length are tried from a random start until one
// holds a target that admits.
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
	for offset := 0; offset < count; offset += scanLimit {
		window := min(scanLimit, count-offset)
		start := int((random%uint64(count) + uint64(offset)) % uint64(count))
		for range window {
			best := leastDelay(now, view.Candidates, tried, span{start, window})
			if best == nil {
				break
			}
			if permit, ok := best.Admit(now); ok {
				return permit, true
			}
		}
	}
	return target.Permit{}, false
}

// span is a part of the candidates, which wraps around at their end.
type span struct {
	start, length int
}

// leastDelay scans from a random start, so that instances with equal estimates
// do not all choose the same target.
func leastDelay(now time.Time, candidates []Candidate, tried Tried, part span) *target.Target {
	var best *target.Target
	var bestDelay time.Duration
	for i := range part.length {
		c := candidates[(part.start+i)%len(candidates)]
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
