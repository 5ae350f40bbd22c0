package service

import (
	"time"

	"fulmarhoist.example/target"
)

// PowerOfTwo implements the power of two choices: it draws two targets at random
// and chooses the one with fewer requests in flight from this instance. It serves
// as a baseline in benchmarks.
type PowerOfTwo struct{}

// Choose implements Policy. If neither target grants a permit, the candidates are
// tried in order from a random position.
func (PowerOfTwo) Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool) {
	count := uint64(len(view.Candidates))
	if count == 0 {
		return target.Permit{}, false
	}
	first := random % count
	nextRandom := splitMix64(random)
	second := (first + 1 + nextRandom%max(1, count-1)) % count
	pair := [2]*target.Target{view.Candidates[first].Target, view.Candidates[second].Target}
	if pair[1].InFlight() < pair[0].InFlight() {
		pair[0], pair[1] = pair[1], pair[0]
	}
	for _, t := range pair {
		if tried.Contains(t) {
			continue
		}
		if permit, ok := t.Admit(now); ok {
			return permit, true
		}
	}
	return admitFrom(now, view, tried, splitMix64(nextRandom))
}
