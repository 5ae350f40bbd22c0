// Package backing holds the interfaces of the two services that the product needs
// behind it, the append-only log and the instance list, and their typed errors.
//
// Implementations are safe for concurrent use.
package backing

import (
	"context"
	"fmt"
)

// Stream names an independent sequence of records in the log service.
type Stream string

const (
	// ConfigStream holds publications and checkpoints of the configuration.
	ConfigStream Stream = "config"
	// OutcomeStream holds recorded outcomes of non-idempotent requests.
	OutcomeStream Stream = "outcomes"
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is the result of one read. First is the oldest retained offset and Next
// the offset that the next append will get, both at the time of the read.
type Page struct {
	Records []Record
	First   uint64
	Next    uint64
}

// Log is the append-only log service. It retains records for a limited time.
type Log interface {
	// Append adds a record and returns its offset. After an
	// *UncertainAppendError the record may or may not be in the stream.
	Append(ctx context.Context, stream Stream, data []byte) (uint64, error)
	// Read returns records from the given offset on, at most limit of them. An
	// offset below the first retained one gives a *TrimmedError.
	Read(ctx context.Context, stream Stream, from uint64, limit int) (Page, error)
}

// Kind tells entry instances and targets apart on the instance list.
type Kind string

const (
	// KindEntry is an entry instance.
	KindEntry Kind = "entry"
	// KindTarget is a target server.
	KindTarget Kind = "target"
)

// Member is one row of the instance list.
type Member struct {
	ID      string
	Kind    Kind
	Zone    string
	Address string // host:port where peers reach an entry instance, or where a target serves
	Leaving bool
}

// Listing is one answer of the instance list. It lags behind reality, but
// Version never decreases.
type Listing struct {
	Version uint64
	Members []Member
}

// InstanceList is the platform's list of live and leaving instances.
type InstanceList interface {
	List(ctx context.Context) (Listing, error)
}

// UnavailableError reports that a platform service did not answer or refused,
// and that the operation had no effect.
type UnavailableError struct {
	Service string // "log service" or "instance list"
	Op      string
	Err     error // nil where the service itself refused
}

func (e *UnavailableError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s: unavailable", e.Service, e.Op)
	}
	return fmt.Sprintf("%s: %s: unavailable: %v", e.Service, e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UncertainAppendError reports an append whose answer was lost: the record may
// be in the stream. The caller reads the stream back to find out.
type UncertainAppendError struct {
	Stream Stream
	Err    error
}

func (e *UncertainAppendError) Error() string {
	return fmt.Sprintf("append to stream %q: the answer was lost, the record may be stored: %v", e.Stream, e.Err)
}

func (e *UncertainAppendError) Unwrap() error { return e.Err }

// TrimmedError reports a read below the oldest retained record.
type TrimmedError struct {
	Stream      Stream
	From, First uint64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %q: offset %d is no longer retained; the oldest is %d", e.Stream, e.From, e.First)
}
