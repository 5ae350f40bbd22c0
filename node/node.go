package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"fulmarhoist.example/crashshare"
	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/gateway"
	"fulmarhoist.example/hop"
	"fulmarhoist.example/ingress"
	"fulmarhoist.example/relay"
	"fulmarhoist.example/telemetry"
)

// Platform holds everything in a node that depends on the platform. It makes no
// decisions.
type Platform struct {
	Topics   Topics
	Log      feed.Log
	Group    Group
	Records  RecordDecoder
	Protocol HeaderProtocol
	// ObserveCalls registers a function that is called for each call to the
	// store, with the HTTP status, or 0 if there was no response. It must be
	// called before the first call to the store.
	ObserveCalls func(observe func(call string, status int))
	// ObserveSkipped registers a function that is called for each malformed part
	// of a response of the store that was skipped. It must be called before the
	// first call to the store.
	ObserveSkipped func(observe func(topic string, err error))
	// LoadSettings reads the current settings.
	LoadSettings func() (*Settings, error)
	// ReadyHandler returns the handler of the platform's readiness check, and
	// DirectoryHandler the handler of the callers' directory requests.
	ReadyHandler     func(*Node) http.Handler
	DirectoryHandler func(*Node) http.Handler
}

// Node is one entry instance.
type Node struct {
	settings    *Settings
	bounds      *currentBounds
	platform    *Platform
	logger      zerolog.Logger
	metrics     *telemetry.Metrics
	roster      *fleet.Roster
	storeHealth *feed.Health
	buffers     relay.Buffers
	applier     *applier
	membership  *membership
	server      *ingress.Server
	shutdown    *gateway.Shutdown
	sharer      *crashshare.Sharer
}

// ListenError reports an address on which the node cannot listen.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

// New constructs a node, which writes its log lines to logs.
func New(settings *Settings, platform *Platform, logs io.Writer) (*Node, error) {
	container := dig.New()
	for _, provide := range providers(settings, platform, logs) {
		if err := container.Provide(provide); err != nil {
			return nil, fmt.Errorf("register a constructor of the node: %w", err)
		}
	}
	var n *Node
	if err := container.Invoke(func(built *Node) { n = built }); err != nil {
		return nil, fmt.Errorf("construct the node: %w", err)
	}
	return n, nil
}

const (
	// metricsPort and metricsPath are where a node serves its metrics.
	metricsPort = "9464"
	metricsPath = "/metrics"
	// directoryTTL is how long callers may cache a response of the directory. A
	// short TTL soon directs them away from an instance that has ended.
	directoryTTL = time.Second
	// controlTimeout limits the duration of a request to the directory, the
	// readiness check or the metrics.
	controlTimeout = 5 * time.Second
)

// Gauge registers a gauge whose value is read each time the metrics are served.
func (n *Node) Gauge(name string, read func() float64) { n.metrics.Gauge(name, read) }

// Ready reports whether callers may be sent to this instance.
func (n *Node) Ready() bool {
	select {
	case <-n.applier.ready:
		return !n.shutdown.Leaving()
	default:
		return false
	}
}

// Addresses returns the addresses to which a caller in the given zone may
// connect, and for how long it may cache them.
func (n *Node) Addresses(zone string) ([]string, time.Duration) {
	return n.roster.Addresses(zone, n.Ready()), min(directoryTTL, n.bounds.Load().DirectoryTTL)
}

// Run serves until the context ends, then shuts down gracefully. A value on
// reload makes it read the settings again.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.logger.Info().Str("event", "started").Str("zone", n.settings.Zone).Str("callers", n.settings.CallerAddress).
		Msg("entry instance started")
	workCtx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { n.applier.run(workCtx) })
	for _, f := range n.followers() {
		wg.Go(func() { f.Run(workCtx) })
	}
	var membershipDone sync.WaitGroup
	membershipDone.Go(func() { n.joinWhenListed(ctx, workCtx) })
	wg.Go(func() { n.logWhenReady(workCtx) })
	wg.Go(func() { n.watchSettings(workCtx, reload) })
	if listener := listeners[selfMember(n.settings).Relay]; listener != nil {
		wg.Go(func() { (&relay.Server{Buffers: n.buffers}).Serve(workCtx, listener) })
	}
	if listener := listeners[n.crashAddress()]; listener != nil {
		wg.Go(func() { n.sharer.Serve(workCtx, listener) })
	}
	wg.Go(func() { n.sharer.Run(workCtx) })
	servers := n.serveControl(listeners)
	serveErr := make(chan error, 1)
	go func() { serveErr <- n.server.Serve(listeners[n.settings.CallerAddress]) }()
	select {
	case <-ctx.Done():
		n.drain(&membershipDone)
	case err = <-serveErr:
		n.logger.Error().Str("event", "listener_failed").Err(err).Msg("listener for callers failed")
	}
	cancel()
	wg.Wait()
	for _, s := range servers {
		_ = s.Close()
	}
	n.logger.Info().Str("event", "stopped").Msg("entry instance stopped")
	return err
}

// joinWhenListed waits until both topics have been listed, then keeps this instance in
// the group until ctx ends. It gives up waiting when either context ends. After the
// first start of a deployment, when there is no configuration yet, the instances
// thus know who reads for them when it is published.
func (n *Node) joinWhenListed(ctx, workCtx context.Context) {
	select {
	case <-n.applier.listed:
		n.membership.run(ctx)
	case <-ctx.Done():
	case <-workCtx.Done():
	}
}

