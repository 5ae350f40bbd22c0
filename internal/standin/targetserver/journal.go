package targetserver

import (
	"sync"
	"time"
)

// journalLimit bounds the memory of a long run; entries beyond it are counted
// as dropped.
const journalLimit = 500_000

// Outcome tells how a request ended at the target.
type Outcome string

// Outcomes of requests. An entry without an outcome has not ended.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeCanceled Outcome = "canceled"
	OutcomeShed     Outcome = "shed"
	OutcomeCrashed  Outcome = "crashed"
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

// Ran tells whether the target started to run the request.
func (e Entry) Ran() bool { return !e.Started.IsZero() }

// Overload records that a cold process was given more than it bears.
type Overload struct {
	At     time.Time `json:"at"`
	BootID string    `json:"boot_id"`
	Inside int64     `json:"inside"`
}

// Counters sum up the life of a target server over all its processes.
type Counters struct {
	Executions         int64 `json:"executions"`
	Shed               int64 `json:"shed"`
	LoadProbes         int64 `json:"load_probes"`
	Cancels            int64 `json:"cancels"`
	MaxInsideWhileCold int64 `json:"max_inside_while_cold"`
	OverloadsWhileCold int64 `json:"overloads_while_cold"`
	ConnectionsNow     int   `json:"connections_now"`
	ConnectionsMost    int   `json:"connections_most"`
}

// Journal is everything that a target server has recorded.
type Journal struct {
	Entries   []Entry    `json:"entries"`
	Dropped   int64      `json:"dropped"`
	Overloads []Overload `json:"overloads"`
	Counters  Counters   `json:"counters"`
}

// record is the live journal of a server.
type record struct {
	mu        sync.Mutex
	entries   []*Entry
	dropped   int64
	overloads []Overload
	counters  Counters
}

func (r *record) open(entry Entry) *Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &entry
	if len(r.entries) < journalLimit {
		r.entries = append(r.entries, e)
	} else {
		r.dropped++
	}
	return e
}

func (r *record) start(e *Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Started = time.Now()
	r.counters.Executions++
}

// end sets the outcome of an entry unless it has one.
func (r *record) end(e *Entry, outcome Outcome) {
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

func (r *record) insideWhileCold(inside int64) {
	r.mu.Lock()
	r.counters.MaxInsideWhileCold = max(r.counters.MaxInsideWhileCold, inside)
	r.mu.Unlock()
}

func (r *record) overload(o Overload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloads = append(r.overloads, o)
	r.counters.OverloadsWhileCold++
}

func (r *record) loadProbe() {
	r.mu.Lock()
	r.counters.LoadProbes++
	r.mu.Unlock()
}

func (r *record) cancel() {
	r.mu.Lock()
	r.counters.Cancels++
	r.mu.Unlock()
}

func (r *record) summary() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters
}

func (r *record) copy() Journal {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := Journal{
		Entries:   make([]Entry, len(r.entries)),
		Dropped:   r.dropped,
		Overloads: append([]Overload{}, r.overloads...),
		Counters:  r.counters,
	}
	for i, e := range r.entries {
		j.Entries[i] = *e
	}
	return j
}
