package config_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarhoist.example/config"
)

// simulation is a model of a log with retention, of readers that start at any
// time, and of the versions that a reader of the complete log accepts.
type simulation struct {
	records      []config.Record
	first        uint64         // oldest retained offset
	accepted     []config.State // the reference: all accepted versions, by version
	readers      []*reader
	snapshots    []config.Snapshot    // sent to peers, delivered at any time
	checkpoints  []config.Checkpoint  // created by readers, appended at any time
	pendingReads map[int]config.Batch // reads in progress, by reader
	lastID       int
	now          time.Time
}

type reader struct {
	machine     *config.StateMachine
	lastVersion uint64 // newest version seen in force; it must never decrease
}

func newSimulation() *simulation {
	return &simulation{accepted: []config.State{{}}, pendingReads: map[int]config.Batch{}, now: time.Unix(1_000_000, 0)}
}

// appendRecord appends a record to the log, and to the accepted versions if it
// is a valid publication on the newest version.
func (sim *simulation) appendRecord(r config.Record) {
	offset, newest := uint64(len(sim.records)), sim.accepted[len(sim.accepted)-1]
	sim.records = append(sim.records, r)
	p, ok := r.(config.Publication)
	if ok && p.Base == newest.Version && p.ID != newest.ID && len(config.Validate(p.Config)) == 0 {
		sim.accepted = append(sim.accepted, config.State{Version: p.Base + 1, ID: p.ID, Offset: offset, Config: p.Config})
	}
}

func (sim *simulation) publish(t *rapid.T) {
	sim.lastID++
	newest := uint64(len(sim.accepted) - 1)
	base := newest - min(newest, rapid.Uint64Range(0, 2).Draw(t, "behind"))
	queueLimit := rapid.IntRange(-1, 4).Draw(t, "queue limit") // -1 is invalid
	sim.appendRecord(config.Publication{ID: fmt.Sprintf("p%d", sim.lastID), Base: base, Config: sampleConfig(queueLimit)})
}

func (sim *simulation) read(i, limit int) config.Batch {
	from := sim.readers[i].machine.ReadFrom()
	if from < sim.first {
		sim.readers[i].machine.LogTrimmed(sim.first)
		from = sim.readers[i].machine.ReadFrom()
	}
	b := config.Batch{From: from, First: sim.first, End: uint64(len(sim.records))}
	for o := max(from, sim.first); o < b.End && len(b.Entries) < limit; o++ {
		b.Entries = append(b.Entries, config.Entry{Offset: o, Record: sim.records[o]})
	}
	return b
}

// consume checks the verdicts on one batch against the reference.
func (sim *simulation) consume(t *rapid.T, i int, b config.Batch) {
	for _, v := range sim.readers[i].machine.Consume(sim.now, b) {
		switch v.Kind {
		case config.Accepted:
			if v.Version >= uint64(len(sim.accepted)) || sim.accepted[v.Version].ID != v.ID || sim.accepted[v.Version].Offset != v.Offset {
				t.Fatalf("reader %d accepted %s at offset %d as version %d, unlike the reference", i, v.ID, v.Offset, v.Version)
			}
		case config.Rejected:
			for _, s := range sim.accepted[1:] {
				if s.Offset == v.Offset {
					t.Fatalf("reader %d rejected %s at offset %d (%s), which the reference accepted", i, v.ID, v.Offset, v.Reason)
				}
			}
		case config.Skipped:
			if _, unreadable := sim.records[v.Offset].(config.Unreadable); !unreadable {
				t.Fatalf("reader %d skipped the readable record at offset %d: %s %v", i, v.Offset, v.Detail, v.Problems)
			}
		case config.Diverged:
			t.Fatalf("reader %d diverged at offset %d: %s", i, v.Offset, v.Detail)
		}
	}
	sim.checkState(t, i)
}

// checkState checks the state in force of a reader against the reference.
func (sim *simulation) checkState(t *rapid.T, i int) {
	r := sim.readers[i]
	s, ok := r.machine.InForce()
	if !ok {
		if r.lastVersion > 0 {
			t.Fatalf("reader %d lost its state; it had version %d", i, r.lastVersion)
		}
		return
	}
	if s.Version < r.lastVersion {
		t.Fatalf("reader %d went back from version %d to %d", i, r.lastVersion, s.Version)
	}
	if s.Version == 0 || s != sim.accepted[s.Version] {
		t.Fatalf("reader %d has %s as version %d; the reference has %s", i, s.ID, s.Version, sim.accepted[s.Version].ID)
	}
	r.lastVersion = s.Version
}

