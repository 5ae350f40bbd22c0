package config

import (
	"fmt"
	"math"
	"time"
)

// StateMachine derives the configuration in force from the configuration stream
// and from the snapshots of peers. It is not safe for concurrent use.
//
// Its invariant is that state is in force after all records with an offset
// below next. Records, checkpoints and snapshots of peers only ever advance the
// two. If retention has dropped records at or above next, there is a gap:
// publications after the gap cannot be evaluated, because those in the gap are
// unknown. A delayed duplicate whose base happens to match an old state would
// otherwise be accepted by this instance and by no other. A checkpoint or a
// peer's snapshot that covers the log up to the oldest retained record closes
// the gap.
type StateMachine struct {
	state          State
	next           uint64
	oldestRetained uint64 // highest start of the log seen so far
	checkpointScan uint64 // offset from which to search for a checkpoint during a gap

	// A new reader puts no state in force before it has read all records below
	// catchUpOffset, the end of the log at its first read. Otherwise it would
	// route by outdated versions.
	catchUpOffset    uint64
	catchUpOffsetSet bool
	caughtUp         bool

	logUnavailable bool
	hasPeerState   bool
	inForce        bool

	newestCheckpoint checkpointInfo
}

// checkpointInfo describes the newest known checkpoint.
type checkpointInfo struct {
	known     bool
	asOf      uint64
	readAt    time.Time
	writtenAt time.Time
}

// NewStateMachine returns a StateMachine in the empty state before the first
// record.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// Resume returns a StateMachine that continues after the records that s covers.
func Resume(s Snapshot) *StateMachine {
	return &StateMachine{state: s.State, next: s.AsOf + 1}
}

// InForce returns the state in force, or false if there is none yet.
func (m *StateMachine) InForce() (State, bool) { return m.state, m.inForce }

// Gap reports whether retention has dropped records that were neither read nor
// covered by a snapshot.
func (m *StateMachine) Gap() bool { return m.next < m.oldestRetained }

// CaughtUp reports whether there is no gap and all records have been read that
// the log held at the first read.
func (m *StateMachine) CaughtUp() bool { return m.caughtUp && !m.Gap() }

// ReadFrom returns the offset at which the next read must start.
func (m *StateMachine) ReadFrom() uint64 {
	if m.Gap() {
		return max(m.checkpointScan, m.oldestRetained)
	}
	return m.next
}

// Snapshot returns the current state and the offset up to which it holds, or
// false before the first record.
func (m *StateMachine) Snapshot() (Snapshot, bool) {
	if m.next == 0 {
		return Snapshot{}, false
	}
	s := Snapshot{State: m.state, AsOf: m.next - 1}
	if m.newestCheckpoint.known {
		s.CheckpointAt = m.newestCheckpoint.writtenAt
	}
	return s, true
}

// LogTrimmed records that the log no longer holds records below the offset first.
func (m *StateMachine) LogTrimmed(first uint64) {
	hadGap := m.Gap()
	m.oldestRetained = max(m.oldestRetained, first)
	if m.Gap() && !hadGap {
		m.caughtUp, m.catchUpOffsetSet = false, false
	}
}

// LogFailed records that the log could not be read. A new reader then puts the
// state of a peer in force without waiting for the log.
func (m *StateMachine) LogFailed() {
	m.logUnavailable = true
	m.updateInForce()
}

// Consume applies the records of one read and returns their verdicts.
func (m *StateMachine) Consume(now time.Time, b Batch) []Verdict {
	m.logUnavailable = false
	m.LogTrimmed(b.First)
	if !m.catchUpOffsetSet {
		m.catchUpOffset, m.catchUpOffsetSet = b.End, true
	}
	// A peer's snapshot may have closed a gap during the read and so moved the
	// read position back. The records before From would then be missed.
	if b.From > m.ReadFrom() {
		return nil
	}
	var verdicts []Verdict
	for _, e := range b.Entries {
		hadGap := m.Gap()
		if v, report := m.consumeEntry(now, e); report {
			verdicts = append(verdicts, v)
		}
		if hadGap && !m.Gap() {
			m.catchUpOffset = max(m.catchUpOffset, b.End)
			break // earlier records after the checkpoint's AsOf must be read again
		}
	}
	if m.ReadFrom() >= m.catchUpOffset || len(b.Entries) == 0 {
		// An empty read means that the end of the log is reached.
		m.caughtUp = true
	}
	m.updateInForce()
	return verdicts
}

