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
	// handshakeTimeout bounds the whole exchange; four one-way trips between
	// availability zones take 6 ms.
	handshakeTimeout = 2 * time.Second
	challengeBytes   = 32
	// leastKeyBytes is half the size of the hash, below which a key is easier to
	// guess than a MAC.
	leastKeyBytes = 16
)

// Key is the key that all instances share. It prints as a placeholder.
type Key struct {
	secret []byte
}

// NewKey returns a key, or a *KeyError if the secret is too short.
func NewKey(secret []byte) (Key, error) {
	if len(secret) < leastKeyBytes {
		return Key{}, &KeyError{Bytes: len(secret), Least: leastKeyBytes}
	}
	return Key{secret: append([]byte(nil), secret...)}, nil
}

// Format implements fmt.Formatter, so that no verb prints the secret.
func (Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, "[shared key]") }

// side is part of what is proved, so that a proof cannot be sent back to the
// side that made it.
type side string

const (
	dialingSide   side = "fulmarhoist peer v1: dialing"
	acceptingSide side = "fulmarhoist peer v1: accepting"
)

// prove computes the proof of one side over both hellos, and with them over both
// challenges and identities.
func (k Key) prove(s side, dialing, accepting []byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	for _, part := range [][]byte{[]byte(s), dialing, accepting} {
		_, _ = fmt.Fprintf(mac, "%d:", len(part))
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

// handshake introduces both sides and checks that both have the key.
type handshake struct {
	conn    net.Conn
	key     Key
	self    Identity
	purpose Purpose
	// proved is called on the accepting side before the dialing side learns that
	// the handshake has succeeded. It may be nil.
	proved func(Hello)
}

// dial runs the dialing side: hello, hello, proof, proof. The accepting side
// proves last, so a stranger that connects learns nothing from it but its hello.
func (h *handshake) dial(ctx context.Context) (Hello, error) {
	release := h.bound(ctx)
	defer release()
	sent, err := h.sendHello()
	if err != nil {
		return Hello{}, err
	}
	peer, got, err := h.readHello()
	if err != nil {
		return Hello{}, err
	}
	if err := h.sendProof(h.key.prove(dialingSide, sent, got)); err != nil {
		return Hello{}, err
	}
	return peer, h.checkProof(peer, h.key.prove(acceptingSide, sent, got))
}

// accept runs the accepting side.
func (h *handshake) accept(ctx context.Context) (Hello, error) {
	release := h.bound(ctx)
	defer release()
	peer, got, err := h.readHello()
	if err != nil {
		return Hello{}, err
	}
	sent, err := h.sendHello()
	if err != nil {
		return Hello{}, err
	}
	if err := h.checkProof(peer, h.key.prove(dialingSide, got, sent)); err != nil {
		return Hello{}, err
	}
	if h.proved != nil {
		h.proved(peer)
	}
	return peer, h.sendProof(h.key.prove(acceptingSide, got, sent))
}

// bound sets the deadline of the exchange and ends it early with the context.
func (h *handshake) bound(ctx context.Context) (release func()) {
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
	return frame[lengthBytes:], nil
}

func (h *handshake) readHello() (Hello, []byte, error) {
	m, frame, err := h.read()
	if err != nil {
		return Hello{}, nil, err
	}
	hello, ok := m.(*Hello)
	switch {
	case !ok || len(hello.Challenge) != challengeBytes || hello.Identity.ID == "" || hello.Identity.Incarnation == 0:
		return Hello{}, nil, h.refuse(RefusedMessage)
	case hello.Identity.ID == h.self.ID:
		return Hello{}, nil, h.refuse(RefusedSelf)
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
	frame, err := ReadFrame(h.conn, maxHelloFrame)
	if err != nil {
		return nil, nil, fmt.Errorf("reading handshake: %w", err)
	}
	m, err := DecodeFrame(frame)
	if err != nil {
		return nil, nil, fmt.Errorf("reading handshake: %w", err)
	}
	return m, frame, nil
}

func (h *handshake) refuse(reason RefusalReason) error {
	return &HandshakeError{Peer: h.conn.RemoteAddr().String(), Reason: reason}
}
