package link

import (
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/target"
)

// Lessor grants this instance leases to send to cold targets.
type Lessor interface {
	// ColdLease and Relinquish get the generation for which a link was opened:
	// a proof of warmth that was requested before the first link existed could
	// refer to a process that has ended since.
	//
	// ColdLease returns the time until which this instance may use the whole
	// ColdTerms.MaxConcurrent of the cold target, or the zero time if it may
	// not.
	ColdLease(now time.Time, t *target.Target, generation uint32) time.Time
	// Relinquish ends the lease on a cold target that this instance does not
	// need, so that an instance with requests for it can get the lease.
	Relinquish(now time.Time, t *target.Target, generation uint32)
	// ProvedWarm reports whether a peer has proved that the process of the
	// target's current generation is warm.
	ProvedWarm(t *target.Target) bool
	// AnnounceWarm tells the peers that the target is no longer cold.
	AnnounceWarm(t *target.Target)
}

// Demand reports whether there is demand for the target of a Set, and is
// notified of new capacity.
type Demand interface {
	// InDemand reports whether a request arrived recently or is queued.
	InDemand(now time.Time) bool
	// CapacityAvailable is called, from any goroutine, when queued requests
	// should choose a target again.
	CapacityAvailable()
}

// Events is notified of what happens to a target. Its methods are called from
// any goroutine and must not block.
type Events interface {
	// Crashed reports the requests that were in flight at a target when all of
	// its connections broke.
	Crashed(t *target.Target, running []contract.Fingerprint)
	// StateChanged reports that the state of the target has changed.
	StateChanged(t *target.Target)
	// Probed reports that a request is sent to the target's load endpoint.
	Probed(t *target.Target)
}

// Terms is the configuration of a target's links. It is comparable with ==.
type Terms struct {
	Cold target.ColdTerms
	// ProbesPerSecond is the rate limit of load probes over all instances.
	ProbesPerSecond float64
}

// Dependencies are the dependencies of a Set.
type Dependencies struct {
	Lessor Lessor
	Demand Demand
	Events Events
}

// crashWindow is the time within which all connections of a crashed process
// break. Requests on connections that broke earlier were not running at the
// crash.
const crashWindow = time.Second

// processIdentity is the boot ID from the first response of a generation.
type processIdentity struct {
	generation uint32
	bootID     string
}

// interruptedRequest is a request whose connection broke before any response
// byte.
type interruptedRequest struct {
	at      time.Time
	request *InFlightRequest
}

// Set holds the links to one target. Request goroutines take and return links
// over a channel; the goroutine that runs Run opens them.
//
// A link carries requests only if it is trusted to reach the process that the
// target's current generation represents. The first link of a generation is
// trusted. A later link becomes trusted when a trusted link gets the response
// to a request that was sent after the later link was established: the process
// was still alive at that time, so both links reach the same process.
type Set struct {
	target *target.Target
	terms  atomic.Pointer[Terms]
	Dependencies
	idle chan *Link
	wake chan struct{} // capacity 1

	proofRequested atomic.Bool
	identity       atomic.Pointer[processIdentity]
	lastProof      atomic.Int64 // send time of the newest answered request, Unix nanoseconds

	mu          sync.Mutex
	open        map[*Link]struct{}
	untrusted   []*Link // open links that are not trusted yet
	interrupted []interruptedRequest
	closed      bool
}

// NewSet returns the set of links to a target. Run opens them.
func NewSet(t *target.Target, terms Terms, dependencies Dependencies) *Set {
	s := &Set{
		target:       t,
		Dependencies: dependencies,
		idle:         make(chan *Link, t.Spec.Links),
		wake:         make(chan struct{}, 1),
		open:         make(map[*Link]struct{}, t.Spec.Links),
	}
	s.terms.Store(&terms)
	return s
}

// SetTerms replaces the terms after a configuration change.
func (s *Set) SetTerms(terms Terms) {
	s.terms.Store(&terms)
	s.notify()
}

// Take returns an idle trusted link, or nil if there is none.
func (s *Set) Take() *Link {
	for {
		select {
		case l := <-s.idle:
			if s.usable(l) {
				return l
			}
			l.Close()
		default:
			return nil
		}
	}
}

// TakeVerifiedSince returns an idle trusted link that is known to have worked
// after the given time, or nil. It closes the unverified links that it finds
// before: when one connection has gone silent, those that were unused since
// then may have too, and a request would find out only by waiting. Run opens
// new ones.
func (s *Set) TakeVerifiedSince(since time.Time) *Link {
	for {
		l := s.Take()
		if l == nil || l.verifiedSince(since) {
			return l
		}
		l.Close()
	}
}

// Put returns a link to the set after its response was read to the end.
func (s *Set) Put(l *Link) {
	for _, ended := range s.putIdle(l) {
		ended.Close()
	}
}

// putIdle puts the link on the idle channel and returns the links to be closed.
// It holds the mutex, so that no link is added after close has drained the
// channel. A full channel contains links that have ended, because the set opens
// no more links than the channel holds. If the new link were dropped instead of
// those, another one would be dialed at once, endlessly.
func (s *Set) putIdle(l *Link) (dropped []*Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.usable(l) {
		return []*Link{l}
	}
	select {
	case s.idle <- l:
		return nil
	default:
	}
	for _, candidate := range append(s.drainIdle(), l) {
		if s.usable(candidate) && len(s.idle) < cap(s.idle) {
			s.idle <- candidate
		} else {
			dropped = append(dropped, candidate)
		}
	}
	return dropped
}

