package service

import (
	"cmp"
	"slices"
	"time"

	"fulmarhoist.example/target"
)

// RankOptions holds the constraints of a request on the choice of its target.
type RankOptions struct {
	// Tried lists the targets on which the request has already failed.
	Tried Tried
	// RemoteCost is the penalty added to the relative delay of a target in another
	// availability zone, to account for cross-zone traffic.
	RemoteCost float64
	// WaitingLimit is the number of requests waiting at a target, with all its
	// slots in use, from which on the target is not eligible; see
	// target.Target.Saturated. A less urgent request has a lower limit: it stays
	// in the queue of this instance, where more urgent ones can overtake it.
	WaitingLimit int
}

// RankedTarget is a target that is eligible for a request, with its estimated
// cost.
type RankedTarget struct {
	Target *target.Target
	Cost   float64 // see target.Target.RelativeDelay; includes the penalty for a remote zone
	Remote bool    // in another availability zone
}

// RankTargets returns the eligible targets in ascending order of cost: those
// that admit a request, are not saturated, and have not been tried. The value
// random determines the order of targets with equal cost.
func (v *View) RankTargets(now time.Time, options RankOptions, random uint64) []RankedTarget {
	ranked := make([]RankedTarget, 0, len(v.Candidates))
	count := uint64(len(v.Candidates))
	for i := range count {
		c := &v.Candidates[(random%count+i)%count]
		if options.Tried.Contains(c.Target) || !c.Target.Admits(now) || c.Target.Saturated(now, options.WaitingLimit) {
			continue
		}
		r := RankedTarget{Target: c.Target, Cost: c.Target.RelativeDelay(now), Remote: c.RoundTrip > 0}
		if r.Remote {
			r.Cost += options.RemoteCost
		}
		ranked = append(ranked, r)
	}
	slices.SortStableFunc(ranked, func(a, b RankedTarget) int { return cmp.Compare(a.Cost, b.Cost) })
	return ranked
}
