package peerwire

import (
	"fmt"
	"time"

	"fulmarhoist.example/contract"
)

// Kind numbers the types of messages. Numbers are never reused.
type Kind uint8

// Kinds of messages.
const (
	KindHello Kind = iota + 1
	KindProof
	KindBeat
	KindPong
	KindBye
	KindConfigState
	KindForward
	KindForwardReply
	KindBusy
	KindColdAsk
	KindColdAnswer
	KindColdRelease
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

// makers creates an empty message of each kind.
var makers = [...]func() Message{
	KindHello:        func() Message { return &Hello{} },
	KindProof:        func() Message { return &Proof{} },
	KindBeat:         func() Message { return &Beat{} },
	KindPong:         func() Message { return &Pong{} },
	KindBye:          func() Message { return &Bye{} },
	KindConfigState:  func() Message { return &ConfigState{} },
	KindForward:      func() Message { return &Forward{} },
	KindForwardReply: func() Message { return &ForwardReply{} },
	KindBusy:         func() Message { return &Busy{} },
	KindColdAsk:      func() Message { return &ColdAsk{} },
	KindColdAnswer:   func() Message { return &ColdAnswer{} },
	KindColdRelease:  func() Message { return &ColdRelease{} },
	KindCrashReport:  func() Message { return &CrashReport{} },
}

func newMessage(kind Kind) Message {
	if int(kind) >= len(makers) || makers[kind] == nil {
		return nil
	}
	return makers[kind]()
}

// request and reply belong together by a number that the requester chooses.
type request interface {
	Message
	setID(id uint64)
}

type reply interface {
	Message
	requestID() uint64
}

// maxHeaderFields bounds the header of a forwarded request or reply.
const maxHeaderFields = 1024

// Field is one header field.
type Field struct {
	Name, Value string
}

// Header is an ordered list of header fields.
type Header []Field

// Identity is who an instance is for the length of one process.
type Identity struct {
	ID            string
	Incarnation   uint64
	Zone          string
	CallerAddress string
	PeerAddress   string
}

// Purpose tells why a connection was opened.
type Purpose uint8

const (
	// PurposeOpen means that the dialing side had no connection.
	PurposeOpen Purpose = iota
	// PurposeReplace means that the dialing side's connection has gone silent.
	PurposeReplace
)

// Hello is the first message of each side.
type Hello struct {
	Identity  Identity
	Challenge []byte
	Purpose   Purpose
}

// Proof shows that the sender has the shared key.
type Proof struct {
	MAC []byte
}

// Pong answers a frame when there is nothing else to send, so that a connection
// used in one direction is not taken for a silent one.
type Pong struct{}

// Bye announces that the sender closes the connection on purpose.
type Bye struct{}

// ConfigState is a complete configuration state in the encoding of its owner.
type ConfigState struct {
	Version uint64
	State   []byte
}

// Forward asks the owner of a key to run a request.
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

// Busy replies to a Forward that the peer did not look at.
type Busy struct {
	ID uint64
}

// ColdAsk asks a peer for the lease to send to a cold target.
type ColdAsk struct {
	ID          uint64
	Target      string
	Generation  uint64
	Holder      string
	Incarnation uint64
	Sequence    uint64
}

// Verdict is the answer to a ColdAsk.
type Verdict uint8

const (
	// VerdictRefused means that another instance holds the lease.
	VerdictRefused Verdict = iota
	// VerdictGranted means that the peer will not send to the target itself.
	VerdictGranted
	// VerdictWarm means that the peer has shown, after it was asked, that the
	// running process of the target is warm, so that no lease is needed.
	VerdictWarm
)

// ColdAnswer answers a ColdAsk. Holder is set if the lease was refused.
type ColdAnswer struct {
	ID                uint64
	Verdict           Verdict
	Holder            string
	HolderIncarnation uint64
	Sequence          uint64
}

// ColdRelease gives a lease back.
type ColdRelease struct {
	Target      string
	Generation  uint64
	Holder      string
	Incarnation uint64
	Sequence    uint64
}

// CrashReport tells that a target went down while it ran a request.
type CrashReport struct {
	Fingerprint []byte
	Target      string
	Generation  uint64
}
