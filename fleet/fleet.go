// Package fleet models the entry instances of one deployment as this instance
// sees them. From the membership it derives the addresses that callers are
// given, the instance that reads records on behalf of a zone, and the share of
// this instance in the load of a cold target.
//
// The package does no I/O. The caller passes in the current time.
package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Member is one entry instance.
type Member struct {
	Name    string
	Zone    string
	Address string // address to which callers connect
	Relay   string // address at which other instances of its zone read records through it
}

// View is a snapshot of the live members. It is immutable.
type View struct {
	Members []Member // sorted by name, without duplicates
	// RecentMembers is the number of distinct members seen within recentWindow,
	// at least 1. An instance that has lost its connection to the store
	// disappears from Members but continues to serve, so its share must remain
	// reserved.
	RecentMembers int
	// Complete is false after the start of this instance until all members are
	// known.
	Complete bool
}

// recentWindow is the time for which a member that has disappeared counts in
// RecentMembers.
const recentWindow = time.Minute

// Roster holds the current view. Replace and MarkComplete must be called from a
// single goroutine; all other methods are safe for concurrent use.
type Roster struct {
	self       Member
	lastSeen   map[string]time.Time // by member name
	view       atomic.Pointer[View]
	relayKnown chan struct{} // see RelayKnown
}

// NewRoster returns a roster whose only member is this instance.
func NewRoster(self Member) *Roster {
	r := &Roster{self: self, lastSeen: map[string]time.Time{}, relayKnown: make(chan struct{})}
	r.view.Store(&View{Members: []Member{self}, RecentMembers: 1})
	return r
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// Replace sets the live members and reports whether they have changed.
func (r *Roster) Replace(now time.Time, members []Member) (changed bool) {
	next := slices.Clone(members)
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	next = slices.CompactFunc(next, func(a, b Member) bool { return a.Name == b.Name })
	for _, m := range next {
		r.lastSeen[m.Name] = now
	}
	for name, seenAt := range r.lastSeen {
		if now.Sub(seenAt) > recentWindow {
			delete(r.lastSeen, name)
		}
	}
	old := r.view.Load()
	recent := max(1, len(r.lastSeen))
	changed = !slices.Equal(old.Members, next)
	if changed || old.RecentMembers != recent {
		r.view.Store(&View{Members: next, RecentMembers: recent, Complete: old.Complete})
	}
	if len(next) > 1 {
		r.markRelayKnown()
	}
	return changed
}

func (r *Roster) markRelayKnown() {
	select {
	case <-r.relayKnown:
	default:
		close(r.relayKnown)
	}
}

// MarkComplete records that all members are known.
func (r *Roster) MarkComplete() {
	next := *r.View()
	next.Complete = true
	r.view.Store(&next)
	r.markRelayKnown()
}

// ShareCount returns the number of instances among which a limit is divided.
func (v *View) ShareCount() int { return max(v.RecentMembers, len(v.Members)) }

// MaxAddresses is the maximum number of addresses that a caller uses of one
// directory response.
const MaxAddresses = 64

// Addresses returns the addresses for a caller in the given zone: those of the
// instances in that zone or, if there are none, those of all others, because
// traffic between zones is expensive and slow. This instance is included only if
// serving is true. At most MaxAddresses are returned.
func (r *Roster) Addresses(zone string, serving bool) []string {
	var preferred, fallback []string
	add := func(m Member) {
		if m.Zone == zone {
			preferred = append(preferred, m.Address)
		} else {
			fallback = append(fallback, m.Address)
		}
	}
	for _, m := range r.View().Members {
		if m.Name != r.self.Name {
			add(m)
		}
	}
	if serving {
		add(r.self)
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	return preferred[:min(len(preferred), MaxAddresses)]
}

// minMembersForRelay is the minimum number of instances in a zone for which one
// of them reads for the others. With fewer instances a relay saves few calls.
const minMembersForRelay = 4

// maxRelays is the number of instances of a zone through which the others can read.
// If the first does not reach the store, one of the next ones takes its place, so
// that not all instances of the zone call the store.
const maxRelays = 3

// Relays returns the addresses of the instances that may read from the store on
// behalf of this one, in the order in which to ask them. There are none if this
// instance reads for itself.
func (r *Roster) Relays() (addresses []string) {
	for _, m := range r.relayMembers() {
		if m.Name == r.self.Name {
			break
		}
		addresses = append(addresses, m.Relay)
	}
	return addresses
}

// IsRelay reports whether this instance reads on behalf of the others in its
// zone.
func (r *Roster) IsRelay() bool {
	relays := r.relayMembers()
	return len(relays) > 0 && relays[0].Name == r.self.Name
}

// RelayKnown returns a channel that is closed once this instance has known, after its
// start, of other instances, and thus which of them is the relay of its zone, or
// that it is alone.
func (r *Roster) RelayKnown() <-chan struct{} { return r.relayKnown }

// relayMembers returns the instances that may read on behalf of the zone of this
// instance: the first by name, or none if the zone has fewer than
// minMembersForRelay instances.
func (r *Roster) relayMembers() (relays []Member) {
	count := 0
	for _, m := range r.View().Members {
		if m.Zone != r.self.Zone {
			continue
		}
		if count++; len(relays) < maxRelays {
			relays = append(relays, m)
		}
	}
	if count < minMembersForRelay {
		return nil
	}
	return relays
}

// maxCollectors is the number of instances that collect the reports on one key. They
// are in different zones, so that the loss of a zone leaves others.
const maxCollectors = 3

// Collectors returns the instances that collect what all others report on a key: of
// the zones with the highest-ranking members the highest-ranking one each, by
// rendezvous hashing. Instances that know the same members choose the same ones.
func (r *Roster) Collectors(key string) []Member {
	best := map[string]Member{} // by zone
	for _, m := range r.View().Members {
		if known, ok := best[m.Zone]; !ok || score(m.Name, key) > score(known.Name, key) {
			best[m.Zone] = m
		}
	}
	ranked := slices.SortedFunc(maps.Values(best), func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b.Name, key), score(a.Name, key)), cmp.Compare(a.Name, b.Name))
	})
	return ranked[:min(len(ranked), maxCollectors)]
}

