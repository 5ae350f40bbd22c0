package service

import (
	"cmp"
	"slices"
	"time"

	"fulmarhoist.example/target"
)

// Preference is what a request asks of the choice of its target.
type Preference struct {
	// Tried are the targets that the request has failed on.
	Tried Tried
	// RemoteCost is the relative delay that a target in another availability zone
	// must save to be chosen, for the traffic between zones that it causes.
	RemoteCost float64
	// Waiting is how many requests may wait inside a target that still gets this
	// one. A less urgent request waits here instead, where urgent ones pass it.
	Waiting int
}

// Ranked is a target that could get a request, with what it would cost.
type Ranked struct {
	Target *target.Target
	Cost   float64 // relative delay; see target.RelativeDelay
	Remote bool    // in another availability zone
}

// Rank returns the targets that admit a request and have room for it, cheapest
// first. Targets of equal cost are in an order that depends on the random word.
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
