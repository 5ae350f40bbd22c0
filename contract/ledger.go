package contract

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// EpochLength is the duration of a ticket epoch.
	EpochLength = time.Minute
	// ValidEpochs is the number of epochs, including the current one, whose
	// tickets are valid. With EpochLength this gives tickets a lifetime of 14
	// to 15 minutes.
	ValidEpochs = 15
	// MaxAnswerBytes is the maximum size of an answer, body and headers, that
	// is retained for replay.
	MaxAnswerBytes = 64 << 10
	// MaxLedgerBytes is the maximum total size of the answers retained by a
	// ledger. Once it is reached, only outcome and status are recorded, without
	// body and headers.
	MaxLedgerBytes = 8 << 20
)

// Answer is the recorded result of a request.
type Answer struct {
	Refusal     *Refusal // nil if a target answered
	Status      int
	Header      map[string][]string
	Body        []byte
	BodyDropped bool // body and headers did not fit and were not retained
	Replayed    bool // the result was recorded before this copy of the request arrived
}

// Entry is the ledger's record of one key. The goroutine that opened the entry
// first settles it; any number of others may wait on Done and then call Answer.
type Entry struct {
	answer  atomic.Pointer[Answer]
	settled atomic.Bool // set by the Settle call that records the answer
	// done is created lazily by the first waiter, because most entries never
	// have one and a channel makes up a quarter of the memory of an entry.
	done atomic.Pointer[chan struct{}]
}

// closedDone is the closed channel that all settled entries share.
var closedDone = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// Done returns a channel that is closed when the entry is settled.
func (e *Entry) Done() <-chan struct{} {
	if done := e.done.Load(); done != nil {
		return *done
	}
	created := make(chan struct{})
	if e.done.CompareAndSwap(nil, &created) {
		return created
	}
	return *e.done.Load()
}

// Answer returns the recorded answer, or nil if the entry is not settled yet.
func (e *Entry) Answer() *Answer { return e.answer.Load() }

// NotOwnerError reports a key whose ticket was issued by another incarnation.
type NotOwnerError struct {
	Ticket Ticket
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("ticket %s belongs to another incarnation", e.Ticket)
}

// epochTable holds the entries of the keys whose tickets belong to one epoch.
type epochTable struct {
	epoch   uint64
	entries sync.Map     // Key.Name to *Entry
	bytes   atomic.Int64 // size of the retained answers, or tableDropped
}

// tableDropped is the value of epochTable.bytes after the table was dropped.
const tableDropped = -1

// addBytes adds to the size of the retained answers. It returns false if the
// table has been dropped.
func (t *epochTable) addBytes(size int64) bool {
	for {
		used := t.bytes.Load()
		if used == tableDropped {
			return false
		}
		if t.bytes.CompareAndSwap(used, used+size) {
			return true
		}
	}
}

// Ledger is the deduplication table of one incarnation of an instance. It holds
// every key that the incarnation was asked to execute until the ticket of the
// key expires. It is safe for concurrent use: the list of tables is an
// immutable slice that is replaced by compare-and-swap.
type Ledger struct {
	instance    string
	incarnation uint64
	started     time.Time
	tables      atomic.Pointer[[]*epochTable] // sorted by epoch, newest last
	bytes       atomic.Int64                  // size of the retained answers
}

// NewLedger returns the ledger of an incarnation that started at the given
// time. The times passed to its methods must come from the same clock. If that
// clock goes back, expired epochs remain expired.
func NewLedger(instance string, incarnation uint64, started time.Time) *Ledger {
	l := &Ledger{instance: instance, incarnation: incarnation, started: started}
	l.tables.Store(&[]*epochTable{{epoch: 0}})
	return l
}

// Ticket returns a ticket of the current epoch.
func (l *Ledger) Ticket(now time.Time) Ticket {
	tables := *l.tables.Load()
	epoch := max(tables[len(tables)-1].epoch, l.epochAt(now))
	return Ticket{Instance: l.instance, Incarnation: l.incarnation, Epoch: epoch}
}