// Self returns this instance.
func (r *Roster) Self() Member { return r.self }

// ColdBound limits the requests that all instances together may send to a cold
// target. In any second these are at most PerSecond*Overshoot + Slack.
type ColdBound struct {
	PerSecond float64 // requests per second that the target can handle
	Overshoot float64 // factor by which PerSecond may be exceeded
	Slack     float64 // requests per second allowed in addition
}

const (
	// coldMargin is the part of the bound that is used. The rest is a margin for
	// instances with different views of the membership.
	coldMargin = 0.85
	// coldSpacing stretches the intervals, so that requests with different
	// network delays do not arrive at a higher rate than allowed.
	coldSpacing = 1.1
	// noRequests is the pacing interval of an instance that must not send to a
	// cold target.
	noRequests = -1
)

// PacingInterval returns the minimum time between two requests from this
// instance to a cold target, or a negative duration if it must not send any. If
// the bound allows less than one request per second and instance, only the
// instances that rank highest for the target by rendezvous hashing may send,
// about one request per second each.
func (r *Roster) PacingInterval(targetID string, bound ColdBound) time.Duration {
	view := r.View()
	allowed := int((bound.PerSecond*bound.Overshoot + bound.Slack) * coldMargin)
	shares := view.ShareCount()
	interval := time.Duration(coldSpacing * float64(time.Second))
	switch {
	case allowed < 1 || !view.Complete:
		return noRequests
	case allowed >= shares:
		return interval / time.Duration(allowed/shares)
	case r.rank(targetID) < allowed:
		return interval
	default:
		return noRequests
	}
}

// rank returns the number of members that rank higher than this one for a
// target by rendezvous hashing.
func (r *Roster) rank(targetID string) int {
	own := score(r.self.Name, targetID)
	rank := 0
	for _, m := range r.View().Members {
		if m.Name != r.self.Name && score(m.Name, targetID) > own {
			rank++
		}
	}
	return rank
}

// score returns the weight of a member for a target in rendezvous hashing.
func score(member, targetID string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(targetID))
	// FNV-1a mixes the last bytes of its input poorly into the high bits. This step
	// of the MurmurHash3 finalizer spreads them over all bits.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
