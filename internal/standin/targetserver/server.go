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

// Server is a target server. It simulates a process that crashes and restarts;
// the server itself and its journal exist until Close.
type Server struct {
	settings     Settings
	serviceTimes *serviceTimeSampler
	faults       activeFaults
	journal      recorder
	process      atomic.Pointer[process]
	draining     atomic.Bool

	requestServer *endpoint.Server
	controlServer *endpoint.Server

	mu           sync.Mutex // serializes crashes, starts and changes of the faults
	restartTimer *time.Timer
	closed       bool
}

// processKey is the context key of the process that accepted a connection.
type processKey struct{}

// Start starts a target server.
func Start(settings Settings) (*Server, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	s := &Server{settings: settings, serviceTimes: newServiceTimeSampler(settings)}
	s.faults.store(Faults{})
	s.process.Store(newProcess(settings, time.Now()))
	port, err := endpoint.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	s.requestServer = endpoint.Serve(port, http.HandlerFunc(s.serve), s.connContext)
	s.controlServer, err = endpoint.ListenAndServe(settings.Control, s.controlRoutes())
	if err != nil {
		s.requestServer.Close()
		return nil, err
	}
	return s, nil
}

// connContext stores in the connection's context the process that accepted it,
// so that a request read before a crash cannot run in the next process.
func (s *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, processKey{}, s.process.Load())
}

// Address returns the host:port for requests.
func (s *Server) Address() string { return s.requestServer.Address() }

// ControlAddress returns the host:port for control requests.
func (s *Server) ControlAddress() string { return s.controlServer.Address() }

// Close stops the server and cancels a pending restart.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	s.mu.Unlock()
	s.process.Load().crash()
	s.controlServer.Close()
	s.requestServer.Close()
}

// crashProcess stops the process, resets all connections and, after the restart
// delay, starts a new process, which is cold and has a new boot id. Only the
// first call for a process has an effect and returns true.
func (s *Server) crashProcess(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.crashed() || s.closed {
		return false
	}
	// A running request must see the crash before it sees its connection closed,
	// so that it is recorded as crashed.
	p.crash()
	s.requestServer.Port.RefuseConnections()
	s.requestServer.Port.ResetAll()
	s.restartTimer = time.AfterFunc(s.settings.RestartDelay, s.startProcess)
	return true
}

// startProcess replaces a crashed process. The new one is not draining.
func (s *Server) startProcess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.process.Store(newProcess(s.settings, time.Now()))
	s.draining.Store(false)
	_ = s.applyListenFault()
}

// setFaults replaces the faults in force. While the process is down, a fault of
// the listening socket takes effect at the next start.
func (s *Server) setFaults(faults Faults) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.store(faults)
	if s.process.Load().crashed() {
		return nil
	}
	return s.applyListenFault()
}

// applyListenFault opens or closes the listening socket as RefuseConnections
// says. The caller holds s.mu.
func (s *Server) applyListenFault() error {
	if s.faults.load().RefuseConnections {
		s.requestServer.Port.RefuseConnections()
		return nil
	}
	return s.requestServer.Port.Resume()
}
