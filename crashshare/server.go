package crashshare

import (
	"context"
	"net"
	"time"

	"fulmarhoist.example/frame"
)

const (
	// idleTimeout is the time without a message after which a connection is closed.
	idleTimeout = 5 * time.Second
	// writeTimeout is the maximum time to write a response.
	writeTimeout = time.Second
)

// Serve handles the messages of other instances until the context is canceled or
// accepting fails. It closes the listener when the context is canceled, and returns
// when all connections are closed.
func (s *Sharer) Serve(ctx context.Context, listener net.Listener) {
	frame.ServeConns(ctx, listener, s.serve)
}

// serve handles the messages of one connection.
func (s *Sharer) serve(ctx context.Context, conn net.Conn) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var received message
		if frame.Read(conn, maxMessageBytes, received.decode) != nil {
			return
		}
		response := s.handle(ctx, time.Now(), &received, conn.RemoteAddr().String())
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if frame.Write(conn, response) != nil {
			return
		}
	}
}

// handle records what a message from the given address says and returns the response.
func (s *Sharer) handle(ctx context.Context, now time.Time, received *message, from string) *message {
	s.merge(now, received, from)
	response := &message{}
	switch received.Kind {
	case kindReport:
		fingerprints := received.fingerprints()
		response.add(s.crashes.ReportsOf(now, fingerprints...))
		select {
		case s.reported <- fingerprints:
		case <-ctx.Done():
		}
	case kindQuery:
		response.add(s.crashes.RefusedReports(now))
	case kindNotice:
	}
	return response
}
