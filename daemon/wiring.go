package daemon

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/backinghttp"
	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/hop"
	"fulmarhoist.example/httpapi"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/service"
	"fulmarhoist.example/settings"
	"fulmarhoist.example/target"
	"fulmarhoist.example/telemetry"
)

// constructors returns the constructors that dig builds the daemon from.
// Circular dependencies are resolved by fields that newDaemon and newLinks set.
func constructors(s *settings.Settings, logs io.Writer) []any {
	started := time.Now()
	return []any{
		func() *settings.Settings { return s },
		func() (zerolog.Logger, error) { return telemetry.NewLogger(logs, s.LogLevel, s.Instance) },
		func() (*telemetry.Tracing, error) {
			return telemetry.NewTracing(context.Background(), s.Instance, s.Traces.URL, s.Traces.File)
		},
		func() (backing.Log, error) {
			return backinghttp.NewLogClient(s.LogServiceURL, backinghttp.Settings{})
		},
		func() (backing.InstanceList, error) {
			return backinghttp.NewListClient(s.InstanceListURL, backinghttp.Settings{})
		},
		func() (lease.Participant, error) {
			incarnation, err := newIncarnation()
			return lease.Participant{Instance: s.Instance, Incarnation: incarnation}, err
		},
		func(self lease.Participant) *contract.Ledger {
			return contract.NewLedger(self.Instance, self.Incarnation, started)
		},
		func(self lease.Participant) *instance.Roster {
			return instance.NewRoster(started, instance.Instance{
				ID: self.Instance, Incarnation: self.Incarnation, Zone: s.Zone,
				CallerAddress: s.Callers.Advertise, PeerAddress: s.Peers.Advertise,
			})
		},
		func() *service.Catalog { return service.NewCatalog(s.Zone, service.PolicyName(s.Policy)) },
		func() *instanceStatus { return &instanceStatus{isolation: instance.NewIsolation(started)} },
		telemetry.NewMetrics,
		func(c *service.Catalog) *catalogTargets { return &catalogTargets{catalog: c} },
		func(r *instance.Roster, c *service.Catalog) *directory { return &directory{roster: r, catalog: c} },
		func(d *directory) *drain { return newDrain(d.lifetime) },
		contract.NewFingerprints, newOutbound, newApplier, newLinks, newReader, newCluster, newFront, newDaemon,
	}
}

func newReader(log backing.Log, s *settings.Settings, logger zerolog.Logger, applier *applier) *configlog.Reader {
	return configlog.NewReader(log, configlog.Options{
		Retention: time.Duration(s.LogRetentionMs) * time.Millisecond,
		OnState:   applier.submitState,
		OnVerdict: func(v config.Verdict) {
			if v.Kind == config.Rejected || v.Kind == config.Diverged {
				logger.Warn().Str("event", "publication_"+string(v.Kind)).Uint64("offset", v.Offset).
					Str("reason", string(v.Reason)).Msg("a configuration publication was not applied")
			}
		},
		OnError: func(err error) {
			logger.Warn().Str("event", "log_service_failed").Err(err).Msg("call to the log service failed")
		},
	})
}

// newLinks creates the links and the broker, which coordinates cold starts
// between the links and the peers.
func newLinks(self lease.Participant, targets *catalogTargets, out *outbound) (*exchange.Links, *coldstart.Broker) {
	broker := coldstart.NewBroker(self, out, targets, out.currentMembers)
	links := exchange.NewLinks(broker, out, func(t *target.Target) { out.targetLeaving(t.Spec.Name) })
	targets.links = links
	return links, broker
}

// frontDeps are the dependencies of the front end, which dig injects.
type frontDeps struct {
	dig.In

	Settings  *settings.Settings
	Catalog   *service.Catalog
	Ledger    *contract.Ledger
	Links     *exchange.Links
	Crashes   *contract.Fingerprints
	Cluster   *cluster
	Directory *directory
	Status    *instanceStatus
	Tracing   *telemetry.Tracing
	Metrics   *telemetry.Metrics
}

func newFront(p frontDeps) *httpapi.Front {
	return &httpapi.Front{
		Instance: p.Settings.Instance, Catalog: p.Catalog, Ledger: p.Ledger, Links: p.Links,
		Crashes:   p.Crashes,
		Forwarder: p.Cluster, Directory: p.Directory, Status: p.Status,
		Tracer: p.Tracing, Metrics: p.Metrics, Buffers: hop.NewBufferBudget(forwardedBufferBytes),
	}
}

// forwardedBufferBytes limits the memory for response bodies that are returned through
// other instances. It is an eighth of the memory of a small machine.
const forwardedBufferBytes = 48 << 20
