package instance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/instance"
)

var _ = Describe("Roster", func() {
	start := startTime
	var roster *instance.Roster

	BeforeEach(func() {
		roster = instance.NewRoster(start, instance.Instance{ID: "entry-1", Incarnation: 1, Zone: "az-1", CallerAddress: "c1", PeerAddress: "p1"})
	})

	heartbeat := func(incarnation, sequence uint64) instance.Heartbeat {
		return instance.Heartbeat{Expect: instance.ExpectMore, From: instance.Instance{
			ID: "entry-2", Incarnation: incarnation, Sequence: sequence, Zone: "az-2", CallerAddress: "c2", PeerAddress: "p2",
		}}
	}
	entry2 := func() instance.Instance {
		p, _ := roster.Snapshot().Peer("entry-2")
		return p
	}
	// ticks calls Tick at each heartbeat interval, as the membership goroutine
	// does.
	ticks := func(from, to time.Duration) {
		for at := from; at <= to; at += instance.HeartbeatInterval {
			roster.Tick(start.Add(at))
		}
	}
	listing := func(version uint64, members ...backing.Member) backing.Listing {
		return backing.Listing{Version: version, Members: members}
	}
	member := backing.Member{ID: "entry-2", Kind: backing.KindEntry, Zone: "az-2", Address: "p2"}

	// Guards against sending callers to a peer that has stopped, and against
	// suspecting a peer after a single lost heartbeat.
	It("suspects a peer after 1.5 s without a heartbeat and not before", func() {
		roster.ApplyHeartbeat(start, heartbeat(7, 10))
		ticks(0, time.Second)
		Expect(entry2().State).To(Equal(instance.StateLive))
		ticks(1500*time.Millisecond, 1500*time.Millisecond)
		Expect(entry2().State).To(Equal(instance.StateSuspected))
		roster.ApplyHeartbeat(start.Add(1600*time.Millisecond), heartbeat(7, 11))
		Expect(entry2().State).To(Equal(instance.StateLive))
	})

	// Guards against handing out tickets of a process that no longer exists.
	It("replaces an old incarnation at once and ignores its late heartbeat", func() {
		roster.ApplyHeartbeat(start, heartbeat(7, 10))
		roster.ApplyHeartbeat(start, heartbeat(8, 20))
		Expect(entry2().Incarnation).To(Equal(uint64(8)))
		roster.ApplyHeartbeat(start, heartbeat(7, 11))
		Expect(entry2().Incarnation).To(Equal(uint64(8)))
	})

	// Guards against peers ignoring a restarted instance whose clock is behind.
	It("raises its sequence number above that of its previous process", func() {
		old := roster.Snapshot().Self
		old.Incarnation, old.Sequence = 99, old.Sequence+1_000_000
		received := heartbeat(7, 10)
		received.Deltas = []instance.Instance{old}
		roster.ApplyHeartbeat(start, received)
		Expect(roster.NextHeartbeat(start).From.Sequence).To(BeNumerically(">", old.Sequence))
	})

	// Guards against outdated gossip that revives a dead instance.
	It("declares an unlisted peer dead when its connection breaks and ignores outdated updates", func() {
		roster.ApplyListing(start, listing(1, member))
		roster.ApplyHeartbeat(start, heartbeat(7, 10))
		roster.ApplyListing(start, listing(2))
		Expect(entry2().State).To(Equal(instance.StateLive), "a peer is not dead only because it is not listed")
		roster.ConnectionBroken(start, "entry-2", 6)
		Expect(entry2().State).To(Equal(instance.StateLive), "the connection belonged to another incarnation")
		roster.ConnectionBroken(start, "entry-2", 7)
		Expect(entry2().State).To(Equal(instance.StateDead))
		gossip := instance.Heartbeat{
			From:   instance.Instance{ID: "entry-3", Incarnation: 3, Sequence: 1, PeerAddress: "p3"},
			Deltas: []instance.Instance{heartbeat(7, 9).From, heartbeat(7, 10).From},
		}
		gossip.Deltas[0].State, gossip.Deltas[1].State = instance.StateLive, instance.StateLive
		roster.ApplyHeartbeat(start, gossip)
		roster.ApplyHeartbeat(start, heartbeat(7, 10))
		Expect(entry2().State).To(Equal(instance.StateDead))
	})

	// Guards against a false suspicion that persists at instances that get no
	// heartbeats from the suspected peer.
	It("refutes a suspicion that is older than its own record", func() {
		roster.ApplyHeartbeat(start, heartbeat(7, 12))
		for range 21 { // until the update about the peer is no longer gossiped
			roster.NextHeartbeat(start)
		}
		old := heartbeat(7, 11).From
		old.State = instance.StateSuspected
		roster.ApplyHeartbeat(start, instance.Heartbeat{
			From:   instance.Instance{ID: "entry-3", Incarnation: 3, Sequence: 1, PeerAddress: "p3"},
			Deltas: []instance.Instance{old},
		})
		Expect(roster.NextHeartbeat(start).Deltas).To(ContainElement(And(
			HaveField("ID", "entry-2"), HaveField("State", instance.StateLive), HaveField("Sequence", uint64(12)))))
	})

	// Guards against keeping an unreachable peer forever because its connection
	// never reports an error.
	It("declares an unlisted peer dead after 10 s without a heartbeat", func() {
		roster.ApplyListing(start, listing(1, member))
		roster.ApplyHeartbeat(start, heartbeat(7, 10))
		roster.ApplyListing(start, listing(2))
		ticks(0, 9500*time.Millisecond)
		Expect(entry2().State).To(Equal(instance.StateSuspected))
		ticks(10*time.Second, 10*time.Second)
		Expect(entry2().State).To(Equal(instance.StateDead))
	})

	// Guards against an outdated listing that undoes a newer one, and against
	// applying a leaving mark that was meant for the previous process.
	It("applies a leaving mark of the list only to the incarnation it was meant for", func() {
		leaving := member
		leaving.Leaving = true
		roster.ApplyHeartbeat(start, heartbeat(7, 10))
		roster.ApplyListing(start, listing(5, leaving))
		Expect(entry2().Leaving).To(BeTrue())
		roster.ApplyListing(start, listing(4, member))
		roster.ApplyHeartbeat(start, heartbeat(7, 11))
		Expect(entry2().Leaving).To(BeTrue(), "an instance never stops leaving")
		roster.ApplyHeartbeat(start, heartbeat(8, 20))
		roster.ApplyListing(start, listing(6, leaving))
		Expect(entry2().Leaving).To(BeFalse(), "the restarted process is not leaving")
	})

	// Guards against a process that suspects every peer when it resumes after a
	// pause.
	It("ignores heartbeats missed during its own pause", func() {
		roster.ApplyHeartbeat(start, heartbeat(7, 10))
		roster.Tick(start.Add(30 * time.Second))
		Expect(entry2().State).To(Equal(instance.StateLive))
		ticks(30500*time.Millisecond, 31500*time.Millisecond)
		Expect(entry2().State).To(Equal(instance.StateSuspected))
	})

	// Guards against a new instance that requests leases before it has heard
	// from all peers.
	It("reports when all listed peers have sent a heartbeat", func() {
		roster.ApplyListing(start, listing(1, member, backing.Member{ID: "entry-1", Kind: backing.KindEntry}))
		Expect(roster.Snapshot().SelfListed).To(BeTrue())
		Expect(roster.Snapshot().ContactedByAllListed).To(BeFalse())
		roster.ApplyHeartbeat(start, heartbeat(7, 10))
		Expect(roster.Snapshot().ContactedByAllListed).To(BeTrue())
	})

	DescribeTable("converges after random faults",
		func(least, most int) {
			rapid.Check(suiteT, func(t *rapid.T) {
				w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(least, most).Draw(t, "instances"))
				w.replay = true
				order := newIncarnationOrder(t, w)
				for range rapid.IntRange(1, 6).Draw(t, "faults") {
					w.injectFault(t)
					w.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "for"))*100*time.Millisecond, order.check)
				}
				w.endFaults()
				// Random peers change every 30 s; convergence takes one change
				// at most.
				for end := w.now.Add(40 * time.Second); w.now.Before(end) && w.checkConverged() != nil; {
					w.run(time.Second, order.check)
				}
				w.run(3*time.Second, order.check)
				if err := w.checkConverged(); err != nil {
					t.Fatalf("after the last fault: %v", err)
				}
			})
		},
		Entry("in a full mesh", 2, instance.FullMeshMax),
		Entry("in a ring", instance.FullMeshMax+1, 14),
	)

	// Guards against lost updates with more than FullMeshMax instances, where
	// each gets heartbeats from only a few others. The required bound is "a few
	// seconds", taken as 3 s.
	It("spreads a failure and a restart to 50 instances within 3 s", func() {
		w := newSimulation(5, 50)
		w.delay = 40 * time.Millisecond
		w.run(10*time.Second, nil)
		Expect(w.checkConverged()).To(Succeed())
		w.kill("entry-007")
		w.run(3*time.Second, nil)
		Expect(w.checkConverged()).To(Succeed())
		w.start("entry-007", 0)
		w.run(3*time.Second, nil)
		Expect(w.checkConverged()).To(Succeed())
	})

	// Guards against a restart after which no instance may request cold-start
	// leases until the ring has paired each of them with the restarted one.
	It("exchanges heartbeats between a restarted instance and 49 others within 3 s", func() {
		w := newSimulation(5, 50)
		w.delay = 40 * time.Millisecond
		w.run(10*time.Second, nil)
		w.kill("entry-007")
		w.start("entry-007", 0)
		w.run(3*time.Second, nil)
		for id, n := range w.nodes {
			Expect(n.roster.Snapshot().ContactedByAllListed).To(BeTrue(), id)
		}
	})
})

