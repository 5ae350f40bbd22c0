// Package fleet models the entry instances of one deployment as this instance
// sees them, and decides what follows from that: which of them a caller is told
// to use, and which share of a cold target's load this instance may send.
//
// The package does no I/O; time comes from the caller.
package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"
)

// Member is one entry instance.
type Member struct {
	Name    string
	Zone    string
	Address string // where callers connect
	Relay   string // where other instances of its zone may ask for records
}

// View is the set of live members at one time. It is immutable.
type View struct {
	Members []Member // ordered by name, without duplicates
	// Peak is the largest number of members seen for a while. An instance that
	// lost touch with the store goes on serving, and its share must stay free.
	Peak int
	// Settled is false while the members may be more than are known, after the
	// start of this instance.
	Settled bool
}

// peakWindow is how long a member that is gone still counts.
const peakWindow = time.Minute

// Roster holds the view. One goroutine calls Replace; any may call View.
type Roster struct {
	self     Member
	lastSeen map[string]time.Time
	view     atomic.Pointer[View]
}

// NewRoster returns a roster that knows this instance only.
func NewRoster(self Member) *Roster {
	r := &Roster{self: self, lastSeen: map[string]time.Time{}}
	r.view.Store(&View{Members: []Member{self}, Peak: 1})
	return r
}

// View returns the newest view.
func (r *Roster) View() *View { return r.view.Load() }

// Replace sets the live members and tells whether they differ from before.
func (r *Roster) Replace(now time.Time, members []Member) (changed bool) {
	next := slices.Clone(members)
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	next = slices.CompactFunc(next, func(a, b Member) bool { return a.Name == b.Name })
	for _, m := range next {
		r.lastSeen[m.Name] = now
	}
	for name, at := range r.lastSeen {
		if now.Sub(at) > peakWindow {
			delete(r.lastSeen, name)
		}
	}
	old := r.view.Load()
	peak := max(1, len(r.lastSeen))
	changed = !slices.Equal(old.Members, next)
	if changed || old.Peak != peak {
		r.view.Store(&View{Members: next, Peak: peak, Settled: old.Settled})
	}
	return changed
}

// Settle records that all members are known. It is called by the goroutine that
// calls Replace.
func (r *Roster) Settle() {
	next := *r.View()
	next.Settled = true
	r.view.Store(&next)
}

// Sharers is the number of instances among which a bound is shared.
func (v *View) Sharers() int { return max(v.Peak, len(v.Members)) }

// MaxAddresses is the most addresses that a caller uses of one answer.
const MaxAddresses = 64

// Addresses returns the addresses for a caller in the given zone: those of its
// own zone while there is one, since traffic between zones is dear and slow, and
// all others otherwise. This instance is included only while it serves.
func (r *Roster) Addresses(zone string, serving bool) []string {
	var near, far []string
	add := func(m Member) {
		if m.Zone == zone {
			near = append(near, m.Address)
		} else {
			far = append(far, m.Address)
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
	if len(near) == 0 {
		near = far
	}
	return near[:min(len(near), MaxAddresses)]
}

// leastRelayed is the number of instances of a zone from which on one reads for
// the others. Below it the calls that a relay saves are few.
const leastRelayed = 4

// Relay returns the address of the instance that reads for this one, or "" if this
// instance reads for itself: in a small zone, and where it is the first by name.
func (r *Roster) Relay() string {
	if reader := r.reader(); reader != nil && reader.Name != r.self.Name {
		return reader.Relay
	}
	return ""
}

// Relays tells whether this instance reads for the others of its zone.
func (r *Roster) Relays() bool {
	reader := r.reader()
	return reader != nil && reader.Name == r.self.Name
}

// reader returns the instance that reads for the zone of this one: the first by
// name, or nil in a small zone.
func (r *Roster) reader() *Member {
	var first *Member
	count := 0
	members := r.View().Members
	for i := range members {
		if members[i].Zone != r.self.Zone {
			continue
		}
		if first == nil {
			first = &members[i]
		}
		count++
	}
	if count < leastRelayed {
		return nil
	}
	return first
}

// ColdBound is what all instances together may send to a cold target.
type ColdBound struct {
	PerSecond float64 // requests that it bears a second
	Overshoot float64 // factor by which that may be exceeded
	Slack     float64 // requests on top of that
}

const (
	// coldMargin leaves room for instances whose views differ.
	coldMargin = 0.85
	// coldSpacing stretches the second over which the bound counts, so that two
	// requests that travel for different times do not fall into one.
	coldSpacing = 1.1
	// never marks an instance that sends nothing to a cold target.
	never = -1
)

// Pace returns the least time between two requests of this instance to a cold
// target, or a negative time if it may send none. Where the bound is less than
// one request a second for each instance, the first by rendezvous hashing share it.
func (r *Roster) Pace(targetID string, bound ColdBound) time.Duration {
	view := r.View()
	allowed := int((bound.PerSecond*bound.Overshoot + bound.Slack) * coldMargin)
	count := view.Sharers()
	second := time.Duration(coldSpacing * float64(time.Second))
	switch {
	case allowed < 1 || !view.Settled:
		return never
	case allowed >= count:
		return second / time.Duration(allowed/count)
	case r.rank(targetID) < allowed:
		return second
	default:
		return never
	}
}

// rank returns how many members come before this one for a target.
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

func score(member, targetID string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(targetID))
	// The finalizer spreads the difference of the last bytes over all bits.
	word := h.Sum64()
	word ^= word >> 33
	word *= 0xff51afd7ed558ccd
	return word ^ word>>33
}