func (m *StateMachine) consumeEntry(now time.Time, e Entry) (Verdict, bool) {
	if e.Offset < m.ReadFrom() {
		return Verdict{}, false
	}
	gap := m.Gap()
	v, report := Verdict{Offset: e.Offset}, true
	switch r := e.Record.(type) {
	case Checkpoint:
		v = m.consumeCheckpoint(now, e.Offset, r)
	case Publication:
		if report = !gap; report {
			v = m.evaluatePublication(e.Offset, r)
		}
	case Unreadable:
		v.Kind, v.Detail = Skipped, r.Reason
	default:
		v.Kind, v.Detail = Skipped, fmt.Sprintf("unexpected record of type %T", r)
	}
	if gap {
		m.checkpointScan = e.Offset + 1
	} else {
		m.next = max(m.next, e.Offset+1)
	}
	return v, report
}

// evaluatePublication accepts or rejects a publication. The result depends only
// on the state and the record, so that all readers agree.
func (m *StateMachine) evaluatePublication(offset uint64, p Publication) Verdict {
	v := Verdict{Kind: Rejected, Offset: offset, ID: p.ID, Version: m.state.Version}
	switch {
	case !ValidName(p.ID):
		v.ID, v.Reason, v.Detail = "", ReasonMalformed, fmt.Sprintf("the id %q is not a valid name", Shorten(p.ID))
	case p.ID == m.state.ID:
		v.Reason, v.Detail = ReasonDuplicate, fmt.Sprintf("it is already in force as version %d", m.state.Version)
	case p.Base < m.state.Version:
		v.Reason, v.Changes = ReasonStaleBase, Diff(m.state.Config, p.Config)
		v.Detail = fmt.Sprintf("it is based on version %d, and version %d (%s) was accepted before",
			p.Base, m.state.Version, m.state.ID)
	case p.Base > m.state.Version:
		v.Reason, v.Changes = ReasonUnknownBase, Diff(m.state.Config, p.Config)
		v.Detail = fmt.Sprintf("it is based on version %d, and the newest is %d", p.Base, m.state.Version)
	default:
		if v.Problems = Validate(p.Config); len(v.Problems) > 0 {
			v.Reason, v.Detail = ReasonInvalid, fmt.Sprintf("the configuration has %d problems", len(v.Problems))
			return v
		}
		m.state = State{Version: p.Base + 1, ID: p.ID, Offset: offset, Config: p.Config}
		v.Kind, v.Version = Accepted, m.state.Version
	}
	return v
}

func (m *StateMachine) consumeCheckpoint(now time.Time, offset uint64, c Checkpoint) Verdict {
	s := Snapshot{State: c.State, AsOf: c.AsOf}
	v := Verdict{Offset: offset, ID: c.State.ID, Version: c.State.Version}
	if c.AsOf >= offset {
		v.Kind, v.Detail = Skipped, fmt.Sprintf("a checkpoint at offset %d cannot cover offset %d", offset, c.AsOf)
		return v
	}
	if v.Problems = s.validate(); len(v.Problems) > 0 {
		v.Kind, v.Detail = Skipped, "the checkpoint is malformed"
		return v
	}
	v.Kind, v.Detail = m.applySnapshot(s)
	if v.Kind != Diverged && (!m.newestCheckpoint.known || c.AsOf >= m.newestCheckpoint.asOf) {
		m.newestCheckpoint = checkpointInfo{known: true, asOf: c.AsOf, readAt: now, writtenAt: c.WrittenAt}
	}
	return v
}

// ConsumePeerSnapshot applies a snapshot received from a peer.
func (m *StateMachine) ConsumePeerSnapshot(now time.Time, s Snapshot) Verdict {
	v := Verdict{Offset: s.AsOf, ID: s.State.ID, Version: s.State.Version}
	if v.Problems = s.validate(); len(v.Problems) > 0 {
		v.Kind, v.Detail = Skipped, "the peer's snapshot is malformed"
		return v
	}
	v.Kind, v.Detail = m.applySnapshot(s)
	if v.Kind == Diverged {
		return v
	}
	if !s.CheckpointAt.IsZero() && !m.newestCheckpoint.known {
		m.newestCheckpoint = checkpointInfo{known: true, readAt: now, writtenAt: s.CheckpointAt}
	}
	m.hasPeerState = m.hasPeerState || s.State.Version > 0
	m.updateInForce()
	return v
}

