package node

import (
	"fmt"
	"io"
	"math"
	"net"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/dig"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/crashshare"
	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/gateway"
	"fulmarhoist.example/ingress"
	"fulmarhoist.example/prober"
	"fulmarhoist.example/registry"
	"fulmarhoist.example/relay"
	"fulmarhoist.example/routing"
	"fulmarhoist.example/targetconn"
	"fulmarhoist.example/telemetry"
)

// HeaderProtocol reads and writes the headers of requests and responses of
// callers and targets.
type HeaderProtocol interface {
	gateway.Protocol
	targetconn.Protocol
	targetconn.NoticeParser
	prober.Protocol
}

const (
	// remoteRoundTrip is the round-trip time to another availability zone, for
	// which there is no setting. It is used only to order targets.
	remoteRoundTrip = 3 * time.Millisecond
	// queueLimit is the maximum number of queued requests per service in this
	// instance.
	queueLimit = 256
	// callerFileShare is the share of the file descriptors that connections of
	// callers may use.
	callerFileShare = 0.5
	// answeredLogLinesPerSecond limits the log lines for requests that were
	// answered. Log lines for other requests are not sampled here.
	answeredLogLinesPerSecond = 200
	// retryBudgetShare is the share of the retry budget that the instances use.
	// The rest is a margin, because each instance counts in a window of its own.
	retryBudgetShare = 0.8
	// probeBudgetShare is the share of the limit on health probes that the
	// instances use; the rest is a margin.
	probeBudgetShare = 0.8
	// minShareCount is the minimum number of instances among which the fixed
	// part of the retry budget and the health probes are divided, so that an
	// instance that does not know the others yet does not take too large a
	// share.
	minShareCount = 4
)

// providers returns the constructors of all components, for dependency
// injection.
func providers(settings *Settings, platform *Platform, logs io.Writer) []any {
	return []any{
		func() *Settings { return settings },
		func() *Platform { return platform },
		func() (zerolog.Logger, error) {
			logger, err := telemetry.NewLogger(logs, "info", settings.Instance)
			if err != nil {
				return logger, fmt.Errorf("create the logger: %w", err)
			}
			return logger, nil
		},
		telemetry.NewMetrics,
		newSharer, (*crashshare.Sharer).Fingerprints,
		feed.NewHealth,
		func(b *currentBounds) *gateway.Shutdown {
			return &gateway.Shutdown{Grace: func() time.Duration { return b.Load().Grace }}
		},
		newStoreProbe, newTables, newBounds, newBuffers, newRoster, newRegistry, newPools, newProber, newSender, newGateway, newServer, newApplier, newMembership, newNode,
	}
}

// selfMember returns the entry of this instance in the group.
func selfMember(s *Settings) fleet.Member {
	m := fleet.Member{Name: s.Instance, Zone: s.Zone, Address: s.CallerAddress}
	if s.PeerPort != "" {
		m.Relay = net.JoinHostPort(s.HostIP, s.PeerPort)
	}
	return m
}

func newBuffers(p *Platform) relay.Buffers {
	return relay.NewBuffers(p.Topics.Operator, p.Topics.Targets)
}

// relayClient returns a client of the relay through which this instance reads a
// topic.
func relayClient(roster *fleet.Roster, health *feed.Health, probe *storeProbe, logger zerolog.Logger, topic string) relay.Client {
	return relay.Client{
		RelayAddresses: roster.Relays,
		StoreDown:      health.Down,
		StoreSettling:  func() bool { return health.Settling(time.Now()) },
		StoreResponds:  probe.responds,
		OnRelayLost: func(address string, err error) {
			logger.Info().Str("event", "relay_lost").Str("topic", topic).Str("address", address).Err(err).
				Msg("relay is unavailable; reading without it for a while")
		},
	}
}

func newRoster(s *Settings) *fleet.Roster { return fleet.NewRoster(selfMember(s)) }

func newRegistry(s *Settings, bounds *currentBounds, roster *fleet.Roster) *registry.Registry {
	return registry.New(registry.Options{
		OwnZone: s.Zone, RemoteRoundTrip: remoteRoundTrip, QueueLimit: queueLimit,
		RetryPercent: func() int { return int(math.Floor(100 * bounds.Load().RetryRatio * retryBudgetShare)) },
		RetryMinimum: func() int {
			return int(bounds.Load().RetryExtra * retryBudgetShare / float64(max(roster.View().ShareCount(), minShareCount)))
		},
		PacingInterval: func(targetID string, spec *routing.Service) time.Duration {
			current := bounds.Load()
			return roster.PacingInterval(targetID, fleet.ColdBound{
				PerSecond: spec.ColdRequestsPerSecond, Overshoot: current.ColdOvershoot, Slack: current.ColdSlack,
			})
		},
	})
}

func newPools(p *Platform, metrics *telemetry.Metrics) *targetconn.Pools {
	return targetconn.NewPools(targetconn.PoolOptions{
		OnOpen: metrics.Counter("fulmarhoist_target_connections_opened_total").Inc, Notices: p.Protocol,
	})
}

func newSharer(s *Settings, roster *fleet.Roster, metrics *telemetry.Metrics, logger zerolog.Logger) *crashshare.Sharer {
	return crashshare.New(crashshare.Options{
		Roster: roster, Port: s.CrashPort, Logger: logger,
		CountSent: func(kind string, delivered bool) {
			metrics.Counter(fmt.Sprintf(`fulmarhoist_crash_messages_total{kind=%q,delivered="%t"}`, kind, delivered)).Inc()
		},
		CountDropped: metrics.Counter("fulmarhoist_crash_observations_dropped_total").Inc,
	})
}

