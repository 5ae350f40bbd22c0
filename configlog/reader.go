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

// Options of a Reader. Zero values are replaced by defaults.
type Options struct {
	// ReadTimeout bounds one read or append; 2 s by default.
	ReadTimeout time.Duration
	// PollInterval is the wait after a read that reached the end of the log;
	// 250 ms by default, so that a change is read well within 3 s.
	PollInterval time.Duration
	// BackoffLimit bounds the wait after failures; 2 s by default.
	BackoffLimit time.Duration
	// Retention is how long the log keeps records; 1 h by default. A smaller
	// value than the log's is safe and costs more checkpoints.
	Retention time.Duration
	// CheckpointSpread is the span over which instances spread the moment at
	// which they append a checkpoint that is due; 2 s by default. The first
	// one makes the others unnecessary.
	CheckpointSpread time.Duration
	// Random returns numbers from 0 to 1; the default is rand.Float64.
	Random func() float64
	// OnState is called by the reader's goroutine after each change of the
	// state in force.
	OnState func(config.State)
	// OnVerdict is called by the reader's goroutine for each judged record and
	// peer's state.
	OnVerdict func(config.Verdict)
	// OnError is called by the reader's goroutine after each failed read or
	// append.
	OnError func(error)
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (o Options) withDefaults() Options {
	orDefault(&o.ReadTimeout, 2*time.Second)
	orDefault(&o.PollInterval, 250*time.Millisecond)
	orDefault(&o.BackoffLimit, 2*time.Second)
	orDefault(&o.Retention, time.Hour)
	orDefault(&o.CheckpointSpread, 2*time.Second)
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

// Reader keeps the configuration in force: it follows the log and takes states
// of peers. All methods but Run are safe for concurrent use.
type Reader struct {
	log     backing.Log
	options Options
	offers  chan config.Snapshot

	state    atomic.Pointer[config.State]
	snapshot atomic.Pointer[config.Snapshot]
	lastRead atomic.Pointer[time.Time]

	// The fields below belong to the goroutine of Run.
	order        *config.Order
	failures     int
	checkpointAt time.Time // when to append a checkpoint; zero while none is due
	reads        chan readResult
	appends      chan error
	group        sync.WaitGroup
}

// NewReader returns a reader that knows no state yet.
func NewReader(log backing.Log, options Options) *Reader {
	return &Reader{
		log: log, options: options.withDefaults(), order: config.NewOrder(),
		offers: make(chan config.Snapshot, 16),
		reads:  make(chan readResult, 1), appends: make(chan error, 1),
	}
}

// State returns the state in force, or nil while there is none. It is immutable.
func (r *Reader) State() *config.State { return r.state.Load() }

// Snapshot returns what to pass to peers and publishers; nil before the first
// record.
func (r *Reader) Snapshot() *config.Snapshot { return r.snapshot.Load() }

// LastRead returns when the log was last read without an error; the zero time
// if it never was.
func (r *Reader) LastRead() time.Time {
	if t := r.lastRead.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Offer hands over a peer's state. It never blocks; false means that it was
// dropped because others are waiting, and the peer's next heartbeat repeats it.
func (r *Reader) Offer(s config.Snapshot) bool {
	select {
	case r.offers <- s:
		return true
	default:
		return false
	}
}

// Run follows the log until the context ends, and then waits for the read and
// the append under way, which end with the context. It is called once.
func (r *Reader) Run(ctx context.Context) {
	defer r.group.Wait()
	// The timer is never due when it is waited for; see TestManyReadersStartAtOnce.
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
		case res := <-r.reads:
			if wait := r.absorb(ctx, res); wait > 0 {
				timer.Reset(wait)
			} else {
				r.startRead(ctx)
			}
		case s := <-r.offers:
			r.options.OnVerdict(r.order.ConsumePeerSnapshot(time.Now(), s))
			r.publish()
		case err := <-r.appends:
			if err != nil {
				r.options.OnError(err)
			}
		}
	}
}

// startRead reads in a goroutine of its own, so that peers' states are taken
// while the log is slow.
func (r *Reader) startRead(ctx context.Context) {
	from := r.order.ReadFrom()
	r.group.Go(func() { r.reads <- read(ctx, r.log, from, r.options.ReadTimeout) })
}

// absorb judges what was read and returns the wait before the next read.
func (r *Reader) absorb(ctx context.Context, res readResult) time.Duration {
	now := time.Now()
	verdicts, more, err := feed(r.order, now, res)
	for _, v := range verdicts {
		r.options.OnVerdict(v)
	}
	r.publish()
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
	r.keepCheckpoint(ctx, now)
	return r.options.PollInterval
}

// publish replaces the state and snapshot that others see.
func (r *Reader) publish() {
	if s, ok := r.order.Snapshot(); ok {
		r.snapshot.Store(&s)
	}
	state, ok := r.order.InForce()
	if !ok {
		return
	}
	if old := r.state.Load(); old == nil || old.Version < state.Version {
		r.state.Store(&state)
		r.options.OnState(state)
	}
}

// keepCheckpoint appends a checkpoint if one has been due for a random part of
// the spread.
func (r *Reader) keepCheckpoint(ctx context.Context, now time.Time) {
	if !r.order.CheckpointDue(now, r.options.Retention) {
		r.checkpointAt = time.Time{}
		return
	}
	spread := time.Duration(r.options.Random() * float64(r.options.CheckpointSpread))
	if r.checkpointAt.IsZero() {
		r.checkpointAt = now.Add(spread)
	}
	if now.Before(r.checkpointAt) {
		return
	}
	c, ok := r.order.Checkpoint(now)
	if !ok {
		return
	}
	// The checkpoint is no longer due once it has been read back; until then a
	// further attempt waits for this one.
	r.checkpointAt = now.Add(r.options.ReadTimeout + r.options.CheckpointSpread + spread)
	r.group.Go(func() {
		select {
		case r.appends <- r.append(ctx, c):
		case <-ctx.Done():
		}
	})
}

func (r *Reader) append(ctx context.Context, c config.Checkpoint) error {
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
