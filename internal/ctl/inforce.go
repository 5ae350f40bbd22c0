package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"fulmarhoist.example/caller"
)

// Times of the wait for a version. An instance reads the log every 250 ms.
const (
	pollInterval  = 200 * time.Millisecond
	healthTimeout = time.Second
)

// instanceVersion is what one instance reports of its configuration.
type instanceVersion struct {
	ID        string  `json:"id"`
	Zone      string  `json:"zone"`
	Address   string  `json:"address"`
	Version   *uint64 `json:"config_version"` // nil if it never reported one
	Confirmed bool    `json:"confirmed"`
	Detail    string  `json:"detail,omitempty"`
}

// confirmation waits until all instances report a version or a later one.
type confirmation struct {
	connection *connection
	version    uint64
	// known holds every instance that the directory listed during the wait. One
	// that disappears without having confirmed may be frozen and still be in
	// the cached answers of callers, so it stays on the list.
	known map[string]*instanceVersion
	// silent holds the given addresses that did not answer last time and belong
	// to no known instance.
	silent map[string]error
	// failure is why an instance did not give its directory last time.
	failure error
}

func newConfirmation(c *connection, version uint64) *confirmation {
	return &confirmation{connection: c, version: version, known: map[string]*instanceVersion{}}
}

// wait returns true when the version is in force on all instances, and false
// when the context ends first.
func (c *confirmation) wait(ctx context.Context) bool {
	for !c.round(ctx) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}

// round asks the directories and every instance that has not confirmed.
func (c *confirmation) round(ctx context.Context) bool {
	found := c.connection.survey(ctx)
	c.merge(found.instances)
	if ctx.Err() == nil {
		c.failure, c.silent = found.failure, found.silent
	}
	for _, i := range c.known {
		delete(c.silent, i.Address)
	}
	var group sync.WaitGroup
	for _, i := range c.known {
		if !i.Confirmed {
			group.Go(func() { c.ask(ctx, i) })
		}
	}
	group.Wait()
	return len(found.instances) > 0 && c.settled()
}

func (c *confirmation) merge(listed []*caller.Instance) {
	for _, l := range listed {
		if i, found := c.known[l.ID]; !found || i.Address != l.Address {
			c.known[l.ID] = &instanceVersion{ID: l.ID, Zone: l.Zone, Address: l.Address}
		}
	}
}

func (c *confirmation) ask(ctx context.Context, i *instanceVersion) {
	limited, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	answer, err := getHealth(limited, i.Address)
	switch {
	case ctx.Err() != nil: // the answer before tells more than the end of the wait
		if i.Detail == "" {
			i.Detail = "did not answer"
		}
	case err != nil:
		i.Detail = err.Error()
	case answer.ConfigVersion == nil:
		i.Detail = fmt.Sprintf("answered with status %d and without a version", answer.status)
	default:
		i.Version = answer.ConfigVersion
		i.Confirmed = *i.Version >= c.version
		i.Detail = ""
		if !i.Confirmed {
			i.Detail = fmt.Sprintf("still has version %d", *i.Version)
		}
	}
}

// list returns all instances by id, and the silent addresses.
func (c *confirmation) list() []instanceVersion {
	list := make([]instanceVersion, 0, len(c.known)+len(c.silent))
	for _, i := range c.known {
		list = append(list, *i)
	}
	for address, err := range c.silent {
		list = append(list, instanceVersion{ID: "unknown", Address: address, Detail: err.Error()})
	}
	slices.SortFunc(list, func(a, b instanceVersion) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// settled tells whether nothing is left to wait for.
func (c *confirmation) settled() bool {
	return !slices.ContainsFunc(c.list(), func(i instanceVersion) bool { return !i.Confirmed })
}
