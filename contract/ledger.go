package contract

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// EpochLength is the time after which a new ticket epoch starts.
	EpochLength = time.Minute
	// EpochsKept is the number of epochs, with the current one, whose tickets
	// are honored. Together with EpochLength it gives callers 14 to 15 minutes.
	EpochsKept = 15
	// MaxAnswerBytes is the largest answer, body and headers, that is kept to be
	// replayed.
	MaxAnswerBytes = 64 << 10
	// MaxLedgerBytes bounds the answers kept by one ledger. Beyond it the
	// outcome and the status are kept without body and headers.
	MaxLedgerBytes = 8 << 20
)

// Answer is the recorded end of a request.
type Answer struct {
	Refusal     *Refusal // nil if a target answered
	Status      int
	Header      map[string][]string
	Body        []byte
	BodyDropped bool // body and headers were too large to keep
	Replayed    bool // the outcome was recorded before this copy came
}

// Entry is the record of one key. The goroutine that opened it settles it; any
// number of others wait on Done and then read Answer.
type Entry struct {
	answer  atomic.Pointer[Answer]
	settled atomic.Bool // taken by the call that settles the entry
	// done is made when somebody waits, because most entries are never joined
	// and a channel takes a quarter of the memory of an entry.
	done atomic.Pointer[chan struct{}]
}

// settledDone is the channel of every settled entry.
var settledDone = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// Done is closed when the entry is settled.
func (e *Entry) Done() <-chan struct{} {
	if done := e.done.Load(); done != nil {
		return *done
	}
	fresh := make(chan struct{})
	if e.done.CompareAndSwap(nil, &fresh) {
		return fresh
	}
	return *e.done.Load()
}

// Answer returns the recorded answer, or nil if the entry is not settled.
func (e *Entry) Answer() *Answer { return e.answer.Load() }

// NotOwnerError reports a key whose ticket belongs to another incarnation.
type NotOwnerError struct {
	Ticket Ticket
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("ticket %s belongs to another incarnation", e.Ticket)
}

// epochTable holds the keys of one epoch. The field bytes counts the kept
// answers; it is tableDropped once the table has been dropped.
type epochTable struct {
	epoch   uint64
	entries sync.Map // key text to *Entry
	bytes   atomic.Int64
}

const tableDropped = -1

// book counts bytes on the table, and reports false if it was dropped.
func (t *epochTable) book(size int64) bool {
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

// Ledger remembers every key that this incarnation was asked to run, until the
// key's ticket expires. It is safe for concurrent use: the list of tables is an
// immutable slice, replaced whole by compare-and-swap.
type Ledger struct {
	instance    string
	incarnation uint64
	started     time.Time
	tables      atomic.Pointer[[]*epochTable] // ascending epochs, newest last
	bytes       atomic.Int64
}

// NewLedger returns the ledger of an incarnation that started at the given
// time. Times passed to its methods must come from the same clock. An earlier
// time than one passed before does not bring an expired epoch back.
func NewLedger(instance string, incarnation uint64, started time.Time) *Ledger {
	l := &Ledger{instance: instance, incarnation: incarnation, started: started}
	l.tables.Store(&[]*epochTable{{epoch: 0}})
	return l
}

// Ticket returns the newest ticket of this incarnation.
func (l *Ledger) Ticket(now time.Time) Ticket {
	tables := *l.tables.Load()
	epoch := max(tables[len(tables)-1].epoch, l.epochAt(now))
	return Ticket{Instance: l.instance, Incarnation: l.incarnation, Epoch: epoch}
}

// Open returns the entry of a key. The result first is true for exactly one
// caller per key: that caller may run the request and must call Settle. All
// others wait for its outcome.
func (l *Ledger) Open(now time.Time, key Key) (entry *Entry, first bool, err error) {
	if key.Ticket.Instance != l.instance || key.Ticket.Incarnation != l.incarnation {
		return nil, false, &NotOwnerError{key.Ticket}
	}
	table, err := l.table(now, key.Ticket.Epoch)
	if err != nil {
		return nil, false, err
	}
	if found, ok := table.entries.Load(key.Name); ok {
		return found.(*Entry), false, nil
	}
	fresh := &Entry{}
	found, loaded := table.entries.LoadOrStore(key.Name, fresh)
	return found.(*Entry), !loaded, nil
}

// Settle records the outcome of an entry that Open returned as first, and wakes
// everyone who waits for it. The first call decides. Body and headers that do
// not fit are dropped; the outcome and the status are kept.
func (l *Ledger) Settle(key Key, entry *Entry, answer Answer) {
	if !entry.settled.CompareAndSwap(false, true) {
		return
	}
	size := answer.size()
	if size > 0 && !l.keep(key.Ticket.Epoch, size) {
		answer.BodyDropped = true
		answer.Body, answer.Header = nil, nil
	}
	if cap(answer.Body) > len(answer.Body)+len(answer.Body)/4 {
		answer.Body = bytes.Clone(answer.Body) // do not retain a larger buffer
	}
	entry.answer.Store(&answer)
	if waited := entry.done.Swap(&settledDone); waited != nil {
		close(*waited)
	}
}

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

// keep counts an answer on the ledger and on the table of its epoch.
func (l *Ledger) keep(epoch uint64, size int64) bool {
	table := l.tableFor(epoch)
	if table == nil || size > MaxAnswerBytes || !l.reserve(size) {
		return false
	}
	if !table.book(size) {
		l.bytes.Add(-size)
		return false
	}
	return true
}

// reserve takes room for an answer if the ledger has it.
func (l *Ledger) reserve(size int64) bool {
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

// table returns the table of a ticket's epoch, after it moved the list of
// tables on to the current epoch.
func (l *Ledger) table(now time.Time, epoch uint64) (*epochTable, error) {
	current := l.advance(now)
	if epoch > current {
		return nil, &FieldError{Field: "request key", Problem: "holds a ticket of an epoch that has not started"}
	}
	if found := l.tableFor(epoch); found != nil {
		return found, nil
	}
	return nil, &Refusal{Outcome: OutcomeTooOld, Reason: ReasonExpiredTicket}
}

func (l *Ledger) tableFor(epoch uint64) *epochTable {
	for _, table := range *l.tables.Load() {
		if table.epoch == epoch {
			return table
		}
	}
	return nil
}

// advance adds tables up to the current epoch and drops the expired ones whole.
func (l *Ledger) advance(now time.Time) uint64 {
	for {
		old := l.tables.Load()
		newest := (*old)[len(*old)-1].epoch
		current := max(newest, l.epochAt(now))
		if current == newest {
			return current
		}
		next := make([]*epochTable, 0, EpochsKept)
		for _, table := range *old {
			if table.epoch+EpochsKept > current {
				next = append(next, table)
			}
		}
		first := newest + 1
		if current >= EpochsKept {
			first = max(first, current-EpochsKept+1)
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

func (l *Ledger) releaseExpired(tables []*epochTable, current uint64) {
	for _, table := range tables {
		if table.epoch+EpochsKept <= current {
			l.bytes.Add(-table.bytes.Swap(tableDropped))
		}
	}
}

// KeptBytes returns the bytes of the answers that the ledger keeps.
func (l *Ledger) KeptBytes() int64 { return l.bytes.Load() }
