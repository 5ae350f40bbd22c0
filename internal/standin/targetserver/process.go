package targetserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// process simulates one process of the server, from its start to its crash.
type process struct {
	bootID       string
	coldUntil    time.Time
	coldCapacity int64 // requests that may be in flight while cold; 0 means no limit
	slots        chan struct{}
	capacity     int64 // requests that may run or wait for a slot
	inFlight     atomic.Int64
	load         loadHistory
	attempts     sync.Map // *attempt by attempt id

	lifetime context.Context // ends with a crash of the process
	crash    context.CancelFunc
}

func newProcess(s Settings, now time.Time) *process {
	lifetime, crash := context.WithCancel(context.Background())
	return &process{
		bootID:       fmt.Sprintf("%016x", rand.Uint64()),
		coldUntil:    now.Add(s.ColdDuration),
		coldCapacity: int64(s.ColdCapacity),
		slots:        make(chan struct{}, s.Slots),
		capacity:     int64(s.Slots + s.Queue),
		load:         loadHistory{lag: s.LoadLag},
		lifetime:     lifetime,
		crash:        crash,
	}
}

func (p *process) isCold(now time.Time) bool { return now.Before(p.coldUntil) }

func (p *process) crashed() bool { return p.lifetime.Err() != nil }

// admission is the decision about a request that has arrived.
type admission uint8

const (
	admitted   admission = iota
	queueFull            // all slots and all places in the queue are taken
	overloaded           // more requests are in flight than a cold process can handle
)

// enter adds an arriving request to those in flight and decides whether it is
// admitted. It also returns the number in flight including this request. The
// caller calls leave only for an admitted request.
func (p *process) enter(now time.Time) (int64, admission) {
	inFlight := p.inFlight.Add(1)
	if p.isCold(now) && p.coldCapacity > 0 && inFlight > p.coldCapacity {
		return inFlight, overloaded
	}
	if inFlight > p.capacity {
		p.inFlight.Add(-1)
		return inFlight, queueFull
	}
	p.load.add(now, inFlight)
	return inFlight, admitted
}

// leave removes a request from those in flight.
func (p *process) leave(now time.Time) {
	p.load.add(now, p.inFlight.Add(-1))
}

// States of an attempt. An attempt that waits either starts or is canceled,
// whichever comes first; it never does both.
const (
	attemptWaiting int32 = iota
	attemptStarted
	attemptCanceled
)

// attempt is a request in flight in a process.
type attempt struct {
	state  atomic.Int32
	cancel context.CancelFunc
}

// cancelAttempt cancels an attempt and reports whether it had not started and
// never will. It returns false for an id that is unknown to this process,
// because the attempt may have run in an earlier process.
func (p *process) cancelAttempt(id string) bool {
	found, ok := p.attempts.Load(id)
	if !ok {
		return false
	}
	a, ok := found.(*attempt)
	if !ok {
		return false
	}
	prevented := a.state.CompareAndSwap(attemptWaiting, attemptCanceled)
	a.cancel()
	return prevented
}

// loadHistory holds recent values of the load, to report the load as it was one
// lag ago. Its methods are safe for concurrent use.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at       time.Time
	inFlight int64
}

func (h *loadHistory) add(now time.Time, inFlight int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trim(now)
	h.samples = append(h.samples, loadSample{at: now, inFlight: inFlight})
}

// trim drops the samples that are superseded at the horizon, which is one lag
// ago. It keeps the newest sample that is not after the horizon and all later
// ones. The caller holds h.mu.
func (h *loadHistory) trim(now time.Time) {
	horizon := now.Add(-h.lag)
	first := 0
	for first+1 < len(h.samples) && !h.samples[first+1].at.After(horizon) {
		first++
	}
	h.samples = h.samples[first:]
}

// delayed returns the load as it was one lag ago.
func (h *loadHistory) delayed(now time.Time) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trim(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return 0
	}
	return h.samples[0].inFlight
}
