package relay

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"fulmarhoist.example/feed"
)

// request requests the records of a topic from an offset on. With WaitMs the relay
// waits for that many milliseconds if there are none yet.
type request struct {
	Topic  string `msgpack:"topic"`
	From   uint64 `msgpack:"from"`
	WaitMs int64  `msgpack:"wait_ms"`
}

// response is the response to a request.
type response struct {
	// Current is false if the relay has no current records; see StaleError.
	Current bool          `msgpack:"current"`
	Next    uint64        `msgpack:"next"` // offset after the records
	Records []feed.Record `msgpack:"records"`
	// ReadStore is true if the records must be read from the store; see readResult.
	ReadStore bool `msgpack:"elsewhere"`
}

// maxFrameBytes is the maximum size of a message.
const maxFrameBytes = 8 << 20

// FrameSizeError reports a message that exceeds the size limit.
type FrameSizeError struct {
	Length uint32 // in bytes
}

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("relay: message of %d bytes exceeds the limit of %d bytes", e.Length, maxFrameBytes)
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

// readFrame reads a message that writeFrame has written.
func readFrame(r io.Reader, message any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("relay: read message length: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return &FrameSizeError{length}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return fmt.Errorf("relay: read message of %d bytes: %w", length, err)
	}
	if err := msgpack.Unmarshal(body, message); err != nil {
		return fmt.Errorf("relay: decode message: %w", err)
	}
	return nil
}
