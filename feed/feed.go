// Package feed follows a keyed topic of the platform's store: it reads the newest
// record of each key, then every later one, and starts again from the newest ones
// when records between were deleted.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
)

// Record is the newest value of a key.
type Record struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Batch is the result of one read: records in order, and the offset after them.
type Batch struct {
	Records []Record
	Next    uint64
}

// Log reads keyed topics. Implementations are safe for concurrent use.
type Log interface {
	// Newest returns the newest record of each key, and the offset from which on
	// later ones may follow.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read waits up to the given time for records from an offset on. A
	// *TrimmedError says that records from there on were deleted.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Batch, error)
}

// TrimmedError reports a read of records that were deleted.
type TrimmedError struct {
	Topic string
	From  uint64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("topic %s: records from offset %d on were deleted", e.Topic, e.From)
}

// InterruptedError reports a read that was given up because the store is down or
// slow; the read itself did not fail.
type InterruptedError struct {
	Topic string
}

func (e *InterruptedError) Error() string { return "read of topic " + e.Topic + " given up" }

// settleTime is how long after the last failed call the effects of an outage of
// the store may still appear. Entries that expired in an outage are written again
// within about two seconds of its end.
const settleTime = 2500 * time.Millisecond

// Health tells whether the store has just been away. All callers of the store in
// one process share it. It is safe for concurrent use.
type Health struct {
	failedAt atomic.Int64 // monotime nanoseconds; 0 if no call failed yet
	heardAt  atomic.Int64 // monotime nanoseconds of the last answer; 0 before the first

	mu   sync.Mutex
	down bool          // the last call got no usable answer
	slow bool          // the last timed call took long
	lost chan struct{} // closed while the store is down or slow
}

// slowCall is the time from which on a call counts as slow; one takes a few
// milliseconds. A read that begins to wait while the store is slow has missed a
// record that was added at the same moment, until the next one came.
const slowCall = 40 * time.Millisecond

// NewHealth returns the health of a store that seems up.
func NewHealth() *Health { return &Health{lost: make(chan struct{})} }

// Failed records a call without a usable answer. It tells whether the store
// seemed up before.
func (h *Health) Failed(now time.Time) (lost bool) {
	h.failedAt.Store(monotime.Nanos(now))
	h.mu.Lock()
	defer h.mu.Unlock()
	lost = !h.down
	h.set(true, h.slow)
	return lost
}

// set changes the state. The caller holds the mutex.
func (h *Health) set(down, slow bool) {
	before, after := h.down || h.slow, down || slow
	h.down, h.slow = down, slow
	switch {
	case after && !before:
		close(h.lost)
	case before && !after:
		h.lost = make(chan struct{})
	}
}

// Took records how long a call took that does not wait at the store. A slow store
// loses no entries, so it does not count as an outage.
func (h *Health) Took(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(h.down, took >= slowCall)
}

// Age returns how long ago the store, or the relay that reads for this instance,
// last answered; 0 before the first answer.
func (h *Health) Age(now time.Time) time.Duration {
	at := h.heardAt.Load()
	if at == 0 {
		return 0
	}
	return time.Duration(monotime.Nanos(now) - at)
}

// Succeeded records an answer and tells whether the store seemed down before.
func (h *Health) Succeeded(now time.Time) (regained bool) {
	h.heardAt.Store(monotime.Nanos(now))
	h.mu.Lock()
	defer h.mu.Unlock()
	regained = h.down
	h.set(false, h.slow)
	return regained
}

// Down tells whether the last call failed.
func (h *Health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// Impaired tells whether the store is down or slow.
func (h *Health) Impaired() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down || h.slow
}

// Lost returns a channel that is closed when the store is down or slow.
func (h *Health) Lost() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// Settling tells whether what the store shows may be the effect of an outage.
func (h *Health) Settling(now time.Time) bool {
	at := h.failedAt.Load()
	return at != 0 && monotime.Nanos(now)-at < int64(settleTime)
}

