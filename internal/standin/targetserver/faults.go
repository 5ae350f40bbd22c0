package targetserver

import "sync/atomic"

// Faults are the injected faults of a target server. They stay in force until
// they are replaced. A field that holds a number of answers is decremented with
// each answer that the fault affects; a negative number affects all answers.
type Faults struct {
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailFast makes the server answer every request immediately with status
	// 500.
	FailFast bool `json:"fail_fast,omitempty"`
	// CrashOnPath crashes the process when it starts to run a request whose path
	// contains this text; empty means never.
	CrashOnPath string `json:"crash_on_path,omitempty"`
	// RefuseConnections closes the listening socket; open connections stay.
	RefuseConnections bool `json:"refuse_connections,omitempty"`
	// LoadReport replaces the reported load, to imitate a server that reports
	// wrong values; empty means the true load is reported.
	LoadReport string `json:"load_report,omitempty"`
	// MismatchedAnswers is the number of answers that carry the attempt id and
	// request key of another request.
	MismatchedAnswers int `json:"cross_answers,omitempty"`
	// LateAnswers is the number of answers that are delayed by LateByMS
	// milliseconds.
	LateAnswers int   `json:"late_answers,omitempty"`
	LateByMS    int64 `json:"late_by_ms,omitempty"`
	// TruncateAnswers is the number of answers of which only the first half is
	// sent.
	TruncateAnswers int `json:"truncate_answers,omitempty"`
}

// activeFaults holds the faults in force. Its methods are safe for concurrent
// use.
type activeFaults struct {
	current atomic.Pointer[Faults]
}

func (f *activeFaults) load() *Faults { return f.current.Load() }

func (f *activeFaults) store(faults Faults) { f.current.Store(&faults) }

// consume reports whether the fault that counter selects affects the next
// answer, and decrements the counter unless it is negative.
func (f *activeFaults) consume(counter func(*Faults) *int) bool {
	for {
		current := f.current.Load()
		next := *current
		remaining := counter(&next)
		if *remaining == 0 {
			return false
		}
		if *remaining < 0 {
			return true
		}
		*remaining--
		if f.current.CompareAndSwap(current, &next) {
			return true
		}
	}
}

func mismatchedAnswers(f *Faults) *int { return &f.MismatchedAnswers }
func lateAnswers(f *Faults) *int       { return &f.LateAnswers }
func truncateAnswers(f *Faults) *int   { return &f.TruncateAnswers }
