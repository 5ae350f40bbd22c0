package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"fulmarhoist.example/internal/standin/endpoint"
)

const (
	chunkSize = 32 << 10
	// chunksInFlight bounds the bytes that are held back by the delay.
	chunksInFlight = 64
)

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// chunk is a piece of a byte stream on its way. The last chunk has no data.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// pump copies bytes from one connection to another with the relay's delay. The
// end of the stream is passed on as a half-close, any other error as a reset.
func (r *Relay) pump(ctx context.Context, from, to halfCloser) {
	chunks := make(chan chunk, chunksInFlight)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.running.Go(func() { r.read(ctx, from, chunks) })
	lost := false
	for c := range chunks {
		if !waitUntil(ctx, c.due) {
			return
		}
		if lost = lost || r.loses(to); lost {
			continue
		}
		if c.err != nil {
			if errors.Is(c.err, io.EOF) {
				_ = to.CloseWrite()
			} else {
				abort(to)
			}
			return
		}
		if _, err := to.Write(c.data); err != nil {
			abort(from)
			return
		}
	}
}

// abort resets a connection, so that its peer sees that the stream broke. A
// silent connection stays open: its peer must not learn anything.
func abort(conn net.Conn) {
	switch c := conn.(type) {
	case *endpoint.Conn:
		if !c.Silent() {
			c.Reset()
		}
	case *net.TCPConn:
		reset(c)
	}
}

// read turns what arrives on a connection into chunks until it ends.
func (r *Relay) read(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		due := time.Now().Add(r.delay())
		if n > 0 && !deliver(ctx, chunks, chunk{due: due, data: buffer[:n]}) {
			return
		}
		if err != nil {
			deliver(ctx, chunks, chunk{due: due, err: err})
			return
		}
	}
}

func deliver(ctx context.Context, chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

func waitUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
