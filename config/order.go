package config

import (
	"fmt"
	"math"
	"time"
)

// Order is the state machine that turns the configuration stream, and the
// states of peers, into the configuration in force. One goroutine uses it.
//
// What it knows is one fact: state is in force after all records below next.
// Records, checkpoints and peers' states only ever advance that fact. When
// retention has dropped records at or above next, there is a gap: the records
// that remain cannot be judged, because the publications in the gap are
// unknown. A delayed duplicate whose base happens to match an old state would
// otherwise be accepted here and nowhere else. The gap closes with a checkpoint
// or a peer's state that covers the log up to the oldest retained record.
type Order struct {
	state State
	next  uint64
	first uint64 // highest known offset of an oldest retained record
	scan  uint64 // where the search for a checkpoint goes on during a gap

	// A newcomer puts nothing in force before it has read the records that the
	// log held when it began, so that it does not route by old versions.
	goal     uint64
	goalSet  bool
	caughtUp bool

	logDown    bool
	peerBacked bool
	released   bool

	newest checkpointMark
}

// checkpointMark remembers the newest known checkpoint.
type checkpointMark struct {
	known     bool
	asOf      uint64
	seenAt    time.Time
	writtenAt time.Time
}

// NewOrder returns an order that knows nothing but the empty state before the
// first record.
func NewOrder() *Order { return &Order{} }

// Resume returns an order that continues from a snapshot.
func Resume(s Snapshot) *Order {
	return &Order{state: s.State, next: s.AsOf + 1}
}

// InForce returns the state in force; false while none is.
func (o *Order) InForce() (State, bool) { return o.state, o.released }

// Gap tells whether records are missing between what is known and what the log
// still holds.
func (o *Order) Gap() bool { return o.next < o.first }

// CaughtUp tells whether all records were read that the log held when reading
// began, and no gap is open.
func (o *Order) CaughtUp() bool { return o.caughtUp && !o.Gap() }

// ReadFrom returns the offset from which to read next.
func (o *Order) ReadFrom() uint64 {
	if o.Gap() {
		return max(o.scan, o.first)
	}
	return o.next
}

// Snapshot returns what is known; false before the first record.
func (o *Order) Snapshot() (Snapshot, bool) {
	if o.next == 0 {
		return Snapshot{}, false
	}
	s := Snapshot{State: o.state, AsOf: o.next - 1}
	if o.newest.known {
		s.CheckpointAt = o.newest.writtenAt
	}
	return s, true
}

// Trimmed tells that the log no longer holds records below first.
func (o *Order) Trimmed(first uint64) {
	had := o.Gap()
	o.first = max(o.first, first)
	if o.Gap() && !had {
		o.caughtUp, o.goalSet = false, false
	}
}

// LogFailed tells that the log could not be read. A newcomer then takes the
// state of peers without waiting for the log.
func (o *Order) LogFailed() {
	o.logDown = true
	o.release()
}

// Consume judges the records of one read.
func (o *Order) Consume(now time.Time, b Batch) []Verdict {
	o.logDown = false
	o.Trimmed(b.First)
	if !o.goalSet {
		o.goal, o.goalSet = b.End, true
	}
	// A peer's state may have moved the position back or closed a gap while
	// the read was under way; records before From would be missed.
	if b.From > o.ReadFrom() {
		return nil
	}
	var verdicts []Verdict
	for _, e := range b.Entries {
		hadGap := o.Gap()
		if v, report := o.consume(now, e); report {
			verdicts = append(verdicts, v)
		}
		if hadGap && !o.Gap() {
			o.goal = max(o.goal, b.End)
			break // records before this one must be read again
		}
	}
	if o.ReadFrom() >= o.goal || len(b.Entries) == 0 {
		// An empty read is the end of the log.
		o.caughtUp = true
	}
	o.release()
	return verdicts
}

func (o *Order) consume(now time.Time, e Entry) (Verdict, bool) {
	if e.Offset < o.ReadFrom() {
		return Verdict{}, false
	}
	gap := o.Gap()
	v, report := Verdict{Offset: e.Offset}, true
	switch r := e.Record.(type) {
	case Checkpoint:
		v = o.checkpoint(now, e.Offset, r)
	case Publication:
		if report = !gap; report {
			v = o.judge(e.Offset, r)
		}
	case Unreadable:
		v.Kind, v.Detail = Skipped, r.Reason
	default:
		v.Kind, v.Detail = Skipped, fmt.Sprintf("record of type %T", r)
	}
	if gap {
		o.scan = e.Offset + 1
	} else {
		o.next = max(o.next, e.Offset+1)
	}
	return v, report
}

// judge decides a publication. It depends only on the state and the record, so
// that all readers agree.
func (o *Order) judge(offset uint64, p Publication) Verdict {
	v := Verdict{Kind: Rejected, Offset: offset, ID: p.ID, Version: o.state.Version}
	switch {
	case !ValidName(p.ID):
		v.ID, v.Reason, v.Detail = "", ReasonMalformed, "the id is not a name"
	case p.ID == o.state.ID:
		v.Reason, v.Detail = ReasonDuplicate, fmt.Sprintf("it is in force as version %d", o.state.Version)
	case p.Base < o.state.Version:
		v.Reason, v.Changes = ReasonStaleBase, Diff(o.state.Config, p.Config)
		v.Detail = fmt.Sprintf("it is based on version %d, and version %d (%s) was accepted before",
			p.Base, o.state.Version, o.state.ID)
	case p.Base > o.state.Version:
		v.Reason, v.Changes = ReasonUnknownBase, Diff(o.state.Config, p.Config)
		v.Detail = fmt.Sprintf("it is based on version %d, and the newest is %d", p.Base, o.state.Version)
	default:
		if v.Problems = Validate(p.Config); len(v.Problems) > 0 {
			v.Reason, v.Detail = ReasonInvalid, fmt.Sprintf("the configuration has %d problems", len(v.Problems))
			return v
		}
		o.state = State{Version: p.Base + 1, ID: p.ID, Offset: offset, Config: p.Config}
		v.Kind, v.Version = Accepted, o.state.Version
	}
	return v
}

