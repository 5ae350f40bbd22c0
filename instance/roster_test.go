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
	start := epochZero
	var roster *instance.Roster

	BeforeEach(func() {
		roster = instance.NewRoster(start, instance.Instance{ID: "entry-1", Incarnation: 1, Zone: "az-1", CallerAddress: "c1", PeerAddress: "p1"})
	})

	peer := func(incarnation, sequence uint64) instance.Beat {
		return instance.Beat{Expect: instance.ExpectMore, From: instance.Instance{
			ID: "entry-2", Incarnation: incarnation, Sequence: sequence, Zone: "az-2", CallerAddress: "c2", PeerAddress: "p2",
		}}
	}
	seen := func() instance.Instance {
		p, _ := roster.View().Peer("entry-2")
		return p
	}
	// ticks runs the roster's clock as the membership goroutine does.
	ticks := func(from, to time.Duration) {
		for at := from; at <= to; at += instance.HeartbeatInterval {
			roster.Tick(start.Add(at))
		}
	}
	listing := func(version uint64, members ...backing.Member) backing.Listing {
		return backing.Listing{Version: version, Members: members}
	}
	member := backing.Member{ID: "entry-2", Kind: backing.KindEntry, Zone: "az-2", Address: "p2"}

	// Guards against callers being sent to a peer that stopped, and against
	// suspecting one after a single lost heartbeat.
	It("suspects a peer after 1.5 s of silence and not before", func() {
		roster.Heard(start, peer(7, 10))
		ticks(0, time.Second)
		Expect(seen().State).To(Equal(instance.StateLive))
		ticks(1500*time.Millisecond, 1500*time.Millisecond)
		Expect(seen().State).To(Equal(instance.StateSuspected))
		roster.Heard(start.Add(1600*time.Millisecond), peer(7, 11))
		Expect(seen().State).To(Equal(instance.StateLive))
	})

	// Guards against tickets of a process that is gone.
	It("replaces an old incarnation at once and ignores its late heartbeat", func() {
		roster.Heard(start, peer(7, 10))
		roster.Heard(start, peer(8, 20))
		Expect(seen().Incarnation).To(Equal(uint64(8)))
		roster.Heard(start, peer(7, 11))
		Expect(seen().Incarnation).To(Equal(uint64(8)))
	})

	// Guards against a restarted instance being ignored for as long as its
	// machine's clock is behind.
	It("moves its own sequence above that of its predecessor", func() {
		old := roster.View().Self
		old.Incarnation, old.Sequence = 99, old.Sequence+1_000_000
		beat := peer(7, 10)
		beat.Deltas = []instance.Instance{old}
		roster.Heard(start, beat)
		Expect(roster.NextBeat(start).From.Sequence).To(BeNumerically(">", old.Sequence))
	})

	// Guards against a dead instance coming back through old news.
	It("declares a dropped peer dead and ignores old news of it", func() {
		roster.Listed(start, listing(1, member))
		roster.Heard(start, peer(7, 10))
		roster.Listed(start, listing(2))
		Expect(seen().State).To(Equal(instance.StateLive), "dropped from the list alone is not dead")
		roster.ConnectionBroken(start, "entry-2", 6)
		Expect(seen().State).To(Equal(instance.StateLive), "another incarnation's connection")
		roster.ConnectionBroken(start, "entry-2", 7)
		Expect(seen().State).To(Equal(instance.StateDead))
		news := instance.Beat{
			From:   instance.Instance{ID: "entry-3", Incarnation: 3, Sequence: 1, PeerAddress: "p3"},
			Deltas: []instance.Instance{peer(7, 9).From, peer(7, 10).From},
		}
		news.Deltas[0].State, news.Deltas[1].State = instance.StateLive, instance.StateLive
		roster.Heard(start, news)
		roster.Heard(start, peer(7, 10))
		Expect(seen().State).To(Equal(instance.StateDead))
	})

	// Guards against a false suspicion that stays where its subject is not heard.
	It("contradicts a suspicion that is older than its own knowledge", func() {
		roster.Heard(start, peer(7, 12))
		for range 21 { // until the news of the peer itself has been passed on
			roster.NextBeat(start)
		}
		old := peer(7, 11).From
		old.State = instance.StateSuspected
		roster.Heard(start, instance.Beat{
			From:   instance.Instance{ID: "entry-3", Incarnation: 3, Sequence: 1, PeerAddress: "p3"},
			Deltas: []instance.Instance{old},
		})
		Expect(roster.NextBeat(start).Deltas).To(ContainElement(And(
			HaveField("ID", "entry-2"), HaveField("State", instance.StateLive), HaveField("Sequence", uint64(12)))))
	})

	// Guards against keeping an unreachable peer for ever when its connection
	// never reports an error.
	It("declares a dropped peer dead after 10 s of silence", func() {
		roster.Listed(start, listing(1, member))
		roster.Heard(start, peer(7, 10))
		roster.Listed(start, listing(2))
		ticks(0, 9500*time.Millisecond)
		Expect(seen().State).To(Equal(instance.StateSuspected))
		ticks(10*time.Second, 10*time.Second)
		Expect(seen().State).To(Equal(instance.StateDead))
	})

	// Guards against a lagging listing undoing a newer one, and against a mark
	// that was meant for the previous process.
	It("takes leaving from the list for the incarnation it was meant for", func() {
		leaving := member
		leaving.Leaving = true
		roster.Heard(start, peer(7, 10))
		roster.Listed(start, listing(5, leaving))
		Expect(seen().Leaving).To(BeTrue())
		roster.Listed(start, listing(4, member))
		roster.Heard(start, peer(7, 11))
		Expect(seen().Leaving).To(BeTrue(), "leaving is never taken back")
		roster.Heard(start, peer(8, 20))
		roster.Listed(start, listing(6, leaving))
		Expect(seen().Leaving).To(BeFalse(), "the restarted process stays")
	})

	// Guards against a process that was paused suspecting every peer when it
	// runs again.
	It("excuses the silence during its own pause", func() {
		roster.Heard(start, peer(7, 10))
		roster.Tick(start.Add(30 * time.Second))
		Expect(seen().State).To(Equal(instance.StateLive))
		ticks(30500*time.Millisecond, 31500*time.Millisecond)
		Expect(seen().State).To(Equal(instance.StateSuspected))
	})

	// Guards against a newcomer asking for leases before it knows all peers.
	It("tells when all listed peers were heard", func() {
		roster.Listed(start, listing(1, member, backing.Member{ID: "entry-1", Kind: backing.KindEntry}))
		Expect(roster.View().SelfListed).To(BeTrue())
		Expect(roster.View().HeardAllListed).To(BeFalse())
		roster.Heard(start, peer(7, 10))
		Expect(roster.View().HeardAllListed).To(BeTrue())
	})

	DescribeTable("converges after random faults",
		func(least, most int) {
			rapid.Check(suiteT, func(t *rapid.T) {
				w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(least, most).Draw(t, "instances"))
				w.replay = true
				order := newIncarnationOrder(t, w)
				for range rapid.IntRange(1, 6).Draw(t, "faults") {
					w.fault(t)
					w.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "for"))*100*time.Millisecond, order.check)
				}
				w.calm()
				// Random peers change every 30 s; the longest way back is one change.
				for end := w.now.Add(40 * time.Second); w.now.Before(end) && w.converged() != nil; {
					w.run(time.Second, order.check)
				}
				w.run(3*time.Second, order.check)
				if err := w.converged(); err != nil {
					t.Fatalf("after the last fault: %v", err)
				}
			})
		},
		Entry("in a full mesh", 2, instance.FullMeshMax),
		Entry("in a ring", instance.FullMeshMax+1, 14),
	)

	// Guards against the rules above FullMeshMax losing news where an instance
	// hears only a few others. The bound is the 3 s of "a few seconds".
	It("spreads a failure and a restart to 50 instances within 3 s", func() {
		w := newWorld(5, 50)
		w.delay = 40 * time.Millisecond
		w.run(10*time.Second, nil)
		Expect(w.converged()).To(Succeed())
		w.kill("entry-007")
		w.run(3*time.Second, nil)
		Expect(w.converged()).To(Succeed())
		w.start("entry-007", 0)
		w.run(3*time.Second, nil)
		Expect(w.converged()).To(Succeed())
	})

	// Guards against a restart that takes the permission for cold-start leases
	// away from all instances until the ring brings every pair together.
	It("lets 50 instances and a restarted one hear from each other within 3 s", func() {
		w := newWorld(5, 50)
		w.delay = 40 * time.Millisecond
		w.run(10*time.Second, nil)
		w.kill("entry-007")
		w.start("entry-007", 0)
		w.run(3*time.Second, nil)
		for id, n := range w.nodes {
			Expect(n.roster.View().HeardAllListed).To(BeTrue(), id)
		}
	})
})

