package target

import "time"

// ColdTerms is what is agreed about a cold target.
type ColdTerms struct {
	// Bears is the number of requests at the same time that a cold target
	// bears, over all instances together.
	Bears int
	// Duration is how long a target stays cold at least.
	Duration time.Duration
	// Answers is the number of whole answers needed before the limit grows.
	Answers int
	// MaxInstances is the largest number of entry instances at the same time.
	MaxInstances int
}

// Share is the part of Bears that each instance may use without asking the
// others. It is 0 where a target bears less than there are instances.
func (c ColdTerms) Share() int { return c.Bears / max(1, c.MaxInstances) }

// Warmup decides the limit of one target from its start until it is warm. Its
// owner, a single goroutine, passes in events and the time.
type Warmup struct {
	target *Target
	terms  ColdTerms

	generation  uint32
	connectedAt time.Time // first link of the generation; zero before it
	answered    uint64    // count of whole answers when the current step began
	limit       int
}

// NewWarmup returns the warm-up of a target, under terms that bear nothing.
func NewWarmup(t *Target) *Warmup { return &Warmup{target: t} }

// SetTerms sets the terms. They apply from the next step on.
func (w *Warmup) SetTerms(terms ColdTerms) { w.terms = terms }

// Connected records that a link of the given generation was opened. The cold
// duration counts from the first one: the process started before it.
func (w *Warmup) Connected(now time.Time, generation uint32) {
	if generation == w.generation && !w.connectedAt.IsZero() {
		return
	}
	w.generation, w.connectedAt = generation, now
	w.answered, w.limit = w.target.Answers(), 0
}

// Started tells whether a link of the target's current generation was opened.
// Nothing may be asked or proved about a process before that.
func (w *Warmup) Started() bool {
	_, generation := w.target.State()
	return generation == w.generation && !w.connectedAt.IsZero()
}

// Generation returns the generation of the newest link.
func (w *Warmup) Generation() uint32 { return w.generation }

// Step applies the rules to the current state. Leased tells that this instance
// holds the lease on the cold target; until then only its share is used.
func (w *Warmup) Step(now time.Time, leased bool) {
	if !w.Started() {
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

func (w *Warmup) stepCold(now time.Time, leased bool) {
	limit := w.terms.Share()
	if leased {
		limit = w.terms.Bears
	}
	limit = min(limit, w.target.Spec.Links)
	if limit != w.limit {
		w.limit = limit
		w.target.Transition(w.generation, StateCold, limit)
	}
	if now.Sub(w.connectedAt) >= w.terms.Duration && w.target.Answers()-w.answered >= uint64(w.terms.Answers) {
		w.ProvedWarm()
	}
}

// ProvedWarm starts the ramp: this instance or a peer has shown that the
// process of the current generation is warm.
func (w *Warmup) ProvedWarm() {
	w.limit = min(max(1, w.limit), w.target.Spec.Links)
	w.answered = w.target.Answers()
	w.target.Transition(w.generation, StateWarming, w.limit)
}

// stepWarming doubles the limit after a window of as many whole answers as the
// limit allows at the same time.
func (w *Warmup) stepWarming() {
	if w.target.Answers()-w.answered < uint64(w.limit) {
		return
	}
	w.answered = w.target.Answers()
	w.limit *= 2
	state := StateWarming
	if w.limit >= w.target.Spec.Links {
		w.limit, state = w.target.Spec.Links, StateWarm
	}
	w.target.Transition(w.generation, state, w.limit)
}
