// Package service models one service: its routing view, the load-balancing policy
// that chooses a target, the retry budget, and the queue of requests that wait for
// a target.
//
// Request goroutines read an immutable View, which a single writer replaces as a
// whole. The package starts no goroutines and does no I/O; the caller passes the
// time and random numbers.
package service

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

// Candidate is a target that may receive new requests, with the round-trip time
// to its zone.
type Candidate struct {
	Target    *target.Target
	RoundTrip time.Duration
}

// View is the immutable routing view of a service: its zones and candidates.
type View struct {
	Version    uint64 // version of the configuration that the view was built from
	Zones      []*zone.Zone
	Candidates []Candidate
}

// NewView returns the view of the given zones.
func NewView(version uint64, zones []*zone.Zone) *View {
	v := &View{Version: version, Zones: zones}
	for _, z := range zones {
		for _, t := range z.AvailableTargets() {
			v.Candidates = append(v.Candidates, Candidate{Target: t, RoundTrip: z.RoundTrip})
		}
	}
	return v
}

// PausedUntil returns the earliest end of a pause if all targets that are not
// leaving have asked for one, and false otherwise.
func (v *View) PausedUntil(now time.Time) (earliest time.Time, paused bool) {
	for i := range v.Candidates {
		t := v.Candidates[i].Target
		if t.Leaving() {
			continue
		}
		until, targetPaused := t.PausedUntil(now)
		if !targetPaused {
			return time.Time{}, false
		}
		if !paused || until.Before(earliest) {
			earliest, paused = until, true
		}
	}
	return earliest, paused
}

// Policy chooses a target and takes a permit from it. Implementations are safe
// for concurrent use. The caller passes a random word instead of a generator, so
// that tests can reproduce a choice.
type Policy interface {
	Choose(now time.Time, view *View, tried Tried, random uint64) (target.Permit, bool)
}

// Tried lists the targets on which a request has already failed. It is short, so
// it is searched linearly.
type Tried []*target.Target

// Contains reports whether the request has failed on the target.
func (tr Tried) Contains(t *target.Target) bool {
	for _, other := range tr {
		if other == t {
			return true
		}
	}
	return false
}

// Service is the state that one instance keeps of a service.
type Service struct {
	Name        string
	Queue       *Queue
	RetryBudget *RetryBudget
	// ResponseTimes holds the average response time of each request class.
	ResponseTimes ResponseTimes

	view          atomic.Pointer[View]
	policy        Policy
	lastRequestAt atomic.Int64 // arrival of the latest request, monotime nanoseconds
}

// demandWindow is how long a service counts as in demand after a request.
const demandWindow = time.Second

// RecordRequest records the arrival of a request. Cold targets start to warm up
// on any request, not only when requests have to wait: otherwise a zone that
// returns to service gets no requests while the other zones have enough
// capacity, and is still cold when it is needed.
func (s *Service) RecordRequest(now time.Time) { s.lastRequestAt.Store(monotime.Nanos(now)) }

// InDemand implements link.Demand. It reports whether a request arrived
// recently or is waiting.
func (s *Service) InDemand(now time.Time) bool {
	return monotime.Nanos(now)-s.lastRequestAt.Load() < int64(demandWindow) || s.Queue.Len() > 0
}

// CapacityAvailable implements link.Demand. It wakes all waiting requests.
func (s *Service) CapacityAvailable() { s.Queue.WakeAll() }

// New returns a service without targets.
func New(name string, queueLimit, retryPercent int, policy Policy) *Service {
	s := &Service{Name: name, Queue: NewQueue(queueLimit), RetryBudget: NewRetryBudget(retryPercent), policy: policy}
	s.view.Store(&View{})
	return s
}

// View returns the current routing view.
func (s *Service) View() *View { return s.view.Load() }

// Replace sets the routing view and wakes all waiting requests so that they choose
// again. It must be called from a single goroutine.
func (s *Service) Replace(view *View) {
	s.view.Store(view)
	s.Queue.WakeAll()
}

// Choose takes a permit from a target of the current view, as the policy decides.
// It returns false if no target grants one.
func (s *Service) Choose(now time.Time, tried Tried, random uint64) (target.Permit, bool) {
	return s.policy.Choose(now, s.view.Load(), tried, random)
}
