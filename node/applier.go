package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/registry"
	"fulmarhoist.example/routing"
	"fulmarhoist.example/target"
	"fulmarhoist.example/targetconn"
)

// OperatorKey says what a key of the operator's topic is about.
type OperatorKey struct {
	Config bool   // the whole configuration
	Zone   string // the zone that gets no work while the key exists; "" if it is another key
}

// Records decodes what the store holds. It decides nothing.
type Records interface {
	OperatorKey(key string) OperatorKey
	Config(value []byte) (*routing.Config, error)
	Target(id string, value []byte) (registry.Entry, error)
}

// Topics names the topics that an instance follows.
type Topics struct {
	Operator string
	Targets  string
}

const (
	// refreshInterval is how often cold and missing targets are looked at.
	refreshInterval = 200 * time.Millisecond
	// massRemoval is the share of all targets whose entries do not go together in
	// ordinary work; the store has lost them rather.
	massRemoval = 0.34
	// leastMass is the number of entries below which a share says nothing.
	leastMass = 4
)

// applier is the one writer of the registry and of the routing table.
type applier struct {
	topics   Topics
	records  Records
	registry *registry.Registry
	tables   *tables
	pools    *targetconn.Pools
	health   *feed.Health
	logger   zerolog.Logger
	events   chan feed.Event
	ready    chan struct{} // closed when configuration and targets are known

	version              uint64
	haveOps, haveTargets bool
}

// run applies events until the context ends.
func (a *applier) run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-a.events:
			a.apply(event)
		case <-ticker.C:
		}
		a.refresh(time.Now())
	}
}

// deliver hands an event to the applier.
func (a *applier) deliver(ctx context.Context, event feed.Event) {
	select {
	case a.events <- event:
	case <-ctx.Done():
	}
}

func (a *applier) apply(event feed.Event) {
	switch event.Topic {
	case a.topics.Operator:
		a.applyOperator(event)
	case a.topics.Targets:
		a.applyTargets(event)
	}
}

func (a *applier) refresh(now time.Time) {
	for _, id := range a.registry.Refresh(now) {
		a.logger.Info().Str("event", "target_removed").Str("target", id).Str("reason", "entry did not return").
			Msg("target removed")
	}
	if a.haveOps && a.haveTargets && a.version > 0 {
		select {
		case <-a.ready:
		default:
			close(a.ready)
		}
	}
}

func (a *applier) applyOperator(event feed.Event) {
	now := time.Now()
	zones := map[string]bool{}
	var configs [][]byte
	for _, record := range event.Records {
		key := a.records.OperatorKey(record.Key)
		switch {
		case key.Config && !record.Deleted:
			configs = append(configs, record.Value)
		case key.Zone != "":
			zones[key.Zone] = !record.Deleted
			a.evacuate(now, key.Zone, !record.Deleted)
		}
	}
	// Only the newest usable configuration counts; large ones take long to decode.
	for i := len(configs) - 1; i >= 0 && !a.applyConfig(configs[i]); i-- {
	}
	if !event.Listing {
		return
	}
	a.haveOps = true
	for _, zone := range a.registry.Evacuated() {
		if !zones[zone] {
			a.evacuate(now, zone, false)
		}
	}
}

func (a *applier) evacuate(now time.Time, zone string, evacuated bool) {
	if a.registry.Evacuate(now, zone, evacuated) {
		a.logger.Info().Str("event", "zone_evacuation").Str("zone", zone).Bool("evacuated", evacuated).
			Msg("availability zone taken out of service or back")
	}
}

// applyConfig puts a configuration in force unless it is older than the present
// one. It returns false if the configuration cannot be used.
func (a *applier) applyConfig(value []byte) bool {
	config, err := a.records.Config(value)
	if err == nil {
		err = config.Validate()
	}
	if err != nil {
		a.logger.Error().Str("event", "config_unusable").Err(err).Uint64("kept_version", a.version).
			Msg("configuration cannot be used")
		return false
	}
	if config.Version <= a.version {
		return true
	}
	a.version = config.Version
	a.registry.Configure(config)
	a.registry.Refresh(time.Now())
	a.tables.Store(routing.NewTable(config, rand.Uint64()))
	a.logger.Info().Str("event", "config_in_force").Uint64("version", config.Version).Int("routes", len(config.Routes)).
		Msg("configuration in force")
	return true
}

func (a *applier) applyTargets(event feed.Event) {
	now := time.Now()
	outage := a.health.Settling(now) || a.losesMany(event)
	listed := make(map[string]bool, len(event.Records))
	for _, record := range event.Records {
		listed[record.Key] = true
		a.applyTarget(now, &record, outage)
	}
	if event.Listing {
		for _, id := range a.registry.IDs() {
			if !listed[id] {
				a.remove(now, id, outage, "not listed")
			}
		}
		a.registry.Listed()
		a.haveTargets = true
	}
	a.retain()
}

// losesMany tells whether an event removes more targets than leave together.
func (a *applier) losesMany(event feed.Event) bool {
	known := len(a.registry.IDs())
	if known < leastMass {
		return false
	}
	gone := 0
	kept := 0
	for _, record := range event.Records {
		if record.Deleted {
			gone++
		} else {
			kept++
		}
	}
	if event.Listing {
		gone = known - kept
	}
	return float64(gone) > massRemoval*float64(known)
}

func (a *applier) applyTarget(now time.Time, record *feed.Record, outage bool) {
	if record.Deleted {
		a.remove(now, record.Key, outage, "entry removed")
		return
	}
	entry, err := a.records.Target(record.Key, record.Value)
	if err != nil {
		a.logger.Warn().Str("event", "target_entry_unusable").Str("target", record.Key).Err(err).
			Msg("entry names no target to use")
		a.remove(now, record.Key, false, "entry unusable")
		return
	}
	change := a.registry.Put(now, entry)
	if change != registry.ChangeNone {
		a.logger.Info().Str("event", "target_"+change.String()).Str("target", entry.ID).Str("service", entry.Service).
			Str("zone", entry.Zone).Str("address", entry.Address).Dur("cold_left", entry.ColdLeft).
			Int64("born", entry.Born).Int64("sequence", entry.Sequence).Msg("target changed")
	}
}

func (a *applier) remove(now time.Time, id string, outage bool, reason string) {
	change := a.registry.Remove(now, id, outage)
	if change != registry.ChangeNone {
		a.logger.Info().Str("event", "target_"+change.String()).Str("target", id).Str("reason", reason).
			Bool("after_outage", outage).Msg("target changed")
	}
}

// retain closes the idle connections of targets that are gone.
func (a *applier) retain() {
	live := map[*target.Target]bool{}
	for _, t := range a.registry.Targets() {
		live[t] = true
	}
	a.pools.Retain(live)
}
