package service

import (
	"time"

	"fulmarhoist.example/target"
)

// PowerOfTwo draws two targets at random and chooses the one with fewer requests
// in flight from this instance. It is a baseline for measurements.
type PowerOfTwo struct{}

// Choose implements Policy. If neither target admits, the others are tried in
// order from a random place.
func (PowerOfTwo) Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool) {
	count := uint64(len(view.Candidates))
	if count == 0 {
		return target.Permit{}, false
	}
	first := random % count
	other := scramble(random)
	second := (first + 1 + other%max(1, count-1)) % count
	pair := [2]*target.Target{view.Candidates[first].Target, view.Candidates[second].Target}
	if pair[1].InFlight() < pair[0].InFlight() {
		pair[0], pair[1] = pair[1], pair[0]
	}
	for _, t := range pair {
		if tried.Has(t) {
			continue
		}
		if permit, ok := t.Admit(now); ok {
			return permit, true
		}
	}
	return admitFrom(now, view, tried, scramble(other))
}
