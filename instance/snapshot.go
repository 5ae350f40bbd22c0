package instance

import (
	"sort"
	"time"
)

// Snapshot is an immutable copy of the roster.
type Snapshot struct {
	// Version increases when an instance joins, leaves, restarts or changes
	// state, but not with each heartbeat.
	Version uint64
	Self    Instance
	// SelfListed reports whether this instance is on the instance list.
	SelfListed bool
	// ContactedByAllListed reports whether this instance has received a
	// heartbeat directly from the known incarnation of every other instance on
	// the list. Cold-start leases may be requested only if it and SelfListed
	// are true.
	ContactedByAllListed bool
	// Peers are the other instances, including dead ones, sorted by ID.
	Peers []Instance
}

// Peer returns the other instance with the given ID.
func (s *Snapshot) Peer(id string) (Instance, bool) {
	i := sort.Search(len(s.Peers), func(i int) bool { return s.Peers[i].ID >= id })
	if i < len(s.Peers) && s.Peers[i].ID == id {
		return s.Peers[i], true
	}
	return Instance{}, false
}

// Live returns the peers in StateLive, including leaving ones.
func (s *Snapshot) Live() []Instance {
	var live []Instance
	for _, p := range s.Peers {
		if p.State == StateLive {
			live = append(live, p)
		}
	}
	return live
}

// Snapshot returns the current snapshot. Any goroutine may call it.
func (r *Roster) Snapshot() *Snapshot { return r.snapshot.Load() }

// publish replaces the snapshot after an event.
func (r *Roster) publish(now time.Time) {
	if r.changed {
		r.version++
		r.changed = false
	}
	self := r.self
	self.HeardAt = now
	next := &Snapshot{
		Version: r.version, Self: self, SelfListed: r.selfListed,
		ContactedByAllListed: true, Peers: make([]Instance, 0, len(r.sortedIDs)),
	}
	for _, id := range r.sortedIDs {
		rec := r.records[id]
		next.Peers = append(next.Peers, rec.Instance)
		if rec.listed && rec.lastDirect.IsZero() {
			next.ContactedByAllListed = false
		}
	}
	r.snapshot.Store(next)
}
