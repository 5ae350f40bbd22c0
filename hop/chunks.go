package hop

import (
	"fmt"
	"io"
)

// BodyReadError reports a failure to read the source of a body, as opposed to a
// failure to write to the connection.
type BodyReadError struct {
	Err error
}

func (e *BodyReadError) Error() string { return fmt.Sprintf("read body: %v", e.Err) }

func (e *BodyReadError) Unwrap() error { return e.Err }

// maxChunkBytes is the maximum size of the data of a chunk.
const maxChunkBytes = 32 << 10

// WriteChunks writes a body of unknown length with the chunked transfer coding. It
// writes the last chunk, which marks the end of the body, only if the source ends
// with io.EOF. The function before is called before each chunk except the last one.
func WriteChunks(w io.Writer, source io.Reader, before func()) error {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			before()
			if _, writeErr := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); writeErr != nil {
				return fmt.Errorf("write chunk of %d bytes: %w", n, writeErr)
			}
		}
		if err == io.EOF {
			if _, writeErr := io.WriteString(w, "0\r\n\r\n"); writeErr != nil {
				return fmt.Errorf("write last chunk: %w", writeErr)
			}
			return nil
		}
		if err != nil {
			return &BodyReadError{err}
		}
	}
}
