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
	// idleWarmupInterval is the same for a cold target without demand at this
	// instance: with 1,000 such targets, steps every 20 ms took 28% of a core.
	idleWarmupInterval = 100 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between attempts to
	// connect, before jitter.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = time.Second
	// recentUseWindow is how long a cold target counts as in demand after its
	// last use.
	recentUseWindow = time.Second
	// probeTimeout bounds one request to the load endpoint.
	probeTimeout = time.Second
	// loadProbePath is the path of a target's load endpoint.
	loadProbePath = "/fulmarhoist-load"
	// maxProbeBodyBytes bounds how much of a probe's response body is read.
	maxProbeBodyBytes = 4096

	headerBootID = "Fulmarhoist-Boot-Id"
)

// owner is the state of the goroutine that runs Set.Run: it opens links,
// advances the warm-up and sends load probes.
type owner struct {
	*Set
	terms       *Terms // the terms that warmup and probes are configured with
	warmup      *target.Warmup
	probes      *target.ProbeBudget
	lastAnswers uint64 // target.Answers when lastUsedAt was last set
	lastUsedAt  time.Time

	redialDelay         time.Duration // delay before the next attempt to connect, without jitter
	nextDialAt          time.Time     // earliest time of the next attempt
	generation          uint32        // generation of the last attempt
	answersAtGeneration uint64        // target.Answers when that generation began
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
			o.limitRedials(now)
			if !now.Before(o.nextDialAt) && o.openLink(ctx) == nil {
				continue
			}
			o.backOff(now)
			pause = min(pause, time.Until(o.nextDialAt))
		}
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

// applyTerms applies new terms, if they have changed.
func (o *owner) applyTerms() {
	terms := o.Set.terms.Load()
	if o.terms != nil && *o.terms == *terms {
		return
	}
	o.terms = terms
	o.warmup.SetTerms(terms.Cold)
	o.probes = target.NewProbeBudget(terms.ProbesPerSecond, terms.Cold.MaxInstances)
}

// limitRedials delays the first connection of a new generation. The delay grows
// if the previous generation got no response: a server that closes each
// connection at once would otherwise get thousands of connections per second.
func (o *owner) limitRedials(now time.Time) {
	_, generation := o.target.State()
	if generation == o.generation {
		return
	}
	answers := o.target.Answers()
	if answers != o.answersAtGeneration {
		o.redialDelay = minRedialDelay
	}
	if o.generation != 0 {
		o.backOff(now)
	}
	o.generation, o.answersAtGeneration = generation, answers
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
// of many instances to a target that comes back.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// stepWarmup advances the warm-up and returns the time until the next step.
func (o *owner) stepWarmup(now time.Time) time.Duration {
	before, _ := o.target.State()
	if before == target.StateWarm || before == target.StateLeaving {
		return maxRedialDelay
	}
	if !o.warmup.HasLink() {
		return warmupInterval
	}
	limit := o.target.Limit()
	leaseHeld := false
	if before == target.StateCold {
		until := o.coldLeaseUntil(now)
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

// coldLeaseUntil returns the time until which this instance may send to the cold
// target, or the zero time if it may not. An instance with a fixed share of the
// cold target's capacity needs no lease.
func (o *owner) coldLeaseUntil(now time.Time) time.Time {
	if o.terms.Cold.Share() > 0 {
		return now.Add(time.Hour)
	}
	if answers := o.target.Answers(); answers != o.lastAnswers || o.target.InFlight() > 0 {
		o.lastAnswers, o.lastUsedAt = answers, now
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

// probe sends a request to the load endpoint over an idle trusted link. The
// response proves that the process is alive, as any other response does.
func (o *owner) probe(ctx context.Context) {
	l := o.Take()
	if l == nil {
		return
	}
	o.proofRequested.Store(false)
	o.Events.Probed(o.target)
	sent := time.Now()
	if _, err := probeLoad(ctx, l); err != nil {
		return
	}
	o.RecordResponse(l, sent)
	o.Put(l)
}

// identify asks the load endpoint over the first link of a generation which
// process the link reaches. If it is the process of the previous generation,
// only the connections had broken, and the target resumes its state, such as
// warm.
func (o *owner) identify(ctx context.Context, l *Link) error {
	if !o.target.HasBootID() || !o.probes.Allow(time.Now()) {
		return nil
	}
	o.Events.Probed(o.target)
	bootID, err := probeLoad(ctx, l)
	if err != nil {
		return err
	}
	if !o.target.Resume(l.Generation, bootID) {
		o.target.ObserveBootID(l.Generation, bootID)
	} else if state, _ := o.target.State(); state == target.StateWarming {
		o.warmup.ProvedWarm() // the new warm-up has no limit yet that it could double
	}
	return nil
}

// probeLoad sends a request to the load endpoint and returns the boot ID of the
// process that responded.
func probeLoad(ctx context.Context, l *Link) (bootID string, err error) {
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
	if _, current := s.target.State(); current != generation || s.closed || !l.Alive() {
		s.mu.Unlock()
		l.Close()
		return &DialError{Address: s.target.Spec.Address, Err: &ClosedError{Address: s.target.Spec.Address}}
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