func (o *Order) checkpoint(now time.Time, offset uint64, c Checkpoint) Verdict {
	s := Snapshot{State: c.State, AsOf: c.AsOf}
	v := Verdict{Offset: offset, ID: c.State.ID, Version: c.State.Version}
	if c.AsOf >= offset {
		v.Kind, v.Detail = Skipped, fmt.Sprintf("a checkpoint cannot cover offset %d", c.AsOf)
		return v
	}
	if v.Problems = s.problems(); len(v.Problems) > 0 {
		v.Kind, v.Detail = Skipped, "the checkpoint is malformed"
		return v
	}
	v.Kind, v.Detail = o.learn(s)
	if v.Kind != Diverged && (!o.newest.known || c.AsOf >= o.newest.asOf) {
		o.newest = checkpointMark{known: true, asOf: c.AsOf, seenAt: now, writtenAt: c.WrittenAt}
	}
	return v
}

// Offer takes the state of a peer.
func (o *Order) Offer(now time.Time, s Snapshot) Verdict {
	v := Verdict{Offset: s.AsOf, ID: s.State.ID, Version: s.State.Version}
	if v.Problems = s.problems(); len(v.Problems) > 0 {
		v.Kind, v.Detail = Skipped, "the peer's state is malformed"
		return v
	}
	v.Kind, v.Detail = o.learn(s)
	if v.Kind == Diverged {
		return v
	}
	if !s.CheckpointAt.IsZero() && !o.newest.known {
		o.newest = checkpointMark{known: true, seenAt: now, writtenAt: s.CheckpointAt}
	}
	o.peerBacked = o.peerBacked || s.State.Version > 0
	o.release()
	return v
}

// learn advances what is known by a snapshot, or leaves it as it is. Where that
// closes a gap, the records after the snapshot are still to be read.
func (o *Order) learn(s Snapshot) (VerdictKind, string) {
	hadGap := o.Gap()
	kind, detail := o.advance(s)
	if hadGap && !o.Gap() {
		o.caughtUp = false
	}
	return kind, detail
}

func (o *Order) advance(s Snapshot) (VerdictKind, string) {
	switch known := o.state; {
	case s.State.Version < known.Version:
		if s.AsOf >= known.Offset {
			return Diverged, fmt.Sprintf("version %d cannot be in force as of offset %d; version %d (%s) is since offset %d",
				s.State.Version, s.AsOf, known.Version, known.ID, known.Offset)
		}
		return Known, ""
	case s.State.Version == known.Version:
		if s.State.ID != known.ID || s.State.Offset != known.Offset {
			return Diverged, fmt.Sprintf("version %d is %s at offset %d here, and %s at offset %d there",
				known.Version, known.ID, known.Offset, s.State.ID, s.State.Offset)
		}
		if s.AsOf < o.next {
			return Known, ""
		}
		o.next = s.AsOf + 1
		return Confirmed, ""
	case s.State.Offset < o.next:
		return Diverged, fmt.Sprintf("offset %d was judged here, and version %d was not accepted there",
			s.State.Offset, s.State.Version)
	default:
		o.state, o.next = s.State, s.AsOf+1
		return Adopted, ""
	}
}

// problems checks a snapshot from outside.
func (s Snapshot) problems() []Problem {
	var ps Problems
	st := s.State
	if s.AsOf == math.MaxUint64 {
		ps.Add("as_of", "the offset is out of range", "use the offset of a record")
	}
	if st.Version == 0 {
		if st.ID != "" || st.Config != nil || st.Offset != 0 {
			ps.Add("state", "version 0 has an id, an offset or a configuration", "leave them out")
		}
		return ps
	}
	ps.Name("state.id", st.ID)
	if st.Offset > s.AsOf {
		ps.Add("state.offset", fmt.Sprintf("the state is from offset %d, and the snapshot as of %d", st.Offset, s.AsOf),
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

// release decides whether the state may be in force. Once one is, every later
// state is: versions only rise.
func (o *Order) release() {
	ready := o.CaughtUp() || o.peerBacked && (o.logDown || o.caughtUp)
	o.released = o.released || ready && o.state.Version > 0
}

// CheckpointDue tells whether a checkpoint should be appended: the newest one
// has reached a third of the retention, or none is known. The age is the larger
// of what the writer's clock and the own clock show, so that instances that
// live shorter than that still write checkpoints.
func (o *Order) CheckpointDue(now time.Time, retention time.Duration) bool {
	if !o.CaughtUp() || o.next == 0 {
		return false
	}
	if !o.newest.known {
		return true
	}
	age := max(now.Sub(o.newest.seenAt), now.Sub(o.newest.writtenAt))
	return age >= retention/3
}

// Checkpoint returns the checkpoint to append; false before the first record.
func (o *Order) Checkpoint(now time.Time) (Checkpoint, bool) {
	s, ok := o.Snapshot()
	return Checkpoint{State: s.State, AsOf: s.AsOf, WrittenAt: now}, ok
}