// incarnationOrder checks that no roster returns to an incarnation that it has
// replaced. An ID whose clock was behind that of its previous process is only
// required to converge: until it learns of the previous process, updates about
// both are gossiped.
type incarnationOrder struct {
	t       *rapid.T
	w       *simulation
	current map[[2]string]uint64
	retired map[[2]string]map[uint64]bool
}

func newIncarnationOrder(t *rapid.T, w *simulation) *incarnationOrder {
	return &incarnationOrder{t, w, map[[2]string]uint64{}, map[[2]string]map[uint64]bool{}}
}

func (o *incarnationOrder) check() {
	for id, n := range o.w.nodes {
		if n == nil {
			continue
		}
		for _, p := range n.roster.Snapshot().Peers {
			// A restarted instance starts with an empty roster.
			key := [2]string{id + "/" + n.started.String(), p.ID}
			old := o.current[key]
			if old == p.Incarnation {
				continue
			}
			if o.retired[key] == nil {
				o.retired[key] = map[uint64]bool{}
			}
			o.retired[key][old] = true
			o.current[key] = p.Incarnation
			if o.retired[key][p.Incarnation] && !o.w.clockBehind[p.ID] {
				o.t.Fatalf("%s returned to an old incarnation of %s", id, p.ID)
			}
		}
	}
}

