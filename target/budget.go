package target

import "time"

// ProbeBudget limits the rate of load probes from this instance to one target.
// The overall budget is divided by the maximum number of instances that the
// configuration allows, so that instances stay within it even if they do not
// know of each other. A ProbeBudget is not safe for concurrent use.
type ProbeBudget struct {
	interval time.Duration // 0 disables probing
	next     time.Time
}

// maxProbeInterval is the interval above which probing is disabled, because
// probes that are so rare yield too little information.
const maxProbeInterval = 10 * time.Second

// NewProbeBudget returns the share of one instance in a budget of perSecond
// probes per second and target that up to maxInstances instances share.
func NewProbeBudget(perSecond float64, maxInstances int) *ProbeBudget {
	if perSecond <= 0 {
		return &ProbeBudget{}
	}
	interval := time.Duration(float64(max(1, maxInstances)) / perSecond * float64(time.Second))
	if interval > maxProbeInterval {
		return &ProbeBudget{}
	}
	return &ProbeBudget{interval: interval}
}

// Allow reports whether a probe may be sent now. If so, the probe counts
// against the budget.
func (b *ProbeBudget) Allow(now time.Time) bool {
	if b.interval == 0 || now.Before(b.next) {
		return false
	}
	b.next = now.Add(b.interval)
	return true
}
