package service

import (
	"time"

	"fulmarhoist.example/target"
)

// Random chooses a target at random. It serves as a baseline in benchmarks.
type Random struct{}

// maxRandomDraws is the number of random draws before the candidates are tried in
// order. Trying them in order right away would favor the successors of targets
// that grant no permit.
const maxRandomDraws = 4

// Choose implements Policy. If no draw yields a permit, the candidates are tried
// in order from a random position.
func (Random) Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool) {
	count := uint64(len(view.Candidates))
	if count == 0 {
		return target.Permit{}, false
	}
	for range maxRandomDraws {
		t := view.Candidates[random%count].Target
		random = splitMix64(random)
		if tried.Contains(t) {
			continue
		}
		if permit, ok := t.Admit(now); ok {
			return permit, true
		}
	}
	return admitFrom(now, view, tried, random)
}

// splitMix64 returns the output of the SplitMix64 generator for the given state, so
// that several independent positions can be derived from one random word.
func splitMix64(word uint64) uint64 {
	word += 0x9e3779b97f4a7c15
	word = (word ^ word>>30) * 0xbf58476d1ce4e5b9
	word = (word ^ word>>27) * 0x94d049bb133111eb
	return word ^ word>>31
}
