package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/gateway"
	"fulmarhoist.example/ingress"
	"fulmarhoist.example/relay"
	"fulmarhoist.example/telemetry"
)

// Platform is what a node needs of its platform. Nothing in it decides.
type Platform struct {
	Topics  Topics
	Log     feed.Log
	Group   Group
	Records Records
	Headers Headers
	// Calls has the given function told about each call to the store, with its
	// status or 0 for no answer. It is called before the first call.
	Calls func(observe func(call string, status int))
	// Settings reads the settings again.
	Settings func() (*Settings, error)
	// Ready and Directory make the handlers that the platform and callers ask.
	Ready     func(*Node) http.Handler
	Directory func(*Node) http.Handler
}

// Node is one running entry instance.
type Node struct {
	settings   *Settings
	bounds     *currentBounds
	platform   *Platform
	logger     zerolog.Logger
	metrics    *telemetry.Metrics
	roster     *fleet.Roster
	health     *feed.Health
	buffers    relay.Buffers
	applier    *applier
	membership *membership
	server     *ingress.Server
	stop       *gateway.Stop
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

// New wires a node. Log lines go to the writer.
func New(settings *Settings, platform *Platform, logs io.Writer) (*Node, error) {
	container := dig.New()
	for _, provide := range providers(settings, platform, logs) {
		if err := container.Provide(provide); err != nil {
			return nil, fmt.Errorf("wire the node: %w", err)
		}
	}
	var n *Node
	if err := container.Invoke(func(made *Node) { n = made }); err != nil {
		return nil, fmt.Errorf("wire the node: %w", err)
	}
	return n, nil
}

const (
	// metricsPort and metricsPath are where a node serves its metrics.
	metricsPort = "9464"
	metricsPath = "/metrics"
	// directoryTTL is how long callers keep an answer of the directory. A short
	// one takes them away soon from an instance that is gone.
	directoryTTL = time.Second
	// controlTimeout bounds a call to the directory and the readiness check.
	controlTimeout = 5 * time.Second
)

// Gauge adds a metric that is read when the metrics are.
func (n *Node) Gauge(name string, read func() float64) { n.metrics.Gauge(name, read) }

// Ready tells whether callers may be sent to this instance.
func (n *Node) Ready() bool {
	select {
	case <-n.applier.ready:
		return !n.stop.Leaving()
	default:
		return false
	}
}

// Addresses returns where a caller in the given zone may connect, and for how long
// it may keep the answer.
func (n *Node) Addresses(zone string) ([]string, time.Duration) {
	return n.roster.Addresses(zone, n.Ready()), min(directoryTTL, n.bounds.Load().DirectoryTTL)
}

// Run serves until the context ends, then stops gracefully. A value on reload says
// that the settings may have changed.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.logger.Info().Str("event", "started").Str("zone", n.settings.Zone).Str("callers", n.settings.Callers).
		Msg("entry instance started")
	work, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.applier.run(work) })
	for _, f := range n.followers() {
		group.Go(func() { f.Run(work) })
	}
	var joined sync.WaitGroup
	joined.Go(func() { n.join(ctx, work) })
	group.Go(func() { n.watchSettings(work, reload) })
	if listener := listeners[selfOf(n.settings).Relay]; listener != nil {
		group.Go(func() { (&relay.Server{Buffers: n.buffers}).Serve(work, listener) })
	}
	servers := n.serveControl(listeners)
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve(listeners[n.settings.Callers]) }()
	select {
	case <-ctx.Done():
		n.drain(&joined)
	case err = <-failed:
		n.logger.Error().Str("event", "listener_failed").Err(err).Msg("callers cannot connect any more")
	}
	cancel()
	group.Wait()
	for _, s := range servers {
		_ = s.Close()
	}
	n.logger.Info().Str("event", "stopped").Msg("entry instance stopped")
	return err
}

// join keeps this instance in the group from the time at which it can serve.
func (n *Node) join(ctx, work context.Context) {
	select {
	case <-n.applier.ready:
		n.logger.Info().Str("event", "ready").Msg("configuration and targets are known")
		n.membership.run(ctx)
	case <-ctx.Done():
	case <-work.Done():
	}
}

// drain ends the work of this instance without cutting a request.
func (n *Node) drain(joined *sync.WaitGroup) {
	began := time.Now()
	n.stop.Begin(began)
	n.logger.Info().Str("event", "draining").Int("connections", n.server.Open()).Msg("planned stop begins")
	n.server.Retire()
	joined.Wait()
	timer := time.NewTimer(time.Until(began.Add(n.stop.CloseAfter())))
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.stop.EndAfter()))
	defer cancel()
	n.server.Leave(ctx)
	n.logger.Info().Str("event", "drained").Int("connections", n.server.Open()).Dur("took", time.Since(began)).
		Msg("planned stop ends")
}

func (n *Node) followers() []*feed.Follower {
	report := func(topic string, err error) {
		if err != nil {
			n.logger.Warn().Str("event", "store_lost").Str("topic", topic).Err(err).Msg("store does not answer")
			return
		}
		n.logger.Info().Str("event", "store_regained").Str("topic", topic).Msg("store answers again")
	}
	follow := func(topic string, interval time.Duration) *feed.Follower {
		return &feed.Follower{
			Log: n.relayed(topic), Health: n.health, Topic: topic, Wait: readWait, Interval: interval,
			Deliver: n.applier.deliver, Report: report,
		}
	}
	return []*feed.Follower{
		follow(n.platform.Topics.Operator, operatorInterval),
		follow(n.platform.Topics.Targets, targetsInterval),
	}
}

// relayed reads a topic, through another instance in a large zone.
func (n *Node) relayed(topic string) feed.Log {
	return &relay.Log{
		Client: relayClient(n.roster, n.logger, topic), Store: n.platform.Log, Buffer: n.buffers[topic],
	}
}

const (
	// readWait is how long a read waits at the store for records. A read that begins
	// while a record is being appended does not see it, and the bounds of the
	// configuration and of leaving targets are two seconds.
	readWait = 1200 * time.Millisecond
	// operatorInterval and targetsInterval are the times in which records collect
	// before the next read. Calls are dear; the bounds that these count towards are
	// two seconds and more.
	operatorInterval = 400 * time.Millisecond
	targetsInterval  = 500 * time.Millisecond
)

// listen opens all addresses.
func (n *Node) listen() (map[string]net.Listener, error) {
	opened := map[string]net.Listener{}
	addresses := []string{n.settings.Callers, n.settings.Ready, n.settings.Directory, n.metricsAddress()}
	if own := selfOf(n.settings).Relay; own != "" {
		addresses = append(addresses, own)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range opened {
				_ = l.Close()
			}
			return nil, &ListenError{Address: address, Err: err}
		}
		opened[address] = listener
	}
	return opened, nil
}

func (n *Node) metricsAddress() string { return net.JoinHostPort(n.settings.Address, metricsPort) }

// serveControl serves the readiness check, the directory and the metrics.
func (n *Node) serveControl(listeners map[string]net.Listener) []*http.Server {
	handlers := map[string]http.Handler{
		n.settings.Ready:     n.platform.Ready(n),
		n.settings.Directory: n.platform.Directory(n),
		n.metricsAddress(): http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, metricsPath) {
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
				n.logger.Error().Str("event", "listener_failed").Str("address", address).Err(err).Msg("control listener failed")
			}
		}()
		servers = append(servers, s)
	}
	return servers
}
