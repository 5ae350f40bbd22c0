package peerwire

import "fmt"

// FrameSizeError reports a frame that is larger than the limit.
type FrameSizeError struct {
	Bytes, Limit int
}

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d", e.Bytes, e.Limit)
}

// ListSizeError reports a list in a message that is longer than the limit.
type ListSizeError struct {
	Elements, Limit int // Elements is -1 where a list is missing
}

func (e *ListSizeError) Error() string {
	return fmt.Sprintf("list of %d elements is above the limit of %d", e.Elements, e.Limit)
}

// FormatError reports a frame that is not a message of this protocol.
type FormatError struct {
	Kind    Kind
	Problem string
	Err     error // nil where the decoder found no fault
}

func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("message of kind %s %s", e.Kind, e.Problem)
	}
	return fmt.Sprintf("message of kind %s %s: %v", e.Kind, e.Problem, e.Err)
}

func (e *FormatError) Unwrap() error { return e.Err }

// UnknownKindError reports a message of a later protocol; it is skipped.
type UnknownKindError struct {
	Kind Kind
}

func (e *UnknownKindError) Error() string { return fmt.Sprintf("message of unknown kind %d", e.Kind) }

// KeyError reports a shared key that is too short.
type KeyError struct {
	Bytes, Least int
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("shared key has %d bytes, at least %d are needed", e.Bytes, e.Least)
}

// RefusalReason tells why a handshake failed.
type RefusalReason string

// Reasons of refused handshakes.
const (
	RefusedProof    RefusalReason = "the peer did not prove the shared key"
	RefusedSelf     RefusalReason = "the peer has the ID of this instance"
	RefusedIdentity RefusalReason = "another instance answers at the address"
	RefusedMessage  RefusalReason = "the peer sent an unexpected message"
)

// HandshakeError reports a connection that was refused before use.
type HandshakeError struct {
	Peer   string // ID if known, else the remote address
	Reason RefusalReason
}

func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: %s", e.Peer, e.Reason)
}

// NoConnectionError reports that there is no connection to the peer. Nothing
// was sent.
type NoConnectionError struct {
	Peer string
	Err  error // the failed attempt, nil if none was made
}

func (e *NoConnectionError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("no connection to %s", e.Peer)
	}
	return fmt.Sprintf("no connection to %s: %v", e.Peer, e.Err)
}

func (e *NoConnectionError) Unwrap() error { return e.Err }

// OverflowError reports a full write queue: the peer reads too slowly. The
// message was not sent.
type OverflowError struct {
	Peer   string
	Queued int64 // bytes in the queue
}

func (e *OverflowError) Error() string {
	return fmt.Sprintf("write queue to %s is full with %d bytes", e.Peer, e.Queued)
}

// LostError reports a connection that ended before the reply came. The peer may
// have got the request.
type LostError struct {
	Peer string
}

func (e *LostError) Error() string {
	return fmt.Sprintf("connection to %s ended before the reply", e.Peer)
}

// BusyError reports that the peer had too many forwarded requests and did not
// look at this one.
type BusyError struct {
	Peer string
}

func (e *BusyError) Error() string { return fmt.Sprintf("%s has too many forwarded requests", e.Peer) }

// ClosedError reports the use of a closed Mesh.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "mesh is closed" }
