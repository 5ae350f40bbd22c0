package targetserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/internal/standin/endpoint"
)

// Server is a target server. Its processes crash and start again; the server
// and its journal live until Close.
type Server struct {
	settings Settings
	times    *serviceTimes
	faults   faultSwitch
	record   record
	process  atomic.Pointer[process]
	draining atomic.Bool

	requests *endpoint.Server
	control  *endpoint.Server

	mu      sync.Mutex // guards a crash or a start as a whole
	restart *time.Timer
	closed  bool
}

type processKey struct{}

// Start runs a target server.
func Start(settings Settings) (*Server, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	s := &Server{settings: settings, times: newServiceTimes(settings)}
	s.faults.store(Faults{})
	s.process.Store(newProcess(settings, time.Now()))
	port, err := endpoint.Open(settings.Listen)
	if err != nil {
		return nil, err
	}
	s.requests = endpoint.Serve(port, http.HandlerFunc(s.serve), s.connContext)
	s.control, err = endpoint.ListenAndServe(settings.Control, s.controlRoutes())
	if err != nil {
		s.requests.Close()
		return nil, err
	}
	return s, nil
}

// connContext ties a connection to the process that accepted it, so that a
// request read before a crash cannot run in the next process.
func (s *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, processKey{}, s.process.Load())
}

// Address is where requests go.
func (s *Server) Address() string { return s.requests.Address() }

// ControlAddress is where control requests go.
func (s *Server) ControlAddress() string { return s.control.Address() }

// Close stops the server.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.restart != nil {
		s.restart.Stop()
	}
	s.mu.Unlock()
	s.process.Load().crash()
	s.control.Close()
	s.requests.Close()
}

// crashProcess resets all connections and starts a new process, cold and under
// a new boot id, after the restart delay. Only the first call per process acts
// and returns true.
func (s *Server) crashProcess(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.crashed() || s.closed {
		return false
	}
	// Running requests must see the crash before they see their connection break.
	p.crash()
	s.requests.Port.Refuse()
	s.requests.Port.ResetAll()
	s.restart = time.AfterFunc(s.settings.RestartAfter, s.startProcess)
	return true
}

func (s *Server) startProcess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.process.Store(newProcess(s.settings, time.Now()))
	s.draining.Store(false)
	_ = s.listenAsFaultsSay()
}

// setFaults replaces the faults in force.
func (s *Server) setFaults(faults Faults) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.store(faults)
	if s.process.Load().crashed() {
		return nil
	}
	return s.listenAsFaultsSay()
}

func (s *Server) listenAsFaultsSay() error {
	if s.faults.load().RefuseConnections {
		s.requests.Port.Refuse()
		return nil
	}
	return s.requests.Port.Admit()
}
