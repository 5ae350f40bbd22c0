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
	// stepInterval is how often the warm-up of a target that is not warm is
	// looked at.
	stepInterval = 20 * time.Millisecond
	// idleStepInterval is the same for a cold target that this instance does not
	// use: at 1,000 such targets, steps every 20 ms took 28% of a core.
	idleStepInterval = 100 * time.Millisecond
	// firstRedial and maxRedial bound the pause between attempts to connect.
	firstRedial = 20 * time.Millisecond
	maxRedial   = time.Second
	// useWindow is how long a cold target counts as needed after its last use.
	useWindow = time.Second
	// probeTimeout bounds one probe of the load endpoint.
	probeTimeout = time.Second
	// loadPath is the load endpoint of a target.
	loadPath = "/fulmarhoist-load"
	// maxProbeBytes bounds the body of a load endpoint's answer.
	maxProbeBytes = 4096

	headerBootID = "Fulmarhoist-Boot-Id"
)

// owner is the goroutine of a Set: it opens links, steps the warm-up and sends
// probes.
type owner struct {
	*Set
	terms   *Terms // the terms that warmup and probes were made from
	warmup  *target.Warmup
	probes  *target.ProbeBudget
	answers uint64
	usedAt  time.Time

	redial     time.Duration // pause before the next attempt to connect
	dialAt     time.Time     // no attempt before this time
	generation uint32        // of the last attempt
	answered   uint64        // whole answers when that generation began
}

// Run opens links and steps the warm-up until the context ends. It returns
// after all idle links are closed; links in use are closed when they are put
// back, so that no request in flight is cut.
func (s *Set) Run(ctx context.Context) {
	defer s.close()
	o := &owner{Set: s, warmup: target.NewWarmup(s.target), redial: firstRedial}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		o.adopt()
		now := time.Now()
		pause := o.step(now)
		if s.missing() {
			o.pace(now)
			if !now.Before(o.dialAt) && o.dial(ctx) == nil {
				continue
			}
			o.backOff(now)
			pause = min(pause, time.Until(o.dialAt))
		}
		if s.wantProof.Load() && o.probes.Take(time.Now()) {
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

// adopt takes over new terms.
func (o *owner) adopt() {
	terms := o.Set.terms.Load()
	if o.terms != nil && *o.terms == *terms {
		return
	}
	o.terms = terms
	o.warmup.SetTerms(terms.Cold)
	o.probes = target.NewProbeBudget(terms.ProbesPerSecond, terms.Cold.MaxInstances)
}

// pace delays the first connection of a generation if the one before ended. If
// that brought no answer, the pause grows: a server that closes each connection
// would otherwise get thousands per second.
func (o *owner) pace(now time.Time) {
	_, generation := o.target.State()
	if generation == o.generation {
		return
	}
	answers := o.target.Answers()
	if answers != o.answered {
		o.redial = firstRedial
	}
	if o.generation != 0 {
		o.backOff(now)
	}
	o.generation, o.answered = generation, answers
}

// backOff sets the time of the next attempt, unless it is set already.
func (o *owner) backOff(now time.Time) {
	if now.Before(o.dialAt) {
		return
	}
	o.dialAt = now.Add(jitter(o.redial))
	o.redial = min(2*o.redial, maxRedial)
}

// jitter spreads the redials of many instances to a target that comes back.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// step applies the warm-up and returns how long to wait for the next one.
func (o *owner) step(now time.Time) time.Duration {
	before, _ := o.target.State()
	if before == target.StateWarm || before == target.StateLeaving {
		return maxRedial
	}
	if !o.warmup.Started() {
		return stepInterval
	}
	limit := o.target.Limit()
	leased := false
	if before == target.StateCold {
		until := o.coldUntil(now)
		o.target.Lease(until)
		leased = o.terms.Cold.Share() == 0 && now.Before(until)
		if o.Lessor.ProvedWarm(o.target) {
			o.warmup.ProvedWarm()
		}
	}
	o.warmup.Step(now, leased)
	after, _ := o.target.State()
	if after != before {
		o.Events.Changed(o.target)
	}
	if before == target.StateCold && after == target.StateWarming {
		o.Lessor.Warm(o.target)
	}
	if o.target.Limit() > limit {
		o.Demand.Ready()
	}
	if after == target.StateCold && !o.needed(now) {
		return idleStepInterval
	}
	return stepInterval
}

// coldUntil returns the time until which this instance may send to the cold
// target. Its fixed share needs no lease.
func (o *owner) coldUntil(now time.Time) time.Time {
	if o.terms.Cold.Share() > 0 {
		return now.Add(time.Hour)
	}
	if answers := o.target.Answers(); answers != o.answers || o.target.InFlight() > 0 {
		o.answers, o.usedAt = answers, now
	}
	if !o.needed(now) {
		o.Lessor.Relinquish(now, o.target, o.warmup.Generation())
		return time.Time{}
	}
	return o.Lessor.ColdLease(now, o.target, o.warmup.Generation())
}

// needed tells whether requests come for the target or still run there.
func (o *owner) needed(now time.Time) bool {
	return o.Demand.Wanted(now) || now.Sub(o.usedAt) <= useWindow
}

// probe asks the load endpoint over an idle trusted link. Its answer proves
// that the process is alive, as any other answer does.
func (o *owner) probe(ctx context.Context) {
	l := o.Take()
	if l == nil {
		return
	}
	o.wantProof.Store(false)
	o.Events.Probed(o.target)
	sent := time.Now()
	if _, err := askLoad(ctx, l); err != nil {
		return
	}
	o.Answered(l, sent)
	o.Put(l)
}

// identify asks over the first link of a generation which process it reaches. If
// only the connections to a warm process had broken, it goes on as warm.
func (o *owner) identify(ctx context.Context, l *Link) error {
	if !o.target.Identifiable() || !o.probes.Take(time.Now()) {
		return nil
	}
	o.Events.Probed(o.target)
	bootID, err := askLoad(ctx, l)
	if err != nil {
		return err
	}
	if !o.target.Resume(l.Generation, bootID) {
		o.target.SawBootID(l.Generation, bootID)
	} else if state, _ := o.target.State(); state == target.StateWarming {
		o.warmup.ProvedWarm() // the new warm-up has no limit to double yet
	}
	return nil
}

// askLoad reads the load endpoint and returns the boot id of the process.
func askLoad(ctx context.Context, l *Link) (bootID string, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := (&http.Request{Method: http.MethodGet, URL: &url.URL{Path: loadPath}, Header: http.Header{}}).WithContext(ctx)
	response, _, err := l.Send(request)
	if err != nil {
		return "", fmt.Errorf("probe the load endpoint: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes)); err != nil {
		l.Close()
		return "", fmt.Errorf("probe the load endpoint: %w", err)
	}
	return response.Header.Get(headerBootID), nil
}

func (s *Set) missing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) < s.target.Spec.Links
}

// dial opens one link. A connection that was refused while no link is open is
// evidence that the process is gone.
func (o *owner) dial(ctx context.Context) error {
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
		return &DialError{Address: s.target.Spec.Address, Err: &SpentError{Address: s.target.Spec.Address}}
	}
	s.open[l] = struct{}{}
	first := !s.hasTrusted(generation)
	if first {
		l.trusted.Store(true)
	} else {
		s.waiting = append(s.waiting, l)
	}
	s.mu.Unlock()
	if first {
		o.warmup.Connected(time.Now(), generation)
		if err := o.identify(ctx, l); err != nil {
			return err
		}
		s.Put(l)
		s.Demand.Ready()
	}
	return nil
}
