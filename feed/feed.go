// Package feed follows a keyed topic of the platform's store. It reads the
// newest record of each key, then every later record, and lists the newest
// records again if records in between have been deleted.
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

// Batch is the result of one read: records in order, and the offset at which to
// read next.
type Batch struct {
	Records []Record
	Next    uint64
}

// Log reads keyed topics. Implementations are safe for concurrent use.
type Log interface {
	// Newest returns the newest record of each key, and the offset at which
	// later records start.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read returns the records from the given offset on, and waits for them up
	// to the given time. It returns a *TrimmedError if records from that offset
	// on have been deleted.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Batch, error)
}

// TrimmedError reports a read of records that have been deleted.
type TrimmedError struct {
	Topic string
	From  uint64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("topic %s: records from offset %d on have been deleted", e.Topic, e.From)
}

// InterruptedError reports a read that was canceled because another call found
// the store down or slow; the read itself did not fail.
type InterruptedError struct {
	Topic string
}

func (e *InterruptedError) Error() string {
	return "read of topic " + e.Topic + " canceled: store is down or slow"
}

// settlePeriod is the time after the last failed call in which effects of an
// outage of the store may still appear. Entries that expired during an outage
// are written again within about two seconds of its end.
const settlePeriod = 2500 * time.Millisecond

// Health tracks whether the store is available and how fast it responds. It is
// shared by all callers of the store in a process and safe for concurrent use.
type Health struct {
	lastFailure atomic.Int64 // monotime nanoseconds; 0 if no call has failed yet
	lastSuccess atomic.Int64 // monotime nanoseconds; 0 if no call has succeeded yet

	mu         sync.Mutex
	down       bool          // the last call got no usable response
	slow       bool          // the last timed call took slowThreshold or longer
	returnedAt time.Time     // end of the last outage; zero before the first one
	impaired   chan struct{} // closed while the store is down or slow
}

// slowThreshold is the duration from which on a call counts as slow; a normal
// one takes a few milliseconds. A read that begins to wait while the store is
// slow misses a record appended at the same moment, until the next one comes.
const slowThreshold = 40 * time.Millisecond

// NewHealth returns the Health of a store that is assumed to be up.
func NewHealth() *Health { return &Health{impaired: make(chan struct{})} }

// RecordFailure records a call, started at the given time, that got no usable
// response. It reports whether the store counted as up before. A call that began
// before the last response says nothing about the time since: it may have lost
// its connection in an outage that has ended meanwhile.
func (h *Health) RecordFailure(began, now time.Time) (lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if last := h.lastSuccess.Load(); last != 0 && monotime.Nanos(began) < last {
		return false
	}
	h.lastFailure.Store(monotime.Nanos(now))
	lost = !h.down
	h.set(true, h.slow)
	return lost
}

// set changes the state. The caller must hold the mutex.
func (h *Health) set(down, slow bool) {
	before, after := h.down || h.slow, down || slow
	h.down, h.slow = down, slow
	switch {
	case after && !before:
		close(h.impaired)
	case before && !after:
		h.impaired = make(chan struct{})
	}
}

// RecordDuration records the duration of a call that does not wait for records.
// A slow store loses no entries, so it does not count as down.
func (h *Health) RecordDuration(duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(h.down, duration >= slowThreshold)
}

// Age returns the time since the store, or the relay that reads for this
// instance, last responded; 0 before the first response.
func (h *Health) Age(now time.Time) time.Duration {
	at := h.lastSuccess.Load()
	if at == 0 {
		return 0
	}
	return time.Duration(monotime.Nanos(now) - at)
}

// RecordSuccess records a response. It reports whether the store counted as down
// before.
func (h *Health) RecordSuccess(now time.Time) (regained bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSuccess.Store(monotime.Nanos(now))
	regained = h.down
	if regained {
		h.returnedAt = now
	}
	h.set(false, h.slow)
	return regained
}

// Down reports whether the last call failed.
func (h *Health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// Impaired reports whether the store is down or slow.
func (h *Health) Impaired() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down || h.slow
}

// WhenImpaired returns a channel that is closed as soon as the store is down or
// slow.
func (h *Health) WhenImpaired() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.impaired
}

// Settling reports whether the contents of the store may still show effects of
// an outage, such as expired entries.
func (h *Health) Settling(now time.Time) bool {
	at := h.lastFailure.Load()
	return at != 0 && monotime.Nanos(now)-at < int64(settlePeriod)
}

