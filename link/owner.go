package link

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"fulmarhoist.example/target"
)

const (
	// warmupInterval is the time between two warm-up steps of a target that is
	// not warm.
	warmupInterval = 20 * time.Millisecond
	// idleWarmupInterval is the time between two warm-up steps of a cold target
	// without demand at this instance: with 1,000 such targets, steps every 20 ms
	// took 28% of a core.
	idleWarmupInterval = 100 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between attempts to
	// connect, before jitter.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = time.Second
	// recentUseWindow is how long a cold target counts as in demand after its
	// last use.
	recentUseWindow = time.Second
	// probeTimeout limits the duration of one probe.
	probeTimeout = time.Second
	// loadProbePath is the path of a target's load endpoint. The load that it
	// reports is not used here; a response shows that the process is alive, and
	// which one it is by its boot ID.
	loadProbePath = "/fulmarhoist-load"
	// maxProbeBodyBytes bounds how much of a probe's response body is read.
	maxProbeBodyBytes = 4096

	headerBootID = "Fulmarhoist-Boot-Id"
)

// owner is the state of the loop in Set.Run, which opens links, advances the
// warm-up and sends load probes. Only the goroutine of Run uses it.
//
// A generation is the number of the target's process as far as this instance
// knows. It increases on evidence that the process has ended, such as the end of
// the last trusted link.
type owner struct {
	*Set
	terms              *Terms // configuration last applied to warmup and probes
	warmup             *target.Warmup
	probes             *target.ProbeBudget
	responsesAtLastUse uint64 // number of responses when lastUsedAt was set
	lastUsedAt         time.Time

	redialDelay           time.Duration // delay before the next attempt to connect, without jitter
	nextDialAt            time.Time     // earliest time of the next attempt
	generation            uint32        // generation of the last attempt
	responsesAtGeneration uint64        // number of responses when that generation began
}

