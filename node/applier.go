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

// OperatorKey is the decoded key of a record in the topic that holds the
// configuration and the zone evacuations.
type OperatorKey struct {
	Config bool   // whether the record holds the configuration
	Zone   string // zone that is evacuated while the key exists; "" for any other key
}

// RecordDecoder decodes the records of the store. It only decodes: it does not
// validate the configuration and changes no state.
type RecordDecoder interface {
	OperatorKey(key string) OperatorKey
	Config(value []byte) (*routing.Config, error)
	// Target decodes the entry of a target; now is the time of day.
	Target(now time.Time, id string, value []byte) (registry.Entry, error)
}

// Topics holds the names of the topics that an instance follows.
type Topics struct {
	Operator string
	Targets  string
}

// refreshInterval is the maximum time between two calls of Registry.Refresh, which
// updates cold targets and removes those whose entries are missing for too long.
const refreshInterval = 200 * time.Millisecond

// applier applies the records of the store to the registry and the routing
// table. It is their only writer.
type applier struct {
	topics       Topics
	decoder      RecordDecoder
	registry     *registry.Registry
	currentTable *tables
	pools        *targetconn.Pools
	storeHealth  *feed.Health
	logger       zerolog.Logger
	events       chan feed.Event
	listed       chan struct{} // closed once both topics have been listed
	ready        chan struct{} // closed once the configuration and the targets are known

	configVersion uint64 // 0 before the first configuration
	// operatorListed and targetsListed are set once the topic has been listed
	// completely.
	operatorListed, targetsListed bool
}

// run applies events until the context ends. It also refreshes the registry
// after each event and every refreshInterval.
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

// deliver passes an event to the applier and blocks until the applier takes it.
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

// refresh updates the registry, and closes listed once both topics have been listed,
// and ready once a configuration is in force too.
func (a *applier) refresh(now time.Time) {
	changed := a.registry.Refresh(now)
	for _, id := range changed.Removed {
		a.logger.Info().Str("event", "target_removed").Str("target", id).Str("reason", "entry did not return").
			Msg("target removed")
	}
	for _, id := range changed.Leaving {
		a.logger.Info().Str("event", "target_leaving").Str("target", id).Msg("target announced in a response that it is leaving")
	}
	for _, pause := range changed.Paused {
		a.logger.Info().Str("event", "target_paused").Str("target", pause.TargetID).Dur("left", pause.Until.Sub(now)).
			Msg("target asked for no requests for a while")
	}
	if a.operatorListed && a.targetsListed {
		closeOnce(a.listed)
		if a.configVersion > 0 {
			closeOnce(a.ready)
		}
	}
}

// closeOnce closes a channel that only the caller closes, unless it is closed.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (a *applier) applyOperator(event feed.Event) {
	now := time.Now()
	evacuatedByZone := map[string]bool{}
	var configs [][]byte
	for _, record := range event.Records {
		key := a.decoder.OperatorKey(record.Key)
		switch {
		case key.Config && !record.Deleted:
			configs = append(configs, record.Value)
		case key.Zone != "":
			evacuatedByZone[key.Zone] = !record.Deleted
			a.setEvacuated(now, key.Zone, !record.Deleted)
		}
	}
	// Only the newest valid configuration is applied; large ones are slow to
	// decode.
	for i := len(configs) - 1; i >= 0 && !a.applyConfig(configs[i]); i-- {
	}
	if !event.Listing {
		return
	}
	a.operatorListed = true
	for _, zone := range a.registry.Evacuated() {
		if !evacuatedByZone[zone] {
			a.setEvacuated(now, zone, false)
		}
	}
}

func (a *applier) setEvacuated(now time.Time, zone string, evacuated bool) {
	if a.registry.Evacuate(now, zone, evacuated) {
		a.logger.Info().Str("event", "zone_evacuation").Str("zone", zone).Bool("evacuated", evacuated).
			Msg("availability zone evacuated or returned to service")
	}
}

// applyConfig puts a configuration in force if it is newer than the current
// one. It returns false if the configuration is invalid.
func (a *applier) applyConfig(value []byte) bool {
	config, err := a.decoder.Config(value)
	if err == nil {
		err = config.Validate()
	}
	if err != nil {
		a.logger.Error().Str("event", "config_unusable").Err(err).Uint64("kept_version", a.configVersion).
			Msg("invalid configuration ignored")
		return false
	}
	if config.Version <= a.configVersion {
		return true
	}
	a.configVersion = config.Version
	a.registry.SetConfig(config)
	a.registry.Refresh(time.Now())
	a.currentTable.Store(routing.NewTable(config, rand.Uint64()))
	a.logger.Info().Str("event", "config_in_force").Uint64("version", config.Version).Int("routes", len(config.Routes)).
		Msg("new configuration in force")
	return true
}

// applyTargets applies entries of targets and their removals. Only after an outage of
// the store may a removed entry come back: the store loses no entry by itself, so that
// without an outage the targets have left, however many they are.
func (a *applier) applyTargets(event feed.Event) {
	now := time.Now()
	outageEnd, _ := a.storeHealth.OutageEnd(now)
	listed := make(map[string]bool, len(event.Records))
	for _, record := range event.Records {
		listed[record.Key] = true
		a.applyTarget(now, &record, outageEnd)
	}
	if event.Listing {
		for _, id := range a.registry.IDs() {
			if !listed[id] {
				a.removeTarget(now, id, outageEnd, "not listed")
			}
		}
		a.registry.MarkListed()
		a.targetsListed = true
	}
	a.closeConnsToRemovedTargets()
}

// applyTarget applies a record. If its removal may be an effect of an outage of the
// store, outageEnd is the end of that outage.
func (a *applier) applyTarget(now time.Time, record *feed.Record, outageEnd time.Time) {
	if record.Deleted {
		a.removeTarget(now, record.Key, outageEnd, "entry removed")
		return
	}
	entry, err := a.decoder.Target(now, record.Key, record.Value)
	if err != nil {
		a.logger.Warn().Str("event", "target_entry_unusable").Str("target", record.Key).Err(err).
			Msg("invalid target entry; target removed if it was registered")
		a.removeTarget(now, record.Key, time.Time{}, "entry unusable")
		return
	}
	change := a.registry.Put(now, entry)
	if change != registry.ChangeNone {
		a.logger.Info().Str("event", "target_"+change.String()).Str("target", entry.ID).Str("service", entry.Service).
			Str("zone", entry.Zone).Str("address", entry.Address).Dur("cold_left", entry.ColdRemaining).
			Int64("born", entry.StartedAtMs).Int64("sequence", entry.Sequence).Msg("target changed")
	}
}

func (a *applier) removeTarget(now time.Time, id string, outageEnd time.Time, reason string) {
	change := a.registry.Remove(now, id, outageEnd)
	if change == registry.ChangeNone {
		return
	}
	line := a.logger.Info().Str("event", "target_"+change.String()).Str("target", id).Str("reason", reason).
		Bool("after_outage", !outageEnd.IsZero())
	if !outageEnd.IsZero() {
		line = line.Dur("outage_ended", time.Since(outageEnd))
	}
	line.Msg("target changed")
}

// closeConnsToRemovedTargets closes the idle connections to removed targets.
func (a *applier) closeConnsToRemovedTargets() {
	live := map[*target.Target]bool{}
	for _, t := range a.registry.Targets() {
		live[t] = true
	}
	a.pools.Retain(live)
}
