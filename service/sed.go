package service

import (
	"time"

	"fulmarhoist.example/target"
)

// scanWindow is the maximum number of candidates that are compared with each
// other. With more candidates, consecutive windows of this length are scanned from
// a random start until one yields a permit.
const scanWindow = 32

// ShortestExpectedDelay chooses the target with the lowest expected response
// time, including the round trip to its zone. It belongs to the family of
// join-the-shortest-queue policies described in Goncharenko and Lokhvitsky,
// "Cluster Load Balancing Algorithms Based on Shortest Queue Models".
type ShortestExpectedDelay struct{}

// Choose implements Policy. If another goroutine takes the last permit of the
// best target first, the scan of the window is repeated, at most once per
// candidate.
func (ShortestExpectedDelay) Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool) {
	count := len(view.Candidates)
	if count == 0 {
		return target.Permit{}, false
	}
	for offset := 0; offset < count; offset += scanWindow {
		window := min(scanWindow, count-offset)
		start := int((random%uint64(count) + uint64(offset)) % uint64(count))
		for range window {
			best := leastDelay(now, view.Candidates, tried, candidateRange{start, window})
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

// candidateRange is a range of the candidates that wraps around at the end.
type candidateRange struct {
	start, length int
}

// leastDelay returns the target with the lowest expected delay among the scanned
// candidates that admit a request and have not been tried, or nil. The caller
// starts the scan at random, so that instances with equal estimates do not all
// choose the same target.
func leastDelay(now time.Time, candidates []Candidate, tried Tried, scanned candidateRange) *target.Target {
	var best *target.Target
	var bestDelay time.Duration
	for i := range scanned.length {
		c := candidates[(scanned.start+i)%len(candidates)]
		if !c.Target.Admits(now) || tried.Contains(c.Target) {
			continue
		}
		delay := c.Target.ExpectedDelay(now) + c.RoundTrip
		if best == nil || delay < bestDelay {
			best, bestDelay = c.Target, delay
		}
	}
	return best
}
