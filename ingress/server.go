// Package ingress is an HTTP/1.1 server with request pipelining. GET and HEAD
// requests without a body on one connection run concurrently; responses are
// written in the order of the requests.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request as received from the caller.
type Request struct {
	Method string
	Target string // request target: path and query, unchanged
	URL    *url.URL
	Host   string
	Header http.Header
	Body   io.Reader
	Size   int64     // body size in bytes; -1 if unknown
	ReadAt time.Time // when the header, or the buffered part of the body, was read
}

// Response is the response to a request. Body is complete unless Rest is set,
// which then yields the remainder.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
	// Close closes the connection after the response.
	Close bool
}

// Handler serves requests. Serve is called concurrently from several
// goroutines. The context ends when the caller disconnects or the connection is
// closed.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// Limits bound the size of requests and the time that a caller may take to send
// them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server serves the connections of callers.
type Server struct {
	Handler Handler
	// Limits returns the current limits.
	Limits func() Limits
	// OnPanic is called with the value and the stack of a panic in the handler,
	// which ends only its own request; it may be nil.
	OnPanic func(value any, stack []byte)
	// MaxConnections bounds the open connections. Further ones are closed at
	// once.
	MaxConnections int

	listener     net.Listener
	mu           sync.Mutex
	conns        map[*conn]struct{}
	acceptLoop   sync.WaitGroup // the accept loop of Serve
	shuttingDown atomic.Bool
	connGroup    sync.WaitGroup
	openConns    atomic.Int64
}

// Serve accepts connections until Shutdown is called or the listener fails.
func (s *Server) Serve(listener net.Listener) error {
	if !s.setListener(listener) {
		return listener.Close()
	}
	defer s.acceptLoop.Done()
	for {
		netConn, err := listener.Accept()
		if err != nil {
			if s.shuttingDown.Load() {
				return nil
			}
			return &AcceptError{Err: err}
		}
		if int(s.openConns.Load()) >= s.MaxConnections {
			_ = netConn.Close()
			continue
		}
		s.serveConn(netConn)
	}
}

// handle calls the handler. If it panics, the response says nothing about whether
// the request ran.
func (s *Server) handle(ctx context.Context, r *Request) (response *Response) {
	defer func() {
		if value := recover(); value != nil {
			if s.OnPanic != nil {
				s.OnPanic(value, debug.Stack())
			}
			response = &Response{Status: http.StatusInternalServerError, Header: http.Header{}, Close: true}
		}
	}()
	return s.Handler.Serve(ctx, r)
}

// setListener stores the listener for Shutdown. It returns false if Shutdown was
// called before and therefore could not close the listener.
func (s *Server) setListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown.Load() {
		return false
	}
	s.listener = listener
	s.conns = map[*conn]struct{}{}
	s.acceptLoop.Add(1)
	return true
}

// AcceptError reports that the listener failed to accept a connection.
type AcceptError struct {
	Err error
}

func (e *AcceptError) Error() string { return "accept a connection: " + e.Err.Error() }

func (e *AcceptError) Unwrap() error { return e.Err }

// serveConn starts a goroutine that serves the connection.
func (s *Server) serveConn(netConn net.Conn) {
	c := newConn(s, netConn)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.openConns.Add(1)
	s.connGroup.Go(func() {
		c.serve()
		s.openConns.Add(-1)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.openConns.Load()) }

// DrainConnections closes idle connections, and every other one after its next
// response. New connections are still accepted until Shutdown is called.
func (s *Server) DrainConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}

// Shutdown stops accepting connections, drains the open ones and waits until
// they have ended or the context ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.shuttingDown.Store(true)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	s.DrainConnections()
	done := make(chan struct{})
	go func() {
		// Drain again: a connection may have been accepted just before the
		// listener was closed.
		s.acceptLoop.Wait()
		s.DrainConnections()
		s.connGroup.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
