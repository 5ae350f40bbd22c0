// Package peerwire implements the protocol between entry instances: msgpack
// frames over TCP, a handshake in which both sides prove knowledge of a shared
// key, and a Mesh that maintains one connection to each peer.
//
// The package only transports messages; it makes no decisions based on their
// content. Outgoing messages are queued, so that a slow peer never blocks the
// goroutine of a request.
package peerwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes is the maximum size of a message, without the length prefix.
	MaxFrameBytes = 4 << 20
	// maxHandshakeFrameBytes limits each frame of a peer that has not yet proved
	// knowledge of the shared key.
	maxHandshakeFrameBytes = 4 << 10
	lengthPrefixBytes      = 4
	// initialBufferBytes limits what is allocated on the strength of a length
	// prefix alone, before any of the message has arrived.
	initialBufferBytes = 64 << 10
)

// EncodeFrame returns the frame of a message, including the length prefix.
func EncodeFrame(m Message) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, lengthPrefixBytes))
	w := writer{enc: msgpack.GetEncoder()}
	defer msgpack.PutEncoder(w.enc)
	w.enc.Reset(&buf)
	w.arrayLen(2)
	w.uint(uint64(m.kind()))
	m.encode(&w)
	if w.err != nil {
		return nil, fmt.Errorf("encoding %s: %w", m.kind(), w.err)
	}
	size := buf.Len() - lengthPrefixBytes
	if size > MaxFrameBytes {
		return nil, &FrameSizeError{Bytes: size, Limit: MaxFrameBytes}
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// frameKind returns the message kind of an encoded frame. It follows the length
// prefix and the one-byte header of the array of kind and message.
func frameKind(frame []byte) Kind { return Kind(frame[lengthPrefixBytes+1]) }

// ReadFrame reads one frame of at most limit bytes and returns it without the
// length prefix. Errors of r are returned unwrapped: io.EOF means that r ended
// between two frames, io.ErrUnexpectedEOF that it ended inside one.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(limit) {
		return nil, &FrameSizeError{Bytes: int(size), Limit: limit}
	}
	var buf bytes.Buffer
	buf.Grow(min(int(size), initialBufferBytes))
	if _, err := io.CopyN(&buf, r, int64(size)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return buf.Bytes(), nil
}

// DecodeFrame decodes a message from a frame without the length prefix.
func DecodeFrame(frame []byte) (Message, error) {
	rest := bytes.NewReader(frame)
	r := reader{dec: msgpack.GetDecoder(), rest: rest}
	defer msgpack.PutDecoder(r.dec)
	r.dec.Reset(rest)
	if n := r.arrayLen(2); r.err == nil && n != 2 {
		return nil, &FormatError{Problem: fmt.Sprintf("is an array of %d elements, want 2: kind and message", n)}
	}
	kind := Kind(r.uint8())
	if r.err != nil {
		return nil, &FormatError{Problem: "has no valid kind", Err: r.err}
	}
	m := newMessage(kind)
	if m == nil {
		return nil, &UnknownKindError{Kind: kind}
	}
	m.decode(&r)
	if r.err != nil {
		return nil, &FormatError{Kind: kind, Problem: "is malformed", Err: r.err}
	}
	if rest.Len() > 0 {
		return nil, &FormatError{Kind: kind, Problem: fmt.Sprintf("is followed by %d unexpected bytes", rest.Len())}
	}
	return m, nil
}

// writer encodes fields and remembers the first error.
type writer struct {
	enc *msgpack.Encoder
	err error
}

func (w *writer) setError(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) arrayLen(n int)  { w.setError(w.enc.EncodeArrayLen(n)) }
func (w *writer) uint(v uint64)   { w.setError(w.enc.EncodeUint(v)) }
func (w *writer) string(v string) { w.setError(w.enc.EncodeString(v)) }
func (w *writer) bytes(v []byte)  { w.setError(w.enc.EncodeBytes(v)) }
func (w *writer) bool(v bool)     { w.setError(w.enc.EncodeBool(v)) }

func (w *writer) header(h Header) {
	w.arrayLen(len(h))
	for _, field := range h {
		w.arrayLen(2)
		w.string(field.Name)
		w.string(field.Value)
	}
}

// reader decodes fields and remembers the first error. After an error, every
// field is decoded as its zero value and every list as empty.
type reader struct {
	dec  *msgpack.Decoder
	rest *bytes.Reader // what has not been decoded yet
	err  error
}

func decodeField[T any](r *reader, next func() (T, error)) T {
	var value T
	if r.err == nil {
		value, r.err = next()
	}
	return value
}

func (r *reader) uint() uint64   { return decodeField(r, r.dec.DecodeUint64) }
func (r *reader) string() string { return string(r.bytes()) }
func (r *reader) bool() bool     { return decodeField(r, r.dec.DecodeBool) }

// bytes decodes bytes or a string. A forged length allocates nothing: the library's
// decoder would reserve up to 4 GiB, also for a peer that has not proved the key yet.
func (r *reader) bytes() []byte {
	length := decodeField(r, r.dec.DecodeBytesLen)
	if r.err != nil || length < 0 {
		return nil
	}
	if length > r.rest.Len() {
		r.err = &ListSizeError{Elements: length, Limit: r.rest.Len()}
		return nil
	}
	value := make([]byte, length)
	if _, err := io.ReadFull(r.rest, value); err != nil {
		r.err = err
	}
	return value
}

// arrayLen decodes the length of an array and rejects one above limit. Callers
// append the elements one by one, so that a forged length allocates nothing.
func (r *reader) arrayLen(limit int) int {
	n := decodeField(r, r.dec.DecodeArrayLen)
	if r.err != nil {
		return 0
	}
	if n < 0 || n > limit {
		r.err = &ListSizeError{Elements: n, Limit: limit}
		return 0
	}
	return n
}

func (r *reader) header() Header {
	n := r.arrayLen(maxHeaderFields)
	var h Header
	for range n {
		if r.arrayLen(2) != 2 {
			r.fail("has a header field that is not a pair of name and value")
			return nil
		}
		h = append(h, Field{Name: r.string(), Value: r.string()})
	}
	return h
}

func (r *reader) fail(problem string) {
	if r.err == nil {
		r.err = &FormatError{Problem: problem}
	}
}
