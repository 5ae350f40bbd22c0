package relay

import (
	"context"
	"net"
	"time"

	"fulmarhoist.example/frame"
)

// Server serves the buffers to other instances.
type Server struct {
	Buffers Buffers
}

const (
	// idleTimeout is the time without a request after which a connection is closed.
	idleTimeout = 10 * time.Second
	// writeTimeout is the maximum time to write a response.
	writeTimeout = 2 * time.Second
	// maxWait is the maximum time that a request waits for new records.
	maxWait = time.Second
)

// Serve accepts connections until the context is canceled or accepting fails. It
// closes the listener when the context is canceled, and returns when all
// connections are closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	frame.ServeConns(ctx, listener, s.serve)
}

// serve handles the requests of one connection.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var req request
		if frame.Read(conn, maxRequestBytes, req.decode) != nil {
			return
		}
		resp := s.respond(ctx, &req)
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if frame.Write(conn, &resp) != nil {
			return
		}
	}
}

// respond returns the response to a request. If there are no records yet, it waits
// for some as long as the request allows.
func (s *Server) respond(ctx context.Context, req *request) response {
	buffer := s.Buffers[req.Topic]
	if buffer == nil {
		return response{Current: true, Next: req.From, ReadStore: true}
	}
	wait := min(max(0, time.Duration(req.WaitMs)*time.Millisecond), maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		result := buffer.read(time.Now(), req.From)
		switch {
		case result.stale && (expired || !req.WaitStale):
			return response{}
		case result.stale:
			// The store may respond again before the client stops waiting.
		case result.readStore || result.deflated && !req.Deflate:
			return response{Current: true, Next: req.From, ReadStore: true}
		case expired || len(result.records) > 0:
			return response{Current: true, Next: result.next, Records: result.records}
		}
		select {
		case <-result.changed:
		case <-ctx.Done():
			return response{}
		case <-timer.C:
			expired = true
		}
	}
}
