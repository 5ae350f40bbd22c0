package relay

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// request requests the records of a topic from an offset on. With WaitMs the relay
// waits for that many milliseconds if there are none yet.
type request struct {
	Topic  string `msgpack:"topic"`
	From   uint64 `msgpack:"from"`
	WaitMs int64  `msgpack:"wait_ms"`
	// Deflate is true if the client can read compressed values. Instances of
	// earlier versions cannot.
	Deflate bool `msgpack:"deflate"`
	// WaitStale makes the relay wait also while the store does not respond to it.
	WaitStale bool `msgpack:"wait_stale"`
}

// wireRecord is a feed.Record in a message.
type wireRecord struct {
	Key      string
	Value    []byte // compressed if Deflated is true
	Deleted  bool
	Deflated bool `msgpack:",omitempty"`
}

// response is the response to a request.
type response struct {
	// Current is false if the relay has no current records; see StaleError.
	Current bool         `msgpack:"current"`
	Next    uint64       `msgpack:"next"` // offset after the records
	Records []wireRecord `msgpack:"records"`
	// ReadStore is true if the records must be read from the store; see readResult.
	ReadStore bool `msgpack:"elsewhere"`
}

// maxRequestBytes and maxResponseBytes are the maximum sizes of messages.
const (
	maxRequestBytes  = 1 << 10
	maxResponseBytes = 8 << 20
)

// FrameSizeError reports a message that exceeds the size limit.
type FrameSizeError struct {
	Length uint32 // in bytes
	Limit  uint32 // in bytes
}

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("relay: message of %d bytes exceeds the limit of %d bytes", e.Length, e.Limit)
}

// writeFrame writes a message, preceded by its length as a 32-bit big-endian
// integer.
func writeFrame(w io.Writer, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return fmt.Errorf("relay: encode message: %w", err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	if _, err := w.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("relay: write message: %w", err)
	}
	return nil
}

// readFrame reads a frame of at most the given size and decodes its message.
func readFrame(r io.Reader, limit uint32, decode func(*decoder)) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("relay: read message length: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > limit {
		return &FrameSizeError{length, limit}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return fmt.Errorf("relay: read message of %d bytes: %w", length, err)
	}
	return decodeMessage(body, decode)
}
