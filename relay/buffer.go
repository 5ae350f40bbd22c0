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
	// maxPassedValue is the size of the largest value that is passed on. A large
	// configuration would hold a slow link of the relay for seconds if it went to
	// every instance of a zone; they read it from the store.
	maxPassedValue = 8 << 10
)

// held is a record of a buffer.
type held struct {
	record feed.Record
	large  bool // the value is not kept
}

func hold(r feed.Record) held {
	if len(r.Value) > maxPassedValue {
		return held{record: feed.Record{Key: r.Key}, large: true}
	}
	return held{record: r}
}

// Buffer holds the newest records of a topic. It is safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	first   uint64 // offset of the first record
	records []held
	heard   time.Time     // when the store last answered
	asked   time.Time     // when another instance last asked
	changed chan struct{} // closed and replaced when records are added
	latest  bool          // the records before the first are of no use any more
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// NewLatest returns an empty buffer for something of which only the newest state
// counts. A reader that is behind gets that.
func NewLatest() *Buffer {
	b := NewBuffer()
	b.latest = true
	return b
}

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
	for i := range records {
		b.records = append(b.records, hold(records[i]))
	}
	if excess := len(b.records) - maxRecords; excess > 0 {
		b.records = append([]held(nil), b.records[excess:]...)
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

// found is what a buffer holds from an offset on.
type found struct {
	batch feed.Batch
	// elsewhere is true if some of the records are not held, because they are too
	// large to be passed on or too old.
	elsewhere bool
	changed   <-chan struct{} // closed when more come
}

// since returns the records from an offset on. It returns false if the store was
// not heard of for too long.
func (b *Buffer) since(now time.Time, from uint64) (found, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = now
	next := b.first + uint64(len(b.records))
	if now.Sub(b.heard) > staleAfter {
		return found{}, false
	}
	f := found{batch: feed.Batch{Next: max(from, next)}, elsewhere: from < b.first && !b.latest, changed: b.changed}
	for i := max(from, b.first); i < next; i++ {
		h := &b.records[i-b.first]
		f.elsewhere = f.elsewhere || h.large
		f.batch.Records = append(f.batch.Records, h.record)
	}
	return f, true
}

// Buffers holds a buffer for each topic, and one for the list of members. The set
// does not change.
type Buffers map[string]*Buffer

// NewBuffers returns empty buffers for the given topics and the list of members.
func NewBuffers(topics ...string) Buffers {
	all := Buffers{TopicMembers: NewLatest()}
	for _, topic := range topics {
		all[topic] = NewBuffer()
	}
	return all
}

// Heard records an answer of the store for all topics.
func (b Buffers) Heard(now time.Time) {
	for _, buffer := range b {
		buffer.Heard(now)
	}
}

// Used tells whether another instance has asked for any topic within the given time.
func (b Buffers) Used(now time.Time, within time.Duration) bool {
	for _, buffer := range b {
		if buffer.Used(now, within) {
			return true
		}
	}
	return false
}
