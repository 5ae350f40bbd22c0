package config_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
)

var _ = Describe("StateMachine", func() {
	now := time.Unix(1_000_000, 0)
	var machine *config.StateMachine

	BeforeEach(func() { machine = config.NewStateMachine() })

	publication := func(id string, base uint64, queueLimit int) config.Publication {
		return config.Publication{ID: id, Base: base, Config: sampleConfig(queueLimit)}
	}
	state := func(version uint64, id string, offset uint64) config.State {
		return config.State{Version: version, ID: id, Offset: offset, Config: sampleConfig(int(version))}
	}
	batch := func(first, from uint64, records ...config.Record) config.Batch {
		b := config.Batch{From: from, First: first, End: from + uint64(len(records))}
		for i, r := range records {
			b.Entries = append(b.Entries, config.Entry{Offset: from + uint64(i), Record: r})
		}
		return b
	}
	inForce := func() uint64 {
		s, ok := machine.InForce()
		if !ok {
			return 0
		}
		return s.Version
	}

	It("accepts the publication with the lower offset and reports to the other the reason and the differences", func() {
		verdicts := machine.Consume(now, batch(0, 0, publication("a", 0, 1), publication("b", 0, 2)))
		Expect(verdicts[0].Kind).To(Equal(config.Accepted))
		Expect(verdicts[1].Kind).To(Equal(config.Rejected))
		Expect(verdicts[1].Reason).To(Equal(config.ReasonStaleBase))
		Expect(verdicts[1].Changes).To(ConsistOf(HaveField("Path", "services[orders].queue_limit")))
		Expect(inForce()).To(Equal(uint64(1)))
	})

	DescribeTable("rejects publications", func(p config.Publication, reason config.Reason) {
		machine.Consume(now, batch(0, 0, publication("a", 0, 1)))
		verdicts := machine.Consume(now, batch(0, 1, p))
		Expect(verdicts[0].Kind).To(Equal(config.Rejected))
		Expect(verdicts[0].Reason).To(Equal(reason))
		Expect(inForce()).To(Equal(uint64(1)))
	},
		Entry("that are a delayed duplicate", publication("a", 0, 1), config.ReasonDuplicate),
		Entry("that reuse the id in force", publication("a", 1, 2), config.ReasonDuplicate),
		Entry("with a base version that does not exist yet", publication("b", 5, 2), config.ReasonUnknownBase),
		Entry("with an invalid configuration", publication("b", 1, -1), config.ReasonInvalid),
		Entry("without a configuration", config.Publication{ID: "b", Base: 1}, config.ReasonInvalid),
		Entry("without an id", publication("", 1, 2), config.ReasonMalformed),
	)

	// Guards against a new reader that routes by versions that were replaced long
	// ago.
	It("puts nothing in force before it has read all records that the log held at the first read", func() {
		b := batch(0, 0, publication("a", 0, 1), publication("b", 1, 2))
		b.End = 3
		machine.Consume(now, b)
		Expect(inForce()).To(BeZero())
		machine.Consume(now, batch(0, 2, publication("c", 2, 3)))
		Expect(inForce()).To(Equal(uint64(3)))
	})

	// Guards against a new reader that puts a duplicate of version 1 in force.
	It("puts nothing from a trimmed log in force before it has read a checkpoint that covers the gap", func() {
		machine.Consume(now, batch(5, 5, publication("a", 0, 1), config.Checkpoint{State: state(2, "b", 2), AsOf: 3}))
		Expect(inForce()).To(BeZero())
		Expect(machine.Gap()).To(BeTrue())
		machine.Consume(now, batch(5, 7, config.Checkpoint{State: state(3, "c", 4), AsOf: 5, WrittenAt: now}))
		Expect(machine.Gap()).To(BeFalse())
		Expect(machine.ReadFrom()).To(Equal(uint64(6)))
		machine.Consume(now, batch(5, 6, config.Unreadable{}, config.Unreadable{}))
		Expect(inForce()).To(Equal(uint64(3)))
	})

	// Guards against two instances with different configurations for version 6: a
	// new reader has version 5 from a peer that was cut off, and reads a duplicate
	// of the publication that was rejected as version 6.
	It("does not evaluate publications after a gap against a peer's stale state", func() {
		machine.ConsumePeerSnapshot(now, state(5, "e", 50).Snapshot())
		machine.Consume(now, batch(100, 100, publication("loser", 5, 1)))
		Expect(inForce()).To(Equal(uint64(5)))
		Expect(machine.Gap()).To(BeTrue())
		Expect(machine.CheckpointDue(now, time.Hour)).To(BeFalse())
		machine.ConsumePeerSnapshot(now, config.Snapshot{State: state(6, "f", 70), AsOf: 99})
		machine.Consume(now, batch(100, 100, publication("loser", 5, 1)))
		s, _ := machine.InForce()
		Expect(s.ID).To(Equal("f"))
		Expect(machine.CaughtUp()).To(BeTrue())
	})

	It("adopts a peer's state during an outage of the log, and later only newer ones", func() {
		machine.ConsumePeerSnapshot(now, state(3, "c", 9).Snapshot())
		Expect(inForce()).To(BeZero())
		machine.LogFailed()
		Expect(inForce()).To(Equal(uint64(3)))
		Expect(machine.ConsumePeerSnapshot(now, state(2, "b", 5).Snapshot()).Kind).To(Equal(config.Known))
		Expect(machine.ConsumePeerSnapshot(now, state(4, "d", 12).Snapshot()).Kind).To(Equal(config.Adopted))
		Expect(machine.ReadFrom()).To(Equal(uint64(13)))
		machine.Consume(now, batch(0, 10, publication("x", 4, 1), publication("y", 4, 1), publication("d", 3, 1)))
		Expect(inForce()).To(Equal(uint64(4)))
	})

	DescribeTable("ignores snapshots that contradict its state or are invalid:", func(s config.Snapshot, kind config.VerdictKind) {
		machine.Consume(now, batch(0, 0, publication("a", 0, 1), publication("b", 1, 2), publication("c", 0, 3)))
		Expect(machine.ConsumePeerSnapshot(now, s).Kind).To(Equal(kind))
		Expect(inForce()).To(Equal(uint64(2)))
		Expect(machine.ReadFrom()).To(Equal(uint64(3)))
	},
		Entry("a different id for the same version", state(2, "z", 1).Snapshot(), config.Diverged),
		Entry("a version at an offset whose publication was rejected", state(3, "c", 2).Snapshot(), config.Diverged),
		Entry("an older version as of a later offset", config.Snapshot{State: state(1, "a", 0), AsOf: 2}, config.Diverged),
		Entry("a version that is too high for its offset", state(9, "z", 4).Snapshot(), config.Skipped),
		Entry("an invalid configuration", config.Snapshot{State: config.State{Version: 3, ID: "z", Offset: 7}, AsOf: 7}, config.Skipped),
	)

	// Guards against skipping records when a peer's snapshot arrives during a
	// read.
	It("ignores a read that started beyond the current read offset", func() {
		machine.Consume(now, batch(100, 100, config.Unreadable{}))
		machine.ConsumePeerSnapshot(now, config.Snapshot{State: state(2, "b", 60), AsOf: 99})
		Expect(machine.Consume(now, batch(100, 101, publication("x", 2, 1)))).To(BeEmpty())
		Expect(machine.ReadFrom()).To(Equal(uint64(100)))
	})

	It("keeps its state when the log is trimmed past its read offset, and resynchronizes from a checkpoint", func() {
		machine.Consume(now, batch(0, 0, publication("a", 0, 1)))
		machine.LogTrimmed(20)
		Expect(machine.ReadFrom()).To(Equal(uint64(20)))
		machine.Consume(now, batch(20, 20, publication("x", 1, 1), config.Checkpoint{State: state(4, "d", 19), AsOf: 19}))
		Expect(inForce()).To(Equal(uint64(4)))
		machine.Consume(now, batch(20, 20, publication("x", 1, 1), config.Checkpoint{State: state(4, "d", 19), AsOf: 19}))
		s, _ := machine.InForce()
		Expect(s.ID).To(Equal("d"))
	})

	It("requests a checkpoint when the newest is as old as a third of the retention period", func() {
		Expect(machine.CheckpointDue(now, time.Hour)).To(BeFalse())
		machine.Consume(now, batch(0, 0, publication("a", 0, 1)))
		Expect(machine.CheckpointDue(now, time.Hour)).To(BeTrue())
		c, _ := machine.Checkpoint(now)
		machine.Consume(now, batch(0, 1, c))
		Expect(machine.CheckpointDue(now.Add(20*time.Minute-1), time.Hour)).To(BeFalse())
		Expect(machine.CheckpointDue(now.Add(20*time.Minute), time.Hour)).To(BeTrue())
	})

	// Guards against instances that never write a checkpoint, because they are
	// replaced before one that they have read becomes old enough.
	It("counts the age of a checkpoint from when it was written", func() {
		machine.Consume(now, batch(0, 0, publication("a", 0, 1), config.Checkpoint{AsOf: 0, State: state(1, "a", 0), WrittenAt: now.Add(-time.Hour)}))
		Expect(machine.CheckpointDue(now, time.Hour)).To(BeTrue())
	})
})