// drainIdle removes all links from the idle channel. The caller must hold the
// mutex, as every sender to the channel does.
func (s *Set) drainIdle() []*Link {
	var links []*Link
	for {
		select {
		case l := <-s.idle:
			links = append(links, l)
		default:
			return links
		}
	}
}

// BootID returns the boot ID of the process that the link reaches, or "" if it
// is not known. Before the first response on the link itself, it is the one
// that another trusted link of the same generation got.
func (s *Set) BootID(l *Link) string {
	if own := l.bootID.Load(); own != nil {
		return *own
	}
	if known := s.identity.Load(); known != nil && known.generation == l.Generation {
		return known.bootID
	}
	return ""
}

// recordBootID stores the first boot ID of a generation.
func (s *Set) recordBootID(l *Link) {
	id := l.bootID.Load()
	if id == nil || !l.trusted.Load() {
		return
	}
	known := s.identity.Load()
	if known == nil || known.generation < l.Generation {
		s.identity.CompareAndSwap(known, &processIdentity{l.Generation, *id})
	}
}

// usable reports whether the link is open and of the target's current
// generation.
func (s *Set) usable(l *Link) bool {
	_, generation := s.target.State()
	return l.Alive() && l.Generation == generation
}

// RecordResponse records a response on a trusted link to a request that was
// sent at the given time. Links that were established before that time become
// trusted.
func (s *Set) RecordResponse(l *Link, sent time.Time) {
	l.lastVerified.Store(time.Now().UnixNano())
	s.updateLastProof(sent)
	s.recordBootID(l)
	s.mu.Lock()
	if len(s.untrusted) == 0 || !l.trusted.Load() {
		s.mu.Unlock()
		return
	}
	var promoted []*Link
	stillUntrusted := s.untrusted[:0]
	for _, candidate := range s.untrusted {
		if candidate.Generation == l.Generation && candidate.Opened.Before(sent) {
			promoted = append(promoted, candidate)
		} else {
			stillUntrusted = append(stillUntrusted, candidate)
		}
	}
	s.untrusted = stillUntrusted
	for _, p := range promoted {
		p.trusted.Store(true)
	}
	s.mu.Unlock()
	for _, p := range promoted {
		s.Put(p)
	}
}

// updateLastProof sets lastProof to the given time if it is newer.
func (s *Set) updateLastProof(sent time.Time) {
	for {
		old := s.lastProof.Load()
		if sent.UnixNano() <= old || s.lastProof.CompareAndSwap(old, sent.UnixNano()) {
			return
		}
	}
}

// LastProof returns the send time of the newest request that the target has
// answered, or the zero time if there is none or the target is neither warming
// nor warm.
func (s *Set) LastProof() time.Time {
	state, _ := s.target.State()
	lastProof := s.lastProof.Load()
	if lastProof == 0 || (state != target.StateWarming && state != target.StateWarm) {
		return time.Time{}
	}
	return time.Unix(0, lastProof)
}

// RequestProof requests a response from the target soon, by a load probe if need
// be.
func (s *Set) RequestProof() {
	s.proofRequested.Store(true)
	s.notify()
}

// notify wakes the goroutine that runs Run.
func (s *Set) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// broken is called once when a link has ended. The end of the last trusted link
// of a generation ends the generation and closes its untrusted links.
func (s *Set) broken(l *Link) {
	now := time.Now()
	s.mu.Lock()
	_, known := s.open[l]
	delete(s.open, l)
	if r := l.unansweredRequest(); r != nil {
		s.interrupted = append(s.interrupted, interruptedRequest{now, r})
	}
	var dropped []*Link
	var interrupted []interruptedRequest
	restarted := known && l.trusted.Load() && !s.hasTrusted(l.Generation) && s.target.Restarted(l.Generation)
	if restarted {
		dropped, s.untrusted = s.untrusted, nil
		interrupted = s.interrupted
	}
	if len(s.interrupted) > cap(s.idle) || interrupted != nil {
		s.interrupted = nil
	}
	s.mu.Unlock()
	for _, d := range dropped {
		d.Close()
	}
	if restarted {
		s.Events.StateChanged(s.target)
		s.reportCrash(now, interrupted)
	}
	s.notify()
}

// reportCrash reports the requests whose connections broke within crashWindow.
func (s *Set) reportCrash(now time.Time, interrupted []interruptedRequest) {
	var running []contract.Fingerprint
	for _, i := range interrupted {
		if now.Sub(i.at) <= crashWindow {
			running = append(running, i.request.Fingerprint())
		}
	}
	if len(running) > 0 {
		s.Events.Crashed(s.target, running)
	}
}

// hasTrusted reports whether a trusted link of the generation is open. The
// caller must hold the mutex.
func (s *Set) hasTrusted(generation uint32) bool {
	for l := range s.open {
		if l.Generation == generation && l.trusted.Load() {
			return true
		}
	}
	return false
}

// close closes the idle and untrusted links. Links in use are closed by Put.
func (s *Set) close() {
	s.mu.Lock()
	s.closed = true
	links := append(s.untrusted, s.drainIdle()...)
	s.untrusted = nil
	s.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}
