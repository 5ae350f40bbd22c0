// Package peerwire carries messages between entry instances: msgpack frames over
// TCP, a handshake by which both sides prove a shared key, and a Mesh that keeps
// one connection to each peer that the roster names.
//
// It moves messages and decides nothing about them. Messages to send are queued,
// so that a slow peer never blocks the goroutine of a request.
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
	// MaxFrame is the largest message in bytes, without the length.
	MaxFrame = 4 << 20
	// maxHelloFrame bounds what a peer may send before it has proved the key.
	maxHelloFrame = 4 << 10
	lengthBytes   = 4
	// firstChunk is the most that is allocated on the word of a length alone.
	firstChunk = 64 << 10
)

// EncodeFrame returns the frame of a message with its length.
func EncodeFrame(m Message) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, lengthBytes))
	w := writer{enc: msgpack.GetEncoder()}
	defer msgpack.PutEncoder(w.enc)
	w.enc.Reset(&buf)
	w.list(2)
	w.uint(uint64(m.kind()))
	m.encode(&w)
	if w.err != nil {
		return nil, fmt.Errorf("encoding %s: %w", m.kind(), w.err)
	}
	size := buf.Len() - lengthBytes
	if size > MaxFrame {
		return nil, &FrameSizeError{Bytes: size, Limit: MaxFrame}
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// frameKind returns the kind of an encoded frame, which stands behind the length
// and the one byte of the pair.
func frameKind(frame []byte) Kind { return Kind(frame[lengthBytes+1]) }

// ReadFrame reads one frame and returns it without the length. An error of the
// reader is returned as it is: io.EOF means an end between two frames.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if uint64(size) > uint64(limit) {
		return nil, &FrameSizeError{Bytes: int(size), Limit: limit}
	}
	var buf bytes.Buffer
	buf.Grow(min(int(size), firstChunk))
	if _, err := io.CopyN(&buf, r, int64(size)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return buf.Bytes(), nil
}

// DecodeFrame reads the message of a frame without its length.
func DecodeFrame(frame []byte) (Message, error) {
	source := bytes.NewReader(frame)
	r := reader{dec: msgpack.GetDecoder()}
	defer msgpack.PutDecoder(r.dec)
	r.dec.Reset(source)
	if n := r.list(2); r.err == nil && n != 2 {
		return nil, &FormatError{Problem: "is not a pair of kind and message"}
	}
	kind := Kind(r.small())
	if r.err != nil {
		return nil, &FormatError{Problem: "has no kind", Err: r.err}
	}
	m := newMessage(kind)
	if m == nil {
		return nil, &UnknownKindError{Kind: kind}
	}
	m.decode(&r)
	if r.err != nil {
		return nil, &FormatError{Kind: kind, Problem: "is malformed", Err: r.err}
	}
	if source.Len() > 0 {
		return nil, &FormatError{Kind: kind, Problem: fmt.Sprintf("is followed by %d bytes", source.Len())}
	}
	return m, nil
}

// writer encodes fields and keeps the first error.
type writer struct {
	enc *msgpack.Encoder
	err error
}

func (w *writer) do(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) list(n int)     { w.do(w.enc.EncodeArrayLen(n)) }
func (w *writer) uint(v uint64)  { w.do(w.enc.EncodeUint(v)) }
func (w *writer) text(v string)  { w.do(w.enc.EncodeString(v)) }
func (w *writer) bytes(v []byte) { w.do(w.enc.EncodeBytes(v)) }
func (w *writer) yes(v bool)     { w.do(w.enc.EncodeBool(v)) }

func (w *writer) header(h Header) {
	w.list(len(h))
	for _, field := range h {
		w.list(2)
		w.text(field.Name)
		w.text(field.Value)
	}
}

// reader decodes fields and keeps the first error. After it, every field is
// zero and every list empty.
type reader struct {
	dec *msgpack.Decoder
	err error
}

func read[T any](r *reader, next func() (T, error)) T {
	var value T
	if r.err == nil {
		value, r.err = next()
	}
	return value
}

func (r *reader) uint() uint64  { return read(r, r.dec.DecodeUint64) }
func (r *reader) text() string  { return read(r, r.dec.DecodeString) }
func (r *reader) bytes() []byte { return read(r, r.dec.DecodeBytes) }
func (r *reader) yes() bool     { return read(r, r.dec.DecodeBool) }

// list reads the length of a list and refuses one above the limit. Callers
// append the elements one by one, so that a false length allocates nothing.
func (r *reader) list(limit int) int {
	n := read(r, r.dec.DecodeArrayLen)
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
	n := r.list(maxHeaderFields)
	var h Header
	for range n {
		if r.list(2) != 2 {
			r.fail("has a header field that is not a pair")
			return nil
		}
		h = append(h, Field{Name: r.text(), Value: r.text()})
	}
	return h
}

func (r *reader) fail(problem string) {
	if r.err == nil {
		r.err = &FormatError{Problem: problem}
	}
}
