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
	// maxChunkBytes bounds the data of a chunk.
	maxChunkBytes = 32 << 10
	// maxDelayedChunks bounds the chunks of one direction that wait for the
	// delay.
	maxDelayedChunks = 64
)

// halfCloser is a connection whose sending side can be closed on its own.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// chunk is a part of a byte stream in transit. The last chunk has no data; it
// carries the error with which the stream ended.
type chunk struct {
	deliverAt time.Time
	data      []byte
	err       error
}

// forward copies bytes from one connection to the other, with the relay's
// delay. It forwards the end of the stream as a half-close and any other read
// error as a reset.
func (r *Relay) forward(ctx context.Context, from, to halfCloser) {
	chunks := make(chan chunk, maxDelayedChunks)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.goroutines.Go(func() { r.readChunks(ctx, from, chunks) })
	dropping := false // once bytes are lost, the rest of the stream is dropped too
	for c := range chunks {
		if !waitUntil(ctx, c.deliverAt) {
			return
		}
		if dropping = dropping || r.dropsBytesTo(to); dropping {
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

// abort resets a connection, so that its peer sees an error. A silent
// connection stays open, because its peer must not receive anything.
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

// readChunks reads a connection until an error and sends what it reads as
// chunks.
func (r *Relay) readChunks(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, maxChunkBytes)
		n, err := from.Read(buffer)
		deliverAt := time.Now().Add(r.delay())
		if n > 0 && !sendChunk(ctx, chunks, chunk{deliverAt: deliverAt, data: buffer[:n]}) {
			return
		}
		if err != nil {
			sendChunk(ctx, chunks, chunk{deliverAt: deliverAt, err: err})
			return
		}
	}
}

// sendChunk returns false if ctx ends before the chunk is sent.
func sendChunk(ctx context.Context, chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitUntil waits until the given time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
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