// Event is a batch on its way to the one that applies it.
type Event struct {
	Topic   string
	Records []Record
	// Listing is true if the records are the newest ones of all keys; a key that
	// is not among them is gone.
	Listing bool
}

// Follower follows one topic.
type Follower struct {
	Log    Log
	Health *Health
	Topic  string
	// Wait is how long one read may wait at the store.
	Wait time.Duration
	// Interval is the time after records came in which further ones collect before
	// the next read.
	Interval time.Duration
	// Deliver hands an event to its reader; it may wait.
	Deliver func(ctx context.Context, event Event)
	// Report tells about a lost or regained store; err is nil if it is regained.
	Report func(topic string, err error)
}

const (
	// firstBackoff and maxBackoff bound the time from the begin of a failed call to
	// the next one; the longest is half as long again. What left meanwhile must be
	// out of use within three seconds of the store's return, and entries that are
	// gone are kept for nearly two.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// listTimeout bounds one listing of all keys.
	listTimeout = 3 * time.Second
	// readMargin is how much longer than its wait a read may take.
	readMargin = 2 * time.Second
	// soonWait is the wait of the first read after records came. Changes come close
	// together, and a read that begins while a record is being appended has missed
	// it until the next one came.
	soonWait = 800 * time.Millisecond
	// downWait and downMargin take their place while the store is down or slow, so
	// that its return is noticed soon.
	downWait   = 500 * time.Millisecond
	downMargin = 800 * time.Millisecond
)

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := firstBackoff
	next, listed := uint64(0), false
	wait := f.Wait
	for ctx.Err() == nil {
		began := time.Now()
		event, after, err := f.step(ctx, next, listed, wait)
		if err != nil {
			var trimmed *TrimmedError
			if errors.As(err, &trimmed) {
				listed = false
				continue
			}
			if ctx.Err() != nil {
				return
			}
			var interrupted *InterruptedError
			if errors.As(err, &interrupted) {
				continue
			}
			if f.Health.Failed(time.Now()) {
				f.Report(f.Topic, err)
			}
			sleep(ctx, max(firstBackoff, backoff/2+rand.N(backoff)-time.Since(began)))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if f.Health.Succeeded(time.Now()) {
			f.Report(f.Topic, nil)
		}
		backoff = firstBackoff
		next, listed, wait = after, true, f.Wait
		if event.Listing || len(event.Records) > 0 {
			f.Deliver(ctx, event)
			sleep(ctx, f.Interval)
			wait = min(f.Wait, soonWait)
		}
	}
}

func (f *Follower) step(ctx context.Context, next uint64, listed bool, wait time.Duration) (Event, uint64, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		batch, err := f.Log.Newest(ctx, f.Topic)
		if err != nil {
			return Event{}, 0, fmt.Errorf("list topic %s: %w", f.Topic, err)
		}
		return Event{Topic: f.Topic, Records: batch.Records, Listing: true}, batch.Next, nil
	}
	batch, err := f.read(ctx, next, wait)
	if err != nil {
		return Event{}, 0, fmt.Errorf("read topic %s: %w", f.Topic, err)
	}
	return Event{Topic: f.Topic, Records: batch.Records}, batch.Next, nil
}

// read waits for records. When another call finds the store down or slow, the read
// is given up: it may wait for an answer that comes too late or never.
func (f *Follower) read(ctx context.Context, next uint64, wait time.Duration) (Batch, error) {
	margin := readMargin
	lost := f.Health.Lost()
	if f.Health.Impaired() {
		wait, margin, lost = downWait, downMargin, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	interrupted := make(chan struct{})
	go func() {
		select {
		case <-lost:
			close(interrupted)
			cancel()
		case <-ctx.Done():
		}
	}()
	batch, err := f.Log.Read(ctx, f.Topic, next, wait)
	if err != nil {
		select {
		case <-interrupted:
			return batch, &InterruptedError{f.Topic}
		default:
		}
	}
	return batch, err
}

// sleep waits, or returns when the context ends.
func sleep(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