// Open returns the entry of a key, which it creates if necessary. The result
// first is true for exactly one caller per key: that caller may execute the
// request and must call Settle. All others wait for its answer.
func (l *Ledger) Open(now time.Time, key Key) (entry *Entry, first bool, err error) {
	if key.Ticket.Instance != l.instance || key.Ticket.Incarnation != l.incarnation {
		return nil, false, &NotOwnerError{key.Ticket}
	}
	table, err := l.table(now, key.Ticket.Epoch)
	if err != nil {
		return nil, false, err
	}
	if existing, ok := table.entries.Load(key.Name); ok {
		return existing.(*Entry), false, nil
	}
	created := &Entry{}
	actual, loaded := table.entries.LoadOrStore(key.Name, created)
	return actual.(*Entry), !loaded, nil
}

// Settle records the answer of an entry for which Open returned first, and wakes
// all waiters. Only the first call for an entry has an effect. Body and headers
// are dropped if they do not fit; outcome and status are always recorded.
func (l *Ledger) Settle(key Key, entry *Entry, answer Answer) {
	if !entry.settled.CompareAndSwap(false, true) {
		return
	}
	size := answer.size()
	if size > 0 && !l.reserveAnswer(key.Ticket.Epoch, size) {
		answer.BodyDropped = true
		answer.Body, answer.Header = nil, nil
	}
	if cap(answer.Body) > len(answer.Body)+len(answer.Body)/4 {
		answer.Body = bytes.Clone(answer.Body) // do not retain a larger buffer
	}
	entry.answer.Store(&answer)
	if waiters := entry.done.Swap(&closedDone); waiters != nil {
		close(*waiters)
	}
}

// size returns the size of body and headers in bytes.
func (a *Answer) size() int64 {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return int64(size)
}

// reserveAnswer reserves space for an answer in the ledger and in the table of
// its epoch. It returns false if the answer must not be retained.
func (l *Ledger) reserveAnswer(epoch uint64, size int64) bool {
	table := l.tableFor(epoch)
	if table == nil || size > MaxAnswerBytes || !l.reserveBytes(size) {
		return false
	}
	if !table.addBytes(size) {
		l.bytes.Add(-size)
		return false
	}
	return true
}

// reserveBytes reserves space in the ledger. It returns false if the size of the
// retained answers would exceed MaxLedgerBytes.
func (l *Ledger) reserveBytes(size int64) bool {
	for {
		used := l.bytes.Load()
		if used+size > MaxLedgerBytes {
			return false
		}
		if l.bytes.CompareAndSwap(used, used+size) {
			return true
		}
	}
}

func (l *Ledger) epochAt(now time.Time) uint64 {
	return uint64(max(0, now.Sub(l.started)) / EpochLength)
}

// table advances the list of tables to the current epoch and returns the table
// of the given one.
func (l *Ledger) table(now time.Time, epoch uint64) (*epochTable, error) {
	current := l.advance(now)
	if epoch > current {
		return nil, &FieldError{Field: "request key", Problem: "holds a ticket of an epoch that has not started"}
	}
	if table := l.tableFor(epoch); table != nil {
		return table, nil
	}
	return nil, &Refusal{Outcome: OutcomeTooOld, Reason: ReasonTicketExpired}
}

func (l *Ledger) tableFor(epoch uint64) *epochTable {
	for _, table := range *l.tables.Load() {
		if table.epoch == epoch {
			return table
		}
	}
	return nil
}

// advance adds the tables up to the current epoch, drops the expired ones, and
// returns the current epoch.
func (l *Ledger) advance(now time.Time) uint64 {
	for {
		old := l.tables.Load()
		newest := (*old)[len(*old)-1].epoch
		current := max(newest, l.epochAt(now))
		if current == newest {
			return current
		}
		next := make([]*epochTable, 0, ValidEpochs)
		for _, table := range *old {
			if table.epoch+ValidEpochs > current {
				next = append(next, table)
			}
		}
		first := newest + 1
		if current >= ValidEpochs {
			first = max(first, current-ValidEpochs+1)
		}
		for epoch := first; epoch <= current; epoch++ {
			next = append(next, &epochTable{epoch: epoch})
		}
		if l.tables.CompareAndSwap(old, &next) {
			l.releaseExpired(*old, current)
			return current
		}
	}
}

// releaseExpired subtracts the answers of the expired tables from the size of
// the ledger and marks these tables as dropped.
func (l *Ledger) releaseExpired(tables []*epochTable, current uint64) {
	for _, table := range tables {
		if table.epoch+ValidEpochs <= current {
			l.bytes.Add(-table.bytes.Swap(tableDropped))
		}
	}
}

// RetainedBytes returns the total size of the answers retained by the ledger.
func (l *Ledger) RetainedBytes() int64 { return l.bytes.Load() }
