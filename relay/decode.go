package relay

import (
	"bytes"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"fulmarhoist.example/fleet"
)

// decoder decodes a message of a peer that may be a stranger. The general decoder of
// the library reserves memory for as many bytes and elements as a message claims to
// have, and recurses into unknown fields; either could end the process. After an
// error, every field is decoded as its zero value.
type decoder struct {
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
		return "relay: message " + e.Problem
	}
	return fmt.Sprintf("relay: message %s: %v", e.Problem, e.Err)
}

func (e *MessageError) Unwrap() error { return e.Err }

// decodeMessage decodes a whole message.
func decodeMessage(data []byte, decode func(*decoder)) error {
	rest := bytes.NewReader(data)
	d := &decoder{msgpack: msgpack.NewDecoder(rest), rest: rest}
	decode(d)
	return d.err
}

func (d *decoder) fail(problem string, err error) {
	if d.err == nil {
		d.err = &MessageError{Problem: problem, Err: err}
	}
}

// decodeValue decodes a value of fixed size.
func decodeValue[T any](d *decoder, next func() (T, error)) (value T) {
	if d.err != nil {
		return value
	}
	value, err := next()
	if err != nil {
		d.fail("has a field of the wrong type", err)
	}
	return value
}

func (d *decoder) bool() bool     { return decodeValue(d, d.msgpack.DecodeBool) }
func (d *decoder) uint64() uint64 { return decodeValue(d, d.msgpack.DecodeUint64) }
func (d *decoder) int64() int64   { return decodeValue(d, d.msgpack.DecodeInt64) }
func (d *decoder) string() string { return string(d.bytes()) }

// bytes decodes bytes or a string; nil is empty.
func (d *decoder) bytes() []byte {
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

// list calls the function for each element of a list of at most the given length.
func (d *decoder) list(limit int, element func()) {
	length := decodeValue(d, d.msgpack.DecodeArrayLen)
	if length > limit {
		d.fail(fmt.Sprintf("has a list of %d elements, expected at most %d", length, limit), nil)
	}
	for i := 0; i < length && d.err == nil; i++ {
		element()
	}
}

// fields calls the function for each field of a map. The function returns false
// if it does not know the field, which is then skipped if it is no list or map.
func (d *decoder) fields(field func(name string) bool) {
	length := decodeValue(d, d.msgpack.DecodeMapLen)
	for i := 0; i < length && d.err == nil; i++ {
		if !field(d.string()) {
			d.skip()
		}
	}
}

// skip skips a value of an unknown field of a later version.
func (d *decoder) skip() {
	code := decodeValue(d, d.msgpack.PeekCode)
	switch {
	case d.err != nil:
	case msgpcode.IsString(code) || msgpcode.IsBin(code):
		d.bytes()
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32,
		msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32, msgpcode.IsExt(code):
		d.fail("has a list or map in an unknown field", nil)
	default:
		if err := d.msgpack.Skip(); err != nil {
			d.fail("has an unreadable field", err)
		}
	}
}

// decode decodes a request.
func (r *request) decode(d *decoder) {
	d.fields(func(name string) bool {
		switch name {
		case "topic":
			r.Topic = d.string()
		case "from":
			r.From = d.uint64()
		case "wait_ms":
			r.WaitMs = d.int64()
		case "deflate":
			r.Deflate = d.bool()
		case "wait_stale":
			r.WaitStale = d.bool()
		default:
			return false
		}
		return true
	})
}

// decode decodes a response.
func (r *response) decode(d *decoder) {
	d.fields(func(name string) bool {
		switch name {
		case "current":
			r.Current = d.bool()
		case "next":
			r.Next = d.uint64()
		case "records":
			d.list(maxBufferedRecords, func() {
				var record wireRecord
				record.decode(d)
				r.Records = append(r.Records, record)
			})
		case "elsewhere":
			r.ReadStore = d.bool()
		default:
			return false
		}
		return true
	})
}

// decode decodes a record.
func (r *wireRecord) decode(d *decoder) {
	d.fields(func(name string) bool {
		switch name {
		case "Key":
			r.Key = d.string()
		case "Value":
			r.Value = d.bytes()
		case "Deleted":
			r.Deleted = d.bool()
		case "Deflated":
			r.Deflated = d.bool()
		default:
			return false
		}
		return true
	})
}

// maxMembers is the maximum number of members in a list.
const maxMembers = 10_000

// decodeMembers decodes a list of members.
func decodeMembers(data []byte) (members []fleet.Member, err error) {
	err = decodeMessage(data, func(d *decoder) {
		d.list(maxMembers, func() {
			var m fleet.Member
			d.fields(func(name string) bool {
				switch name {
				case "Name":
					m.Name = d.string()
				case "Zone":
					m.Zone = d.string()
				case "Address":
					m.Address = d.string()
				case "Relay":
					m.Relay = d.string()
				default:
					return false
				}
				return true
			})
			members = append(members, m)
		})
	})
	return members, err
}
