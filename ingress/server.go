// Package ingress is an HTTP/1.1 server for callers that send further requests
// before the first is answered. Repeatable requests of one connection run at the
// same time; answers leave in the order of the requests.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request as the caller sent it.
type Request struct {
	Method string
	Target string // path and query, unchanged
	URL    *url.URL
	Host   string
	Header http.Header
	Body   io.Reader
	Size   int64 // -1 if unknown
	Read   time.Time
}

// Reply is the answer to a request. Body is whole unless Rest is set.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
	// Close asks the caller to use another connection from now on.
	Close bool
}

// Handler serves requests. Serve is called on a goroutine of its own; the context
// ends when the caller has gone.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Reply
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server accepts connections of callers.
type Server struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConnections bounds the open connections.
	MaxConnections int

	listener net.Listener
	mu       sync.Mutex
	conns    map[*conn]struct{}
	accepts  sync.WaitGroup // the loop that accepts connections
	leaving  atomic.Bool
	group    sync.WaitGroup
	open     atomic.Int64
}

// Serve accepts connections until Leave or Close.
func (s *Server) Serve(listener net.Listener) error {
	if !s.begin(listener) {
		return listener.Close()
	}
	defer s.accepts.Done()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if s.leaving.Load() {
				return nil
			}
			return &AcceptError{Err: err}
		}
		if int(s.open.Load()) >= s.MaxConnections {
			_ = raw.Close()
			continue
		}
		s.start(raw)
	}
}

// begin takes over the listener. It returns false if Leave came first: it could not
// close the listener then.
func (s *Server) begin(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.Load() {
		return false
	}
	s.listener = listener
	s.conns = map[*conn]struct{}{}
	s.accepts.Add(1)
	return true
}

// AcceptError reports a listener that failed.
type AcceptError struct {
	Err error
}

func (e *AcceptError) Error() string { return "accept a connection: " + e.Err.Error() }

func (e *AcceptError) Unwrap() error { return e.Err }

func (s *Server) start(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.open.Add(1)
	s.group.Go(func() {
		c.serve()
		s.open.Add(-1)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.open.Load()) }

// Retire closes idle connections and makes every other one close after its next
// answer. New connections are still accepted, until Leave.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.retire()
	}
}

// Leave stops to accept connections and waits until the open ones have ended, or
// the context ends.
func (s *Server) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving.Store(true)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	s.Retire()
	done := make(chan struct{})
	go func() {
		// A connection may have been accepted just before the listener was closed.
		s.accepts.Wait()
		s.Retire()
		s.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
