package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"fulmarhoist.example/config"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/service"
	"fulmarhoist.example/telemetry"
)

// applier is the only writer of the catalog and of the set of links. Other
// goroutines submit changes to it over channels.
type applier struct {
	catalog *service.Catalog
	links   *exchange.Links
	gauges  *gauges
	logger  zerolog.Logger
	states  chan config.State
	leaving chan map[string]bool
	stopped chan struct{}
}

func newApplier(catalog *service.Catalog, links *exchange.Links, metrics *telemetry.Metrics, logger zerolog.Logger) *applier {
	return &applier{
		catalog: catalog,
		links:   links,
		gauges:  &gauges{metrics: metrics, catalog: catalog, registered: map[string]bool{}},
		logger:  logger,
		states:  make(chan config.State),
		leaving: make(chan map[string]bool),
		stopped: make(chan struct{}),
	}
}

// run applies changes until ctx is canceled.
func (a *applier) run(ctx context.Context) {
	defer close(a.stopped)
	for {
		changed := false
		select {
		case <-ctx.Done():
			return
		case state := <-a.states:
			changed = a.catalog.Apply(state)
			if changed {
				a.gauges.addServices(state.Config)
				a.logger.Info().Str("event", "config_in_force").Uint64("version", state.Version).Msg("configuration in force")
			}
		case names := <-a.leaving:
			changed = a.catalog.SetLeaving(names)
			if changed {
				a.logger.Info().Str("event", "targets_leaving").Int("count", len(names)).Msg("set of leaving targets changed")
			}
		}
		if changed {
			a.links.Follow(a.catalog.Snapshot())
		}
	}
}

// submitState passes a configuration that has come into force to the applier.
func (a *applier) submitState(state config.State) {
	select {
	case a.states <- state:
	case <-a.stopped:
	}
}

// submitLeaving passes the names of all targets that are leaving to the
// applier.
func (a *applier) submitLeaving(names map[string]bool) {
	select {
	case a.leaving <- names:
	case <-a.stopped:
	}
}
