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

// Headers reads and writes the headers of callers and targets.
type Headers interface {
	gateway.Protocol
	targetconn.Protocol
	prober.Protocol
}

const (
	// remoteRoundTrip is the time to another availability zone and back where the
	// settings give none. It only orders targets.
	remoteRoundTrip = 3 * time.Millisecond
	// queueLimit is how many requests of one service may wait in this instance.
	queueLimit = 256
	// connectionShare is the part of the file descriptors for callers.
	connectionShare = 0.5
	// answeredLines bounds the log lines a second of requests that were answered;
	// those of other requests are not dropped here.
	answeredLines = 200
	// retryMargin leaves a part of the budget for repeats unused, since the
	// instances count in windows of their own.
	retryMargin = 0.8
	// questionMargin leaves a part of the bound on health questions unused.
	questionMargin = 0.8
	// leastMembers bounds the share of the fixed part of the budget, and of the
	// health questions, that one instance takes, so that one that does not know the
	// others yet stays modest.
	leastMembers = 4
)

// providers returns the constructors of all parts.
func providers(settings *Settings, platform *Platform, logs io.Writer) []any {
	return []any{
		func() *Settings { return settings },
		func() *Platform { return platform },
		func() (zerolog.Logger, error) {
			logger, err := telemetry.NewLogger(logs, "info", settings.Instance)
			if err != nil {
				return logger, fmt.Errorf("make the logger: %w", err)
			}
			return logger, nil
		},
		telemetry.NewMetrics,
		contract.NewFingerprints,
		feed.NewHealth,
		func() *gateway.Stop { return &gateway.Stop{Grace: settings.Bounds.Grace} },
		newTables, newBounds, newBuffers, newRoster, newRegistry, newPools, newProber, newSender, newGateway, newServer, newApplier, newMembership, newNode,
	}
}

func selfOf(s *Settings) fleet.Member {
	m := fleet.Member{Name: s.Instance, Zone: s.Zone, Address: s.Callers}
	if s.PeerPort != "" {
		m.Relay = net.JoinHostPort(s.Address, s.PeerPort)
	}
	return m
}

func newBuffers(p *Platform) relay.Buffers {
	return relay.NewBuffers(p.Topics.Operator, p.Topics.Targets)
}

// relayClient asks the instance that reads a topic for this one.
func relayClient(roster *fleet.Roster, logger zerolog.Logger, topic string) relay.Client {
	return relay.Client{
		Relay: roster.Relay,
		Lost: func(address string, err error) {
			logger.Info().Str("event", "relay_lost").Str("topic", topic).Str("address", address).Err(err).
				Msg("the store is read directly for a while")
		},
	}
}

func newRoster(s *Settings) *fleet.Roster { return fleet.NewRoster(selfOf(s)) }

func newRegistry(s *Settings, bounds *currentBounds, roster *fleet.Roster) *registry.Registry {
	return registry.New(registry.Terms{
		OwnZone: s.Zone, RemoteRoundTrip: remoteRoundTrip, QueueLimit: queueLimit,
		RetryPercent: int(math.Floor(100 * s.Bounds.RetryRatio * retryMargin)),
		RetryMinimum: func() int {
			return int(bounds.Load().RetryExtra * retryMargin / float64(max(roster.View().Sharers(), leastMembers)))
		},
		Pace: func(targetID string, spec *routing.Service) time.Duration {
			now := bounds.Load()
			return roster.Pace(targetID, fleet.ColdBound{
				PerSecond: spec.ColdPerSecond, Overshoot: now.ColdOvershoot, Slack: now.ColdSlack,
			})
		},
	})
}

func newPools(metrics *telemetry.Metrics) *targetconn.Pools {
	pools := targetconn.NewPools()
	pools.Opened = metrics.Counter("fulmarhoist_target_connections_opened_total").Inc
	return pools
}

// proberParts is what a prober is made of.
type proberParts struct {
	dig.In

	Platform *Platform
	Pools    *targetconn.Pools
	Tables   *tables
	Bounds   *currentBounds
	Roster   *fleet.Roster
	Registry *registry.Registry
	Metrics  *telemetry.Metrics
}

