// Package prober chooses a target by its current load. It probes a few targets
// for their load before each request is sent, because a report some 100 ms old
// says little about servers that share their machines with others.
package prober

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fulmarhoist.example/exchange"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/targetconn"
)

// Health is the content of a health response.
type Health struct {
	Target           string         // target name that the process reports; "" if none
	Load             *target.Report // nil if not reported
	ColdRemaining    time.Duration  // remaining time of the cold start
	HasColdRemaining bool           // whether the response states ColdRemaining
	// Declined is true if the target did not answer the question, as for a request
	// that it does not run.
	Declined bool
}

// Protocol parses health responses.
type Protocol interface {
	Health(response *http.Response) Health
}

// Prober implements exchange.Chooser. It is safe for concurrent use.
type Prober struct {
	Pools    *targetconn.Pools
	Protocol Protocol
	// HealthPath returns the path of a service's health endpoint; "" means that
	// its targets are not probed.
	HealthPath func(service string) string
	// Interval returns the minimum mean time between two probes, counted over
	// all targets; 0 means no limit.
	Interval func() time.Duration
	// Probed is called for each probe that is sent; it may be nil.
	Probed func()

	limiter target.RateLimiter // limits the probes
	mu      sync.Mutex
	pending map[*target.Target]chan struct{} // closed at the end of the probe in progress
}

const (
	// maxReportAge is the age from which on a load report is outdated, so that
	// its target is probed again.
	maxReportAge = 8 * time.Millisecond
	// sameZoneProbes and otherZoneProbes are the maximum numbers of targets in
	// this and in other availability zones that are probed for one request.
	sameZoneProbes  = 5
	otherZoneProbes = 3
	// sameZoneWait and otherZoneWait are how long a request waits for responses
	// to the probes.
	sameZoneWait  = 3 * time.Millisecond
	otherZoneWait = 8 * time.Millisecond
	// maxHealthBodyBytes is the longest body of a health response, which is
	// discarded.
	maxHealthBodyBytes = 16 << 10
	// probeTimeout is the timeout of one probe, including the time to open a
	// connection.
	probeTimeout = 300 * time.Millisecond
	// crossZoneCost is the relative delay that a target in another zone must
	// save, because traffic between zones is expensive. It grows by 1 for each
	// crossZoneBytesPerCost bytes of the body.
	crossZoneCost         = 1.0
	crossZoneBytesPerCost = 20_000
	// urgentWaitingLimit is the number of requests waiting inside a target from
	// which on it is not given an urgent one.
	urgentWaitingLimit = 1
)

// Choose implements exchange.Chooser.
func (p *Prober) Choose(ctx context.Context, svc *service.Service, criteria exchange.Criteria) (target.Permit, bool) {
	options := service.RankOptions{Tried: criteria.Tried, RemoteCost: crossZoneCost + float64(max(0, criteria.Size))/crossZoneBytesPerCost}
	if criteria.Urgent {
		options.WaitingLimit = urgentWaitingLimit
	}
	random := rand.Uint64()
	ranked := svc.View().RankTargets(time.Now(), options, random)
	if path := p.HealthPath(svc.Name); path != "" {
		p.probeAll(ctx, path, pick(ranked, false, sameZoneProbes), sameZoneWait)
		ranked = svc.View().RankTargets(time.Now(), options, random)
		if len(ranked) == 0 || ranked[0].Cost >= 1+options.RemoteCost {
			p.probeAll(ctx, path, pick(ranked, true, otherZoneProbes), otherZoneWait)
			ranked = svc.View().RankTargets(time.Now(), options, random)
		}
	}
	for _, r := range ranked {
		if permit, ok := r.Target.Admit(time.Now()); ok {
			return permit, true
		}
	}
	return target.Permit{}, false
}

// pick returns the best targets of this zone or, if remote is true, of other
// zones; limit is their maximum number.
func pick(ranked []service.RankedTarget, remote bool, limit int) []*target.Target {
	var picked []*target.Target
	for _, r := range ranked {
		if r.Remote == remote && len(picked) < limit {
			picked = append(picked, r.Target)
		}
	}
	return picked
}

// probeAll probes the targets that have no current load report and waits for the
// responses, up to the given time.
func (p *Prober) probeAll(ctx context.Context, path string, targets []*target.Target, wait time.Duration) {
	now := time.Now()
	interval := p.Interval()
	var waiting []chan struct{}
	for _, t := range targets {
		if age, known := t.ReportAge(now); known && age < maxReportAge {
			continue
		}
		if done := p.startProbe(t, path, interval); done != nil {
			waiting = append(waiting, done)
		}
	}
	if len(waiting) == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for _, done := range waiting {
		select {
		case <-done:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// startProbe starts a probe of a target, unless one is in progress, and returns
// a channel that is closed at its end. It returns nil if the rate limit allows
// no probe.
func (p *Prober) startProbe(t *target.Target, path string, interval time.Duration) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if done := p.pending[t]; done != nil {
		return done
	}
	if !p.limiter.Allow(time.Now(), interval) {
		return nil
	}
	if p.pending == nil {
		p.pending = map[*target.Target]chan struct{}{}
	}
	done := make(chan struct{})
	p.pending[t] = done
	t.ProbeSent(time.Now())
	go func() {
		p.probe(t, path)
		t.ProbeEnded()
		p.mu.Lock()
		delete(p.pending, t)
		p.mu.Unlock()
		close(done)
	}()
	return done
}

// recordInvalid records that a target sent bytes that are no health response. A
// request would fail there as well.
func recordInvalid(t *target.Target, now time.Time) {
	t.RecordResult(true)
	t.RecordFailure(now)
}

// probe sends one probe and records the result in the target.
func (p *Prober) probe(t *target.Target, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.Pools.Take(ctx, t, time.Hour)
	if err != nil {
		t.MarkUnreachable(time.Now())
		return
	}
	if p.Probed != nil {
		p.Probed()
	}
	response, _, err := conn.Do(ctx, &targetconn.Request{
		Method: http.MethodGet, Target: path, Host: t.Spec.Address, Header: http.Header{},
		Matches:   func(response *http.Response) bool { return p.Protocol.Health(response).Target != "" },
		BodyLimit: func(*http.Response) int64 { return maxHealthBodyBytes },
	})
	now := time.Now()
	var broken *targetconn.BrokenError
	if errors.As(err, &broken) && !broken.NoResponse && ctx.Err() == nil {
		recordInvalid(t, now)
	}
	if err != nil {
		return
	}
	if response.Rest != nil {
		_ = response.Rest.Close()
		conn.Close()
		recordInvalid(t, now)
		return
	}
	health := p.Protocol.Health(response.HTTP)
	if health.Declined {
		// Written again, the response would look like the refusal of the next request.
		conn.Close()
	}
	if health.Target != t.Spec.Name {
		// Another process now uses the address.
		t.MarkReplaced(now)
		conn.Close()
		return
	}
	if health.HasColdRemaining && health.ColdRemaining == 0 {
		t.MarkServerWarm()
	}
	if health.ColdRemaining > 0 {
		t.MarkServerCold(now, health.ColdRemaining)
	}
	if health.Load != nil {
		t.Observe(now, *health.Load)
	}
	p.Pools.Put(t, conn)
}
