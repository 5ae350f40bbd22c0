// Package frame reads and writes the messages between entry instances: msgpack,
// preceded by the length as a 32-bit big-endian integer. A peer may be a stranger, so
// decoding reserves no memory that a message does not hold.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// SizeError reports a message that exceeds the size limit.
type SizeError struct {
	Length uint32 // in bytes
	Limit  uint32 // in bytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("frame: message of %d bytes exceeds the limit of %d bytes", e.Length, e.Limit)
}

// Write writes a message, preceded by its length as a 32-bit big-endian
// integer.
func Write(w io.Writer, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return fmt.Errorf("frame: encode message: %w", err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	if _, err := w.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("frame: write message: %w", err)
	}
	return nil
}

// Read reads a frame of at most the given size and decodes its message.
func Read(r io.Reader, limit uint32, decode func(*Decoder)) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("frame: read message length: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > limit {
		return &SizeError{length, limit}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return fmt.Errorf("frame: read message of %d bytes: %w", length, err)
	}
	return Decode(body, decode)
}
