// Package prober chooses a target by its load at the moment of the choice. It asks
// a few targets for their load before a request goes out, because what they said
// some 100 ms ago tells little about servers that share their machines.
package prober

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fulmarhoist.example/exchange"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/targetconn"
)

// Health is what a health answer says.
type Health struct {
	Target   string         // the process that answered; "" if it names none
	Load     *target.Report // nil if it tells none
	ColdLeft time.Duration  // how much longer it is cold
	ColdTold bool           // the answer tells ColdLeft
}

// Protocol reads health answers.
type Protocol interface {
	Health(response *http.Response) Health
}

// Prober implements exchange.Chooser. It is safe for concurrent use.
type Prober struct {
	Pools    *targetconn.Pools
	Protocol Protocol
	// HealthPath returns the path of a service's health endpoint.
	HealthPath func(service string) string
	// Interval returns the least mean time between two questions to any targets; 0
	// sets no bound.
	Interval func() time.Duration
	// Probed is called for each question; it may be nil.
	Probed func()

	rate    target.Rate // of questions
	mu      sync.Mutex
	pending map[*target.Target]chan struct{}
}

const (
	// freshFor is the age up to which a report is as good as a new one.
	freshFor = 8 * time.Millisecond
	// nearProbes and remoteProbes are how many targets of this and of other
	// availability zones are asked for one request.
	nearProbes   = 5
	remoteProbes = 3
	// nearWait and remoteWait are how long answers are waited for.
	nearWait   = 3 * time.Millisecond
	remoteWait = 8 * time.Millisecond
	// probeTimeout ends a question without an answer.
	probeTimeout = 300 * time.Millisecond
	// remoteCost is the least relative delay that another zone must save; traffic
	// between zones is dear. It grows by 1 with each remoteBytes of the body.
	remoteCost  = 1.0
	remoteBytes = 20_000
	// urgentWaiting is how many requests may wait inside a target that still gets
	// an urgent one.
	urgentWaiting = 1
)

// Choose implements exchange.Chooser.
func (s *Prober) Choose(ctx context.Context, of *service.Service, need exchange.Criteria) (target.Permit, bool) {
	preference := service.Preference{Tried: need.Tried, RemoteCost: remoteCost + float64(max(0, need.Size))/remoteBytes}
	if need.Urgent {
		preference.Waiting = urgentWaiting
	}
	random := rand.Uint64()
	ranked := of.View().Rank(time.Now(), preference, random)
	if path := s.HealthPath(of.Name); path != "" {
		s.ask(ctx, path, pick(ranked, false, nearProbes), nearWait)
		ranked = of.View().Rank(time.Now(), preference, random)
		if len(ranked) == 0 || ranked[0].Cost >= 1+preference.RemoteCost {
			s.ask(ctx, path, pick(ranked, true, remoteProbes), remoteWait)
			ranked = of.View().Rank(time.Now(), preference, random)
		}
	}
	for _, r := range ranked {
		if permit, ok := r.Target.Admit(time.Now()); ok {
			return permit, true
		}
	}
	return target.Permit{}, false
}

// pick returns the first targets of one kind.
func pick(ranked []service.Ranked, remote bool, most int) []*target.Target {
	var picked []*target.Target
	for _, r := range ranked {
		if r.Remote == remote && len(picked) < most {
			picked = append(picked, r.Target)
		}
	}
	return picked
}

// ask asks targets without a new report for one, and waits for a short time.
func (s *Prober) ask(ctx context.Context, path string, targets []*target.Target, wait time.Duration) {
	now := time.Now()
	interval := s.Interval()
	var waiting []chan struct{}
	for _, t := range targets {
		if age, known := t.ReportAge(now); known && age < freshFor {
			continue
		}
		if done := s.start(t, path, interval); done != nil {
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

// start asks a target, unless it is being asked already, and returns a channel
// that is closed at the end of the question. It returns nil if too many questions
// were asked.
func (s *Prober) start(t *target.Target, path string, interval time.Duration) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done := s.pending[t]; done != nil {
		return done
	}
	if !s.rate.Take(time.Now(), interval) {
		return nil
	}
	if s.pending == nil {
		s.pending = map[*target.Target]chan struct{}{}
	}
	done := make(chan struct{})
	s.pending[t] = done
	t.Asked(time.Now())
	go func() {
		s.probe(t, path)
		t.Replied()
		s.mu.Lock()
		delete(s.pending, t)
		s.mu.Unlock()
		close(done)
	}()
	return done
}

func (s *Prober) probe(t *target.Target, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := s.Pools.Take(ctx, t, time.Hour)
	if err != nil {
		t.Unreachable(time.Now())
		return
	}
	if s.Probed != nil {
		s.Probed()
	}
	answer, _, err := conn.Do(ctx, &targetconn.Message{
		Method: http.MethodGet, Target: path, Host: t.Spec.Address, Header: http.Header{},
		Expected: func(response *http.Response) bool { return s.Protocol.Health(response).Target != "" },
	})
	if err != nil {
		return
	}
	if answer.Rest != nil {
		conn.Close()
		return
	}
	now := time.Now()
	health := s.Protocol.Health(answer.Response)
	if health.Target != t.Spec.Name {
		// The address belongs to another process now.
		t.Replaced(now)
		conn.Close()
		return
	}
	if health.ColdTold && health.ColdLeft == 0 {
		t.Warmed()
	}
	if health.ColdLeft > 0 {
		t.CoolFor(now, health.ColdLeft)
	}
	if health.Load != nil {
		t.Observe(now, *health.Load)
	}
	s.Pools.Put(t, conn)
}