// applySnapshot advances the state to a snapshot that is newer. If that closes
// a gap, the records after the snapshot have yet to be read.
func (m *StateMachine) applySnapshot(s Snapshot) (VerdictKind, string) {
	hadGap := m.Gap()
	kind, detail := m.advanceTo(s)
	if hadGap && !m.Gap() {
		m.caughtUp = false
	}
	return kind, detail
}

// advanceTo compares a snapshot with the state and takes it over if it is newer
// and does not contradict the state.
func (m *StateMachine) advanceTo(s Snapshot) (VerdictKind, string) {
	switch known := m.state; {
	case s.State.Version < known.Version:
		if s.AsOf >= known.Offset {
			return Diverged, fmt.Sprintf("version %d cannot be in force as of offset %d: version %d (%s) has been in force since offset %d",
				s.State.Version, s.AsOf, known.Version, known.ID, known.Offset)
		}
		return Known, ""
	case s.State.Version == known.Version:
		if s.State.ID != known.ID || s.State.Offset != known.Offset {
			return Diverged, fmt.Sprintf("version %d is %s at offset %d here, but %s at offset %d in the snapshot",
				known.Version, known.ID, known.Offset, s.State.ID, s.State.Offset)
		}
		if s.AsOf < m.next {
			return Known, ""
		}
		m.next = s.AsOf + 1
		return Confirmed, ""
	case s.State.Offset < m.next:
		return Diverged, fmt.Sprintf("offset %d is already covered here, and version %d was not accepted there",
			s.State.Offset, s.State.Version)
	default:
		m.state, m.next = s.State, s.AsOf+1
		return Adopted, ""
	}
}

// validate returns the problems of a snapshot read from the log or received
// from a peer.
func (s Snapshot) validate() []Problem {
	var ps Problems
	st := s.State
	if s.AsOf == math.MaxUint64 {
		ps.Add("as_of", fmt.Sprintf("offset %d is out of range", s.AsOf), "use the offset of a record")
	}
	if st.Version == 0 {
		if st.ID != "" || st.Config != nil || st.Offset != 0 {
			ps.Add("state", "version 0 has an id, an offset or a configuration", "leave them out")
		}
		return ps
	}
	ps.CheckName("state.id", st.ID)
	if st.Offset > s.AsOf {
		ps.Add("state.offset", fmt.Sprintf("the state was published at offset %d, but the snapshot covers only offsets up to %d", st.Offset, s.AsOf),
			"use the offset of the publication")
	}
	if st.Version-1 > st.Offset {
		ps.Add("state.version", fmt.Sprintf("version %d cannot be reached at offset %d", st.Version, st.Offset),
			"use the version and offset of the publication")
	}
	for _, p := range Validate(st.Config) {
		ps.Add("state.config."+p.Path, p.Fault, p.Remedy)
	}
	return ps
}

// updateInForce decides whether the state may be put in force. Once one state
// is in force, every later one is too, because versions only increase.
func (m *StateMachine) updateInForce() {
	ready := m.CaughtUp() || m.hasPeerState && (m.logUnavailable || m.caughtUp)
	m.inForce = m.inForce || ready && m.state.Version > 0
}

// CheckpointDue reports whether a checkpoint should be appended, which is when
// none is known or the age of the newest has reached a third of the retention
// period. The age is the larger of the times since it was written, by the
// writer's clock, and since it was read here. With the latter alone, instances
// that are replaced within a third of the retention period would never write
// one.
func (m *StateMachine) CheckpointDue(now time.Time, retention time.Duration) bool {
	if !m.CaughtUp() || m.next == 0 {
		return false
	}
	if !m.newestCheckpoint.known {
		return true
	}
	age := max(now.Sub(m.newestCheckpoint.readAt), now.Sub(m.newestCheckpoint.writtenAt))
	return age >= retention/3
}

// Checkpoint returns the checkpoint to append, or false before the first
// record.
func (m *StateMachine) Checkpoint(now time.Time) (Checkpoint, bool) {
	s, ok := m.Snapshot()
	return Checkpoint{State: s.State, AsOf: s.AsOf, WrittenAt: now}, ok
}
