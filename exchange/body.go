package exchange

import (
	"bytes"
	"fmt"
	"io"
)

// MaxReplayBytes bounds the part of a request body that is kept in memory, so
// that the request can be sent to another target. A longer body is streamed and
// can be sent once.
const MaxReplayBytes = 256 << 10

// Body is the body of a request. It is replayable while the whole of it is in
// memory, or while no byte beyond the kept part was read.
type Body struct {
	kept []byte
	rest io.Reader // nil if kept is the whole body
	size int64     // -1 if unknown
	used bool      // rest was handed out
}

// readBody reads up to MaxReplayBytes of the source into memory.
func readBody(source io.Reader, size int64) (*Body, error) {
	if source == nil || size == 0 {
		return &Body{}, nil
	}
	kept, err := io.ReadAll(io.LimitReader(source, MaxReplayBytes+1))
	if err != nil {
		return nil, &BodyError{Err: err}
	}
	if len(kept) <= MaxReplayBytes {
		return &Body{kept: kept, size: int64(len(kept))}, nil
	}
	return &Body{kept: kept, rest: source, size: size}, nil
}

// replayable tells whether Reader may be called.
func (b *Body) replayable() bool { return b.rest == nil || !b.used }

// Reader returns the whole body from its start.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		// The wrapper hides the type from net/http, which would otherwise be
		// able to send the body again by itself.
		return struct{ io.Reader }{bytes.NewReader(b.kept)}
	}
	b.used = true
	return io.MultiReader(bytes.NewReader(b.kept), b.rest)
}

// BodyError reports a request body that could not be read from the caller.
type BodyError struct {
	Err error
}

func (e *BodyError) Error() string { return fmt.Sprintf("read the request body: %v", e.Err) }

func (e *BodyError) Unwrap() error { return e.Err }

// Size returns the length of the body in bytes, or -1 if it is unknown.
func (b *Body) Size() int64 { return b.size }
