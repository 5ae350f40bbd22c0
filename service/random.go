package service

import (
	"time"

	"fulmarhoist.example/target"
)

// Random chooses a target at random. It is a baseline for measurements.
type Random struct{}

// randomDraws is the number of random places before the candidates are taken in
// order, which would favor the neighbors of targets that do not admit.
const randomDraws = 4

// Choose implements Policy.
func (Random) Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool) {
	count := uint64(len(view.Candidates))
	if count == 0 {
		return target.Permit{}, false
	}
	for range randomDraws {
		t := view.Candidates[random%count].Target
		random = scramble(random)
		if tried.Has(t) {
			continue
		}
		if permit, ok := t.Admit(now); ok {
			return permit, true
		}
	}
	return admitFrom(now, view, tried, random)
}

// scramble returns the next word of the SplitMix64 sequence after a word, so
// that one random word gives several independent places.
func scramble(word uint64) uint64 {
	word += 0x9e3779b97f4a7c15
	word = (word ^ word>>30) * 0xbf58476d1ce4e5b9
	word = (word ^ word>>27) * 0x94d049bb133111eb
	return word ^ word>>31
}
