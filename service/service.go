// Package service models one service: the routing view, the choice of a target
// and the queue of requests that wait for one.
//
// Request goroutines read an immutable View; one writer replaces it whole. The
// package starts no goroutine, does no I/O, and takes time and randomness from
// its caller.
package service

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

// Candidate is a target that may get new work, with the round trip to its zone.
type Candidate struct {
	Target    *target.Target
	RoundTrip time.Duration
}

// View is the routing view of a service. It is immutable.
type View struct {
	Version    uint64 // version of the configuration it was made from
	Zones      []*zone.Zone
	Candidates []Candidate
}

// NewView returns the view over the given zones.
func NewView(version uint64, zones []*zone.Zone) *View {
	v := &View{Version: version, Zones: zones}
	for _, z := range zones {
		for _, t := range z.Open() {
			v.Candidates = append(v.Candidates, Candidate{Target: t, RoundTrip: z.RoundTrip})
		}
	}
	return v
}

// Policy chooses a target and takes a permit from it. Implementations are safe
// for concurrent use. The random word replaces a generator, so that a test can
// repeat a choice.
type Policy interface {
	Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool)
}

// Tried lists the targets that a request has failed on; it is short.
type Tried []*target.Target

// Has tells whether the request has failed on the target.
func (tr Tried) Has(t *target.Target) bool {
	for _, other := range tr {
		if other == t {
			return true
		}
	}
	return false
}

// Service is one service as one entry instance sees it.
type Service struct {
	Name    string
	Queue   *Queue
	Retries *RetryBudget
	// Durations tells how long requests usually take.
	Durations Durations

	view    atomic.Pointer[View]
	policy  Policy
	askedAt atomic.Int64 // when a request last came, monotime nanoseconds
}

// demandWindow is how long the service counts as in use after a request.
const demandWindow = time.Second

// Asked records that a request has come. Cold targets warm up from then on, not
// only when a request has to wait: a zone that returned stayed without work for
// as long as the others sufficed, and was cold when it was needed.
func (s *Service) Asked(now time.Time) { s.askedAt.Store(monotime.Nanos(now)) }

// Wanted implements link.Demand.
func (s *Service) Wanted(now time.Time) bool {
	return monotime.Nanos(now)-s.askedAt.Load() < int64(demandWindow) || s.Queue.Len() > 0
}

// Ready implements link.Demand.
func (s *Service) Ready() { s.Queue.WakeAll() }

// New returns a service without targets.
func New(name string, queueLimit, retryPercent int, policy Policy) *Service {
	s := &Service{Name: name, Queue: NewQueue(queueLimit), Retries: NewRetryBudget(retryPercent), policy: policy}
	s.view.Store(&View{})
	return s
}

// View returns the current routing view.
func (s *Service) View() *View { return s.view.Load() }

// Replace sets the routing view. One goroutine calls it. Requests that wait in
// the queue choose again.
func (s *Service) Replace(view *View) {
	s.view.Store(view)
	s.Queue.WakeAll()
}

// Choose takes a permit from the best target of the current view.
func (s *Service) Choose(now time.Time, tried Tried, random uint64) (target.Permit, bool) {
	return s.policy.Choose(now, s.view.Load(), tried, random)
}
