package relay

import (
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/frame"
)

// decode decodes a request.
func (r *request) decode(d *frame.Decoder) {
	d.Fields(func(name string) bool {
		switch name {
		case "topic":
			r.Topic = d.Text()
		case "from":
			r.From = d.Uint64()
		case "wait_ms":
			r.WaitMs = d.Int64()
		case "deflate":
			r.Deflate = d.Bool()
		case "wait_stale":
			r.WaitStale = d.Bool()
		default:
			return false
		}
		return true
	})
}

// decode decodes a response.
func (r *response) decode(d *frame.Decoder) {
	d.Fields(func(name string) bool {
		switch name {
		case "current":
			r.Current = d.Bool()
		case "next":
			r.Next = d.Uint64()
		case "records":
			d.List(maxBufferedRecords, func() {
				var record wireRecord
				record.decode(d)
				r.Records = append(r.Records, record)
			})
		case "elsewhere":
			r.ReadStore = d.Bool()
		default:
			return false
		}
		return true
	})
}

// decode decodes a record.
func (r *wireRecord) decode(d *frame.Decoder) {
	d.Fields(func(name string) bool {
		switch name {
		case "Key":
			r.Key = d.Text()
		case "Value":
			r.Value = d.Bytes()
		case "Deleted":
			r.Deleted = d.Bool()
		case "Deflated":
			r.Deflated = d.Bool()
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
	err = frame.Decode(data, func(d *frame.Decoder) {
		d.List(maxMembers, func() {
			var m fleet.Member
			d.Fields(func(name string) bool {
				switch name {
				case "Name":
					m.Name = d.Text()
				case "Zone":
					m.Zone = d.Text()
				case "Address":
					m.Address = d.Text()
				case "Relay":
					m.Relay = d.Text()
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
