// Package logservice is a stand-in for the platform's append-only log:
// in-memory streams with limited retention, an append rate limit, and faults
// that tests set at run time through a control address.
package logservice

import (
	"fmt"
	"time"
)

// Settings configure a log service. They do not change while it runs.
type Settings struct {
	Listen  string // address for appends and reads
	Control string // address for control requests

	MaxRecords int           // maximum number of records per stream; 0 means no limit
	MaxAge     time.Duration // maximum age of records; 0 means no limit

	AppendsPerSecond float64 // append rate limit over all streams together; 0 means no limit
	AppendBurst      int     // appends that may arrive in a burst; values below 1 mean 1

	Faults Faults // faults in force from the start
}

// SettingError reports an invalid setting, fault or parameter of a read.
type SettingError struct {
	Name    string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Problem) }

func (s Settings) validate() error {
	switch {
	case s.MaxRecords < 0 || s.MaxAge < 0:
		return &SettingError{Name: "retention", Problem: fmt.Sprintf("must not be negative, got %d records and %v", s.MaxRecords, s.MaxAge)}
	case s.AppendsPerSecond < 0 || s.AppendBurst < 0:
		return &SettingError{Name: "append rate", Problem: fmt.Sprintf("must not be negative, got %v per second and burst %d", s.AppendsPerSecond, s.AppendBurst)}
	}
	return s.Faults.check()
}

// Outage is the way in which the log service fails.
type Outage string

const (
	// OutageNone means normal service.
	OutageNone Outage = ""
	// OutageUnavailable answers every request with status 503.
	OutageUnavailable Outage = "unavailable"
	// OutageReset resets open connections and each new one on its first request.
	OutageReset Outage = "reset"
	// OutageRefuse resets open connections and refuses new ones.
	OutageRefuse Outage = "refuse"
)

// Faults are the injected faults of a log service. They stay in force until
// they are replaced. A field that holds a number of appends is decremented with
// each append that the fault affects; a negative number affects all appends.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// DelayMS delays each request by this number of milliseconds before it takes
	// effect. An append takes effect even if its client has disconnected in the
	// meantime.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of appends that take effect but have their
	// connection reset instead of an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseRequests is the number of appends that are read and then have their
	// connection reset without effect.
	LoseRequests int `json:"lose_requests,omitempty"`
}

func (f Faults) check() error {
	switch f.Outage {
	case OutageNone, OutageUnavailable, OutageReset, OutageRefuse:
	default:
		return &SettingError{Name: "outage", Problem: fmt.Sprintf("unknown value %q, want empty, unavailable, reset or refuse", f.Outage)}
	}
	if f.DelayMS < 0 {
		return &SettingError{Name: "delay_ms", Problem: fmt.Sprintf("must not be negative, got %d", f.DelayMS)}
	}
	return nil
}

// consume reports whether the fault applies to the next append, and decrements
// its number of appends unless it is negative.
func consume(remaining *int) bool {
	if *remaining > 0 {
		*remaining--
		return true
	}
	return *remaining < 0
}

// Counters count the requests to a log service.
type Counters struct {
	AppendsReceived int64 `json:"appends_received"`
	AppendsStored   int64 `json:"appends_stored"`
	AppendsLimited  int64 `json:"appends_limited"`
	Reads           int64 `json:"reads"`
}

// StreamState is the range of offsets of a stream. First is the offset of the
// oldest retained record, Next the offset of the next append.
type StreamState struct {
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

// State is a snapshot of a log service.
type State struct {
	Address  string                 `json:"address"`
	Faults   Faults                 `json:"faults"`
	Counters Counters               `json:"counters"`
	Streams  map[string]StreamState `json:"streams"`
}
