// Package configlog reads and writes the configuration stream of the log
// service: the encoding of records, a Reader that keeps the configuration in
// force, and a Publisher that proposes one and confirms what became of it.
package configlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"fulmarhoist.example/config"
)

// Limits of a record. A checkpoint has room for an accepted configuration that
// grows when fields are written that the publication left out. Both stay below
// the frame limit of 4 MiB between instances.
const (
	MaxPublicationBytes = 1 << 20
	MaxCheckpointBytes  = 2 << 20
)

const (
	kindPublication = "publication"
	kindCheckpoint  = "checkpoint"
)

// TooLargeError reports a record above its limit.
type TooLargeError struct {
	Kind        string
	Size, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s of %d bytes exceeds the limit of %d bytes", e.Kind, e.Size, e.Limit)
}

// UnknownRecordError reports a record type that has no encoding.
type UnknownRecordError struct{ Record config.Record }

func (e *UnknownRecordError) Error() string {
	return fmt.Sprintf("record of type %T has no encoding", e.Record)
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
		return nil, &TooLargeError{Kind: kind, Size: len(data), Limit: limit}
	}
	return data, nil
}

// Decode returns the record, or an Unreadable that tells why it cannot be
// decoded. Unknown fields are ignored, so that instances of an older release
// judge a publication like those of a newer one.
func Decode(data []byte) config.Record {
	if len(data) > MaxCheckpointBytes {
		return unreadable(&TooLargeError{Kind: "record", Size: len(data), Limit: MaxCheckpointBytes})
	}
	var envelope struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(data, &envelope); err != nil {
		return unreadable(fmt.Errorf("decoding a record: %w", err))
	}
	switch envelope.Kind {
	case kindPublication:
		return decodePublication(data)
	case kindCheckpoint:
		var c checkpoint
		if err := json.Unmarshal(data, &c); err != nil {
			return unreadable(fmt.Errorf("decoding a checkpoint: %w", err))
		}
		return config.Checkpoint{State: c.State, AsOf: c.AsOf, WrittenAt: time.UnixMilli(c.WrittenAtMs)}
	default:
		return config.Unreadable{Reason: fmt.Sprintf("unknown kind of record %q", config.Shorten(envelope.Kind))}
	}
}

func decodePublication(data []byte) config.Record {
	if len(data) > MaxPublicationBytes {
		return unreadable(&TooLargeError{Kind: kindPublication, Size: len(data), Limit: MaxPublicationBytes})
	}
	var p publication
	if err := json.Unmarshal(data, &p); err != nil {
		return unreadable(fmt.Errorf("decoding a publication: %w", err))
	}
	return config.Publication{ID: p.ID, Base: p.Base, Config: p.Config}
}

func unreadable(err error) config.Unreadable { return config.Unreadable{Reason: err.Error()} }
