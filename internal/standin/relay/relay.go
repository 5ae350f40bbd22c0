// Package relay is a TCP relay between two components of the system. It injects
// network faults: broken and refused connections, silent connections, and
// delay.
package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"fulmarhoist.example/internal/standin/endpoint"
)

// Mode is what a relay does with its connections.
type Mode string

const (
	// ModePass forwards bytes. Connections that are already silent remain
	// silent.
	ModePass Mode = "pass"
	// ModeCut resets all connections and refuses new ones.
	ModeCut Mode = "cut"
	// ModeSilence silences the open connections, in both directions. New ones
	// work.
	ModeSilence Mode = "silence"
	// ModeSilenceAll silences the open connections and all new ones.
	ModeSilenceAll Mode = "silence-all"
	// ModeOneWay forwards bytes to the upstream only and drops those from it.
	// If a connection has lost bytes, its direction from the upstream stays
	// dropped after the mode has changed, because the stream has a gap.
	ModeOneWay Mode = "one-way"
)

// Behavior is the part of a relay's configuration that can change while it runs.
type Behavior struct {
	Mode    Mode  `json:"mode"`
	DelayMS int64 `json:"delay_ms,omitempty"` // delay in each direction, in milliseconds
}

// Settings configure a relay.
type Settings struct {
	Listen   string   // address for the connections to be relayed
	Control  string   // address for control requests
	Upstream string   // address to which connections are relayed
	Initial  Behavior // behavior from the start; an empty mode means ModePass
}

// SettingError reports an invalid setting.
type SettingError struct {
	Name    string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Problem) }

func (b Behavior) validate() error {
	switch b.Mode {
	case ModePass, ModeCut, ModeSilence, ModeSilenceAll, ModeOneWay:
	default:
		return &SettingError{Name: "mode", Problem: fmt.Sprintf("unknown value %q, want pass, cut, silence, silence-all or one-way", b.Mode)}
	}
	if b.DelayMS < 0 {
		return &SettingError{Name: "delay_ms", Problem: fmt.Sprintf("must not be negative, got %d", b.DelayMS)}
	}
	return nil
}

// State is a snapshot of a relay. Connections is the number of open
// connections.
type State struct {
	Address     string   `json:"address"`
	Upstream    string   `json:"upstream"`
	Behavior    Behavior `json:"setting"`
	Connections int      `json:"connections"`
}

// Relay relays TCP connections to one upstream address.
type Relay struct {
	upstream   string
	port       *endpoint.Port
	control    *endpoint.Server
	goroutines sync.WaitGroup // goroutines that Close waits for

	mu       sync.Mutex
	behavior Behavior
}

// Start starts a relay.
func Start(settings Settings) (*Relay, error) {
	if settings.Upstream == "" {
		return nil, &SettingError{Name: "upstream", Problem: "is missing"}
	}
	if settings.Initial.Mode == "" {
		settings.Initial.Mode = ModePass
	}
	port, err := endpoint.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{upstream: settings.Upstream, port: port}
	if err := r.SetBehavior(settings.Initial); err != nil {
		_ = port.Close()
		return nil, err
	}
	r.control, err = endpoint.ListenAndServe(settings.Control, r.controlRoutes())
	if err != nil {
		_ = port.Close()
		return nil, err
	}
	r.goroutines.Go(r.acceptConns)
	return r, nil
}

// Address returns the host:port for the connections to be relayed.
func (r *Relay) Address() string { return r.port.Address() }

// ControlAddress returns the host:port for control requests.
func (r *Relay) ControlAddress() string { return r.control.Address() }

// Close resets all connections and stops the relay.
func (r *Relay) Close() {
	r.control.Close()
	_ = r.port.Close()
	r.goroutines.Wait()
}

// SetBehavior replaces the behavior and applies it to the open connections.
func (r *Relay) SetBehavior(behavior Behavior) error {
	if err := behavior.validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behavior = behavior
	switch behavior.Mode {
	case ModeCut:
		r.port.RefuseConnections()
		r.port.ResetAll()
		return nil
	case ModeSilence:
		r.port.SetSilence(endpoint.SilenceOpen)
	case ModeSilenceAll:
		r.port.SetSilence(endpoint.SilenceAll)
	case ModePass, ModeOneWay:
		r.port.SetSilence(endpoint.SilenceNone)
	}
	return r.port.Resume()
}

// delay returns the current delay of each direction.
func (r *Relay) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.behavior.DelayMS) * time.Millisecond
}

// dropsBytesTo reports whether bytes to this connection are dropped now. Only
// those to the client side, which is an endpoint.Conn, can be.
func (r *Relay) dropsBytesTo(to halfCloser) bool {
	_, isClientSide := to.(*endpoint.Conn)
	r.mu.Lock()
	defer r.mu.Unlock()
	return isClientSide && r.behavior.Mode == ModeOneWay
}

// acceptConns relays each accepted connection until the port is closed.
func (r *Relay) acceptConns() {
	for {
		accepted, err := r.port.Accept()
		if err != nil {
			return
		}
		if conn, ok := accepted.(*endpoint.Conn); ok {
			r.goroutines.Go(func() { r.forwardConn(conn) })
		}
	}
}

// forwardConn relays one connection until both directions have ended or it is
// reset. If the upstream cannot be reached, it resets the connection, or waits
// until this side closes it if it is silent.
func (r *Relay) forwardConn(client *endpoint.Conn) {
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-client.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", r.upstream)
	if err != nil {
		if client.Silent() {
			<-client.Done()
		}
		client.Reset()
		return
	}
	upstream, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	stop := context.AfterFunc(ctx, func() { reset(upstream) })
	defer stop()
	defer func() { _ = upstream.Close() }()
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(ctx, client, upstream) })
	directions.Go(func() {
		r.forward(ctx, upstream, client)
		if client.Silent() {
			// The end of the upstream connection is not forwarded either.
			<-client.Done()
		}
	})
	directions.Wait()
}

// reset closes the connection with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// controlRoutes returns the HTTP interface by which tests control the relay.
func (r *Relay) controlRoutes() http.Handler {
	routes := chi.NewRouter()
	routes.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		endpoint.WriteJSON(w, http.StatusOK, r.state())
	})
	routes.Put("/setting", func(w http.ResponseWriter, request *http.Request) {
		var behavior Behavior
		if !endpoint.Decode(w, request, &behavior) {
			return
		}
		if err := r.SetBehavior(behavior); err != nil {
			endpoint.WriteJSON(w, http.StatusBadRequest, endpoint.Problem{Problem: err.Error()})
			return
		}
		endpoint.WriteJSON(w, http.StatusOK, r.state())
	})
	return routes
}

func (r *Relay) state() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	open, _ := r.port.Connections()
	return State{Address: r.Address(), Upstream: r.upstream, Behavior: r.behavior, Connections: open}
}
