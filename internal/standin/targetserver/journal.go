package targetserver

import (
	"sync"
	"time"
)

// maxJournalEntries bounds the memory of a long run. Further entries are
// counted as dropped.
const maxJournalEntries = 500_000

// Outcome is how a request ended at the target.
type Outcome string

// Outcomes of requests. The outcome of a request that has not ended is empty.
const (
	// OutcomeAnswered means that the request ran to its end, or was answered
	// with an error by Faults.FailFast.
	OutcomeAnswered Outcome = "answered"
	// OutcomeCanceled means that the request ran until it was canceled, its
	// deadline passed, or its connection closed.
	OutcomeCanceled Outcome = "canceled"
	// OutcomeShed means that the request did not run and was refused.
	OutcomeShed Outcome = "shed"
	// OutcomeCrashed means that the process crashed before the request was done.
	OutcomeCrashed Outcome = "crashed"
)

// Entry records one request that reached the target. Started is zero if the
// request never ran.
type Entry struct {
	Arrived    time.Time `json:"arrived"`
	Started    time.Time `json:"started,omitzero"`
	Ended      time.Time `json:"ended,omitzero"`
	RequestKey string    `json:"request_key,omitempty"`
	Class      string    `json:"class,omitempty"`
	AttemptID  string    `json:"attempt_id,omitempty"`
	Instance   string    `json:"instance,omitempty"`
	BootID     string    `json:"boot_id"`
	Method     string    `json:"method"`
	Path       string    `json:"path"`
	Outcome    Outcome   `json:"outcome,omitempty"`
}

// Executed reports whether the target started to run the request.
func (e Entry) Executed() bool { return !e.Started.IsZero() }

// Overload records that a cold process crashed because more requests were in
// flight than it can handle while cold.
type Overload struct {
	At       time.Time `json:"at"`
	BootID   string    `json:"boot_id"`
	InFlight int64     `json:"inside"`
}

// Counters sum up the requests and connections of a target server over all its
// processes.
type Counters struct {
	Executions           int64 `json:"executions"`
	Shed                 int64 `json:"shed"`
	LoadProbes           int64 `json:"load_probes"`
	Cancels              int64 `json:"cancels"`
	MaxInFlightWhileCold int64 `json:"max_inside_while_cold"`
	OverloadsWhileCold   int64 `json:"overloads_while_cold"`
	OpenConnections      int   `json:"connections_now"`
	MaxOpenConnections   int   `json:"connections_most"`
}

// Journal is a copy of everything that a target server has recorded.
type Journal struct {
	Entries   []Entry    `json:"entries"`
	Dropped   int64      `json:"dropped"`
	Overloads []Overload `json:"overloads"`
	Counters  Counters   `json:"counters"`
}

// recorder records the journal of a running server. Its methods are safe for
// concurrent use.
type recorder struct {
	mu        sync.Mutex
	entries   []*Entry
	dropped   int64
	overloads []Overload
	counters  Counters
}

// add adds an entry to the journal, or counts it as dropped if the journal is
// full.
func (r *recorder) add(entry Entry) *Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &entry
	if len(r.entries) < maxJournalEntries {
		r.entries = append(r.entries, e)
	} else {
		r.dropped++
	}
	return e
}

func (r *recorder) markStarted(e *Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Started = time.Now()
	r.counters.Executions++
}

// finish sets the outcome and the end time of an entry unless it has an
// outcome.
func (r *recorder) finish(e *Entry, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Outcome != "" {
		return
	}
	e.Ended = time.Now()
	e.Outcome = outcome
	if outcome == OutcomeShed {
		r.counters.Shed++
	}
}

// observeColdInFlight records a number of requests in flight while the process
// is cold; the counters hold the greatest.
func (r *recorder) observeColdInFlight(inFlight int64) {
	r.mu.Lock()
	r.counters.MaxInFlightWhileCold = max(r.counters.MaxInFlightWhileCold, inFlight)
	r.mu.Unlock()
}

func (r *recorder) addOverload(o Overload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloads = append(r.overloads, o)
	r.counters.OverloadsWhileCold++
}

func (r *recorder) countLoadProbe() {
	r.mu.Lock()
	r.counters.LoadProbes++
	r.mu.Unlock()
}

func (r *recorder) countCancel() {
	r.mu.Lock()
	r.counters.Cancels++
	r.mu.Unlock()
}

func (r *recorder) counterValues() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters
}

func (r *recorder) snapshot() Journal {
	r.mu.Lock()
	defer r.mu.Unlock()
	journal := Journal{
		Entries:   make([]Entry, len(r.entries)),
		Dropped:   r.dropped,
		Overloads: append([]Overload{}, r.overloads...),
		Counters:  r.counters,
	}
	for i, e := range r.entries {
		journal.Entries[i] = *e
	}
	return journal
}
