package daemon

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fulmarhoist.example/instance"
	"fulmarhoist.example/service"
)

// instanceStatus implements httpapi.InstanceStatus.
type instanceStatus struct {
	isolation *instance.Isolation
	leaving   atomic.Bool
}

func (s *instanceStatus) Isolated() bool { return s.isolation.Isolated(time.Now()) }

func (s *instanceStatus) Leaving() bool { return s.leaving.Load() }

// directory implements httpapi.Directory.
type directory struct {
	roster  *instance.Roster
	catalog *service.Catalog
}

// defaultLifetime is how long callers are assumed to keep a directory response
// while there is no configuration.
const defaultLifetime = 30 * time.Second

// unconfiguredLifetime is the lifetime of a directory response from an instance
// that has no configuration yet. The instance has just started and may not know
// all others, so callers should ask again soon.
const unconfiguredLifetime = time.Second

// DirectoryBody is the JSON body of a directory response.
type DirectoryBody struct {
	Version    uint64              `json:"version"`
	LifetimeMs int64               `json:"lifetime_ms"`
	Instances  []DirectoryInstance `json:"instances"`
}

// DirectoryInstance is one instance in a directory response.
type DirectoryInstance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Ticket  string `json:"ticket"`
}

func (d *directory) lifetime() time.Duration {
	configuration := d.catalog.Snapshot().State.Config
	if configuration == nil {
		return defaultLifetime
	}
	return time.Duration(configuration.DirectoryLifetimeMs) * time.Millisecond
}

func (d *directory) Directory(_ time.Time, zone string) any {
	lifetime := d.lifetime()
	if d.catalog.Snapshot().State.Config == nil {
		lifetime = unconfiguredLifetime
	}
	response := instance.Directory{Roster: d.roster}.Respond(zone, lifetime, rand.Uint64())
	body := DirectoryBody{Version: response.Version, LifetimeMs: response.Lifetime.Milliseconds()}
	for _, i := range response.Instances {
		body.Instances = append(body.Instances, DirectoryInstance{ID: i.ID, Zone: i.Zone, Address: i.Address, Ticket: i.Ticket.String()})
	}
	return body
}
