package peerwire

import (
	"fmt"
	"time"

	"fulmarhoist.example/contract"
)

// Kind identifies the type of a message on the wire. The numbers of retired
// kinds are never reused.
type Kind uint8

// Message kinds.
const (
	KindHello Kind = iota + 1
	KindProof
	KindHeartbeat
	KindPong
	KindBye
	KindConfigState
	KindForward
	KindForwardReply
	KindBusy
	KindColdLeaseRequest
	KindColdLeaseReply
	KindColdLeaseRelease
	KindCrashReport
)

var kindNames = [...]string{
	"none", "hello", "proof", "beat", "pong", "bye", "config-state", "forward", "forward-reply",
	"busy", "cold-ask", "cold-answer", "cold-release", "crash-report",
}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Message is one of the message types of this package.
type Message interface {
	kind() Kind
	encode(w *writer)
	decode(r *reader)
}

// messageConstructors holds a function for each kind that returns an empty
// message of it.
var messageConstructors = [...]func() Message{
	KindHello:            func() Message { return &Hello{} },
	KindProof:            func() Message { return &Proof{} },
	KindHeartbeat:        func() Message { return &Heartbeat{} },
	KindPong:             func() Message { return &Pong{} },
	KindBye:              func() Message { return &Bye{} },
	KindConfigState:      func() Message { return &ConfigState{} },
	KindForward:          func() Message { return &Forward{} },
	KindForwardReply:     func() Message { return &ForwardReply{} },
	KindBusy:             func() Message { return &Busy{} },
	KindColdLeaseRequest: func() Message { return &ColdLeaseRequest{} },
	KindColdLeaseReply:   func() Message { return &ColdLeaseReply{} },
	KindColdLeaseRelease: func() Message { return &ColdLeaseRelease{} },
	KindCrashReport:      func() Message { return &CrashReport{} },
}

func newMessage(kind Kind) Message {
	if int(kind) >= len(messageConstructors) || messageConstructors[kind] == nil {
		return nil
	}
	return messageConstructors[kind]()
}

// request is a message that expects a reply. The requester chooses an ID, and
// the reply carries the same one.
type request interface {
	Message
	setID(id uint64)
}

type reply interface {
	Message
	requestID() uint64
}

// maxHeaderFields limits the number of header fields of a forwarded request or
// reply.
const maxHeaderFields = 1024

// Field is one HTTP header field.
type Field struct {
	Name, Value string
}

// Header is an ordered list of HTTP header fields.
type Header []Field

// Identity identifies one process of an instance. Incarnation differs between
// the processes that an instance runs one after the other.
type Identity struct {
	ID            string
	Incarnation   uint64
	Zone          string
	CallerAddress string
	PeerAddress   string
}

// Purpose is the reason for which a connection was opened.
type Purpose uint8

const (
	// PurposeOpen means that the dialer had no connection to the peer.
	PurposeOpen Purpose = iota
	// PurposeReplace means that nothing arrived any more on the connection that
	// the dialer had.
	PurposeReplace
)

// Hello is the first message that each side sends.
type Hello struct {
	Identity  Identity
	Challenge []byte
	Purpose   Purpose
}

// Proof proves that the sender knows the shared key.
type Proof struct {
	MAC []byte
}

// Pong acknowledges a frame when there is nothing else to send, so that a
// connection with traffic in only one direction is not considered silent.
type Pong struct{}

// Bye announces that the sender closes the connection gracefully.
type Bye struct{}

// ConfigState carries a complete configuration state. The encoding of State is
// opaque to this package.
type ConfigState struct {
	Version uint64
	State   []byte
}

// Forward asks the owner of a request key to execute a request.
type Forward struct {
	ID     uint64
	Method string
	URI    string
	Header Header
	Body   []byte
}

// ForwardReply is the outcome of a forwarded request.
type ForwardReply struct {
	ID         uint64
	Outcome    contract.Outcome
	Reason     contract.Reason
	RetryAfter time.Duration // whole milliseconds
	Owner      string
	Attempts   int
	Replayed   bool
	Status     int
	Header     Header
	Body       []byte
}

// Busy rejects a Forward that the peer has not processed, because it had too
// many forwarded requests.
type Busy struct {
	ID uint64
}

// ColdLeaseRequest requests a peer's consent to the lease on a cold target. If
// Sequence is 0, it only asks whether the target is warm.
type ColdLeaseRequest struct {
	ID          uint64
	Target      string
	Generation  uint64
	Holder      string
	Incarnation uint64
	Sequence    uint64
}

// Verdict is the result of a ColdLeaseRequest.
type Verdict uint8

const (
	// VerdictRefused means that the peer does not consent, because another
	// instance holds the lease or because the peer itself sends to the target, or
	// that the peer has not verified that the target is warm.
	VerdictRefused Verdict = iota
	// VerdictGranted means that the peer itself will not send to the target.
	VerdictGranted
	// VerdictWarm means that the peer has verified, after it received the
	// ColdLeaseRequest, that the running process of the target is warm, so that
	// no lease is needed.
	VerdictWarm
)

// ColdLeaseReply is the reply to a ColdLeaseRequest. Holder and
// HolderIncarnation may identify the current holder if the lease was refused.
type ColdLeaseReply struct {
	ID                uint64
	Verdict           Verdict
	Holder            string
	HolderIncarnation uint64
	Sequence          uint64
}

// ColdLeaseRelease releases the lease on a cold target.
type ColdLeaseRelease struct {
	Target      string
	Generation  uint64
	Holder      string
	Incarnation uint64
	Sequence    uint64
}

// CrashReport reports that a target crashed while it executed a request.
type CrashReport struct {
	Fingerprint []byte
	Target      string
	Generation  uint64
}
