// Package relay is a TCP relay between two parts of the system that injects
// network faults: cuts, silent connections and delay.
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

// Mode says what a relay does with its connections.
type Mode string

const (
	// ModePass passes bytes on. Connections that were silenced stay silent.
	ModePass Mode = "pass"
	// ModeCut resets all connections and refuses new ones.
	ModeCut Mode = "cut"
	// ModeSilence stops the bytes of open connections; new ones work.
	ModeSilence Mode = "silence"
	// ModeSilenceAll stops the bytes of open and new connections.
	ModeSilenceAll Mode = "silence-all"
	// ModeOneWay passes bytes on towards the upstream only. A connection that lost
	// bytes of the other direction carries none of it any more.
	ModeOneWay Mode = "one-way"
)

// Setting is the part of a relay that can be changed while it runs.
type Setting struct {
	Mode    Mode  `json:"mode"`
	DelayMS int64 `json:"delay_ms,omitempty"` // delay in each direction
}

// Settings describe a relay.
type Settings struct {
	Listen   string
	Control  string
	Upstream string // address to which connections are passed on
	Initial  Setting
}

// SettingError reports a setting that a relay cannot work with.
type SettingError struct {
	Name    string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Problem) }

func (s Setting) check() error {
	switch s.Mode {
	case ModePass, ModeCut, ModeSilence, ModeSilenceAll, ModeOneWay:
	default:
		return &SettingError{Name: "mode", Problem: fmt.Sprintf("unknown value %q", s.Mode)}
	}
	if s.DelayMS < 0 {
		return &SettingError{Name: "delay_ms", Problem: "must not be negative"}
	}
	return nil
}

// State is what a relay is doing now.
type State struct {
	Address     string  `json:"address"`
	Upstream    string  `json:"upstream"`
	Setting     Setting `json:"setting"`
	Connections int     `json:"connections"`
}

// Relay passes TCP connections on to one upstream address.
type Relay struct {
	upstream string
	port     *endpoint.Port
	control  *endpoint.Server
	running  sync.WaitGroup

	mu      sync.Mutex
	setting Setting
}

// Start runs a relay.
func Start(settings Settings) (*Relay, error) {
	if settings.Upstream == "" {
		return nil, &SettingError{Name: "upstream", Problem: "is missing"}
	}
	if settings.Initial.Mode == "" {
		settings.Initial.Mode = ModePass
	}
	port, err := endpoint.Open(settings.Listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{upstream: settings.Upstream, port: port}
	if err := r.Set(settings.Initial); err != nil {
		_ = port.Close()
		return nil, err
	}
	r.control, err = endpoint.ListenAndServe(settings.Control, r.controlRoutes())
	if err != nil {
		_ = port.Close()
		return nil, err
	}
	r.running.Go(r.accept)
	return r, nil
}

// Address is where connections come in.
func (r *Relay) Address() string { return r.port.Address() }

// ControlAddress is where control requests go.
func (r *Relay) ControlAddress() string { return r.control.Address() }

// Close resets all connections and stops the relay.
func (r *Relay) Close() {
	r.control.Close()
	_ = r.port.Close()
	r.running.Wait()
}

// Set replaces the setting in force.
func (r *Relay) Set(setting Setting) error {
	if err := setting.check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setting = setting
	switch setting.Mode {
	case ModeCut:
		r.port.Refuse()
		r.port.ResetAll()
		return nil
	case ModeSilence:
		r.port.SetSilence(endpoint.SilenceOpen)
	case ModeSilenceAll:
		r.port.SetSilence(endpoint.SilenceAll)
	case ModePass, ModeOneWay:
		r.port.SetSilence(endpoint.SilenceNone)
	}
	return r.port.Admit()
}

func (r *Relay) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.setting.DelayMS) * time.Millisecond
}

// loses tells whether bytes towards a connection are lost now.
func (r *Relay) loses(to halfCloser) bool {
	_, isDown := to.(*endpoint.Conn)
	r.mu.Lock()
	defer r.mu.Unlock()
	return isDown && r.setting.Mode == ModeOneWay
}

func (r *Relay) accept() {
	for {
		accepted, err := r.port.Accept()
		if err != nil {
			return
		}
		if conn, ok := accepted.(*endpoint.Conn); ok {
			r.running.Go(func() { r.relay(conn) })
		}
	}
}

// relay passes one connection on until either side breaks it or it is reset.
func (r *Relay) relay(down *endpoint.Conn) {
	defer func() { _ = down.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-down.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", r.upstream)
	if err != nil {
		if down.Silent() {
			<-down.Done()
		}
		down.Reset()
		return
	}
	up, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	stop := context.AfterFunc(ctx, func() { reset(up) })
	defer stop()
	defer func() { _ = up.Close() }()
	var both sync.WaitGroup
	both.Go(func() { r.pump(ctx, down, up) })
	both.Go(func() {
		r.pump(ctx, up, down)
		if down.Silent() {
			// The end of the upstream connection is not passed on either.
			<-down.Done()
		}
	})
	both.Wait()
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (r *Relay) controlRoutes() http.Handler {
	routes := chi.NewRouter()
	routes.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		endpoint.Reply(w, http.StatusOK, r.state())
	})
	routes.Put("/setting", func(w http.ResponseWriter, request *http.Request) {
		var setting Setting
		if !endpoint.Decode(w, request, &setting) {
			return
		}
		if err := r.Set(setting); err != nil {
			endpoint.Reply(w, http.StatusBadRequest, endpoint.Problem{Problem: err.Error()})
			return
		}
		endpoint.Reply(w, http.StatusOK, r.state())
	})
	return routes
}

func (r *Relay) state() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, _ := r.port.Connections()
	return State{Address: r.Address(), Upstream: r.upstream, Setting: r.setting, Connections: now}
}
