// Package relay lets one instance of an availability zone, the relay, read topics
// of the store on behalf of the other instances of the zone. In a large fleet,
// calls to the store from every instance would cost more than the rest of the
// control plane.
//
// A relay to which the store has not responded recently returns no records. The
// other instances then read from the store directly.
package relay

import (
	"sync"
	"time"

	"fulmarhoist.example/feed"
)

const (
	// maxBufferedRecords is the maximum number of records in a buffer. Older
	// records are dropped; an instance that needs them reads from the store.
	maxBufferedRecords = 512
	// staleAfter is the time after the last response of the store from which on a
	// relay no longer returns records. Changes must reach all instances within two
	// seconds.
	staleAfter = 1100 * time.Millisecond
	// maxPlainValueBytes is the size above which a value is compressed.
	maxPlainValueBytes = 1 << 10
	// maxRelayedValueBytes is the maximum size of a relayed value, compressed if it
	// is. Sending a larger one to every instance of a zone could saturate a slow
	// network link of the relay for a second; they read it from the store instead.
	maxRelayedValueBytes = 48 << 10
	// maxValueBytes bounds the decompressed values of one response together.
	maxValueBytes = 16 << 20
	// activeWindow is the time after a request of another instance during which
	// large values are kept. An instance that is not a relay does not spend
	// processor time on compressing them.
	activeWindow = 30 * time.Second
)

// bufferedRecord is a record in a buffer.
type bufferedRecord struct {
	record       wireRecord
	valueDropped bool // the value is too large to be relayed and was dropped
}

// newBufferedRecord returns the record as a buffer keeps it: with a large value
// compressed, or dropped if compress is false or it is too large even then.
func newBufferedRecord(r feed.Record, compress bool) bufferedRecord {
	kept := wireRecord{Key: r.Key, Value: r.Value, Deleted: r.Deleted}
	if len(r.Value) <= maxPlainValueBytes {
		return bufferedRecord{record: kept}
	}
	kept.Value = nil
	if !compress {
		return bufferedRecord{record: kept, valueDropped: true}
	}
	compressed, err := deflate(r.Value)
	if err != nil || len(compressed) > maxRelayedValueBytes {
		return bufferedRecord{record: kept, valueDropped: true}
	}
	kept.Value, kept.Deflated = compressed, true
	return bufferedRecord{record: kept}
}

// Buffer holds the newest records of a topic for other instances. It is safe for
// concurrent use.
type Buffer struct {
	mu               sync.Mutex
	firstOffset      uint64 // offset of the first record
	records          []bufferedRecord
	storeRespondedAt time.Time     // latest response of the store
	usedAt           time.Time     // latest request of another instance
	changed          chan struct{} // closed and replaced when records are added or discarded
	latestOnly       bool          // readers never need the records before the first
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// NewLatestBuffer returns an empty buffer for a topic of which only the latest
// record matters. A reader at an older offset gets the buffered records instead of
// being referred to the store.
func NewLatestBuffer() *Buffer {
	b := NewBuffer()
	b.latestOnly = true
	return b
}

// RecordStoreResponse records a response of the store.
func (b *Buffer) RecordStoreResponse(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasStale := b.stale(now)
	b.storeRespondedAt = now
	if wasStale {
		b.notify()
	}
}

// stale reports whether the store has not responded recently. The caller holds mu.
func (b *Buffer) stale(now time.Time) bool { return now.Sub(b.storeRespondedAt) > staleAfter }

// UsedWithin reports whether another instance has made a request within the
// given time.
func (b *Buffer) UsedWithin(now time.Time, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.usedAt.IsZero() && now.Sub(b.usedAt) <= within
}

// Reset discards all records. The next record will have the given offset.
func (b *Buffer) Reset(next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstOffset, b.records = next, nil
	b.notify()
}

// Add appends the records that were read from the given offset on. If they do not
// continue the buffered ones, the latter are discarded.
func (b *Buffer) Add(from uint64, records []feed.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from != b.firstOffset+uint64(len(b.records)) {
		b.firstOffset, b.records = from, nil
	}
	compress := b.latestOnly || !b.usedAt.IsZero() && b.storeRespondedAt.Sub(b.usedAt) <= activeWindow
	for i := range records {
		b.records = append(b.records, newBufferedRecord(records[i], compress))
	}
	if excess := len(b.records) - maxBufferedRecords; excess > 0 {
		b.records = append([]bufferedRecord(nil), b.records[excess:]...)
		b.firstOffset += uint64(excess)
	}
	if len(records) > 0 {
		b.notify()
	}
}

// notify wakes all waiting readers. The caller holds mu.
func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// readResult is the result of reading a buffer from an offset on.
type readResult struct {
	records []wireRecord
	next    uint64 // offset after the records
	// stale is true if the store has not responded recently; there are no records
	// then.
	stale bool
	// readStore is true if some of the records are not in the buffer, because they
	// are too large or too old, and must be read from the store.
	readStore bool
	deflated  bool            // some of the values are compressed
	changed   <-chan struct{} // closed when records are added or discarded, or the store responds again
}

// read returns the records from an offset on. It records a request of another
// instance.
func (b *Buffer) read(now time.Time, from uint64) readResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usedAt = now
	if b.stale(now) {
		return readResult{stale: true, changed: b.changed}
	}
	next := b.firstOffset + uint64(len(b.records))
	result := readResult{next: max(from, next), readStore: from < b.firstOffset && !b.latestOnly, changed: b.changed}
	for i := max(from, b.firstOffset); i < next; i++ {
		r := &b.records[i-b.firstOffset]
		result.readStore = result.readStore || r.valueDropped
		result.deflated = result.deflated || r.record.Deflated
		result.records = append(result.records, r.record)
	}
	return result
}

// Buffers maps topics to their buffers. The topic TopicMembers holds the list of
// members. The map must not be modified while it is in use.
type Buffers map[string]*Buffer

// NewBuffers returns empty buffers for the given topics and the list of members.
func NewBuffers(topics ...string) Buffers {
	all := Buffers{TopicMembers: NewLatestBuffer()}
	for _, topic := range topics {
		all[topic] = NewBuffer()
	}
	return all
}

// RecordStoreResponse records a response of the store for all topics.
func (b Buffers) RecordStoreResponse(now time.Time) {
	for _, buffer := range b {
		buffer.RecordStoreResponse(now)
	}
}

// UsedWithin reports whether another instance has requested any topic within
// the given time.
func (b Buffers) UsedWithin(now time.Time, within time.Duration) bool {
	for _, buffer := range b {
		if buffer.UsedWithin(now, within) {
			return true
		}
	}
	return false
}
