// Package backing defines the interfaces of the two platform services that the
// product depends on, the append-only log and the instance list, and their
// errors.
//
// Implementations must be safe for concurrent use.
package backing

import (
	"context"
	"fmt"
)

// Stream is the name of a stream, an independent sequence of records in the log
// service.
type Stream string

const (
	// ConfigStream holds publications and checkpoints of the configuration.
	ConfigStream Stream = "config"
	// OutcomeStream holds the recorded outcomes of non-idempotent requests.
	OutcomeStream Stream = "outcomes"
)

// Record is one record of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is the result of one read. First is the oldest retained offset, and Next
// is the offset that the next append will get, both at the time of the read.
type Page struct {
	Records []Record
	First   uint64
	Next    uint64
}

// Log is the append-only log service, which retains records for a limited time.
type Log interface {
	// Append appends a record and returns its offset. After an
	// *UncertainAppendError the record may or may not be in the stream.
	Append(ctx context.Context, stream Stream, data []byte) (uint64, error)
	// Read returns up to limit records, starting at the given offset. If the
	// offset is below the first retained one, the error is a *TrimmedError.
	Read(ctx context.Context, stream Stream, from uint64, limit int) (Page, error)
}

// Kind distinguishes entry instances from targets in the instance list.
type Kind string

const (
	// KindEntry marks an entry instance.
	KindEntry Kind = "entry"
	// KindTarget marks a target.
	KindTarget Kind = "target"
)

// Member is one entry of the instance list.
type Member struct {
	ID      string
	Kind    Kind
	Zone    string
	Address string // host:port: the peer address of an entry instance, or the address that a target serves on
	Leaving bool
}

// Listing is a snapshot of the instance list. It may be out of date, but
// Version never decreases.
type Listing struct {
	Version uint64
	Members []Member
}

// InstanceList is the platform's list of running and leaving instances and
// targets.
type InstanceList interface {
	List(ctx context.Context) (Listing, error)
}

// UnavailableError reports that a platform service did not respond or rejected
// the operation, which had no effect.
type UnavailableError struct {
	Service string // "log service" or "instance list"
	Op      string
	Err     error // nil if the service itself rejected the operation
}

func (e *UnavailableError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s: unavailable", e.Service, e.Op)
	}
	return fmt.Sprintf("%s: %s: unavailable: %v", e.Service, e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UncertainAppendError reports an append without a usable response: the record
// may or may not be in the stream. The caller can read the stream to find out.
type UncertainAppendError struct {
	Stream Stream
	Err    error
}

func (e *UncertainAppendError) Error() string {
	return fmt.Sprintf("append to stream %q: no usable response, the record may be stored: %v", e.Stream, e.Err)
}

func (e *UncertainAppendError) Unwrap() error { return e.Err }

// TrimmedError reports a read at an offset below the oldest retained record.
type TrimmedError struct {
	Stream      Stream
	From, First uint64 // offset of the read, and oldest retained offset
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %q: offset %d is no longer retained; the oldest retained offset is %d", e.Stream, e.From, e.First)
}
