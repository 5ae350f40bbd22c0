package service

import (
	"cmp"
	"slices"
	"time"

	"fulmarhoist.example/target"
)

// Preference holds the constraints of a request on the choice of its target.
type Preference struct {
	// Tried lists the targets on which the request has already failed.
	Tried Tried
	// RemoteCost is the penalty added to the relative delay of a target in another
	// availability zone, to account for cross-zone traffic.
	RemoteCost float64
	// Waiting is the number of requests queued at a target from which on the target
	// does not receive this one. A less urgent request stays in the queue of this
	// instance instead, where more urgent ones can overtake it.
	Waiting int
}

// Ranked is a target that is eligible for a request, with its estimated cost.
type Ranked struct {
	Target *target.Target
	Cost   float64 // see target.Target.RelativeDelay; includes the penalty for a remote zone
	Remote bool    // in another availability zone
}

// Rank returns the eligible targets in ascending order of cost: those that admit a
// request, are not crowded, and have not been tried. The order of targets with
// equal cost depends on the random word.
func (v *View) Rank(now time.Time, preference Preference, random uint64) []Ranked {
	ranked := make([]Ranked, 0, len(v.Candidates))
	count := uint64(len(v.Candidates))
	for i := range count {
		c := &v.Candidates[(random%count+i)%count]
		if preference.Tried.Has(c.Target) || !c.Target.Admits(now) || c.Target.Crowded(now, preference.Waiting) {
			continue
		}
		r := Ranked{Target: c.Target, Cost: c.Target.RelativeDelay(now), Remote: c.RoundTrip > 0}
		if r.Remote {
			r.Cost += preference.RemoteCost
		}
		ranked = append(ranked, r)
	}
	slices.SortStableFunc(ranked, func(a, b Ranked) int { return cmp.Compare(a.Cost, b.Cost) })
	return ranked
}