// OutageEnd returns the end of the outage whose effects the contents of the store
// may still show, which is now if the store is down, and false if Settling
// reports false.
func (h *Health) OutageEnd(now time.Time) (time.Time, bool) {
	if !h.Settling(now) {
		return time.Time{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return now, true
	}
	return h.returnedAt, true
}

// Event is a batch of records for the function that applies them.
type Event struct {
	Topic   string
	Records []Record
	// Listing is true if the records are the newest ones of all keys. A key
	// that is not among them no longer exists.
	Listing bool
}

// Follower follows one topic.
type Follower struct {
	Log    Log
	Health *Health
	Topic  string
	// Wait is the maximum time that one read waits for records.
	Wait time.Duration
	// Interval is the delay of the next read after one that returned records, so
	// that further records can be read in one batch.
	Interval time.Duration
	// AwaitSource, if set, is called between the first listing and the first read. It
	// may wait until it is known where to read.
	AwaitSource func(ctx context.Context)
	// Deliver passes on an event; it may block.
	Deliver func(ctx context.Context, event Event)
	// Report is called when the store goes down, and with a nil error when it
	// is up again.
	Report func(topic string, err error)
}

const (
	// minBackoff and maxBackoff limit the back-off, which is the time from the
	// start of a failed call to the next call. With jitter it is 50 to 150% of
	// its nominal value. An entry that was removed during an outage must be out
	// of use within three seconds of the store's recovery, and removed entries
	// are kept for nearly two.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// listTimeout is the timeout of one listing of all keys.
	listTimeout = 3 * time.Second
	// readMargin is added to the wait of a read to get its timeout.
	readMargin = 2 * time.Second
	// waitAfterRecords is the maximum wait of the first read after one that
	// returned records. Changes come in quick succession, and a read that begins
	// while a record is being appended misses it until the next one comes.
	waitAfterRecords = 800 * time.Millisecond
	// impairedWait and impairedMargin replace the wait and readMargin while the
	// store is down or slow, so that its recovery is noticed soon.
	impairedWait   = 500 * time.Millisecond
	impairedMargin = 800 * time.Millisecond
)

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	next, listed := uint64(0), false
	listings := 0 // since the last successful read
	awaited := false
	wait := f.Wait
	for ctx.Err() == nil {
		began := time.Now()
		event, after, err := f.step(ctx, next, listed, wait)
		if err != nil {
			var trimmed *TrimmedError
			if errors.As(err, &trimmed) {
				listed = false
				if listings > 0 {
					// Listing again has not helped.
					sleep(ctx, backoff)
					backoff = min(2*backoff, maxBackoff)
				}
				continue
			}
			if ctx.Err() != nil {
				return
			}
			var interrupted *InterruptedError
			if errors.As(err, &interrupted) {
				continue
			}
			if f.Health.RecordFailure(began, time.Now()) {
				f.Report(f.Topic, err)
			}
			sleep(ctx, max(minBackoff, backoff/2+rand.N(backoff)-time.Since(began)))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if f.Health.RecordSuccess(time.Now()) {
			f.Report(f.Topic, nil)
		}
		if event.Listing {
			listings++
		} else {
			listings, backoff = 0, minBackoff
		}
		next, listed, wait = after, true, f.Wait
		if event.Listing || len(event.Records) > 0 {
			wait = min(f.Wait, waitAfterRecords)
			f.Deliver(ctx, event)
			if f.AwaitSource != nil && !awaited {
				awaited = true
				f.AwaitSource(ctx)
				continue // the wait has given further records time to come
			}
			sleep(ctx, f.Interval)
		}
	}
}

// step lists the topic if that has not been done, and otherwise reads the
// records from offset next on. It returns the offset of the next read.
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

// read reads records from offset next on. It is canceled when another call finds
// the store down or slow, because its response may come late or never.
func (f *Follower) read(ctx context.Context, next uint64, wait time.Duration) (Batch, error) {
	margin := readMargin
	impaired := f.Health.WhenImpaired()
	if f.Health.Impaired() {
		wait, margin, impaired = impairedWait, impairedMargin, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	interrupted := make(chan struct{})
	go func() {
		select {
		case <-impaired:
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

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
