// Package instancelist is a stand-in for the platform's instance list. Changes
// of its members become visible to readers only after a settable lag.
package instancelist

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Member is one row of the list.
type Member struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Listing is the list as of one version.
type Listing struct {
	Version uint64   `json:"version"`
	Members []Member `json:"members"`
}

// MemberError reports a member that the list cannot hold.
type MemberError struct {
	ID      string
	Problem string
}

func (e *MemberError) Error() string { return fmt.Sprintf("member %q: %s", e.ID, e.Problem) }

func (m Member) check() error {
	switch {
	case m.ID == "":
		return &MemberError{ID: m.ID, Problem: "needs an id"}
	case m.Kind != "entry" && m.Kind != "target":
		return &MemberError{ID: m.ID, Problem: "kind must be entry or target"}
	case m.Address == "":
		return &MemberError{ID: m.ID, Problem: "needs an address"}
	}
	return nil
}

// history holds the versions of the list from the one that readers see up to
// the newest. The service's mutex guards it.
type history struct {
	versions []dated
}

type dated struct {
	at      time.Time
	listing Listing
}

func newHistory() history {
	return history{versions: []dated{{listing: Listing{Members: []Member{}}}}}
}

func (h *history) newest() Listing { return h.versions[len(h.versions)-1].listing }

// visible gives the newest listing that is at least lag old. It forgets older
// ones, so that a longer lag never takes a reader back to an earlier version.
func (h *history) visible(now time.Time, lag time.Duration) Listing {
	horizon := now.Add(-lag)
	seen := 0
	for seen+1 < len(h.versions) && !h.versions[seen+1].at.After(horizon) {
		seen++
	}
	h.versions = h.versions[seen:]
	return h.versions[0].listing
}

func (h *history) add(now time.Time, members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	listing := Listing{Version: h.newest().Version + 1, Members: members}
	h.versions = append(h.versions, dated{at: now, listing: listing})
}

// put registers a member or replaces the one with the same id.
func (h *history) put(now time.Time, m Member) {
	h.add(now, append(h.without(m.ID), m))
}

// remove drops a member and tells whether it was there.
func (h *history) remove(now time.Time, id string) bool {
	rest := h.without(id)
	if len(rest) == len(h.newest().Members) {
		return false
	}
	h.add(now, rest)
	return true
}

// leave marks a member as leaving and tells whether it was there.
func (h *history) leave(now time.Time, id string) bool {
	for _, m := range h.newest().Members {
		if m.ID == id {
			m.Leaving = true
			h.put(now, m)
			return true
		}
	}
	return false
}

func (h *history) without(id string) []Member {
	rest := make([]Member, 0, len(h.newest().Members)+1)
	for _, m := range h.newest().Members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}
