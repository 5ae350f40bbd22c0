package target

import "time"

// ColdTerms are the configured limits for a cold target.
type ColdTerms struct {
	// MaxConcurrent is the number of concurrent requests that a cold target can
	// handle, from all instances together.
	MaxConcurrent int
	// Duration is the minimum time for which a target is cold.
	Duration time.Duration
	// Answers is the number of complete responses that a cold target must have
	// given before its limit grows.
	Answers int
	// MaxInstances is the maximum number of entry instances at any time.
	MaxInstances int
}

// Share returns the part of MaxConcurrent that each instance may use without a
// lease. It is 0 if MaxConcurrent is less than MaxInstances.
func (c ColdTerms) Share() int { return c.MaxConcurrent / max(1, c.MaxInstances) }

// Warmup controls the limit of one target from the start of its process until
// it is warm. It is not safe for concurrent use.
type Warmup struct {
	target *Target
	terms  ColdTerms

	generation  uint32
	connectedAt time.Time // when the first link of the generation was opened; zero before
	baseAnswers uint64    // target.Answers() when the generation or the current window began
	limit       int       // current limit of the target
}

// NewWarmup returns the warm-up of a target. SetTerms must be called before the
// first Step.
func NewWarmup(t *Target) *Warmup { return &Warmup{target: t} }

// SetTerms sets the terms that apply from the next step on.
func (w *Warmup) SetTerms(terms ColdTerms) { w.terms = terms }

// Connected records that a link of the given generation was opened. The cold
// duration is measured from the first link of a generation, since the process is
// known to have started before it.
func (w *Warmup) Connected(now time.Time, generation uint32) {
	if generation == w.generation && !w.connectedAt.IsZero() {
		return
	}
	w.generation, w.connectedAt = generation, now
	w.baseAnswers, w.limit = w.target.Answers(), 0
}

// HasLink reports whether a link of the target's current generation was opened.
// Before that, peers must not be queried about the process and no proof of its
// warmth is valid.
func (w *Warmup) HasLink() bool {
	_, generation := w.target.State()
	return generation == w.generation && !w.connectedAt.IsZero()
}

// Generation returns the generation passed to the last call of Connected.
func (w *Warmup) Generation() uint32 { return w.generation }

// Step updates state and limit of the target. The argument leased says whether
// this instance holds the lease on the cold target; without it only the share
// of the instance is admitted.
func (w *Warmup) Step(now time.Time, leased bool) {
	if !w.HasLink() {
		return
	}
	switch state, _ := w.target.State(); state {
	case StateCold:
		w.stepCold(now, leased)
	case StateWarming:
		w.stepWarming()
	case StateWarm, StateLeaving:
	}
}

// stepCold sets the limit of a cold target. It starts the ramp-up once the
// target has been connected for the cold duration and has given enough answers.
func (w *Warmup) stepCold(now time.Time, leased bool) {
	limit := w.terms.Share()
	if leased {
		limit = w.terms.MaxConcurrent
	}
	limit = min(limit, w.target.Spec.Links)
	if limit != w.limit {
		w.limit = limit
		w.target.Transition(w.generation, StateCold, limit)
	}
	if now.Sub(w.connectedAt) >= w.terms.Duration && w.target.Answers()-w.baseAnswers >= uint64(w.terms.Answers) {
		w.ProvedWarm()
	}
}

// ProvedWarm starts the ramp-up of the limit. It is called when this instance
// or a peer has proved that the process of the current generation is warm.
func (w *Warmup) ProvedWarm() {
	w.limit = min(max(1, w.limit), w.target.Spec.Links)
	w.baseAnswers = w.target.Answers()
	w.target.Transition(w.generation, StateWarming, w.limit)
}

// stepWarming doubles the limit after each window of answers. A window has as
// many answers as the limit allows concurrent requests.
func (w *Warmup) stepWarming() {
	if w.target.Answers()-w.baseAnswers < uint64(w.limit) {
		return
	}
	w.baseAnswers = w.target.Answers()
	w.limit *= 2
	state := StateWarming
	if w.limit >= w.target.Spec.Links {
		w.limit, state = w.target.Spec.Links, StateWarm
	}
	w.target.Transition(w.generation, state, w.limit)
}
