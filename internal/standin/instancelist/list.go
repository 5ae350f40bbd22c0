// Package instancelist is a stand-in for the platform's instance list. Changes
// to its members become visible to readers only after a configurable lag.
package instancelist

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Member is one entry of the list.
type Member struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Listing is one version of the list.
type Listing struct {
	Version uint64   `json:"version"`
	Members []Member `json:"members"`
}

// MemberError reports an invalid or unknown member.
type MemberError struct {
	ID      string
	Problem string
}

func (e *MemberError) Error() string { return fmt.Sprintf("member %q: %s", e.ID, e.Problem) }

func (m Member) validate() error {
	switch {
	case m.ID == "":
		return &MemberError{ID: m.ID, Problem: "needs an id"}
	case m.Kind != "entry" && m.Kind != "target":
		return &MemberError{ID: m.ID, Problem: fmt.Sprintf("kind must be entry or target, got %q", m.Kind)}
	case m.Address == "":
		return &MemberError{ID: m.ID, Problem: "needs an address"}
	}
	return nil
}

// history holds the versions of the list from the one that readers see to the
// newest. It is guarded by Service.mu.
type history struct {
	versions []timedListing
}

// timedListing is a version of the list with the time of its change.
type timedListing struct {
	at      time.Time
	listing Listing
}

func newHistory() history {
	return history{versions: []timedListing{{listing: Listing{Members: []Member{}}}}}
}

func (h *history) newest() Listing { return h.versions[len(h.versions)-1].listing }

// visibleListing returns the newest version that is at least lag old. It drops
// older ones, so that a longer lag does not show an earlier version to readers.
func (h *history) visibleListing(now time.Time, lag time.Duration) Listing {
	horizon := now.Add(-lag)
	visible := 0
	for visible+1 < len(h.versions) && !h.versions[visible+1].at.After(horizon) {
		visible++
	}
	h.versions = h.versions[visible:]
	return h.versions[0].listing
}

// add appends a new version with these members, sorted by id.
func (h *history) add(now time.Time, members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	listing := Listing{Version: h.newest().Version + 1, Members: members}
	h.versions = append(h.versions, timedListing{at: now, listing: listing})
}

// setMember adds a member or replaces the member with the same id.
func (h *history) setMember(now time.Time, m Member) {
	h.add(now, append(h.membersWithout(m.ID), m))
}

// removeMember removes a member and reports whether it was on the list.
func (h *history) removeMember(now time.Time, id string) bool {
	rest := h.membersWithout(id)
	if len(rest) == len(h.newest().Members) {
		return false
	}
	h.add(now, rest)
	return true
}

// markLeaving marks a member as leaving and reports whether it was on the list.
func (h *history) markLeaving(now time.Time, id string) bool {
	for _, m := range h.newest().Members {
		if m.ID == id {
			m.Leaving = true
			h.setMember(now, m)
			return true
		}
	}
	return false
}

// membersWithout returns the newest members except the one with this id.
func (h *history) membersWithout(id string) []Member {
	rest := make([]Member, 0, len(h.newest().Members)+1)
	for _, m := range h.newest().Members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}
