package targetserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// process is one run of the server's process, from a start to a crash.
type process struct {
	bootID   string
	coldTill time.Time
	bears    int64 // 0 means no limit while cold
	slots    chan struct{}
	room     int64 // slots and queue
	inside   atomic.Int64
	load     loadHistory
	attempts sync.Map // attempt id to *attempt

	alive context.Context // done after a crash
	crash context.CancelFunc
}

func newProcess(s Settings, now time.Time) *process {
	alive, crash := context.WithCancel(context.Background())
	return &process{
		bootID:   fmt.Sprintf("%016x", rand.Uint64()),
		coldTill: now.Add(s.ColdFor),
		bears:    int64(s.ColdBears),
		slots:    make(chan struct{}, s.Slots),
		room:     int64(s.Slots + s.Queue),
		load:     loadHistory{lag: s.LoadLag},
		alive:    alive,
		crash:    crash,
	}
}

func (p *process) cold(now time.Time) bool { return now.Before(p.coldTill) }

func (p *process) crashed() bool { return p.alive.Err() != nil }

type admission uint8

const (
	admitted admission = iota
	noRoom
	overloaded
)

// enter counts a request in. leave must follow only if it was admitted.
func (p *process) enter(now time.Time) (int64, admission) {
	inside := p.inside.Add(1)
	if p.cold(now) && p.bears > 0 && inside > p.bears {
		return inside, overloaded
	}
	if inside > p.room {
		p.inside.Add(-1)
		return inside, noRoom
	}
	p.load.note(now, inside)
	return inside, admitted
}

func (p *process) leave(now time.Time) {
	p.load.note(now, p.inside.Add(-1))
}

// States of an attempt. Exactly one of starting and canceling wins.
const (
	attemptWaiting int32 = iota
	attemptStarted
	attemptCanceled
)

// attempt is a request inside a process.
type attempt struct {
	state  atomic.Int32
	cancel context.CancelFunc
}

// cancelAttempt stops an attempt and tells whether it had not started and now
// never will. An id that this process does not hold gives false: the attempt
// may have run in an earlier process.
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

// loadHistory gives the load as it was some time ago.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at     time.Time
	inside int64
}

func (h *loadHistory) note(now time.Time, inside int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trim(now)
	h.samples = append(h.samples, loadSample{at: now, inside: inside})
}

// trim drops the samples that a newer sample older than the lag replaces.
func (h *loadHistory) trim(now time.Time) {
	horizon := now.Add(-h.lag)
	keep := 0
	for keep+1 < len(h.samples) && !h.samples[keep+1].at.After(horizon) {
		keep++
	}
	h.samples = h.samples[keep:]
}

func (h *loadHistory) lagging(now time.Time) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trim(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return 0
	}
	return h.samples[0].inside
}
