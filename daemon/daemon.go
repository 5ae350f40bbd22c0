// Package daemon wires the parts of an entry instance, starts them, and stops
// them gracefully.
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

// Ready is the line that the daemon prints when it serves callers.
type Ready struct {
	Instance string `json:"instance"`
	Callers  string `json:"callers"`
	Peers    string `json:"peers"`
}

// ListenError reports an address that cannot be listened on.
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
	standing *standing
	metrics  *telemetry.Metrics
	group    sync.WaitGroup
}

// parts is what dig collects for a Daemon.
type parts struct {
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
	Standing *standing
	Metrics  *telemetry.Metrics
	Roster   *instance.Roster
}

func newDaemon(p parts) *Daemon {
	p.Cluster.front, p.Cluster.drain = p.Front, p.Drain
	registerGauges(p.Metrics, p.Reader, p.Roster, p.Standing)
	return &Daemon{
		settings: p.Settings, logger: p.Logger, tracing: p.Tracing, reader: p.Reader, applier: p.Applier,
		links: p.Links, cluster: p.Cluster, front: p.Front, drain: p.Drain, standing: p.Standing, metrics: p.Metrics,
	}
}

const (
	// gcPercent trades memory for tail latency: the live heap is small, and with
	// the default of 100 the collector runs several times a second under load.
	gcPercent = 400
	// memoryLimit makes the collector run more often as the heap nears it.
	memoryLimit = 256 << 20
)

// TuneRuntime sets how often the garbage collector runs. It is called once, by
// the program, because it holds for the whole process.
func TuneRuntime() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}

// New makes all parts of an instance. Log lines go to the writer.
func New(s *settings.Settings, logs io.Writer) (*Daemon, error) {
	container := dig.New()
	for _, constructor := range constructors(s, logs) {
		if err := container.Provide(constructor); err != nil {
			return nil, fmt.Errorf("wire the daemon: %w", err)
		}
	}
	var d *Daemon
	if err := container.Invoke(func(made *Daemon) { d = made }); err != nil {
		return nil, fmt.Errorf("make the daemon: %w", dig.RootCause(err))
	}
	return d, nil
}

// Run serves until the context ends, then drains and returns. The function
// ready is called once callers can connect.
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
	// The parts run until the drain has ended, longer than ctx.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := d.start(work, peers); err != nil {
		_, _ = callers.Close(), peers.Close()
		return err
	}
	server := httpapi.NewServer(d.drain.watch(d.front.Handler()))
	served := make(chan error, 1)
	go func() { served <- server.Serve(newLimitedListener(callers, maxCallerConnections)) }()
	d.logger.Info().Str("event", "serving").Str("callers", d.settings.Callers.Advertise).Msg("serving callers")
	ready(Ready{Instance: d.settings.Instance, Callers: callers.Addr().String(), Peers: peers.Addr().String()})
	select {
	case err := <-served:
		d.wait(stop)
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	err = d.shutdown(server)
	d.wait(stop)
	return err
}

func (d *Daemon) start(ctx context.Context, peers net.Listener) error {
	if err := d.cluster.open(ctx, peers); err != nil {
		return fmt.Errorf("join the other instances: %w", err)
	}
	registerPeerGauges(d.metrics, d.cluster.mesh)
	d.metrics.Gauge("fulmarhoist_load_probes_total", func() float64 { return float64(d.cluster.parts.Mail.probes.Load()) })
	d.group.Go(func() { d.applier.run(ctx) })
	d.group.Go(func() { d.reader.Run(ctx) })
	d.group.Go(func() { d.cluster.run(ctx) })
	return nil
}

// shutdown leaves the directory, serves callers that still hold a response
// which names this instance, and ends when the last request has ended.
func (d *Daemon) shutdown(server *http.Server) error {
	d.logger.Info().Str("event", "leaving").Msg("graceful shutdown begins")
	d.standing.leaving.Store(true)
	d.drain.wait(d.cluster.leave())
	d.logger.Info().Str("event", "closing").Msg("no caller may still hold this address; finishing requests in flight")
	if err := server.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("finish requests in flight: %w", err)
	}
	d.drain.finish()
	return nil
}

// wait ends the links first, because they use the connections to peers.
func (d *Daemon) wait(stop context.CancelFunc) {
	d.links.Close()
	stop()
	d.group.Wait()
	flush, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := d.tracing.Close(flush); err != nil && !errors.Is(err, context.Canceled) {
		d.logger.Warn().Str("event", "spans_lost").Err(err).Msg("spans were not exported")
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

// newIncarnation returns 64 random bits other than 0.
func newIncarnation() (uint64, error) {
	var data [8]byte
	for {
		if _, err := rand.Read(data[:]); err != nil {
			return 0, fmt.Errorf("choose an incarnation: %w", err)
		}
		if incarnation := binary.BigEndian.Uint64(data[:]); incarnation != 0 {
			return incarnation, nil
		}
	}
}
