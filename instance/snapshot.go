package instance

import (
	"sort"
	"time"
)

// Snapshot is the roster at one moment. It is immutable.
type Snapshot struct {
	// Version grows when an instance joins, leaves, restarts or changes state,
	// but not with each heartbeat.
	Version uint64
	Self    Instance
	// SelfListed tells whether the instance list names this instance.
	SelfListed bool
	// HeardAllListed tells whether this incarnation has got a heartbeat from
	// each other instance on the list. Together with SelfListed it permits
	// requests for cold-start leases.
	HeardAllListed bool
	// Peers are the other instances, the dead ones too, in ascending order of ID.
	Peers []Instance
}

// Peer finds another instance by its ID.
func (s *Snapshot) Peer(id string) (Instance, bool) {
	i := sort.Search(len(s.Peers), func(i int) bool { return s.Peers[i].ID >= id })
	if i < len(s.Peers) && s.Peers[i].ID == id {
		return s.Peers[i], true
	}
	return Instance{}, false
}

// Live returns the peers that send heartbeats, leaving ones included.
func (s *Snapshot) Live() []Instance {
	var live []Instance
	for _, p := range s.Peers {
		if p.State == StateLive {
			live = append(live, p)
		}
	}
	return live
}

// View returns the current snapshot. Any goroutine may call it.
func (r *Roster) View() *Snapshot { return r.view.Load() }

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
		HeardAllListed: true, Peers: make([]Instance, 0, len(r.order)),
	}
	for _, id := range r.order {
		rec := r.records[id]
		next.Peers = append(next.Peers, rec.Instance)
		if rec.listed && rec.direct.IsZero() {
			next.HeardAllListed = false
		}
	}
	r.view.Store(next)
}
