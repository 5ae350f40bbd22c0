package daemon

import (
	"time"

	"fulmarhoist.example/exchange"
	"fulmarhoist.example/link"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

// catalogTargets implements coldstart.Targets. links is set before the daemon
// runs, but after construction: the links depend on the broker, which depends
// on catalogTargets.
type catalogTargets struct {
	catalog *service.Catalog
	links   *exchange.Links
}

// ByName implements coldstart.Targets.
func (c *catalogTargets) ByName(name string) (*target.Target, *link.Set) {
	t := c.catalog.Snapshot().Target(name)
	if t == nil {
		return nil, nil
	}
	return t, c.links.Set(t)
}

// MaxRun implements coldstart.Targets.
func (c *catalogTargets) MaxRun(name string) time.Duration {
	return c.catalog.Snapshot().LongestDeadline(name)
}
