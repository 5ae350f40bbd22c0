package service

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/target"
)

// RoundRobin chooses the targets in turn. It is a baseline for measurements. Use
// it by pointer, one per service.
type RoundRobin struct {
	turn atomic.Uint64
}

// Choose implements Policy. A target that does not admit is passed over.
func (r *RoundRobin) Choose(now time.Time, view *View, tried Tried, _ uint64) (target.Permit, bool) {
	return admitFrom(now, view, tried, r.turn.Add(1))
}

// admitFrom takes a permit from the first candidate that admits, from the given
// place on, in the order of the view.
func admitFrom(now time.Time, view *View, tried Tried, start uint64) (target.Permit, bool) {
	count := uint64(len(view.Candidates))
	for i := range count {
		t := view.Candidates[(start%count+i)%count].Target
		if tried.Has(t) {
			continue
		}
		if permit, ok := t.Admit(now); ok {
			return permit, true
		}
	}
	return target.Permit{}, false
}
