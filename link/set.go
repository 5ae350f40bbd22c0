package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fulmarhoist.example/target"
)

const (
	// stepInterval is how often the warm-up of a target that is not warm is
	// looked at.
	stepInterval = 20 * time.Millisecond
	// firstRedial and maxRedial bound the pause between attempts to connect.
	firstRedial = 20 * time.Millisecond
	maxRedial   = time.Second
)

// Lessor grants this instance the right to send to cold targets.
type Lessor interface {
	// ColdLease returns the time until which this instance may send up to what
	// the cold target bears, and the zero time if it may not.
	ColdLease(now time.Time, t *target.Target) time.Time
	// ProvedWarm tells whether a peer has shown, since the given time, that the
	// running process of the target is warm.
	ProvedWarm(t *target.Target, since time.Time) bool
	// Warm tells the peers that the target is no longer cold.
	Warm(t *target.Target)
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
	terms  target.ColdTerms
	lessor Lessor
	idle   chan *Link
	wake   chan struct{} // capacity 1
	ready  func()        // called when a link or capacity became available

	mu      sync.Mutex
	open    map[*Link]struct{}
	waiting []*Link // open, not trusted
	closed  bool
}

// NewSet returns the set of links of a target. The function ready is called,
// from any goroutine, when waiting requests should choose again.
func NewSet(t *target.Target, terms target.ColdTerms, lessor Lessor, ready func()) *Set {
	return &Set{
		target: t,
		terms:  terms,
		lessor: lessor,
		idle:   make(chan *Link, t.Spec.Links),
		wake:   make(chan struct{}, 1),
		ready:  ready,
		open:   make(map[*Link]struct{}, t.Spec.Links),
	}
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

// Put returns a link after its response was read to the end.
func (s *Set) Put(l *Link) {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed || !s.usable(l) {
		l.Close()
		return
	}
	select {
	case s.idle <- l:
	default:
		l.Close()
	}
}

func (s *Set) usable(l *Link) bool {
	_, generation := s.target.State()
	return l.Alive() && l.Generation == generation
}

// Answered records an answer on a trusted link to a request sent at the given
// time, and trusts the links that were established before that.
func (s *Set) Answered(l *Link, sent time.Time) {
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

// Run opens links and steps the warm-up until the context ends. It returns
// after all idle links are closed; links in use are closed when they are put
// back, so that no request in flight is cut.
func (s *Set) Run(ctx context.Context) {
	defer s.close()
	warmup := target.NewWarmup(s.target, s.terms)
	timer := time.NewTimer(0)
	defer timer.Stop()
	redial := firstRedial
	for {
		pause := s.step(warmup)
		if s.missing() {
			if err := s.dial(ctx, warmup); err != nil {
				pause = jitter(redial)
				redial = min(2*redial, maxRedial)
			} else {
				redial = firstRedial
				continue
			}
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

// jitter spreads the redials of many instances to a target that comes back.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// step applies the warm-up and returns how long to wait for the next one.
func (s *Set) step(warmup *target.Warmup) time.Duration {
	before, _ := s.target.State()
	limit := s.target.Limit()
	if before == target.StateWarm || before == target.StateLeaving {
		return maxRedial
	}
	now := time.Now()
	leased := false
	if before == target.StateCold {
		until := s.coldUntil(now)
		s.target.Lease(until)
		leased = s.terms.Share() == 0 && now.Before(until)
		if !warmup.ConnectedAt().IsZero() && s.lessor.ProvedWarm(s.target, warmup.ConnectedAt()) {
			warmup.ProvedWarm()
		}
	}
	warmup.Step(now, leased)
	after, _ := s.target.State()
	if before == target.StateCold && after == target.StateWarming {
		s.lessor.Warm(s.target)
	}
	if s.target.Limit() > limit {
		s.ready()
	}
	return stepInterval
}

// coldUntil returns the time until which this instance may send to the cold
// target. Its fixed share needs no lease.
func (s *Set) coldUntil(now time.Time) time.Time {
	if s.terms.Share() > 0 {
		return now.Add(time.Hour)
	}
	return s.lessor.ColdLease(now, s.target)
}

func (s *Set) missing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) < s.target.Spec.Links
}

// dial opens one link. A connection that was refused while no link is open is
// evidence that the process is gone.
func (s *Set) dial(ctx context.Context, warmup *target.Warmup) error {
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
		warmup.Connected(time.Now(), generation)
		s.Put(l)
		s.ready()
	}
	return nil
}

// broken is called once when a link has ended. The last trusted link of a
// generation takes the generation with it, and the links that were not trusted.
func (s *Set) broken(l *Link) {
	s.mu.Lock()
	_, known := s.open[l]
	delete(s.open, l)
	var dropped []*Link
	if known && l.trusted.Load() && !s.hasTrusted(l.Generation) {
		s.target.Restarted(l.Generation)
		dropped, s.waiting = s.waiting, nil
	}
	s.mu.Unlock()
	for _, d := range dropped {
		d.Close()
	}
	select {
	case s.wake <- struct{}{}:
	default:
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
	waiting := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	for _, l := range waiting {
		l.Close()
	}
	for {
		select {
		case l := <-s.idle:
			l.Close()
		default:
			return
		}
	}
}
