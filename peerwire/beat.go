package peerwire

import (
	"encoding/binary"
	"time"

	"fulmarhoist.example/instance"
	"fulmarhoist.example/target"
)

const (
	// maxBeatDeltas bounds the news in one frame: instance.MaxDeltas, a refresh
	// and a page of a transfer, with room for a later version.
	maxBeatDeltas = 256
	maxBeatLoads  = 1024
	// logAgeUnit keeps ages up to 12.7 s in one byte.
	logAgeUnit = 100 * time.Millisecond
	maxLogAge  = 1<<32 - 1

	flagLeaving = 1 << 0
	flagExpect  = 1 << 1
	// A load is its index and a word of in-flight count and state: two bytes for
	// an index below 128 and a count below 16.
	loadStateBits = 3
	loadStateMask = 1<<loadStateBits - 1
)

// Beat is a heartbeat. The parts of From that Hello has told already do not
// travel; the receiving connection fills them in. Empty lists at the end are
// left out.
type Beat struct {
	instance.Heartbeat
}

func (m *Beat) encode(w *writer) {
	fields := 6
	switch {
	case len(m.Deltas) > 0:
		fields = 8
	case len(m.Loads) > 0:
		fields = 7
	}
	w.list(fields)
	var flags uint64
	if m.From.Leaving {
		flags |= flagLeaving
	}
	if m.Expect == instance.ExpectMore {
		flags |= flagExpect
	}
	w.uint(flags)
	w.uint(m.From.Sequence)
	w.uint(m.From.Epoch)
	w.uint(m.From.ConfigVersion)
	w.uint(min(uint64(max(0, m.LogAge)/logAgeUnit), maxLogAge))
	w.uint(uint64(m.ProbesSent))
	if fields >= 7 {
		w.bytes(packLoads(m.Loads))
	}
	if fields == 8 {
		w.list(len(m.Deltas))
		for i := range m.Deltas {
			encodeInstance(w, &m.Deltas[i])
		}
	}
}

func (m *Beat) decode(r *reader) {
	fields := r.list(8)
	if fields < 6 {
		r.fail("has too few fields")
		return
	}
	flags := r.uint()
	m.From.Leaving = flags&flagLeaving != 0
	if flags&flagExpect != 0 {
		m.Expect = instance.ExpectMore
	}
	m.From.State = instance.StateLive
	m.From.Sequence = r.uint()
	m.From.Epoch = r.uint()
	m.From.ConfigVersion = r.uint()
	m.LogAge = time.Duration(r.uint32()) * logAgeUnit
	m.ProbesSent = r.uint32()
	if fields >= 7 {
		m.Loads = unpackLoads(r, r.bytes())
	}
	if fields == 8 {
		n := r.list(maxBeatDeltas)
		for range n {
			m.Deltas = append(m.Deltas, decodeInstance(r))
		}
	}
}

func encodeInstance(w *writer, i *instance.Instance) {
	addressed := i.PeerAddress != ""
	if addressed {
		w.list(9)
	} else {
		w.list(6)
	}
	flags := uint64(i.State) << 1
	if i.Leaving {
		flags |= flagLeaving
	}
	w.text(i.ID)
	w.uint(i.Incarnation)
	w.uint(i.Sequence)
	w.uint(i.Epoch)
	w.uint(i.ConfigVersion)
	w.uint(flags)
	if addressed {
		w.text(i.Zone)
		w.text(i.CallerAddress)
		w.text(i.PeerAddress)
	}
}

func decodeInstance(r *reader) instance.Instance {
	var i instance.Instance
	fields := r.list(9)
	if fields != 6 && fields != 9 {
		r.fail("has an instance with missing fields")
		return i
	}
	i.ID = r.text()
	i.Incarnation = r.uint()
	i.Sequence = r.uint()
	i.Epoch = r.uint()
	i.ConfigVersion = r.uint()
	flags := r.small()
	i.Leaving, i.State = flags&flagLeaving != 0, instance.State(flags>>1)
	if fields == 9 {
		i.Zone = r.text()
		i.CallerAddress = r.text()
		i.PeerAddress = r.text()
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
		if n <= 0 || index > 1<<32-1 || len(loads) >= maxBeatLoads {
			r.fail("has a malformed load")
			return nil
		}
		word, m := binary.Uvarint(packed[n:])
		if m <= 0 || word>>loadStateBits > 1<<16-1 {
			r.fail("has a malformed load")
			return nil
		}
		loads = append(loads, instance.Load{
			Target: uint32(index), InFlight: uint16(word >> loadStateBits), State: target.State(word & loadStateMask),
		})
		packed = packed[n+m:]
	}
	return loads
}

// small and uint32 refuse numbers that do not fit.
func (r *reader) small() uint8 {
	v := r.uint()
	if v > 1<<8-1 {
		r.fail("has a number above 255")
		return 0
	}
	return uint8(v)
}

func (r *reader) uint32() uint32 {
	v := r.uint()
	if v > 1<<32-1 {
		r.fail("has a number above 32 bits")
		return 0
	}
	return uint32(v)
}
