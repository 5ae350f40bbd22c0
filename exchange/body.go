package exchange

import (
	"bytes"
	"fmt"
	"io"
)

// MaxReplayBytes is the maximum size of a request body that is buffered, so that
// the request can be sent again to another target. A longer body is streamed and
// can be sent only once.
const MaxReplayBytes = 256 << 10

// Body is the body of a request. It can be sent again if all of it is buffered,
// or as long as nothing beyond the buffered part has been read.
type Body struct {
	buffered []byte
	rest     io.Reader // nil if buffered is the whole body
	size     int64     // bytes; -1 if unknown
	restUsed bool      // a reader of rest has been returned
}

// readBody buffers the beginning of the source: up to MaxReplayBytes, and one
// byte more if the body is longer.
func readBody(source io.Reader, size int64) (*Body, error) {
	if source == nil || size == 0 {
		return &Body{}, nil
	}
	kept, err := io.ReadAll(io.LimitReader(source, MaxReplayBytes+1))
	if err != nil {
		return nil, &BodyError{Err: err}
	}
	if len(kept) <= MaxReplayBytes {
		return &Body{buffered: kept, size: int64(len(kept))}, nil
	}
	return &Body{buffered: kept, rest: source, size: size}, nil
}

// kept reports whether Reader may be called any number of times.
func (b *Body) kept() bool { return b.rest == nil }

// replayable reports whether Reader may be called.
func (b *Body) replayable() bool { return b.rest == nil || !b.restUsed }

// Reader returns the whole body from its start.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		// The wrapper hides the type of the reader from net/http, which could
		// otherwise send the body again on its own.
		return struct{ io.Reader }{bytes.NewReader(b.buffered)}
	}
	b.restUsed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
}

// BodyError reports that the request body could not be read from the caller.
type BodyError struct {
	Err error
}

func (e *BodyError) Error() string { return fmt.Sprintf("read request body: %v", e.Err) }

func (e *BodyError) Unwrap() error { return e.Err }

// Size returns the length of the body in bytes, or -1 if it is unknown.
func (b *Body) Size() int64 { return b.size }