// logWhenReady logs that this instance can serve.
func (n *Node) logWhenReady(ctx context.Context) {
	select {
	case <-n.applier.ready:
		n.logger.Info().Str("event", "ready").Msg("configuration and targets are known")
	case <-ctx.Done():
	}
}

// drain shuts this instance down gracefully, without interrupting requests: it
// leaves the group, accepts connections until CloseAfter, and waits until
// EndAfter for the open connections to end.
func (n *Node) drain(membershipDone *sync.WaitGroup) {
	began := time.Now()
	n.shutdown.Begin(began)
	n.logger.Info().Str("event", "draining").Int("connections", n.server.OpenConnections()).Msg("graceful shutdown started")
	n.server.DrainConnections()
	membershipDone.Wait()
	timer := time.NewTimer(time.Until(began.Add(n.shutdown.CloseAfter())))
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.shutdown.EndAfter()))
	defer cancel()
	n.server.Shutdown(ctx)
	n.logger.Info().Str("event", "drained").Int("connections", n.server.OpenConnections()).Dur("took", time.Since(began)).
		Msg("graceful shutdown finished")
}

// followers returns the followers of the operator's topic and of the targets'
// topic.
func (n *Node) followers() []*feed.Follower {
	report := func(topic string, err error) {
		if err != nil {
			n.logger.Warn().Str("event", "store_lost").Str("topic", topic).Err(err).Msg("store is unavailable")
			return
		}
		n.logger.Info().Str("event", "store_regained").Str("topic", topic).Msg("store is available again")
	}
	follow := func(topic string, interval time.Duration) *feed.Follower {
		return &feed.Follower{
			Log: n.relayLog(topic), Health: n.storeHealth, Topic: topic, Wait: readMaxWait, Interval: interval,
			AwaitSource: n.awaitRelay, Deliver: n.applier.deliver, Report: report,
		}
	}
	return []*feed.Follower{
		follow(n.platform.Topics.Operator, operatorReadInterval),
		follow(n.platform.Topics.Targets, targetsReadInterval),
	}
}

// relayWait is how long after the first listing an instance waits until it knows
// whether another one reads for it. Without the wait, instances that start together
// make more calls in their first two seconds than in the next thirty.
const relayWait = 1600 * time.Millisecond

// awaitRelay waits until this instance knows its relay, or that it has none.
func (n *Node) awaitRelay(ctx context.Context) {
	timer := time.NewTimer(relayWait)
	defer timer.Stop()
	select {
	case <-n.roster.RelayKnown():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// relayLog returns the log from which a topic is read. In a large zone, it
// reads through the instance that is the relay of the zone.
func (n *Node) relayLog(topic string) feed.Log {
	return &relay.Log{
		Client: relayClient(n.roster, n.storeHealth, n.membership.probe, n.logger, topic), Store: n.platform.Log, Buffer: n.buffers[topic],
	}
}

const (
	// readMaxWait is how long a read waits at the store for new records. A read
	// that starts while a record is being appended does not return that record,
	// and a new configuration or a draining target must take effect within two
	// seconds.
	readMaxWait = 1200 * time.Millisecond
	// operatorReadInterval and targetsReadInterval are the times for which records
	// accumulate before the next read. Calls are expensive, and the limits on the
	// delays to which these intervals add are two seconds and more.
	operatorReadInterval = 400 * time.Millisecond
	targetsReadInterval  = 500 * time.Millisecond
)

// listen opens the listeners of all addresses. If one fails, it closes the
// others.
func (n *Node) listen() (map[string]net.Listener, error) {
	opened := map[string]net.Listener{}
	addresses := []string{n.settings.CallerAddress, n.settings.ReadyAddress, n.settings.DirectoryAddress, n.metricsAddress()}
	if relayAddress := selfMember(n.settings).Relay; relayAddress != "" {
		addresses = append(addresses, relayAddress)
	}
	if address := n.crashAddress(); address != "" {
		addresses = append(addresses, address)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range opened {
				_ = l.Close()
			}
			return nil, &ListenError{Address: address, Err: err}
		}
		opened[address] = &hop.RetryListener{Listener: listener, OnRetry: func(err error) {
			n.logger.Warn().Str("event", "accept_failed").Str("address", address).Err(err).Msg("cannot accept connections for a moment")
		}}
	}
	return opened, nil
}

func (n *Node) metricsAddress() string { return net.JoinHostPort(n.settings.HostIP, metricsPort) }

// crashAddress returns the address on which to listen for reports of crashes, or "".
func (n *Node) crashAddress() string {
	if n.settings.CrashPort == "" {
		return ""
	}
	return net.JoinHostPort(n.settings.HostIP, n.settings.CrashPort)
}

// serveControl serves the readiness check, the directory and the metrics.
func (n *Node) serveControl(listeners map[string]net.Listener) []*http.Server {
	handlers := map[string]http.Handler{
		n.settings.ReadyAddress:     n.platform.ReadyHandler(n),
		n.settings.DirectoryAddress: n.platform.DirectoryHandler(n),
		n.metricsAddress(): http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != metricsPath {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			n.metrics.Write(w)
		}),
	}
	var servers []*http.Server
	for address, handler := range handlers {
		s := &http.Server{Handler: handler, ReadTimeout: controlTimeout, WriteTimeout: controlTimeout}
		go func() {
			if err := s.Serve(listeners[address]); err != nil && !errors.Is(err, http.ErrServerClosed) {
				n.logger.Error().Str("event", "listener_failed").Str("address", address).Err(err).Msg("listener for readiness, directory or metrics failed")
			}
		}()
		servers = append(servers, s)
	}
	return servers
}
