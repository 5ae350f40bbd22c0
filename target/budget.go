package target

import "time"

// ProbeBudget limits the load probes that this instance sends to one target. Its
// rate is the part of the budget of all instances that one instance may use when
// as many run as the configuration allows, so that instances that do not know of
// each other stay within the budget together. One goroutine uses it.
type ProbeBudget struct {
	interval time.Duration // 0 turns probing off
	next     time.Time
}

// slowestProbe is the interval above which probes tell too little to be sent.
const slowestProbe = 10 * time.Second

// NewProbeBudget returns the share of a budget, in probes per second and target,
// of one of at most maxInstances instances.
func NewProbeBudget(perSecond float64, maxInstances int) *ProbeBudget {
	if perSecond <= 0 {
		return &ProbeBudget{}
	}
	interval := time.Duration(float64(max(1, maxInstances)) / perSecond * float64(time.Second))
	if interval > slowestProbe {
		return &ProbeBudget{}
	}
	return &ProbeBudget{interval: interval}
}

// Take tells whether a probe may be sent now, and counts it.
func (b *ProbeBudget) Take(now time.Time) bool {
	if b.interval == 0 || now.Before(b.next) {
		return false
	}
	b.next = now.Add(b.interval)
	return true
}