func newProber(p proberParts) *prober.Prober {
	return &prober.Prober{
		Pools: p.Pools, Protocol: p.Platform.Headers, HealthPath: p.Tables.healthPath,
		Interval: func() time.Duration {
			return questionInterval(p.Bounds.Load().ProbesPerSecond, p.Registry.Candidates(), p.Roster.View())
		},
		Probed: p.Metrics.Counter("fulmarhoist_probes_total").Inc,
	}
}

// questionInterval is the share of this instance in the health questions that all
// instances may ask all targets. Some targets are asked more often than others: the
// bound is a mean.
func questionInterval(perSecond float64, targets int, view *fleet.View) time.Duration {
	if perSecond <= 0 || targets == 0 {
		return 0
	}
	count := max(view.Sharers(), leastMembers)
	return time.Duration(float64(count) / (perSecond * questionMargin * float64(targets)) * float64(time.Second))
}

func newSender(p *Platform, pools *targetconn.Pools, logger zerolog.Logger) *targetconn.Sender {
	return &targetconn.Sender{Pools: pools, Protocol: p.Headers, Logger: logger}
}

// gatewayParts is what a gateway is made of.
type gatewayParts struct {
	dig.In

	Settings *Settings
	Platform *Platform
	Registry *registry.Registry
	Sender   *targetconn.Sender
	Prober   *prober.Prober
	Crashes  *contract.Fingerprints
	Metrics  *telemetry.Metrics
	Logger   zerolog.Logger
	Stop     *gateway.Stop
	Tables   *tables
}

func newGateway(p gatewayParts) *gateway.Gateway {
	return &gateway.Gateway{
		Instance: p.Settings.Instance, Protocol: p.Platform.Headers, Services: p.Registry, Sender: p.Sender,
		Chooser: p.Prober, Crashes: p.Crashes, Tracer: noop.NewTracerProvider().Tracer("fulmarhoist"),
		Metrics: p.Metrics, Logger: p.Logger, Stop: p.Stop, Tables: &p.Tables.Tables,
		Answers: p.Logger.Sample(&zerolog.BurstSampler{Burst: answeredLines, Period: time.Second}),
	}
}

func newServer(s *Settings, g *gateway.Gateway, t *tables) *ingress.Server {
	return &ingress.Server{Handler: g, Limits: t.limits, MaxConnections: int(s.MaxFiles * connectionShare)}
}

// applierParts is what an applier is made of.
type applierParts struct {
	dig.In

	Platform *Platform
	Registry *registry.Registry
	Tables   *tables
	Pools    *targetconn.Pools
	Health   *feed.Health
	Logger   zerolog.Logger
}

func newApplier(p applierParts) *applier {
	return &applier{
		topics: p.Platform.Topics, records: p.Platform.Records, registry: p.Registry, tables: p.Tables, pools: p.Pools,
		health: p.Health, logger: p.Logger, events: make(chan feed.Event), ready: make(chan struct{}),
	}
}

// membershipParts is what a membership is made of.
type membershipParts struct {
	dig.In

	Settings *Settings
	Platform *Platform
	Roster   *fleet.Roster
	Health   *feed.Health
	Buffers  relay.Buffers
	Logger   zerolog.Logger
}

func newMembership(p membershipParts) *membership {
	return &membership{
		self: selfOf(p.Settings), group: p.Platform.Group, roster: p.Roster, health: p.Health, buffers: p.Buffers,
		members: &relay.Members{
			Client: relayClient(p.Roster, p.Logger, relay.TopicMembers), List: p.Platform.Group.Members,
			Buffer: p.Buffers[relay.TopicMembers],
		},
		ttl: max(joinTTL, p.Settings.LeastTTL), logger: p.Logger,
	}
}

// nodeParts is what a node is made of.
type nodeParts struct {
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
	Stop       *gateway.Stop
	Tables     *tables
	Registry   *registry.Registry
}

func newNode(p nodeParts) *Node {
	measure(&p)
	return &Node{
		settings: p.Settings, bounds: p.Bounds, platform: p.Platform, logger: p.Logger, metrics: p.Metrics, roster: p.Roster,
		health: p.Health, buffers: p.Buffers, applier: p.Applier, membership: p.Membership, server: p.Server, stop: p.Stop,
	}
}
