package daemon

import (
	"time"

	"fulmarhoist.example/exchange"
	"fulmarhoist.example/link"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

// knownTargets implements coldstart.Known. Links is set before the daemon runs;
// the links need the broker, and the broker needs this.
type knownTargets struct {
	catalog *service.Catalog
	links   *exchange.Links
}

// ByName implements coldstart.Known.
func (k *knownTargets) ByName(name string) (*target.Target, *link.Set) {
	t := k.catalog.Snapshot().Target(name)
	if t == nil {
		return nil, nil
	}
	return t, k.links.Set(t)
}

// MaxRun implements coldstart.Known.
func (k *knownTargets) MaxRun(name string) time.Duration {
	return k.catalog.Snapshot().LongestDeadline(name)
}
