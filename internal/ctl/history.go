package ctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
)

// maxPageRecords is the maximum number of records per read. It limits the memory
// that one read takes.
const maxPageRecords = 16

// verdictUnknown is the verdict of a publication that is covered by a checkpoint
// and whose preceding records were dropped, so that its verdict can no longer be
// derived.
const verdictUnknown = "not-judged"

// historyEntry is one publication in the log.
type historyEntry struct {
	Offset   uint64           `json:"offset"`
	ID       string           `json:"id"`
	Base     uint64           `json:"base"`
	Verdict  string           `json:"verdict"` // accepted, rejected, skipped or not-judged
	Version  uint64           `json:"version"` // accepted version; for a rejection, the version in force
	Reason   config.Reason    `json:"reason,omitempty"`
	Detail   string           `json:"detail,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
	// Changes holds the changes of an accepted publication relative to its base
	// version, if that is known, or what a rejected one would have changed.
	Changes []config.Change `json:"changes,omitempty"`

	config *config.Configuration
}

// history holds the publications found in the log and the states derived from
// them.
type history struct {
	machine *config.StateMachine
	entries map[uint64]*historyEntry // by offset
	states  map[uint64]config.State  // by version
}

// history reads the log to its end.
func (s *logSession) history(ctx context.Context) (*history, error) {
	h := &history{machine: config.NewStateMachine(), entries: map[uint64]*historyEntry{}, states: map[uint64]config.State{}}
	for more := true; more; {
		var err error
		if more, err = h.read(ctx, s.client); err != nil {
			return nil, fmt.Errorf("reading the configuration from the log service: %w", err)
		}
	}
	return h, nil
}

// current reads the log to its end. It returns an error if the state in force
// cannot be derived from it.
func (s *logSession) current(ctx context.Context) (*history, error) {
	h, err := s.history(ctx)
	if err != nil {
		return nil, err
	}
	if h.machine.Gap() {
		return nil, &configlog.NoCheckpointError{First: h.machine.ReadFrom()}
	}
	return h, nil
}

// read reads one page of records. It reports whether there is more to read.
func (h *history) read(ctx context.Context, log backing.Log) (bool, error) {
	from := h.machine.ReadFrom()
	page, err := log.Read(ctx, backing.ConfigStream, from, maxPageRecords)
	if trimmed, ok := errors.AsType[*backing.TrimmedError](err); ok && trimmed.First > from {
		h.machine.LogTrimmed(trimmed.First)
		return true, nil
	}
	if err != nil {
		return false, err
	}
	if page.Next < from {
		return false, &configlog.LogResetError{Read: from - 1, End: page.Next}
	}
	batch := config.Batch{From: from, First: page.First, End: page.Next}
	for _, r := range page.Records {
		record := configlog.Decode(r.Data)
		batch.Entries = append(batch.Entries, config.Entry{Offset: r.Offset, Record: record})
		h.addRecord(r.Offset, record)
	}
	for _, v := range h.machine.Consume(time.Now(), batch) {
		h.applyVerdict(v)
	}
	return len(batch.Entries) > 0 && h.machine.ReadFrom() < batch.End, nil
}

// addRecord records a publication, or the state that a checkpoint holds.
func (h *history) addRecord(offset uint64, record config.Record) {
	switch r := record.(type) {
	case config.Publication:
		h.entries[offset] = &historyEntry{Offset: offset, ID: r.ID, Base: r.Base, Verdict: verdictUnknown, config: r.Config}
	case config.Unreadable:
		h.entries[offset] = &historyEntry{Offset: offset, Verdict: string(config.Skipped), Detail: r.Reason}
	case config.Checkpoint:
		if r.State.Version > 0 && len(config.Validate(r.State.Config)) == 0 {
			h.states[r.State.Version] = r.State
		}
	}
}

// applyVerdict adds the verdict on a publication to its entry.
func (h *history) applyVerdict(v config.Verdict) {
	e, found := h.entries[v.Offset]
	if !found || v.Kind == config.Skipped {
		return
	}
	e.Verdict, e.Version, e.Reason, e.Detail = string(v.Kind), v.Version, v.Reason, v.Detail
	e.Problems, e.Changes = v.Problems, v.Changes
	if v.Kind != config.Accepted {
		return
	}
	before, known := h.configuration(e.Base)
	if known {
		e.Changes = config.Diff(before, e.config)
	}
	h.states[v.Version] = config.State{Version: v.Version, ID: e.ID, Offset: e.Offset, Config: e.config}
}

// state returns the newest state; version 0 if there is none.
func (h *history) state() config.State {
	s, _ := h.machine.Snapshot()
	return s.State
}

// snapshot returns the snapshot that a publisher starts from, or nil if the log
// is empty.
func (h *history) snapshot() *config.Snapshot {
	if s, ok := h.machine.Snapshot(); ok {
		return &s
	}
	return nil
}

// configuration returns the configuration of a version, or false if the log no
// longer holds it. Version 0 is the empty configuration, nil.
func (h *history) configuration(version uint64) (*config.Configuration, bool) {
	if version == 0 {
		return nil, true
	}
	if s := h.state(); s.Version == version {
		return s.Config, true
	}
	s, found := h.states[version]
	return s.Config, found
}

// list returns the publications in log order.
func (h *history) list() []*historyEntry {
	list := make([]*historyEntry, 0, len(h.entries))
	for _, e := range h.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *historyEntry) int {
		if a.Offset < b.Offset {
			return -1
		}
		return 1
	})
	return list
}
