package peerwire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// handshakeTimeout limits the whole handshake. Its four one-way trips take
	// 6 ms between availability zones.
	handshakeTimeout = 2 * time.Second
	challengeBytes   = 32
	// minKeyBytes is half the size of the hash: a key of 128 random bits cannot
	// be guessed.
	minKeyBytes = 16
)

// Key is the key that all instances share. Formatting it with package fmt gives
// a placeholder instead of the secret.
type Key struct {
	secret []byte
}

// NewKey returns a Key with a copy of the secret, or a *KeyError if the secret
// is too short.
func NewKey(secret []byte) (Key, error) {
	if len(secret) < minKeyBytes {
		return Key{}, &KeyError{Bytes: len(secret), MinBytes: minKeyBytes}
	}
	return Key{secret: append([]byte(nil), secret...)}, nil
}

// Format implements fmt.Formatter, so that no verb prints the secret.
func (Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, "[shared key]") }

// role is part of the authenticated data, so that a proof cannot be reflected
// to the side that computed it.
type role string

const (
	dialerRole   role = "fulmarhoist peer v1: dialing"
	acceptorRole role = "fulmarhoist peer v1: accepting"
)

// proof computes the MAC of one side over both Hello messages, and thereby over
// both challenges and identities.
func (k Key) proof(prover role, dialerHello, acceptorHello []byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	for _, data := range [][]byte{[]byte(prover), dialerHello, acceptorHello} {
		_, _ = fmt.Fprintf(mac, "%d:", len(data))
		_, _ = mac.Write(data)
	}
	return mac.Sum(nil)
}

// handshake exchanges the identities of both sides and verifies that both know
// the shared key.
type handshake struct {
	conn    net.Conn
	key     Key
	self    Identity
	purpose Purpose
	// onVerified is called on the accepting side once the peer's proof has been
	// verified, before the dialer learns that the handshake has succeeded. It may
	// be nil.
	onVerified func(Hello)
}

// dial performs the dialer's side. The dialer sends Hello, the acceptor Hello,
// the dialer Proof, the acceptor Proof. Because the acceptor sends its Proof
// last, a client without the key learns nothing from it but its Hello.
func (h *handshake) dial(ctx context.Context) (Hello, error) {
	release := h.limitDuration(ctx)
	defer release()
	sent, err := h.sendHello()
	if err != nil {
		return Hello{}, err
	}
	peer, got, err := h.readHello()
	if err != nil {
		return Hello{}, err
	}
	if err := h.sendProof(h.key.proof(dialerRole, sent, got)); err != nil {
		return Hello{}, err
	}
	return peer, h.checkProof(peer, h.key.proof(acceptorRole, sent, got))
}

// accept performs the acceptor's side.
func (h *handshake) accept(ctx context.Context) (Hello, error) {
	release := h.limitDuration(ctx)
	defer release()
	peer, got, err := h.readHello()
	if err != nil {
		return Hello{}, err
	}
	sent, err := h.sendHello()
	if err != nil {
		return Hello{}, err
	}
	if err := h.checkProof(peer, h.key.proof(dialerRole, got, sent)); err != nil {
		return Hello{}, err
	}
	if h.onVerified != nil {
		h.onVerified(peer)
	}
	return peer, h.sendProof(h.key.proof(acceptorRole, got, sent))
}

// limitDuration sets the deadline of the handshake and closes the connection
// when ctx is canceled. The returned function undoes both.
func (h *handshake) limitDuration(ctx context.Context) (release func()) {
	_ = h.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	stop := context.AfterFunc(ctx, func() { _ = h.conn.Close() })
	return func() {
		stop()
		_ = h.conn.SetDeadline(time.Time{})
	}
}

func (h *handshake) sendHello() ([]byte, error) {
	challenge := make([]byte, challengeBytes)
	_, _ = rand.Read(challenge) // never fails
	return h.send(&Hello{Identity: h.self, Challenge: challenge, Purpose: h.purpose})
}

func (h *handshake) sendProof(mac []byte) error {
	_, err := h.send(&Proof{MAC: mac})
	return err
}

func (h *handshake) send(m Message) ([]byte, error) {
	frame, err := EncodeFrame(m)
	if err != nil {
		return nil, err
	}
	if _, err := h.conn.Write(frame); err != nil {
		return nil, fmt.Errorf("sending %s: %w", m.kind(), err)
	}
	return frame[lengthPrefixBytes:], nil
}

func (h *handshake) readHello() (Hello, []byte, error) {
	m, frame, err := h.read()
	if err != nil {
		return Hello{}, nil, err
	}
	hello, ok := m.(*Hello)
	switch {
	case !ok || len(hello.Challenge) != challengeBytes || hello.Identity.ID == "" || hello.Identity.Incarnation == 0:
		return Hello{}, nil, h.refusal(RefusedMessage)
	case hello.Identity.ID == h.self.ID:
		return Hello{}, nil, h.refusal(RefusedSelf)
	}
	return *hello, frame, nil
}

func (h *handshake) checkProof(peer Hello, want []byte) error {
	m, _, err := h.read()
	if err != nil {
		return err
	}
	if proof, ok := m.(*Proof); !ok || !hmac.Equal(proof.MAC, want) {
		return &HandshakeError{Peer: peer.Identity.ID, Reason: RefusedProof}
	}
	return nil
}

func (h *handshake) read() (Message, []byte, error) {
	frame, err := ReadFrame(h.conn, maxHandshakeFrameBytes)
	if err != nil {
		return nil, nil, fmt.Errorf("reading handshake: %w", err)
	}
	m, err := DecodeFrame(frame)
	if err != nil {
		return nil, nil, fmt.Errorf("reading handshake: %w", err)
	}
	return m, frame, nil
}

func (h *handshake) refusal(reason RefusalReason) error {
	return &HandshakeError{Peer: h.conn.RemoteAddr().String(), Reason: reason}
}
