package instance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/instance"
)

var epochZero = time.Unix(1_764_000_000, 0)

// node is one simulated process.
type node struct {
	roster      *instance.Roster
	id          string
	incarnation uint64
	started     time.Time
	frozen      bool
	leaving     bool
	side        int // partition side
	phase       time.Duration
}

// delivery is a heartbeat on its way.
type delivery struct {
	at   time.Time
	to   string
	beat instance.Beat
}

// world drives rosters through heartbeats in virtual time.
type world struct {
	now     time.Time
	rng     *rand.Rand
	nodes   map[string]*node
	ids     []string
	wire    []delivery
	loss    float64
	delay   time.Duration
	listed  backing.Listing
	nextInc uint64
	sent    int
	deltas  int
	all     []backing.Member
	replay  bool // old heartbeats arrive again
	past    []delivery
	last    map[string]uint64 // last sequence of an ID's earlier processes
	behind  map[string]bool   // a process of this ID started below an earlier one
}

func newWorld(seed uint64, count int) *world {
	w := &world{now: epochZero, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}}
	w.last, w.behind = map[string]uint64{}, map[string]bool{}
	for i := range count {
		id := fmt.Sprintf("entry-%03d", i)
		w.ids = append(w.ids, id)
		w.listed.Members = append(w.listed.Members, backing.Member{
			ID: id, Kind: backing.KindEntry, Zone: fmt.Sprintf("az-%d", i%3), Address: "peer-" + id,
		})
	}
	w.all = w.listed.Members
	w.listed.Version = 1
	for _, id := range w.ids {
		w.start(id, 0)
	}
	return w
}

// start replaces the process of an ID; skew is the error of its clock.
func (w *world) start(id string, skew time.Duration) *node {
	w.nextInc++
	n := &node{id: id, incarnation: w.rng.Uint64() | 1, started: w.now}
	n.phase = time.Duration(w.rng.Int64N(int64(instance.HeartbeatInterval / step)))
	self := instance.Instance{
		ID: id, Incarnation: n.incarnation, Zone: "az-1",
		CallerAddress: "caller-" + id, PeerAddress: "peer-" + id,
		Sequence: instance.FirstSequence(w.now.Add(skew)),
	}
	w.kill(id)
	w.behind[id] = w.behind[id] || self.Sequence <= w.last[id]
	n.roster = instance.NewRoster(w.now, self)
	n.roster.Tick(w.now)
	n.roster.Listed(w.now, w.listed)
	w.nodes[id] = n
	return n
}

func (w *world) kill(id string) {
	if old := w.nodes[id]; old != nil {
		w.last[id] = max(w.last[id], old.roster.View().Self.Sequence)
	}
	w.nodes[id] = nil
}

func (w *world) relist(edit func(m *backing.Member) bool) {
	var members []backing.Member
	for _, m := range w.listed.Members {
		if edit(&m) {
			members = append(members, m)
		}
	}
	w.listed = backing.Listing{Version: w.listed.Version + 1, Members: members}
	for _, id := range w.ids {
		if n := w.nodes[id]; n != nil && !n.frozen {
			n.roster.Listed(w.now, w.listed)
		}
	}
}

func (w *world) relistAll() {
	w.listed.Members = w.all
	w.relist(func(*backing.Member) bool { return true })
}

func (w *world) heal() {
	for _, n := range w.nodes {
		if n != nil {
			n.side = 0
		}
	}
}

const step = 50 * time.Millisecond

// run advances the time; check is called after each step.
func (w *world) run(d time.Duration, check func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		for _, id := range w.ids {
			n := w.nodes[id]
			if n == nil || n.frozen {
				continue
			}
			if (int64(w.now.Sub(epochZero)/step)+int64(n.phase))%int64(instance.HeartbeatInterval/step) == 0 {
				w.beat(n)
			}
		}
		if check != nil {
			check()
		}
	}
}

func (w *world) deliver() {
	kept := w.wire[:0]
	for _, d := range w.wire {
		if d.at.After(w.now) {
			kept = append(kept, d)
			continue
		}
		n := w.nodes[d.to]
		if n != nil && n.frozen {
			kept = append(kept, d) // waits in the socket buffer
		} else if n != nil {
			n.roster.Heard(w.now, d.beat)
		}
	}
	w.wire = kept
}

func (w *world) beat(n *node) {
	n.roster.Tick(w.now)
	epoch := uint64(w.now.Sub(n.started) / time.Minute)
	n.roster.Update(w.now, instance.Own{Epoch: epoch, Leaving: n.leaving})
	recipients := n.roster.Recipients(w.now, w.rng.Uint64())
	beat := n.roster.NextBeat(w.now)
	for _, to := range recipients {
		w.sent++
		w.deltas += len(beat.Deltas)
		peer := w.nodes[to.Instance.ID]
		if peer == nil || peer.side != n.side || w.rng.Float64() < w.loss {
			continue
		}
		copied := beat
		copied.Expect = to.Expect
		copied.Deltas = append(slices.Clone(beat.Deltas), to.Transfer...)
		w.deltas += len(to.Transfer)
		at := w.now
		if w.delay > 0 {
			at = at.Add(time.Duration(w.rng.Int64N(int64(w.delay))))
		}
		w.wire = append(w.wire, delivery{at: at, to: peer.id, beat: copied})
		w.repeatOld(w.wire[len(w.wire)-1])
	}
}

// repeatOld keeps a sample of heartbeats and delivers some of them again.
func (w *world) repeatOld(sample delivery) {
	if !w.replay || w.rng.IntN(8) > 0 {
		return
	}
	w.past = append(w.past, sample)
	old := w.past[w.rng.IntN(len(w.past))]
	old.at = w.now
	w.wire = append(w.wire, old)
}

// converged reports the first difference between a roster and the truth.
func (w *world) converged() error {
	for _, id := range w.ids {
		n := w.nodes[id]
		if n == nil || n.frozen {
			continue
		}
		for _, other := range w.ids {
			if other == id {
				continue
			}
			if err := w.agrees(n, other); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) agrees(n *node, other string) error {
	seen, known := n.roster.View().Peer(other)
	truth := w.nodes[other]
	switch {
	case truth == nil || truth.frozen:
		if known && seen.State == instance.StateLive {
			return fmt.Errorf("%s believes %s to be live", n.id, other)
		}
	case !known || seen.State != instance.StateLive:
		return fmt.Errorf("%s believes %s to be %s", n.id, other, seen.State)
	case seen.Incarnation != truth.incarnation:
		return fmt.Errorf("%s knows an outdated incarnation of %s", n.id, other)
	case seen.Leaving != truth.leaving:
		return fmt.Errorf("%s has leaving=%v for %s", n.id, seen.Leaving, other)
	}
	return nil
}
