package configlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
)

// Options configures a Reader or a Publisher. Zero values are replaced by
// defaults.
type Options struct {
	// ReadTimeout limits the duration of one read or append; 2 s by default.
	ReadTimeout time.Duration
	// PollInterval is the delay after a read that reached the end of the log;
	// 250 ms by default, so that a change is read well within 3 s.
	PollInterval time.Duration
	// BackoffLimit is the maximum delay after consecutive failures; 2 s by
	// default.
	BackoffLimit time.Duration
	// Retention is how long the log keeps records; 1 h by default. A value smaller
	// than that of the log is safe but causes more checkpoints.
	Retention time.Duration
	// CheckpointSpread is the maximum random delay of a checkpoint that is due;
	// 2 s by default. The delay differs between instances, and the first
	// checkpoint makes those of the other instances unnecessary.
	CheckpointSpread time.Duration
	// Random returns numbers from 0 to 1; the default is rand.Float64.
	Random func() float64
	// OnState is called on the reader's goroutine after each change of the state
	// in force.
	OnState func(config.State)
	// OnVerdict is called on the reader's goroutine with the verdict on each
	// record and each peer's snapshot.
	OnVerdict func(config.Verdict)
	// OnError is called on the reader's goroutine after each failed read or
	// append.
	OnError func(error)
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.ReadTimeout, 2*time.Second)
	setDefault(&o.PollInterval, 250*time.Millisecond)
	setDefault(&o.BackoffLimit, 2*time.Second)
	setDefault(&o.Retention, time.Hour)
	setDefault(&o.CheckpointSpread, 2*time.Second)
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.OnState == nil {
		o.OnState = func(config.State) {}
	}
	if o.OnVerdict == nil {
		o.OnVerdict = func(config.Verdict) {}
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	return o
}

// Reader provides the configuration in force, which it derives from the log and
// from the snapshots of peers. All methods but Run are safe for concurrent use.
type Reader struct {
	log           backing.Log
	options       Options
	peerSnapshots chan config.Snapshot

	state    atomic.Pointer[config.State]
	snapshot atomic.Pointer[config.Snapshot]
	lastRead atomic.Pointer[time.Time]

	// The fields below are used only by the goroutine of Run.
	machine         *config.StateMachine
	failures        int
	checkpointDueAt time.Time // when to append the next checkpoint; zero while none is due
	readResults     chan readResult
	appendResults   chan error
	wg              sync.WaitGroup
}

// NewReader returns a Reader that has no state yet.
func NewReader(log backing.Log, options Options) *Reader {
	return &Reader{
		log: log, options: options.withDefaults(), machine: config.NewStateMachine(),
		peerSnapshots: make(chan config.Snapshot, 16),
		readResults:   make(chan readResult, 1), appendResults: make(chan error, 1),
	}
}

// State returns the state in force, or nil if there is none yet. The state must
// not be modified.
func (r *Reader) State() *config.State { return r.state.Load() }

// Snapshot returns the snapshot to pass to peers and publishers, or nil before
// the first record.
func (r *Reader) Snapshot() *config.Snapshot { return r.snapshot.Load() }

// LastRead returns when the log was last read without an error, or the zero
// time if it never was.
func (r *Reader) LastRead() time.Time {
	if t := r.lastRead.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Offer queues a peer's snapshot without blocking. It returns false if the
// snapshot was dropped because the queue is full; the peer's next heartbeat
// repeats it.
func (r *Reader) Offer(s config.Snapshot) bool {
	select {
	case r.peerSnapshots <- s:
		return true
	default:
		return false
	}
}

// Run follows the log until the context ends, then waits for the read and the
// append in progress, which the context cancels. It must be called only once.
func (r *Reader) Run(ctx context.Context) {
	defer r.wg.Wait()
	// The timer must not have expired when the select reaches it; see
	// TestManyReadersStartAtOnce.
	timer := time.NewTimer(r.options.PollInterval)
	defer timer.Stop()
	timer.Stop()
	r.startRead(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.startRead(ctx)
		case res := <-r.readResults:
			if wait := r.handleRead(ctx, res); wait > 0 {
				timer.Reset(wait)
			} else {
				r.startRead(ctx)
			}
		case s := <-r.peerSnapshots:
			r.options.OnVerdict(r.machine.ConsumePeerSnapshot(time.Now(), s))
			r.updateState()
		case err := <-r.appendResults:
			if err != nil {
				r.options.OnError(err)
			}
		}
	}
}

// startRead reads on a separate goroutine, so that peers' snapshots are
// processed while the log is slow.
func (r *Reader) startRead(ctx context.Context) {
	from := r.machine.ReadFrom()
	r.wg.Go(func() { r.readResults <- readPage(ctx, r.log, from, r.options.ReadTimeout) })
}

// handleRead processes the result of a read and returns the delay before the
// next.
func (r *Reader) handleRead(ctx context.Context, res readResult) time.Duration {
	now := time.Now()
	verdicts, more, err := applyRead(r.machine, now, res)
	for _, v := range verdicts {
		r.options.OnVerdict(v)
	}
	r.updateState()
	if err != nil {
		if ctx.Err() == nil {
			r.options.OnError(err)
		}
		wait := backoff(r.options.PollInterval, r.options.BackoffLimit, r.failures, r.options.Random())
		r.failures++
		return wait
	}
	r.failures = 0
	r.lastRead.Store(&now)
	if more {
		return 0
	}
	r.appendCheckpointIfDue(ctx, now)
	return r.options.PollInterval
}

// updateState publishes the state and the snapshot to other goroutines.
func (r *Reader) updateState() {
	if s, ok := r.machine.Snapshot(); ok {
		r.snapshot.Store(&s)
	}
	state, ok := r.machine.InForce()
	if !ok {
		return
	}
	if prev := r.state.Load(); prev == nil || prev.Version < state.Version {
		r.state.Store(&state)
		r.options.OnState(state)
	}
}

// appendCheckpointIfDue appends a checkpoint if one has been due for longer
// than a random delay of up to CheckpointSpread.
func (r *Reader) appendCheckpointIfDue(ctx context.Context, now time.Time) {
	if !r.machine.CheckpointDue(now, r.options.Retention) {
		r.checkpointDueAt = time.Time{}
		return
	}
	delay := time.Duration(r.options.Random() * float64(r.options.CheckpointSpread))
	if r.checkpointDueAt.IsZero() {
		r.checkpointDueAt = now.Add(delay)
	}
	if now.Before(r.checkpointDueAt) {
		return
	}
	c, ok := r.machine.Checkpoint(now)
	if !ok {
		return
	}
	// The checkpoint stays due until it has been read back; the next attempt must
	// not start before this one has had time to succeed.
	r.checkpointDueAt = now.Add(r.options.ReadTimeout + r.options.CheckpointSpread + delay)
	r.wg.Go(func() {
		select {
		case r.appendResults <- r.appendCheckpoint(ctx, c):
		case <-ctx.Done():
		}
	})
}

func (r *Reader) appendCheckpoint(ctx context.Context, c config.Checkpoint) error {
	data, err := Encode(c)
	if err != nil {
		return fmt.Errorf("writing a checkpoint: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.ReadTimeout)
	defer cancel()
	if _, err = r.log.Append(ctx, backing.ConfigStream, data); err != nil {
		return fmt.Errorf("writing a checkpoint: %w", err)
	}
	return nil
}