// incarnationOrder checks that no roster returns to an incarnation that it has
// replaced. An ID whose clock ran behind its predecessor's is only required to
// converge: until it hears of its predecessor, news of both are in circulation.
type incarnationOrder struct {
	t       *rapid.T
	w       *world
	current map[[2]string]uint64
	retired map[[2]string]map[uint64]bool
}

func newIncarnationOrder(t *rapid.T, w *world) *incarnationOrder {
	return &incarnationOrder{t, w, map[[2]string]uint64{}, map[[2]string]map[uint64]bool{}}
}

func (o *incarnationOrder) check() {
	for id, n := range o.w.nodes {
		if n == nil {
			continue
		}
		for _, p := range n.roster.View().Peers {
			// A restarted observer starts without memory.
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
			if o.retired[key][p.Incarnation] && !o.w.behind[p.ID] {
				o.t.Fatalf("%s returned to an old incarnation of %s", id, p.ID)
			}
		}
	}
}

// fault injects one random fault.
func (w *world) fault(t *rapid.T) {
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
				other.side = w.rng.IntN(2)
			}
		}
	case kind == "heal":
		w.heal()
	case kind == "drop":
		w.relist(func(m *backing.Member) bool { return m.ID != id })
	case kind == "list":
		w.relistAll()
	}
}

// calm ends all faults but stopped processes.
func (w *world) calm() {
	w.loss, w.delay, w.replay = 0, 40*time.Millisecond, false
	w.heal()
	for _, n := range w.nodes {
		if n != nil {
			n.frozen = false
		}
	}
	w.relistAll()
}