// step performs one random action.
func (sim *simulation) step(t *rapid.T) {
	sim.now = sim.now.Add(time.Second)
	action := rapid.SampledFrom([]string{
		"publish", "publish", "duplicate", "unreadable", "trim", "start", "read", "read", "read",
		"begin read", "end read", "send snapshot", "deliver snapshot", "create checkpoint", "append checkpoint", "log down",
	}).Draw(t, "action")
	switch action {
	case "publish":
		sim.publish(t)
	case "duplicate":
		if len(sim.records) > 0 {
			sim.appendRecord(sim.records[rapid.IntRange(0, len(sim.records)-1).Draw(t, "record")])
		}
	case "unreadable":
		sim.appendRecord(config.Unreadable{Reason: "test"})
	case "trim":
		sim.first += rapid.Uint64Range(0, uint64(len(sim.records))-sim.first).Draw(t, "trim")
	case "start":
		sim.readers = append(sim.readers, &reader{machine: config.NewStateMachine()})
	default:
		if len(sim.readers) > 0 {
			sim.readerStep(t, action, rapid.IntRange(0, len(sim.readers)-1).Draw(t, "reader"))
		}
	}
}

// readerStep performs one random action of a reader.
func (sim *simulation) readerStep(t *rapid.T, action string, i int) {
	machine := sim.readers[i].machine
	switch action {
	case "read":
		sim.consume(t, i, sim.read(i, rapid.IntRange(1, 6).Draw(t, "limit")))
	case "begin read":
		sim.pendingReads[i] = sim.read(i, rapid.IntRange(1, 6).Draw(t, "limit"))
	case "end read":
		if b, found := sim.pendingReads[i]; found {
			sim.consume(t, i, b)
		}
	case "send snapshot":
		if s, ok := machine.Snapshot(); ok {
			sim.snapshots = append(sim.snapshots, s)
		}
		if s, ok := machine.InForce(); ok {
			sim.snapshots = append(sim.snapshots, s.Snapshot())
		}
	case "deliver snapshot":
		if len(sim.snapshots) > 0 {
			snapshot := rapid.SampledFrom(sim.snapshots).Draw(t, "snapshot")
			if v := machine.ConsumePeerSnapshot(sim.now, snapshot); v.Kind == config.Diverged || v.Kind == config.Skipped {
				t.Fatalf("reader %d: verdict %s on a peer's snapshot: %s %v", i, v.Kind, v.Detail, v.Problems)
			}
			sim.checkState(t, i)
		}
	case "create checkpoint":
		if c, ok := machine.Checkpoint(sim.now); ok {
			sim.checkpoints = append(sim.checkpoints, c)
		}
	case "append checkpoint":
		if len(sim.checkpoints) > 0 {
			sim.appendRecord(rapid.SampledFrom(sim.checkpoints).Draw(t, "checkpoint"))
		}
	case "log down":
		machine.LogFailed()
		sim.checkState(t, i)
	}
}

// appendCheckpoint appends the checkpoint of the first reader that has no gap.
// It returns false if there is none.
func (sim *simulation) appendCheckpoint() bool {
	for _, r := range sim.readers {
		if c, ok := r.machine.Checkpoint(sim.now); ok && !r.machine.Gap() {
			sim.appendRecord(c)
			return true
		}
	}
	return false
}

// readToEnd makes a reader read to the end of the log.
func (sim *simulation) readToEnd(t *rapid.T, i int) {
	for range 6 {
		sim.consume(t, i, sim.read(i, 64))
	}
}

// TestStateMachineProperties guards against readers that accept different
// publications as the same version or go back to an older version, under any
// interleaving of publishers, delayed duplicates, trims, checkpoints and
// snapshots of peers.
func TestStateMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			sim.step(t)
		}
		for i := range sim.readers {
			sim.readToEnd(t, i)
		}
		// After a reader without a gap has written a checkpoint, all readers,
		// also one that starts now, must reach the newest version.
		if len(sim.accepted) == 1 || !sim.appendCheckpoint() {
			return
		}
		sim.readers = append(sim.readers, &reader{machine: config.NewStateMachine()})
		for i := range sim.readers {
			sim.readToEnd(t, i)
			if sim.readers[i].machine.Gap() || sim.readers[i].lastVersion != uint64(len(sim.accepted)-1) {
				t.Fatalf("reader %d has version %d in force after reading to the end; want %d", i, sim.readers[i].lastVersion, len(sim.accepted)-1)
			}
		}
	})
}
