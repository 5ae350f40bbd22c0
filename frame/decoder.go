package frame

import (
	"bytes"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Decoder decodes a message of a peer that may be a stranger. The general decoder of
// the library reserves memory for as many bytes and elements as a message claims to
// have, and recurses into unknown fields; either could end the process. After an
// error, every field is decoded as its zero value.
type Decoder struct {
	msgpack *msgpack.Decoder
	rest    *bytes.Reader // what has not been decoded yet
	err     error
}

// MessageError reports a malformed message.
type MessageError struct {
	Problem string
	Err     error
}

func (e *MessageError) Error() string {
	if e.Err == nil {
		return "frame: message " + e.Problem
	}
	return fmt.Sprintf("frame: message %s: %v", e.Problem, e.Err)
}

func (e *MessageError) Unwrap() error { return e.Err }

// Decode decodes a whole message.
func Decode(data []byte, decode func(*Decoder)) error {
	rest := bytes.NewReader(data)
	d := &Decoder{msgpack: msgpack.NewDecoder(rest), rest: rest}
	decode(d)
	return d.err
}

func (d *Decoder) fail(problem string, err error) {
	if d.err == nil {
		d.err = &MessageError{Problem: problem, Err: err}
	}
}

// decodeValue decodes a value of fixed size.
func decodeValue[T any](d *Decoder, next func() (T, error)) (value T) {
	if d.err != nil {
		return value
	}
	value, err := next()
	if err != nil {
		d.fail("has a field of the wrong type", err)
	}
	return value
}

// Bool decodes a boolean.
func (d *Decoder) Bool() bool { return decodeValue(d, d.msgpack.DecodeBool) }

// Uint64 decodes an unsigned integer.
func (d *Decoder) Uint64() uint64 { return decodeValue(d, d.msgpack.DecodeUint64) }

// Int64 decodes a signed integer.
func (d *Decoder) Int64() int64 { return decodeValue(d, d.msgpack.DecodeInt64) }

// Text decodes a string.
func (d *Decoder) Text() string { return string(d.Bytes()) }

// Bytes decodes bytes or a string; nil is empty.
func (d *Decoder) Bytes() []byte {
	length := decodeValue(d, d.msgpack.DecodeBytesLen)
	if d.err != nil || length <= 0 {
		return nil
	}
	if length > d.rest.Len() {
		d.fail(fmt.Sprintf("claims %d bytes where %d are left", length, d.rest.Len()), nil)
		return nil
	}
	value := make([]byte, length)
	if _, err := io.ReadFull(d.rest, value); err != nil {
		d.fail("is truncated", err)
	}
	return value
}

// List calls the function for each element of a list of at most the given length.
func (d *Decoder) List(limit int, element func()) {
	length := decodeValue(d, d.msgpack.DecodeArrayLen)
	if length > limit {
		d.fail(fmt.Sprintf("has a list of %d elements, expected at most %d", length, limit), nil)
	}
	for i := 0; i < length && d.err == nil; i++ {
		element()
	}
}

// Fields calls the function for each field of a map. The function returns false
// if it does not know the field, which is then skipped if it is no list or map.
func (d *Decoder) Fields(field func(name string) bool) {
	length := decodeValue(d, d.msgpack.DecodeMapLen)
	for i := 0; i < length && d.err == nil; i++ {
		if !field(d.Text()) {
			d.skip()
		}
	}
}

// skip skips a value of an unknown field of a later version.
func (d *Decoder) skip() {
	code := decodeValue(d, d.msgpack.PeekCode)
	switch {
	case d.err != nil:
	case msgpcode.IsString(code) || msgpcode.IsBin(code):
		d.Bytes()
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32,
		msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32, msgpcode.IsExt(code):
		d.fail("has a list or map in an unknown field", nil)
	default:
		if err := d.msgpack.Skip(); err != nil {
			d.fail("has an unreadable field", err)
		}
	}
}
