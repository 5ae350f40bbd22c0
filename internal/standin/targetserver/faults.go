package targetserver

import "sync/atomic"

// Faults are the faults of a target server that last until they are changed.
// A count of answers to spoil goes down by one with each spoiled answer; a
// negative count spoils all answers.
type Faults struct {
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailFast answers every request at once with status 500.
	FailFast bool `json:"fail_fast,omitempty"`
	// CrashOnPath crashes the process when it starts to run a request whose
	// path holds this text.
	CrashOnPath string `json:"crash_on_path,omitempty"`
	// RefuseConnections closes the listening socket; open connections stay.
	RefuseConnections bool `json:"refuse_connections,omitempty"`
	// LoadReport replaces the reported load, for a server that misleads.
	LoadReport string `json:"load_report,omitempty"`
	// CrossAnswers is the number of answers that belong to another request.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// LateAnswers is the number of answers that are held for LateByMS.
	LateAnswers int   `json:"late_answers,omitempty"`
	LateByMS    int64 `json:"late_by_ms,omitempty"`
	// TruncateAnswers is the number of answers cut in half.
	TruncateAnswers int `json:"truncate_answers,omitempty"`
}

// faultSwitch holds the faults in force.
type faultSwitch struct {
	current atomic.Pointer[Faults]
}

func (f *faultSwitch) load() *Faults { return f.current.Load() }

func (f *faultSwitch) store(faults Faults) { f.current.Store(&faults) }

// take reports whether the next answer is to be spoiled, and counts it.
func (f *faultSwitch) take(count func(*Faults) *int) bool {
	for {
		now := f.current.Load()
		next := *now
		left := count(&next)
		if *left == 0 {
			return false
		}
		if *left < 0 {
			return true
		}
		*left--
		if f.current.CompareAndSwap(now, &next) {
			return true
		}
	}
}

func crossAnswers(f *Faults) *int    { return &f.CrossAnswers }
func lateAnswers(f *Faults) *int     { return &f.LateAnswers }
func truncateAnswers(f *Faults) *int { return &f.TruncateAnswers }
