package relay

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"fulmarhoist.example/feed"
)

// question asks for the records of a topic from an offset on.
type question struct {
	Topic  string `msgpack:"topic"`
	From   uint64 `msgpack:"from"`
	WaitMs int64  `msgpack:"wait_ms"`
}

// answer holds records, or says that the relay cannot tell.
type answer struct {
	Current bool          `msgpack:"current"`
	Next    uint64        `msgpack:"next"`
	Records []feed.Record `msgpack:"records"`
	// Elsewhere says that there are records, which have to be read from the store.
	Elsewhere bool `msgpack:"elsewhere"`
}

// maxFrame bounds one message.
const maxFrame = 8 << 20

// FrameError reports a message that is too long.
type FrameError struct {
	Length uint32
}

func (e *FrameError) Error() string { return fmt.Sprintf("relay: a message of %d bytes", e.Length) }

// writeFrame writes a message with its length before it.
func writeFrame(w io.Writer, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return fmt.Errorf("relay: encode: %w", err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	if _, err := w.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("relay: write: %w", err)
	}
	return nil
}

func readFrame(r io.Reader, message any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return fmt.Errorf("relay: read: %w", err)
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxFrame {
		return &FrameError{length}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return fmt.Errorf("relay: read: %w", err)
	}
	if err := msgpack.Unmarshal(body, message); err != nil {
		return fmt.Errorf("relay: decode: %w", err)
	}
	return nil
}
