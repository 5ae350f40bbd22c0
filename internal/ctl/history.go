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

// pageRecords bounds the records of one read and thereby its memory.
const pageRecords = 16

// verdictNotJudged marks a publication that a checkpoint covers while the
// records before it were dropped: its verdict can no longer be derived.
const verdictNotJudged = "not-judged"

// historyEntry is one publication in the log.
type historyEntry struct {
	Offset   uint64           `json:"offset"`
	ID       string           `json:"id"`
	Base     uint64           `json:"base"`
	Verdict  string           `json:"verdict"` // accepted, rejected, skipped or not-judged
	Version  uint64           `json:"version"` // accepted version, or the one in force at a rejection
	Reason   config.Reason    `json:"reason,omitempty"`
	Detail   string           `json:"detail,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
	// Changes are those of an accepted publication to the version before it,
	// if that is known, or what a rejected one would have changed.
	Changes []config.Change `json:"changes,omitempty"`

	config *config.Configuration
}

// history is what the log holds of the order of publications.
type history struct {
	order   *config.StateMachine
	entries map[uint64]*historyEntry // by offset
	byVer   map[uint64]config.State  // states by version
}

// history reads the log to its end.
func (s *logSession) history(ctx context.Context) (*history, error) {
	h := &history{order: config.NewStateMachine(), entries: map[uint64]*historyEntry{}, byVer: map[uint64]config.State{}}
	for more := true; more; {
		var err error
		if more, err = h.read(ctx, s.client); err != nil {
			return nil, fmt.Errorf("reading the configuration from the log service: %w", err)
		}
	}
	return h, nil
}

// current reads the log and returns it if the state in force can be known.
func (s *logSession) current(ctx context.Context) (*history, error) {
	h, err := s.history(ctx)
	if err != nil {
		return nil, err
	}
	if h.order.Gap() {
		return nil, &configlog.NoCheckpointError{First: h.order.ReadFrom()}
	}
	return h, nil
}

// read reads one page. It returns whether there is more to read.
func (h *history) read(ctx context.Context, log backing.Log) (bool, error) {
	from := h.order.ReadFrom()
	page, err := log.Read(ctx, backing.ConfigStream, from, pageRecords)
	if trimmed, ok := errors.AsType[*backing.TrimmedError](err); ok && trimmed.First > from {
		h.order.LogTrimmed(trimmed.First)
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
		h.note(r.Offset, record)
	}
	for _, v := range h.order.Consume(time.Now(), batch) {
		h.judged(v)
	}
	return len(batch.Entries) > 0 && h.order.ReadFrom() < batch.End, nil
}

func (h *history) note(offset uint64, record config.Record) {
	switch r := record.(type) {
	case config.Publication:
		h.entries[offset] = &historyEntry{Offset: offset, ID: r.ID, Base: r.Base, Verdict: verdictNotJudged, config: r.Config}
	case config.Unreadable:
		h.entries[offset] = &historyEntry{Offset: offset, Verdict: string(config.Skipped), Detail: r.Reason}
	case config.Checkpoint:
		if r.State.Version > 0 && len(config.Validate(r.State.Config)) == 0 {
			h.byVer[r.State.Version] = r.State
		}
	}
}

func (h *history) judged(v config.Verdict) {
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
	h.byVer[v.Version] = config.State{Version: v.Version, ID: e.ID, Offset: e.Offset, Config: e.config}
}

// state returns the newest state; version 0 if there is none.
func (h *history) state() config.State {
	s, _ := h.order.Snapshot()
	return s.State
}

// basis is what a publisher knows before its append; nil for an empty log.
func (h *history) basis() *config.Snapshot {
	if s, ok := h.order.Snapshot(); ok {
		return &s
	}
	return nil
}

// configuration returns that of a version, if the log still tells.
func (h *history) configuration(version uint64) (*config.Configuration, bool) {
	if version == 0 {
		return nil, true
	}
	if s := h.state(); s.Version == version {
		return s.Config, true
	}
	s, found := h.byVer[version]
	return s.Config, found
}

// list returns the publications in the order of the log.
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
