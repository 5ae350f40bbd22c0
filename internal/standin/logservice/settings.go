// Package logservice is a stand-in for the platform's append-only log: streams
// in memory, limited retention, an append rate limit, and faults that are
// switched at run time through a control address.
package logservice

import (
	"fmt"
	"time"
)

// Settings describe a log service. They are fixed while it runs.
type Settings struct {
	Listen  string // address for appends and reads
	Control string // address for control requests

	RetainRecords int           // records kept per stream; 0 means no limit
	RetainFor     time.Duration // age up to which records are kept; 0 means no limit

	AppendsPerSecond float64 // limit over all streams; 0 means no limit
	AppendBurst      int     // appends that may come at once; at least 1

	Faults Faults // faults in force at the start
}

// SettingError reports a setting that a log service cannot work with.
type SettingError struct {
	Name    string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Problem) }

func (s Settings) check() error {
	switch {
	case s.RetainRecords < 0 || s.RetainFor < 0:
		return &SettingError{Name: "retention", Problem: "must not be negative"}
	case s.AppendsPerSecond < 0 || s.AppendBurst < 0:
		return &SettingError{Name: "append rate", Problem: "must not be negative"}
	}
	return s.Faults.check()
}

// Outage says how the log service fails.
type Outage string

const (
	// OutageNone is normal service.
	OutageNone Outage = ""
	// OutageUnavailable answers every request with status 503.
	OutageUnavailable Outage = "unavailable"
	// OutageReset resets open connections and each new one on its first request.
	OutageReset Outage = "reset"
	// OutageRefuse resets open connections and refuses new ones.
	OutageRefuse Outage = "refuse"
)

// Faults are the faults of a log service that last until they are changed. A
// count of appends goes down by one with each append that it applies to; a
// negative count applies to all appends.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// DelayMS delays each request before it takes effect. An append takes
	// effect even if its client has gone in the meantime.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of appends that take effect and then break
	// their connection instead of being answered.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseRequests is the number of appends that are read and then break their
	// connection without any effect.
	LoseRequests int `json:"lose_requests,omitempty"`
}

func (f Faults) check() error {
	switch f.Outage {
	case OutageNone, OutageUnavailable, OutageReset, OutageRefuse:
	default:
		return &SettingError{Name: "outage", Problem: fmt.Sprintf("unknown value %q", f.Outage)}
	}
	if f.DelayMS < 0 {
		return &SettingError{Name: "delay_ms", Problem: "must not be negative"}
	}
	return nil
}

// take reports whether a counted fault applies now, and counts it.
func take(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

// Counters count the requests to a log service.
type Counters struct {
	AppendsReceived int64 `json:"appends_received"`
	AppendsStored   int64 `json:"appends_stored"`
	AppendsLimited  int64 `json:"appends_limited"`
	Reads           int64 `json:"reads"`
}

// StreamState is the extent of one stream.
type StreamState struct {
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

// State is what a log service is doing now.
type State struct {
	Address  string                 `json:"address"`
	Faults   Faults                 `json:"faults"`
	Counters Counters               `json:"counters"`
	Streams  map[string]StreamState `json:"streams"`
}