// proberDeps holds the dependencies of a prober.
type proberDeps struct {
	dig.In

	Platform *Platform
	Pools    *targetconn.Pools
	Tables   *tables
	Bounds   *currentBounds
	Roster   *fleet.Roster
	Registry *registry.Registry
	Metrics  *telemetry.Metrics
}

func newProber(p proberDeps) *prober.Prober {
	return &prober.Prober{
		Pools: p.Pools, Protocol: p.Platform.Protocol, HealthPath: p.Tables.healthPath,
		Interval: func() time.Duration {
			return probeInterval(p.Bounds.Load().ProbesPerSecond, p.Registry.Candidates(), p.Roster.View())
		},
		Probed: p.Metrics.Counter("fulmarhoist_probes_total").Inc,
	}
}

// probeInterval returns the time between two health probes of this instance,
// which gives it an equal share of the probes that all instances may send to
// all targets. It returns 0 if probes are not limited or there are no targets.
// The limit perSecond is a mean over the targets: some are probed more often
// than others.
func probeInterval(perSecond float64, targets int, view *fleet.View) time.Duration {
	if perSecond <= 0 || targets == 0 {
		return 0
	}
	shares := max(view.ShareCount(), minShareCount)
	seconds := float64(shares) / (perSecond * probeBudgetShare * float64(targets))
	return time.Duration(min(seconds, maxProbeInterval.Seconds()) * float64(time.Second))
}

// maxProbeInterval is the longest time between two health probes of an instance.
const maxProbeInterval = time.Hour

func newSender(p *Platform, pools *targetconn.Pools, logger zerolog.Logger) *targetconn.Sender {
	return &targetconn.Sender{Pools: pools, Protocol: p.Protocol, Logger: logger}
}

// gatewayDeps holds the dependencies of a gateway.
type gatewayDeps struct {
	dig.In

	Settings *Settings
	Platform *Platform
	Registry *registry.Registry
	Sender   *targetconn.Sender
	Prober   *prober.Prober
	Crashes  *contract.Fingerprints
	Metrics  *telemetry.Metrics
	Logger   zerolog.Logger
	Shutdown *gateway.Shutdown
	Tables   *tables
}

func newGateway(p gatewayDeps) *gateway.Gateway {
	return &gateway.Gateway{
		Instance: p.Settings.Instance, Protocol: p.Platform.Protocol, Services: p.Registry, Sender: p.Sender,
		Chooser: p.Prober, Crashes: p.Crashes, Tracer: noop.NewTracerProvider().Tracer("fulmarhoist"),
		Metrics: p.Metrics, Logger: p.Logger, Shutdown: p.Shutdown, Tables: &p.Tables.Tables,
		AccessLog: p.Logger.Sample(&zerolog.BurstSampler{Burst: answeredLogLinesPerSecond, Period: time.Second}),
	}
}

func newServer(s *Settings, g *gateway.Gateway, t *tables, logger zerolog.Logger) *ingress.Server {
	return &ingress.Server{
		Handler: g, Limits: t.limits, MaxConnections: int(s.MaxOpenFiles * callerFileShare),
		OnPanic: func(value any, stack []byte) {
			logger.Error().Str("event", "request_panicked").Any("value", value).Bytes("stack", stack).Msg("handler of a request panicked")
		},
	}
}

// applierDeps holds the dependencies of an applier.
type applierDeps struct {
	dig.In

	Platform *Platform
	Registry *registry.Registry
	Tables   *tables
	Pools    *targetconn.Pools
	Health   *feed.Health
	Logger   zerolog.Logger
}

func newApplier(p applierDeps) *applier {
	return &applier{
		topics: p.Platform.Topics, decoder: p.Platform.Records, registry: p.Registry, currentTable: p.Tables, pools: p.Pools,
		storeHealth: p.Health, logger: p.Logger, events: make(chan feed.Event),
		listed: make(chan struct{}), ready: make(chan struct{}),
	}
}

// membershipDeps holds the dependencies of a membership.
type membershipDeps struct {
	dig.In

	Settings *Settings
	Platform *Platform
	Roster   *fleet.Roster
	Health   *feed.Health
	Buffers  relay.Buffers
	Probe    *storeProbe
	Logger   zerolog.Logger
}

func newMembership(p membershipDeps) *membership {
	return &membership{
		self: selfMember(p.Settings), group: p.Platform.Group, roster: p.Roster, storeHealth: p.Health, buffers: p.Buffers,
		members: &relay.Members{
			Client: relayClient(p.Roster, p.Health, p.Probe, p.Logger, relay.TopicMembers), List: p.Platform.Group.Members,
			Buffer: p.Buffers[relay.TopicMembers],
		},
		ttl: max(joinTTL, p.Settings.MinTTL), firstStart: p.Settings.FirstStart, probe: p.Probe, logger: p.Logger,
	}
}

// nodeDeps holds the dependencies of a node.
type nodeDeps struct {
	dig.In

	Settings   *Settings
	Bounds     *currentBounds
	Platform   *Platform
	Logger     zerolog.Logger
	Metrics    *telemetry.Metrics
	Roster     *fleet.Roster
	Health     *feed.Health
	Buffers    relay.Buffers
	Applier    *applier
	Membership *membership
	Server     *ingress.Server
	Shutdown   *gateway.Shutdown
	Tables     *tables
	Registry   *registry.Registry
	Sharer     *crashshare.Sharer
}

func newNode(p nodeDeps) *Node {
	registerMetrics(&p)
	return &Node{
		settings: p.Settings, bounds: p.Bounds, platform: p.Platform, logger: p.Logger, metrics: p.Metrics, roster: p.Roster,
		storeHealth: p.Health, buffers: p.Buffers, applier: p.Applier, membership: p.Membership, server: p.Server, shutdown: p.Shutdown,
		sharer: p.Sharer,
	}
}
