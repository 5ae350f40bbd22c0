package link

import (
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/target"
)

// Lessor grants this instance the right to send to cold targets.
type Lessor interface {
	// ColdLease and Relinquish get the generation that a link was opened for: a
	// proof of warmth that was asked for before the first link could refer to a
	// process that has ended since.
	//
	// ColdLease returns the time until which this instance may send up to what
	// the cold target bears, and the zero time if it may not.
	ColdLease(now time.Time, t *target.Target, generation uint32) time.Time
	// Relinquish ends the lease on a cold target that this instance does not
	// need, so that one that has requests for it can have the lease.
	Relinquish(now time.Time, t *target.Target, generation uint32)
	// ProvedWarm tells whether a peer has shown that the process of the
	// target's current generation is warm.
	ProvedWarm(t *target.Target) bool
	// Warm tells the peers that the target is no longer cold.
	Warm(t *target.Target)
}

// Demand tells a Set whether its target is of use now, and is told about
// new capacity.
type Demand interface {
	// Wanted tells whether a request came a short time ago.
	Wanted(now time.Time) bool
	// Ready is called, from any goroutine, when waiting requests should choose
	// again.
	Ready()
}

// Events is told what happens to a target. Its methods are called from any
// goroutine and return without waiting.
type Events interface {
	// Crashed names the requests that were running on a target when all of its
	// connections broke.
	Crashed(t *target.Target, running []contract.Fingerprint)
	// Changed reports a new state of the target.
	Changed(t *target.Target)
	// Probed reports a probe of the load endpoint.
	Probed(t *target.Target)
}

// Terms is what the configuration says about a target's links. It is comparable.
type Terms struct {
	Cold target.ColdTerms
	// ProbesPerSecond is the budget for load probes, over all instances.
	ProbesPerSecond float64
}

// Surroundings are the parts that a Set works with.
type Surroundings struct {
	Lessor Lessor
	Demand Demand
	Events Events
}

// crashWindow is the time within which the connections of a process that has
// ended break. Requests on connections that broke earlier did not run then.
const crashWindow = time.Second

// process is the boot id that the first answer of a generation named.
type process struct {
	generation uint32
	bootID     string
}

// lostWork is a request whose connection broke.
type lostWork struct {
	at   time.Time
	work *Work
}

// Set holds the links of one target. Request goroutines take and return links
// over a channel; the goroutine that runs Run opens them.
//
// A link takes work only if it is trusted to reach the process that the
// target's current generation stands for. The first link of a generation is
// trusted. A later one becomes trusted when an answer arrives on a trusted link
// to a request that was sent after the later one was established: the process
// was alive then, so both links reach the same one.
type Set struct {
	target *target.Target
	terms  atomic.Pointer[Terms]
	Surroundings
	idle chan *Link
	wake chan struct{} // capacity 1

	wantProof atomic.Bool
	process   atomic.Pointer[process]
	proved    atomic.Int64 // when the newest answered request was sent, Unix nanoseconds

	mu      sync.Mutex
	open    map[*Link]struct{}
	waiting []*Link // open, not trusted
	lost    []lostWork
	closed  bool
}

// NewSet returns the set of links of a target.
func NewSet(t *target.Target, terms Terms, surroundings Surroundings) *Set {
	s := &Set{
		target:       t,
		Surroundings: surroundings,
		idle:         make(chan *Link, t.Spec.Links),
		wake:         make(chan struct{}, 1),
		open:         make(map[*Link]struct{}, t.Spec.Links),
	}
	s.terms.Store(&terms)
	return s
}

// SetTerms replaces the terms, after a change of the configuration.
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

// TakeFresh returns an idle trusted link that has worked since the given time.
// It closes the other idle links: when one connection has gone silent, those that
// were unused since then may have too, and a request would find out only by
// waiting. The owner opens new ones.
func (s *Set) TakeFresh(since time.Time) *Link {
	for {
		l := s.Take()
		if l == nil || l.fresh(since) {
			return l
		}
		l.Close()
	}
}

// Put returns a link after its response was read to the end.
func (s *Set) Put(l *Link) {
	for _, ended := range s.putIdle(l) {
		ended.Close()
	}
}

// putIdle returns the links that have no place any more. It holds the mutex, so
// that no link comes after close has emptied the channel. A full channel holds
// links that have ended, because the set opens no more links than there are
// places. If the new link were dropped instead of them, another one would be
// dialed at once, without end.
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

