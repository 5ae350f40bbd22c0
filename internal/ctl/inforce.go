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

// Times for polling the instances. An instance reads the log every 250 ms.
const (
	pollInterval  = 200 * time.Millisecond
	healthTimeout = time.Second
)

// instanceVersion is the configuration version that one instance reports.
type instanceVersion struct {
	ID        string  `json:"id"`
	Zone      string  `json:"zone"`
	Address   string  `json:"address"`
	Version   *uint64 `json:"config_version"` // nil if it has not reported one
	Confirmed bool    `json:"confirmed"`
	Detail    string  `json:"detail,omitempty"`
}

// versionWaiter waits until all instances report a version or a later one.
type versionWaiter struct {
	connection *connectionFlags
	version    uint64
	// known holds every instance that a directory listed during the wait, by id.
	// An instance that disappears without having confirmed stays in the map: it
	// may be frozen and still be in the directories that callers have cached.
	known map[string]*instanceVersion
	// unresponsive holds the errors of addresses that returned no directory in
	// the last poll and belong to no known instance.
	unresponsive map[string]error
	// lastErr is the error of an address that returned no directory in the last
	// poll.
	lastErr error
}

func newVersionWaiter(connection *connectionFlags, version uint64) *versionWaiter {
	return &versionWaiter{connection: connection, version: version, known: map[string]*instanceVersion{}}
}

// wait blocks until the version is in force on all instances. It returns false if
// the context ends first.
func (w *versionWaiter) wait(ctx context.Context) bool {
	for !w.poll(ctx) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}

// poll reads the directories and queries every instance that has not confirmed.
// It reports whether all instances have.
func (w *versionWaiter) poll(ctx context.Context) bool {
	discovered := w.connection.discover(ctx)
	w.addListed(discovered.instances)
	if ctx.Err() == nil {
		w.lastErr, w.unresponsive = discovered.lastErr, discovered.unresponsive
	}
	for _, instance := range w.known {
		delete(w.unresponsive, instance.Address)
	}
	var wg sync.WaitGroup
	for _, instance := range w.known {
		if !instance.Confirmed {
			wg.Go(func() { w.queryHealth(ctx, instance) })
		}
	}
	wg.Wait()
	return len(discovered.instances) > 0 && w.allConfirmed()
}

func (w *versionWaiter) addListed(listed []*caller.Instance) {
	for _, l := range listed {
		if instance, found := w.known[l.ID]; !found || instance.Address != l.Address {
			w.known[l.ID] = &instanceVersion{ID: l.ID, Zone: l.Zone, Address: l.Address}
		}
	}
}

func (w *versionWaiter) queryHealth(ctx context.Context, instance *instanceVersion) {
	healthCtx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health, err := getHealth(healthCtx, instance.Address)
	switch {
	case ctx.Err() != nil: // keep the previous detail, which says more than that the wait ended
		if instance.Detail == "" {
			instance.Detail = "did not answer"
		}
	case err != nil:
		instance.Detail = err.Error()
	case health.ConfigVersion == nil:
		instance.Detail = fmt.Sprintf("answered with status %d and without a version", health.status)
	default:
		instance.Version = health.ConfigVersion
		instance.Confirmed = *instance.Version >= w.version
		instance.Detail = ""
		if !instance.Confirmed {
			instance.Detail = fmt.Sprintf("still has version %d", *instance.Version)
		}
	}
}

// list returns all known instances and the unresponsive addresses, sorted by id
// and address.
func (w *versionWaiter) list() []instanceVersion {
	list := make([]instanceVersion, 0, len(w.known)+len(w.unresponsive))
	for _, instance := range w.known {
		list = append(list, *instance)
	}
	for address, err := range w.unresponsive {
		list = append(list, instanceVersion{ID: "unknown", Address: address, Detail: err.Error()})
	}
	slices.SortFunc(list, func(a, b instanceVersion) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// allConfirmed reports whether all known instances have confirmed the version and
// no address is unresponsive.
func (w *versionWaiter) allConfirmed() bool {
	return !slices.ContainsFunc(w.list(), func(instance instanceVersion) bool { return !instance.Confirmed })
}
