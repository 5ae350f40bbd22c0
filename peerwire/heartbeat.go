package peerwire

import (
	"encoding/binary"
	"fmt"
	"time"

	"fulmarhoist.example/instance"
	"fulmarhoist.example/target"
)

const (
	// maxHeartbeatDeltas limits the instances described in one heartbeat:
	// instance.MaxDeltas, a refresh and a page of a transfer, with room for later
	// versions.
	maxHeartbeatDeltas = 256
	maxHeartbeatLoads  = 1024
	// logAgeResolution is the unit of an encoded log age. Ages up to 12.7 s take
	// one byte.
	logAgeResolution = 100 * time.Millisecond
	maxLogAgeUnits   = 1<<32 - 1

	flagLeaving    = 1 << 0
	flagExpectMore = 1 << 1
	// A load is encoded as two varints: the target's index, then the in-flight
	// count and the state together. It takes two bytes for an index below 128 and
	// a count below 16.
	loadStateBits = 3
	loadStateMask = 1<<loadStateBits - 1
)

// Heartbeat carries an instance.Heartbeat. The fields of From that Hello has
// already transmitted are not encoded; the receiving Mesh fills them in. Empty
// lists at the end are omitted.
type Heartbeat struct {
	instance.Heartbeat
}

func (m *Heartbeat) encode(w *writer) {
	fields := 6
	switch {
	case len(m.Deltas) > 0:
		fields = 8
	case len(m.Loads) > 0:
		fields = 7
	}
	w.arrayLen(fields)
	var flags uint64
	if m.From.Leaving {
		flags |= flagLeaving
	}
	if m.Expect == instance.ExpectMore {
		flags |= flagExpectMore
	}
	w.uint(flags)
	w.uint(m.From.Sequence)
	w.uint(m.From.Epoch)
	w.uint(m.From.ConfigVersion)
	w.uint(min(uint64(max(0, m.LogAge)/logAgeResolution), maxLogAgeUnits))
	w.uint(uint64(m.ProbesSent))
	if fields >= 7 {
		w.bytes(packLoads(m.Loads))
	}
	if fields == 8 {
		w.arrayLen(len(m.Deltas))
		for i := range m.Deltas {
			encodeInstance(w, &m.Deltas[i])
		}
	}
}

func (m *Heartbeat) decode(r *reader) {
	fields := r.arrayLen(8)
	if fields < 6 {
		r.fail(fmt.Sprintf("has %d fields, want 6 to 8", fields))
		return
	}
	flags := r.uint()
	m.From.Leaving = flags&flagLeaving != 0
	if flags&flagExpectMore != 0 {
		m.Expect = instance.ExpectMore
	}
	m.From.State = instance.StateLive
	m.From.Sequence = r.uint()
	m.From.Epoch = r.uint()
	m.From.ConfigVersion = r.uint()
	m.LogAge = time.Duration(r.uint32()) * logAgeResolution
	m.ProbesSent = r.uint32()
	if fields >= 7 {
		m.Loads = unpackLoads(r, r.bytes())
	}
	if fields == 8 {
		n := r.arrayLen(maxHeartbeatDeltas)
		for range n {
			m.Deltas = append(m.Deltas, decodeInstance(r))
		}
	}
}

func encodeInstance(w *writer, i *instance.Instance) {
	withAddresses := i.PeerAddress != ""
	if withAddresses {
		w.arrayLen(9)
	} else {
		w.arrayLen(6)
	}
	flags := uint64(i.State) << 1
	if i.Leaving {
		flags |= flagLeaving
	}
	w.string(i.ID)
	w.uint(i.Incarnation)
	w.uint(i.Sequence)
	w.uint(i.Epoch)
	w.uint(i.ConfigVersion)
	w.uint(flags)
	if withAddresses {
		w.string(i.Zone)
		w.string(i.CallerAddress)
		w.string(i.PeerAddress)
	}
}

func decodeInstance(r *reader) instance.Instance {
	var i instance.Instance
	fields := r.arrayLen(9)
	if fields != 6 && fields != 9 {
		r.fail(fmt.Sprintf("has an instance with %d fields, want 6 or 9", fields))
		return i
	}
	i.ID = r.string()
	i.Incarnation = r.uint()
	i.Sequence = r.uint()
	i.Epoch = r.uint()
	i.ConfigVersion = r.uint()
	flags := r.uint8()
	i.Leaving, i.State = flags&flagLeaving != 0, instance.State(flags>>1)
	if fields == 9 {
		i.Zone = r.string()
		i.CallerAddress = r.string()
		i.PeerAddress = r.string()
	}
	return i
}

func packLoads(loads []instance.Load) []byte {
	packed := make([]byte, 0, 2*len(loads))
	for _, load := range loads {
		packed = binary.AppendUvarint(packed, uint64(load.Target))
		packed = binary.AppendUvarint(packed, uint64(load.InFlight)<<loadStateBits|uint64(load.State)&loadStateMask)
	}
	return packed
}

func unpackLoads(r *reader, packed []byte) []instance.Load {
	var loads []instance.Load
	for len(packed) > 0 && r.err == nil {
		index, n := binary.Uvarint(packed)
		if n <= 0 || index > 1<<32-1 || len(loads) >= maxHeartbeatLoads {
			r.fail("has a malformed load")
			return nil
		}
		countAndState, m := binary.Uvarint(packed[n:])
		if m <= 0 || countAndState>>loadStateBits > 1<<16-1 {
			r.fail("has a malformed load")
			return nil
		}
		loads = append(loads, instance.Load{
			Target: uint32(index), InFlight: uint16(countAndState >> loadStateBits), State: target.State(countAndState & loadStateMask),
		})
		packed = packed[n+m:]
	}
	return loads
}

// uint8 decodes a number and rejects one that does not fit into 8 bits.
func (r *reader) uint8() uint8 {
	v := r.uint()
	if v > 1<<8-1 {
		r.fail(fmt.Sprintf("has the number %d, want at most 8 bits", v))
		return 0
	}
	return uint8(v)
}

// uint32 decodes a number and rejects one that does not fit into 32 bits.
func (r *reader) uint32() uint32 {
	v := r.uint()
	if v > 1<<32-1 {
		r.fail(fmt.Sprintf("has the number %d, want at most 32 bits", v))
		return 0
	}
	return uint32(v)
}
