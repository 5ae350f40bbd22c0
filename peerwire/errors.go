package peerwire

import "fmt"

// FrameSizeError reports a frame that is larger than the limit.
type FrameSizeError struct {
	Bytes, Limit int
}

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// ListSizeError reports an array in a message that is longer than the limit, or
// missing.
type ListSizeError struct {
	Elements, Limit int // Elements is -1 if there is nil in place of the array
}

func (e *ListSizeError) Error() string {
	return fmt.Sprintf("array of %d elements in a message: want 0 to %d", e.Elements, e.Limit)
}

// FormatError reports a frame that is not a valid message of this protocol.
type FormatError struct {
	Kind    Kind
	Problem string
	Err     error // nil if the decoder reported no error
}

func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("message of kind %s %s", e.Kind, e.Problem)
	}
	return fmt.Sprintf("message of kind %s %s: %v", e.Kind, e.Problem, e.Err)
}

func (e *FormatError) Unwrap() error { return e.Err }

// UnknownKindError reports a message whose kind this version does not know. The
// receiver skips the message, which a later version may have sent.
type UnknownKindError struct {
	Kind Kind
}

func (e *UnknownKindError) Error() string { return fmt.Sprintf("message of unknown kind %d", e.Kind) }

// KeyError reports a shared key that is too short.
type KeyError struct {
	Bytes, MinBytes int
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("shared key has %d bytes, want at least %d", e.Bytes, e.MinBytes)
}

// RefusalReason is the reason for which a handshake was refused.
type RefusalReason string

// Reasons for refusing a handshake.
const (
	RefusedProof    RefusalReason = "the peer did not prove knowledge of the shared key"
	RefusedSelf     RefusalReason = "the peer has the ID of this instance"
	RefusedIdentity RefusalReason = "another instance answers at the address"
	RefusedMessage  RefusalReason = "the peer sent an unexpected message"
)

// HandshakeError reports a connection whose handshake this side refused.
type HandshakeError struct {
	Peer   string // instance ID if known, otherwise the remote address
	Reason RefusalReason
}

func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: %s", e.Peer, e.Reason)
}

// NoConnectionError reports that there is no connection to the peer. The
// message was not sent.
type NoConnectionError struct {
	Peer string
	Err  error // why the connection could not be opened; nil if it was not tried
}

func (e *NoConnectionError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("no connection to %s", e.Peer)
	}
	return fmt.Sprintf("no connection to %s: %v", e.Peer, e.Err)
}

func (e *NoConnectionError) Unwrap() error { return e.Err }

// OverflowError reports that the send queue is full, because the peer reads too
// slowly. The message was not sent.
type OverflowError struct {
	Peer   string
	Queued int64 // bytes in the queue
}

func (e *OverflowError) Error() string {
	return fmt.Sprintf("send queue to %s is full: %d bytes queued", e.Peer, e.Queued)
}

// ConnectionLostError reports that the connection ended before the reply
// arrived. The peer may have received the request.
type ConnectionLostError struct {
	Peer string
}

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("connection to %s ended before the reply arrived", e.Peer)
}

// BusyError reports that the peer was executing too many forwarded requests and
// has not processed this one.
type BusyError struct {
	Peer string
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("peer %s is executing too many forwarded requests", e.Peer)
}

// ClosedError reports the use of a Mesh, or of a peer of it, that is closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "mesh is closed" }