// injectFault injects one random fault.
func (w *simulation) injectFault(t *rapid.T) {
	id := rapid.SampledFrom(w.ids).Draw(t, "instance")
	n := w.nodes[id]
	switch kind := rapid.SampledFrom([]string{"loss", "delay", "kill", "restart", "freeze", "wake", "leave", "partition", "heal", "drop", "list"}).Draw(t, "fault"); {
	case kind == "loss":
		w.loss = rapid.Float64Range(0, 0.9).Draw(t, "loss")
	case kind == "delay":
		w.delay = time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
	case kind == "kill":
		w.kill(id)
	case kind == "restart":
		w.start(id, time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "skew"))*time.Second)
	case kind == "freeze" && n != nil:
		n.frozen = true
	case kind == "wake" && n != nil:
		n.frozen = false
	case kind == "leave" && n != nil:
		n.leaving = true
	case kind == "partition":
		for _, peer := range w.ids {
			if other := w.nodes[peer]; other != nil {
				other.partition = w.rng.IntN(2)
			}
		}
	case kind == "heal":
		w.heal()
	case kind == "drop":
		w.updateList(func(m *backing.Member) bool { return m.ID != id })
	case kind == "list":
		w.restoreList()
	}
}

// endFaults ends all faults except for stopped processes.
func (w *simulation) endFaults() {
	w.loss, w.delay, w.replay = 0, 40*time.Millisecond, false
	w.heal()
	for _, n := range w.nodes {
		if n != nil {
			n.frozen = false
		}
	}
	w.restoreList()
}
