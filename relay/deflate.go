package relay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"fulmarhoist.example/feed"
)

// deflate compresses a value.
func deflate(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("relay: create a compressor: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("relay: compress a value of %d bytes: %w", len(value), err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("relay: compress a value of %d bytes: %w", len(value), err)
	}
	return compressed.Bytes(), nil
}

// ValueSizeError reports a response whose values together exceed the limit.
type ValueSizeError struct {
	Key string // of the first record that exceeds it
}

func (e *ValueSizeError) Error() string {
	return fmt.Sprintf("relay: values up to record %q exceed the limit of %d bytes", e.Key, maxValueBytes)
}

// inflateRecords returns the records of a response with their values decompressed.
func inflateRecords(records []wireRecord) ([]feed.Record, error) {
	decoded := make([]feed.Record, 0, len(records))
	left := int64(maxValueBytes)
	for _, r := range records {
		value := r.Value
		if r.Deflated {
			var err error
			value, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Value)), left+1))
			if err != nil {
				return nil, fmt.Errorf("relay: decompress the value of record %q: %w", r.Key, err)
			}
		}
		if left -= int64(len(value)); left < 0 {
			return nil, &ValueSizeError{r.Key}
		}
		decoded = append(decoded, feed.Record{Key: r.Key, Value: value, Deleted: r.Deleted})
	}
	return decoded, nil
}
