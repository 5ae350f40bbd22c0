package config

import "time"

// Record is one entry of the configuration stream: a Publication, a Checkpoint
// or an Unreadable.
type Record interface{ isRecord() }

// Publication proposes a configuration. It is accepted if Base is the version
// in force where the record lies in the log; its version is then Base + 1.
type Publication struct {
	ID     string // random, chosen by the publisher
	Base   uint64
	Config *Configuration
}

// Snapshot is what is known of the order after all records up to and including
// offset AsOf. Instances pass snapshots to each other.
type Snapshot struct {
	State State
	AsOf  uint64
	// CheckpointAt is when the newest known checkpoint was written; zero if
	// none is known. It keeps a newcomer from writing one without need.
	CheckpointAt time.Time
}

// Checkpoint is a snapshot in the log, for readers that start after retention
// has dropped older records.
type Checkpoint struct {
	State     State
	AsOf      uint64
	WrittenAt time.Time // by the clock of the writer
}

// Unreadable stands for a record that could not be decoded. All readers skip it.
type Unreadable struct{ Reason string }

func (Publication) isRecord() {}
func (Checkpoint) isRecord()  {}
func (Unreadable) isRecord()  {}

// Snapshot returns the least that a state proves: it is in force as of its own
// offset.
func (s State) Snapshot() Snapshot { return Snapshot{State: s, AsOf: s.Offset} }

// Entry is a record with its offset.
type Entry struct {
	Offset uint64
	Record Record
}

// Batch is the result of one read of the log. Entries are all records from
// offset From up to the last entry, in order of their offsets.
type Batch struct {
	From    uint64
	First   uint64 // oldest retained offset
	End     uint64 // offset that the next append gets
	Entries []Entry
}

// VerdictKind tells what became of a record or of a peer's state.
type VerdictKind string

const (
	// Accepted means that a publication is now in force in the order.
	Accepted VerdictKind = "accepted"
	// Rejected means that a publication never takes effect from this record.
	Rejected VerdictKind = "rejected"
	// Skipped means that a record or state was unreadable or malformed.
	Skipped VerdictKind = "skipped"
	// Adopted means that a checkpoint or peer's state replaced the state.
	Adopted VerdictKind = "adopted"
	// Confirmed means that a checkpoint or peer's state has the version that
	// is known here, and covers the log up to a later offset.
	Confirmed VerdictKind = "confirmed"
	// Known means that a checkpoint or peer's state brings nothing new.
	Known VerdictKind = "known"
	// Diverged means that a checkpoint or peer's state contradicts the order
	// known here. It is ignored.
	Diverged VerdictKind = "diverged"
)

// Reason tells why a publication was rejected.
type Reason string

const (
	// ReasonStaleBase means that another publication with the same or a later
	// base was accepted first.
	ReasonStaleBase Reason = "stale-base"
	// ReasonUnknownBase means that the base version does not exist yet.
	ReasonUnknownBase Reason = "unknown-base"
	// ReasonDuplicate means that the publication with this id is in force.
	ReasonDuplicate Reason = "duplicate"
	// ReasonInvalid means that the configuration has problems.
	ReasonInvalid Reason = "invalid"
	// ReasonMalformed means that the record itself is malformed.
	ReasonMalformed Reason = "malformed"
)

// Verdict is what became of one record, or of one peer's state.
type Verdict struct {
	Kind    VerdictKind
	Offset  uint64 // of the record; for a peer's state the offset it covers
	ID      string // of the publication
	Version uint64 // accepted or offered version; for a rejection the version in force
	Reason  Reason // for a rejection
	Detail  string
	// Problems are the faults of an invalid configuration.
	Problems []Problem
	// Changes are what a publication with a wrong base would have changed in
	// the configuration in force at its offset.
	Changes []Change
}
