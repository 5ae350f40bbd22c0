package instance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/instance"
)

var startTime = time.Unix(1_764_000_000, 0)

// node is one simulated process.
type node struct {
	roster         *instance.Roster
	id             string
	incarnation    uint64
	started        time.Time
	frozen         bool
	leaving        bool
	partition      int           // number of the partition that the process is in
	heartbeatPhase time.Duration // offset of the heartbeats, in steps
}

// delivery is a heartbeat in transit.
type delivery struct {
	at        time.Time
	to        string
	heartbeat instance.Heartbeat
}

// simulation runs rosters that exchange heartbeats in virtual time.
type simulation struct {
	now          time.Time
	rng          *rand.Rand
	nodes        map[string]*node
	ids          []string
	inTransit    []delivery
	loss         float64
	delay        time.Duration
	listed       backing.Listing
	startCount   uint64
	sent         int
	deltas       int
	allMembers   []backing.Member
	replay       bool // old heartbeats are delivered again
	replayable   []delivery
	lastSequence map[string]uint64 // highest sequence number of an ID's earlier processes
	clockBehind  map[string]bool   // a process of this ID started below the sequence number of an earlier one
}

func newSimulation(seed uint64, count int) *simulation {
	w := &simulation{now: startTime, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}}
	w.lastSequence, w.clockBehind = map[string]uint64{}, map[string]bool{}
	for i := range count {
		id := fmt.Sprintf("entry-%03d", i)
		w.ids = append(w.ids, id)
		w.listed.Members = append(w.listed.Members, backing.Member{
			ID: id, Kind: backing.KindEntry, Zone: fmt.Sprintf("az-%d", i%3), Address: "peer-" + id,
		})
	}
	w.allMembers = w.listed.Members
	w.listed.Version = 1
	for _, id := range w.ids {
		w.start(id, 0)
	}
	return w
}

// start starts a new process with the ID, after killing the running one, if any.
// Its clock is off by skew.
func (w *simulation) start(id string, skew time.Duration) *node {
	w.startCount++
	n := &node{id: id, incarnation: w.rng.Uint64() | 1, started: w.now}
	n.heartbeatPhase = time.Duration(w.rng.Int64N(int64(instance.HeartbeatInterval / step)))
	self := instance.Instance{
		ID: id, Incarnation: n.incarnation, Zone: "az-1",
		CallerAddress: "caller-" + id, PeerAddress: "peer-" + id,
		Sequence: instance.FirstSequence(w.now.Add(skew)),
	}
	w.kill(id)
	w.clockBehind[id] = w.clockBehind[id] || self.Sequence <= w.lastSequence[id]
	n.roster = instance.NewRoster(w.now, self)
	n.roster.Tick(w.now)
	n.roster.ApplyListing(w.now, w.listed)
	w.nodes[id] = n
	return n
}

func (w *simulation) kill(id string) {
	if old := w.nodes[id]; old != nil {
		w.lastSequence[id] = max(w.lastSequence[id], old.roster.Snapshot().Self.Sequence)
	}
	w.nodes[id] = nil
}

func (w *simulation) updateList(edit func(m *backing.Member) bool) {
	var members []backing.Member
	for _, m := range w.listed.Members {
		if edit(&m) {
			members = append(members, m)
		}
	}
	w.listed = backing.Listing{Version: w.listed.Version + 1, Members: members}
	for _, id := range w.ids {
		if n := w.nodes[id]; n != nil && !n.frozen {
			n.roster.ApplyListing(w.now, w.listed)
		}
	}
}

func (w *simulation) restoreList() {
	w.listed.Members = w.allMembers
	w.updateList(func(*backing.Member) bool { return true })
}

func (w *simulation) heal() {
	for _, n := range w.nodes {
		if n != nil {
			n.partition = 0
		}
	}
}

const step = 50 * time.Millisecond

// run advances the virtual time by d and calls check, if not nil, after each
// step.
func (w *simulation) run(d time.Duration, check func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		for _, id := range w.ids {
			n := w.nodes[id]
			if n == nil || n.frozen {
				continue
			}
			if (int64(w.now.Sub(startTime)/step)+int64(n.heartbeatPhase))%int64(instance.HeartbeatInterval/step) == 0 {
				w.heartbeat(n)
			}
		}
		if check != nil {
			check()
		}
	}
}

func (w *simulation) deliver() {
	kept := w.inTransit[:0]
	for _, d := range w.inTransit {
		if d.at.After(w.now) {
			kept = append(kept, d)
			continue
		}
		n := w.nodes[d.to]
		if n != nil && n.frozen {
			kept = append(kept, d) // stays in the socket buffer
		} else if n != nil {
			n.roster.ApplyHeartbeat(w.now, d.heartbeat)
		}
	}
	w.inTransit = kept
}

func (w *simulation) heartbeat(n *node) {
	n.roster.Tick(w.now)
	epoch := uint64(w.now.Sub(n.started) / time.Minute)
	n.roster.UpdateSelf(w.now, instance.LocalState{Epoch: epoch, Leaving: n.leaving})
	recipients := n.roster.Recipients(w.now, w.rng.Uint64())
	heartbeat := n.roster.NextHeartbeat(w.now)
	for _, to := range recipients {
		w.sent++
		w.deltas += len(heartbeat.Deltas)
		peer := w.nodes[to.Instance.ID]
		if peer == nil || peer.partition != n.partition || w.rng.Float64() < w.loss {
			continue
		}
		copied := heartbeat
		copied.Expect = to.Expect
		copied.Deltas = append(slices.Clone(heartbeat.Deltas), to.Transfer...)
		w.deltas += len(to.Transfer)
		at := w.now
		if w.delay > 0 {
			at = at.Add(time.Duration(w.rng.Int64N(int64(w.delay))))
		}
		w.inTransit = append(w.inTransit, delivery{at: at, to: peer.id, heartbeat: copied})
		w.replayOld(w.inTransit[len(w.inTransit)-1])
	}
}

// replayOld records a sample of the heartbeats and delivers old ones again.
func (w *simulation) replayOld(sample delivery) {
	if !w.replay || w.rng.IntN(8) > 0 {
		return
	}
	w.replayable = append(w.replayable, sample)
	old := w.replayable[w.rng.IntN(len(w.replayable))]
	old.at = w.now
	w.inTransit = append(w.inTransit, old)
}

// checkConverged returns an error for the first difference between a roster and
// the actual state of the instances.
func (w *simulation) checkConverged() error {
	for _, id := range w.ids {
		n := w.nodes[id]
		if n == nil || n.frozen {
			continue
		}
		for _, other := range w.ids {
			if other == id {
				continue
			}
			if err := w.checkPeer(n, other); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *simulation) checkPeer(n *node, other string) error {
	seen, known := n.roster.Snapshot().Peer(other)
	truth := w.nodes[other]
	switch {
	case truth == nil || truth.frozen:
		if known && seen.State == instance.StateLive {
			return fmt.Errorf("%s has %s as live, but it is stopped or frozen", n.id, other)
		}
	case !known || seen.State != instance.StateLive:
		return fmt.Errorf("%s has %s as %s, want live", n.id, other, seen.State)
	case seen.Incarnation != truth.incarnation:
		return fmt.Errorf("%s has incarnation %x for %s, want %x", n.id, seen.Incarnation, other, truth.incarnation)
	case seen.Leaving != truth.leaving:
		return fmt.Errorf("%s has leaving=%v for %s, want %v", n.id, seen.Leaving, other, truth.leaving)
	}
	return nil
}