// drainIdle empties the channel. The caller holds the mutex, which every sender
// to the channel needs.
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

// BootID returns the boot id of the process that the link reaches, or "" if it
// is not known. Without an answer on the link itself, it is the one that another
// trusted link of the same generation got.
func (s *Set) BootID(l *Link) string {
	if own := l.bootID.Load(); own != nil {
		return *own
	}
	if known := s.process.Load(); known != nil && known.generation == l.Generation {
		return known.bootID
	}
	return ""
}

// identified keeps the first boot id of a generation.
func (s *Set) identified(l *Link) {
	id := l.bootID.Load()
	if id == nil || !l.trusted.Load() {
		return
	}
	known := s.process.Load()
	if known == nil || known.generation < l.Generation {
		s.process.CompareAndSwap(known, &process{l.Generation, *id})
	}
}

func (s *Set) usable(l *Link) bool {
	_, generation := s.target.State()
	return l.Alive() && l.Generation == generation
}

// Answered records an answer on a trusted link to a request sent at the given
// time, and trusts the links that were established before that.
func (s *Set) Answered(l *Link, sent time.Time) {
	l.provedAt.Store(time.Now().UnixNano())
	s.prove(sent)
	s.identified(l)
	s.mu.Lock()
	if len(s.waiting) == 0 || !l.trusted.Load() {
		s.mu.Unlock()
		return
	}
	var promoted []*Link
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if w.Generation == l.Generation && w.Opened.Before(sent) {
			promoted = append(promoted, w)
		} else {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
	for _, p := range promoted {
		p.trusted.Store(true)
	}
	s.mu.Unlock()
	for _, p := range promoted {
		s.Put(p)
	}
}

// prove keeps the newest time.
func (s *Set) prove(sent time.Time) {
	for {
		old := s.proved.Load()
		if sent.UnixNano() <= old || s.proved.CompareAndSwap(old, sent.UnixNano()) {
			return
		}
	}
}

// Proved returns the time at which the newest request was sent that the warm
// target has answered, and the zero time while the target is cold.
func (s *Set) Proved() time.Time {
	state, _ := s.target.State()
	proved := s.proved.Load()
	if proved == 0 || (state != target.StateWarming && state != target.StateWarm) {
		return time.Time{}
	}
	return time.Unix(0, proved)
}

// WantProof asks for an answer of the target soon, also if no request goes to it.
func (s *Set) WantProof() {
	s.wantProof.Store(true)
	s.notify()
}

func (s *Set) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// broken is called once when a link has ended. The last trusted link of a
// generation takes the generation with it, and the links that were not trusted.
func (s *Set) broken(l *Link) {
	now := time.Now()
	s.mu.Lock()
	_, known := s.open[l]
	delete(s.open, l)
	if work := l.unanswered(); work != nil {
		s.lost = append(s.lost, lostWork{now, work})
	}
	var dropped []*Link
	var lost []lostWork
	restarted := known && l.trusted.Load() && !s.hasTrusted(l.Generation) && s.target.Restarted(l.Generation)
	if restarted {
		dropped, s.waiting = s.waiting, nil
		lost = s.lost
	}
	if len(s.lost) > cap(s.idle) || lost != nil {
		s.lost = nil
	}
	s.mu.Unlock()
	for _, d := range dropped {
		d.Close()
	}
	if restarted {
		s.Events.Changed(s.target)
		s.reportCrash(now, lost)
	}
	s.notify()
}

func (s *Set) reportCrash(now time.Time, lost []lostWork) {
	var running []contract.Fingerprint
	for _, l := range lost {
		if now.Sub(l.at) <= crashWindow {
			running = append(running, l.work.Fingerprint())
		}
	}
	if len(running) > 0 {
		s.Events.Crashed(s.target, running)
	}
}

// hasTrusted tells whether a trusted link of the generation is open. The caller
// holds the mutex.
func (s *Set) hasTrusted(generation uint32) bool {
	for l := range s.open {
		if l.Generation == generation && l.trusted.Load() {
			return true
		}
	}
	return false
}

func (s *Set) close() {
	s.mu.Lock()
	s.closed = true
	links := append(s.waiting, s.drainIdle()...)
	s.waiting = nil
	s.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}
