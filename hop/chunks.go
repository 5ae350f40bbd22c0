package hop

import (
	"fmt"
	"io"
)

// SourceError reports that the source of a body failed, as opposed to the
// connection that it is written to.
type SourceError struct {
	Err error
}

func (e *SourceError) Error() string { return fmt.Sprintf("read the body: %v", e.Err) }

func (e *SourceError) Unwrap() error { return e.Err }

// chunkSize is the most bytes of one chunk.
const chunkSize = 32 << 10

// WriteChunks writes a body of unknown length in chunks, with the last one only if
// the source ended in order. The function before is called before each chunk.
func WriteChunks(w io.Writer, source io.Reader, before func()) error {
	buffer := make([]byte, chunkSize)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			before()
			if _, werr := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); werr != nil {
				return fmt.Errorf("write the body: %w", werr)
			}
		}
		if err == io.EOF {
			if _, werr := io.WriteString(w, "0\r\n\r\n"); werr != nil {
				return fmt.Errorf("write the body: %w", werr)
			}
			return nil
		}
		if err != nil {
			return &SourceError{err}
		}
	}
}
