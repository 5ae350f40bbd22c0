// Package daemon assembles the components of an entry instance, runs them, and
// shuts them down gracefully.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"fulmarhoist.example/configlog"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/httpapi"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/settings"
	"fulmarhoist.example/telemetry"
)

// Ready is the JSON line that the program prints once the instance serves
// callers.
type Ready struct {
	Instance string `json:"instance"`
	Callers  string `json:"callers"`
	Peers    string `json:"peers"`
}

// ListenError reports that the instance cannot listen on an address.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

// Daemon is one running entry instance.
type Daemon struct {
	settings *settings.Settings
	logger   zerolog.Logger
	tracing  *telemetry.Tracing
	reader   *configlog.Reader
	applier  *applier
	links    *exchange.Links
	cluster  *cluster
	front    *httpapi.Front
	drain    *drain
	status   *instanceStatus
	metrics  *telemetry.Metrics
	wg       sync.WaitGroup
}

// daemonDeps are the dependencies of a Daemon, which dig injects.
type daemonDeps struct {
	dig.In

	Settings *settings.Settings
	Logger   zerolog.Logger
	Tracing  *telemetry.Tracing
	Reader   *configlog.Reader
	Applier  *applier
	Links    *exchange.Links
	Cluster  *cluster
	Front    *httpapi.Front
	Drain    *drain
	Status   *instanceStatus
	Metrics  *telemetry.Metrics
	Roster   *instance.Roster
}

func newDaemon(p daemonDeps) *Daemon {
	p.Cluster.front, p.Cluster.drain = p.Front, p.Drain
	registerGauges(p.Metrics, p.Reader, p.Roster, p.Status)
	return &Daemon{
		settings: p.Settings, logger: p.Logger, tracing: p.Tracing, reader: p.Reader, applier: p.Applier,
		links: p.Links, cluster: p.Cluster, front: p.Front, drain: p.Drain, status: p.Status, metrics: p.Metrics,
	}
}

const (
	// gcPercent trades memory for tail latency: the live heap is small, and with
	// the default of 100 the garbage collector runs several times per second
	// under load.
	gcPercent = 400
	// memoryLimitBytes is the soft memory limit: the garbage collector runs more
	// often as the process approaches it.
	memoryLimitBytes = 256 << 20
)

// TuneRuntime configures the garbage collector. The settings apply to the whole
// process, so the main program calls it once.
func TuneRuntime() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
}

// New creates all components of an instance. Log lines are written to logs.
func New(s *settings.Settings, logs io.Writer) (*Daemon, error) {
	container := dig.New()
	for _, constructor := range constructors(s, logs) {
		if err := container.Provide(constructor); err != nil {
			return nil, fmt.Errorf("register the constructors of the daemon: %w", err)
		}
	}
	var d *Daemon
	if err := container.Invoke(func(created *Daemon) { d = created }); err != nil {
		return nil, fmt.Errorf("create the daemon: %w", dig.RootCause(err))
	}
	return d, nil
}

// Run serves until ctx is canceled, then drains and returns. It calls ready
// once callers can connect.
func (d *Daemon) Run(ctx context.Context, ready func(Ready)) error {
	callers, err := listen(d.settings.Callers.Listen)
	if err != nil {
		return err
	}
	peers, err := listen(d.settings.Peers.Listen)
	if err != nil {
		_ = callers.Close()
		return err
	}
	// The components outlive ctx: they run until draining has ended.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := d.start(workCtx, peers); err != nil {
		_, _ = callers.Close(), peers.Close()
		return err
	}
	server := httpapi.NewServer(d.drain.trackRequests(d.front.Handler()))
	served := make(chan error, 1)
	go func() { served <- server.Serve(newLimitedListener(callers, maxCallerConnections)) }()
	d.logger.Info().Str("event", "serving").Str("callers", d.settings.Callers.Advertise).Msg("serving callers")
	ready(Ready{Instance: d.settings.Instance, Callers: callers.Addr().String(), Peers: peers.Addr().String()})
	select {
	case err := <-served:
		d.stopComponents(stop)
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	err = d.shutdown(server)
	d.stopComponents(stop)
	return err
}

func (d *Daemon) start(ctx context.Context, peers net.Listener) error {
	if err := d.cluster.open(ctx, peers); err != nil {
		return fmt.Errorf("open the peer mesh: %w", err)
	}
	registerPeerGauges(d.metrics, d.cluster.mesh)
	d.metrics.Gauge("fulmarhoist_peer_events_dropped_total", func() float64 { return float64(d.cluster.droppedEvents.Load()) })
	d.metrics.Gauge("fulmarhoist_load_probes_total", func() float64 { return float64(d.cluster.deps.Outbound.loadProbes.Load()) })
	d.wg.Go(func() { d.applier.run(ctx) })
	d.wg.Go(func() { d.reader.Run(ctx) })
	d.wg.Go(func() { d.cluster.run(ctx) })
	return nil
}

// shutdown announces that this instance is leaving, continues to serve callers
// that may still use a directory response with its address, and returns once
// the last request has ended.
func (d *Daemon) shutdown(server *http.Server) error {
	d.logger.Info().Str("event", "leaving").Msg("graceful shutdown started")
	d.status.leaving.Store(true)
	d.drain.awaitCallers(d.cluster.isAlone())
	d.logger.Info().Str("event", "closing").Msg("finished serving callers with older directory responses; waiting for requests in flight")
	if err := server.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	d.drain.finish()
	return nil
}

// stopComponents stops all components and waits for their goroutines. The links
// are closed first, because they use the connections to peers.
func (d *Daemon) stopComponents(stop context.CancelFunc) {
	d.links.Close()
	stop()
	d.wg.Wait()
	flushCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := d.tracing.Close(flushCtx); err != nil && !errors.Is(err, context.Canceled) {
		d.logger.Warn().Str("event", "spans_lost").Err(err).Msg("some trace spans were not exported")
	}
	d.logger.Info().Str("event", "stopped").Msg("stopped")
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	return listener, nil
}

// newIncarnation returns a random number other than 0.
func newIncarnation() (uint64, error) {
	var data [8]byte
	for {
		if _, err := rand.Read(data[:]); err != nil {
			return 0, fmt.Errorf("generate an incarnation: %w", err)
		}
		if incarnation := binary.BigEndian.Uint64(data[:]); incarnation != 0 {
			return incarnation, nil
		}
	}
}