// Run opens links and advances the warm-up until the context ends. It returns
// after all idle links are closed. Links in use are closed when they are put
// back, so that no request in flight is interrupted.
func (s *Set) Run(ctx context.Context) {
	defer s.close()
	o := &owner{Set: s, warmup: target.NewWarmup(s.target), redialDelay: minRedialDelay}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		o.applyTerms()
		now := time.Now()
		pause := o.stepWarmup(now)
		if s.needsLinks() {
			o.delayRedial(now)
			if !now.Before(o.nextDialAt) && o.openLink(ctx) == nil {
				continue
			}
			o.backOff(now)
			pause = min(pause, time.Until(o.nextDialAt))
		}
		// Set by RequestProof: a peer that asks for the lease needs a recent
		// response as proof that the process is still the one that is warm.
		if s.proofRequested.Load() && o.probes.Allow(time.Now()) {
			o.probe(ctx)
		}
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// applyTerms passes changed terms to the warm-up and replaces the probe budget.
func (o *owner) applyTerms() {
	terms := o.Set.terms.Load()
	if o.terms != nil && *o.terms == *terms {
		return
	}
	o.terms = terms
	o.warmup.SetTerms(terms.Cold)
	o.probes = target.NewProbeBudget(terms.ProbesPerSecond, terms.Cold.MaxInstances)
}

// delayRedial delays the first connection of a new generation. The delay doubles
// with each generation and is reset if the previous one got a response: a server
// that closes each connection at once would otherwise get thousands of
// connections per second.
func (o *owner) delayRedial(now time.Time) {
	_, generation := o.target.State()
	if generation == o.generation {
		return
	}
	answers := o.target.Answers()
	if answers != o.responsesAtGeneration {
		o.redialDelay = minRedialDelay
	}
	if o.generation != 0 {
		o.backOff(now)
	}
	o.generation, o.responsesAtGeneration = generation, answers
}

// backOff schedules the next attempt to connect and doubles the delay, unless an
// attempt is already scheduled.
func (o *owner) backOff(now time.Time) {
	if now.Before(o.nextDialAt) {
		return
	}
	o.nextDialAt = now.Add(jitter(o.redialDelay))
	o.redialDelay = min(2*o.redialDelay, maxRedialDelay)
}

// jitter returns a random duration from d/2 up to 3d/2. It spreads the redials
// of many instances to a target that becomes reachable again.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// stepWarmup advances the warm-up and returns the time until it must be called
// again.
func (o *owner) stepWarmup(now time.Time) time.Duration {
	before, _ := o.target.State()
	if before == target.StateWarm || before == target.StateLeaving {
		return maxRedialDelay
	}
	if !o.warmup.HasLink() {
		return warmupInterval
	}
	limit := o.target.Limit()
	leaseHeld := false // stays false with a fixed share, which needs no lease
	if before == target.StateCold {
		until := o.updateColdLease(now)
		o.target.Lease(until)
		leaseHeld = o.terms.Cold.Share() == 0 && now.Before(until)
		if o.Lessor.ProvedWarm(o.target) {
			o.warmup.ProvedWarm()
		}
	}
	o.warmup.Step(now, leaseHeld)
	after, _ := o.target.State()
	if after != before {
		o.Events.StateChanged(o.target)
	}
	if before == target.StateCold && after == target.StateWarming {
		o.Lessor.AnnounceWarm(o.target)
	}
	if o.target.Limit() > limit {
		o.Demand.CapacityAvailable()
	}
	if after == target.StateCold && !o.inDemand(now) {
		return idleWarmupInterval
	}
	return warmupInterval
}

// updateColdLease updates lastUsedAt, and requests the lease on the cold target if
// there is demand or gives it up if there is none. It returns the time until
// which this instance may send to the target, or the zero time if it may not. An
// instance with a fixed share of the cold target's capacity needs no lease.
func (o *owner) updateColdLease(now time.Time) time.Time {
	if o.terms.Cold.Share() > 0 {
		return now.Add(time.Hour) // any time beyond the next step would do
	}
	if answers := o.target.Answers(); answers != o.responsesAtLastUse || o.target.InFlight() > 0 {
		o.responsesAtLastUse, o.lastUsedAt = answers, now
	}
	if !o.inDemand(now) {
		o.Lessor.Relinquish(now, o.target, o.warmup.Generation())
		return time.Time{}
	}
	return o.Lessor.ColdLease(now, o.target, o.warmup.Generation())
}

// inDemand reports whether there is recent demand for the target, or recent use
// of it.
func (o *owner) inDemand(now time.Time) bool {
	return o.Demand.InDemand(now) || now.Sub(o.lastUsedAt) <= recentUseWindow
}

// probe sends a request to the load endpoint over an idle link, which is known to
// reach the current process (see Set). The response proves, like the response to
// any request, that the process is alive.
func (o *owner) probe(ctx context.Context) {
	l := o.Take()
	if l == nil {
		return
	}
	o.proofRequested.Store(false)
	o.Events.Probed(o.target)
	sent := time.Now()
	if _, err := fetchBootID(ctx, l); err != nil {
		return
	}
	o.RecordResponse(l, sent)
	o.Put(l)
}

// identify asks the load endpoint over the first link of a generation which
// process the link reaches. If it is the process of the previous generation, the
// process did not restart. A target that was warm then gets its state and limit
// back; one that was warming starts the ramp-up of its limit again.
func (o *owner) identify(ctx context.Context, l *Link) error {
	if !o.target.HasBootID() || !o.probes.Allow(time.Now()) {
		return nil
	}
	o.Events.Probed(o.target)
	bootID, err := fetchBootID(ctx, l)
	if err != nil {
		return err
	}
	if !o.target.Resume(l.Generation, bootID) {
		o.target.ObserveBootID(l.Generation, bootID)
	} else if state, _ := o.target.State(); state == target.StateWarming {
		o.warmup.ProvedWarm() // the limit of the new warm-up is still 0, so doubling would not raise it
	}
	return nil
}

// fetchBootID sends a request to the load endpoint and returns the boot ID of the
// process that responded.
func fetchBootID(ctx context.Context, l *Link) (bootID string, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := (&http.Request{Method: http.MethodGet, URL: &url.URL{Path: loadProbePath}, Header: http.Header{}}).WithContext(ctx)
	response, _, err := l.Send(request)
	if err != nil {
		return "", fmt.Errorf("probe the load endpoint: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBodyBytes)); err != nil {
		l.Close()
		return "", fmt.Errorf("read the response of the load endpoint: %w", err)
	}
	return response.Header.Get(headerBootID), nil
}

// needsLinks reports whether the set has fewer open links than configured.
func (s *Set) needsLinks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) < s.target.Spec.Links
}

// openLink opens one link. The first link of a generation is trusted and
// identified at once; a later one becomes trusted in RecordResponse.
func (o *owner) openLink(ctx context.Context) error {
	s := o.Set
	_, generation := s.target.State()
	l, err := Open(ctx, s.target.Spec.Address, generation, s.broken)
	if err != nil {
		return err
	}
	s.mu.Lock()
	_, current := s.target.State()
	if current != generation || s.closed || !l.Alive() {
		s.mu.Unlock()
		l.Close()
		var cause error = &ClosedError{Address: s.target.Spec.Address}
		if current != generation {
			cause = &RestartedError{Address: s.target.Spec.Address, Generation: generation}
		}
		return &DialError{Address: s.target.Spec.Address, Err: cause}
	}
	s.open[l] = struct{}{}
	isFirst := !s.hasTrusted(generation)
	if isFirst {
		l.trusted.Store(true)
	} else {
		s.untrusted = append(s.untrusted, l)
	}
	s.mu.Unlock()
	if isFirst {
		o.warmup.Connected(time.Now(), generation)
		if err := o.identify(ctx, l); err != nil {
			return err
		}
		s.Put(l)
		s.Demand.CapacityAvailable()
	}
	return nil
}
