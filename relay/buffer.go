// Package relay lets one entry instance of an availability zone read a topic of
// the store for the others there. In a large fleet the calls of every instance
// would cost more than all other work for control.
//
// An instance that relays says how long ago it last heard from the store, and
// answers nothing when that is too long: the others then read for themselves.
package relay

import (
	"sync"
	"time"

	"fulmarhoist.example/feed"
)

const (
	// maxRecords is how many of the newest records are kept. An instance that is
	// further behind reads from the store.
	maxRecords = 512
	// staleAfter is how long after the last answer of the store a relay goes on.
	// Changes must be known everywhere within two seconds.
	staleAfter = 1100 * time.Millisecond
)

// Buffer holds the newest records of a topic. It is safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	first   uint64 // offset of the first record
	records []feed.Record
	heard   time.Time     // when the store last answered
	asked   time.Time     // when another instance last asked
	changed chan struct{} // closed and replaced when records are added
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// Heard records an answer of the store.
func (b *Buffer) Heard(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard = now
}

// Used tells whether another instance has asked within the given time.
func (b *Buffer) Used(now time.Time, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.asked.IsZero() && now.Sub(b.asked) <= within
}

// Reset forgets all records; later ones begin at the given offset.
func (b *Buffer) Reset(next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first, b.records = next, nil
	b.notify()
}

// Add records what was read from an offset on. A gap to what is known forgets it.
func (b *Buffer) Add(from uint64, records []feed.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from != b.first+uint64(len(b.records)) {
		b.first, b.records = from, nil
	}
	b.records = append(b.records, records...)
	if excess := len(b.records) - maxRecords; excess > 0 {
		b.records = append([]feed.Record(nil), b.records[excess:]...)
		b.first += uint64(excess)
	}
	if len(records) > 0 {
		b.notify()
	}
}

func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// since returns the records from an offset on, and a channel that is closed when
// more come. It returns false if the store was not heard of for too long, or if
// the records are not held any more.
func (b *Buffer) since(now time.Time, from uint64) (batch feed.Batch, changed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = now
	next := b.first + uint64(len(b.records))
	if now.Sub(b.heard) > staleAfter || from < b.first {
		return feed.Batch{}, nil, false
	}
	if from >= next {
		return feed.Batch{Next: from}, b.changed, true
	}
	records := append([]feed.Record(nil), b.records[from-b.first:]...)
	return feed.Batch{Records: records, Next: next}, b.changed, true
}
