// Package configlog reads and writes the configuration stream of the log
// service. It contains the encoding of records, a Reader that follows the
// stream and provides the configuration in force, and a Publisher that appends
// a publication and reads back whether it was accepted.
package configlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"fulmarhoist.example/config"
)

// Maximum sizes of encoded records. The limit of a checkpoint is higher,
// because an accepted configuration grows when it is encoded with the fields
// that the publication omitted. Both are below 4 MiB, the maximum size of a
// frame between instances.
const (
	MaxPublicationBytes = 1 << 20
	MaxCheckpointBytes  = 2 << 20
)

const (
	kindPublication = "publication"
	kindCheckpoint  = "checkpoint"
)

// RecordTooLargeError reports an encoded record that exceeds its maximum size.
type RecordTooLargeError struct {
	Kind                  string
	SizeBytes, LimitBytes int
}

func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("%s of %d bytes exceeds the limit of %d bytes", e.Kind, e.SizeBytes, e.LimitBytes)
}

// UnknownRecordError reports a record whose type cannot be encoded.
type UnknownRecordError struct{ Record config.Record }

func (e *UnknownRecordError) Error() string {
	return fmt.Sprintf("record of type %T cannot be encoded", e.Record)
}

type publication struct {
	Kind   string                `json:"kind"`
	ID     string                `json:"id"`
	Base   uint64                `json:"base"`
	Config *config.Configuration `json:"config"`
}

type checkpoint struct {
	Kind        string       `json:"kind"`
	State       config.State `json:"state"`
	AsOf        uint64       `json:"as_of"`
	WrittenAtMs int64        `json:"written_at_ms"`
}

// Encode returns the JSON encoding of a publication or checkpoint.
func Encode(r config.Record) ([]byte, error) {
	var value any
	kind, limit := kindPublication, MaxPublicationBytes
	switch r := r.(type) {
	case config.Publication:
		value = publication{Kind: kind, ID: r.ID, Base: r.Base, Config: r.Config}
	case config.Checkpoint:
		kind, limit = kindCheckpoint, MaxCheckpointBytes
		value = checkpoint{Kind: kind, State: r.State, AsOf: r.AsOf, WrittenAtMs: r.WrittenAt.UnixMilli()}
	default:
		return nil, &UnknownRecordError{Record: r}
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, fmt.Errorf("encoding a %s: %w", kind, err)
	}
	data := bytes.TrimSuffix(buffer.Bytes(), []byte("\n"))
	if len(data) > limit {
		return nil, &RecordTooLargeError{Kind: kind, SizeBytes: len(data), LimitBytes: limit}
	}
	return data, nil
}

// Decode returns the decoded record, or an Unreadable with the reason why data
// cannot be decoded. Unknown fields are ignored, so that instances of an older
// release accept and reject the same publications as those of a newer one.
func Decode(data []byte) config.Record {
	if len(data) > MaxCheckpointBytes {
		return newUnreadable(&RecordTooLargeError{Kind: "record", SizeBytes: len(data), LimitBytes: MaxCheckpointBytes})
	}
	var envelope struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(data, &envelope); err != nil {
		return newUnreadable(fmt.Errorf("decoding a record: %w", err))
	}
	switch envelope.Kind {
	case kindPublication:
		return decodePublication(data)
	case kindCheckpoint:
		var c checkpoint
		if err := json.Unmarshal(data, &c); err != nil {
			return newUnreadable(fmt.Errorf("decoding a checkpoint: %w", err))
		}
		return config.Checkpoint{State: c.State, AsOf: c.AsOf, WrittenAt: time.UnixMilli(c.WrittenAtMs)}
	default:
		return config.Unreadable{Reason: fmt.Sprintf("unknown kind of record %q", config.Shorten(envelope.Kind))}
	}
}

func decodePublication(data []byte) config.Record {
	if len(data) > MaxPublicationBytes {
		return newUnreadable(&RecordTooLargeError{Kind: kindPublication, SizeBytes: len(data), LimitBytes: MaxPublicationBytes})
	}
	var p publication
	if err := json.Unmarshal(data, &p); err != nil {
		return newUnreadable(fmt.Errorf("decoding a publication: %w", err))
	}
	return config.Publication{ID: p.ID, Base: p.Base, Config: p.Config}
}

func newUnreadable(err error) config.Unreadable { return config.Unreadable{Reason: err.Error()} }
