package service

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/target"
)

// RoundRobin chooses the targets in turn. It serves as a baseline in benchmarks.
// Each service needs its own; it must not be copied after first use.
type RoundRobin struct {
	next atomic.Uint64
}

// Choose implements Policy. Targets that grant no permit are skipped.
func (r *RoundRobin) Choose(now time.Time, view *View, tried Tried, _ uint64) (target.Permit, bool) {
	return admitFrom(now, view, tried, r.next.Add(1))
}

// admitFrom takes a permit from the first untried candidate that grants one, in
// the order of the view from position start on, wrapping around at the end.
func admitFrom(now time.Time, view *View, tried Tried, start uint64) (target.Permit, bool) {
	count := uint64(len(view.Candidates))
	for i := range count {
		t := view.Candidates[(start%count+i)%count].Target
		if tried.Contains(t) {
			continue
		}
		if permit, ok := t.Admit(now); ok {
			return permit, true
		}
	}
	return target.Permit{}, false
}
