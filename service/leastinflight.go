package service

import (
	"time"

	"fulmarhoist.example/target"
)

// LeastInFlight chooses the target with the fewest requests in flight from this
// instance. It serves as a baseline in benchmarks.
type LeastInFlight struct{}

// Choose implements Policy. If another goroutine takes the last permit of the
// selected target first, the scan is repeated, at most once per candidate.
func (LeastInFlight) Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool) {
	count := len(view.Candidates)
	for range count {
		var best *target.Target
		least := 0
		for i := range count {
			t := view.Candidates[(int(random%uint64(count))+i)%count].Target
			if !t.Admits(now) || tried.Contains(t) {
				continue
			}
			if inFlight := t.InFlight(); best == nil || inFlight < least {
				best, least = t, inFlight
			}
		}
		if best == nil {
			break
		}
		if permit, ok := best.Admit(now); ok {
			return permit, true
		}
	}
	return target.Permit{}, false
}
