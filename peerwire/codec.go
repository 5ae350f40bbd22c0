package peerwire

import (
	"fmt"
	"time"

	"fulmarhoist.example/contract"
)

func (*Hello) kind() Kind            { return KindHello }
func (*Proof) kind() Kind            { return KindProof }
func (*Heartbeat) kind() Kind        { return KindHeartbeat }
func (*Pong) kind() Kind             { return KindPong }
func (*Bye) kind() Kind              { return KindBye }
func (*ConfigState) kind() Kind      { return KindConfigState }
func (*Forward) kind() Kind          { return KindForward }
func (*ForwardReply) kind() Kind     { return KindForwardReply }
func (*Busy) kind() Kind             { return KindBusy }
func (*ColdLeaseRequest) kind() Kind { return KindColdLeaseRequest }
func (*ColdLeaseReply) kind() Kind   { return KindColdLeaseReply }
func (*ColdLeaseRelease) kind() Kind { return KindColdLeaseRelease }
func (*CrashReport) kind() Kind      { return KindCrashReport }

func (m *Forward) setID(id uint64)          { m.ID = id }
func (m *ColdLeaseRequest) setID(id uint64) { m.ID = id }
func (m *ForwardReply) requestID() uint64   { return m.ID }
func (m *Busy) requestID() uint64           { return m.ID }
func (m *ColdLeaseReply) requestID() uint64 { return m.ID }
func (*Pong) encode(w *writer)              { w.arrayLen(0) }
func (*Pong) decode(r *reader)              { r.expectFields(0) }
func (*Bye) encode(w *writer)               { w.arrayLen(0) }
func (*Bye) decode(r *reader)               { r.expectFields(0) }
func (m *Busy) encode(w *writer)            { w.arrayLen(1); w.uint(m.ID) }
func (m *Busy) decode(r *reader)            { r.expectFields(1); m.ID = r.uint() }
func (m *Proof) encode(w *writer)           { w.arrayLen(1); w.bytes(m.MAC) }
func (m *Proof) decode(r *reader)           { r.expectFields(1); m.MAC = r.bytes() }
func (m *ConfigState) encode(w *writer)     { w.arrayLen(2); w.uint(m.Version); w.bytes(m.State) }
func (m *ConfigState) decode(r *reader)     { r.expectFields(2); m.Version, m.State = r.uint(), r.bytes() }

// expectFields decodes the array header of a message that has exactly n fields.
func (r *reader) expectFields(n int) {
	if got := r.arrayLen(n); r.err == nil && got != n {
		r.fail(fmt.Sprintf("has %d fields, want %d", got, n))
	}
}

func (i *Identity) encode(w *writer) {
	w.string(i.ID)
	w.uint(i.Incarnation)
	w.string(i.Zone)
	w.string(i.CallerAddress)
	w.string(i.PeerAddress)
}

func (i *Identity) decode(r *reader) {
	i.ID = r.string()
	i.Incarnation = r.uint()
	i.Zone = r.string()
	i.CallerAddress = r.string()
	i.PeerAddress = r.string()
}

func (m *Hello) encode(w *writer) {
	w.arrayLen(7)
	m.Identity.encode(w)
	w.bytes(m.Challenge)
	w.uint(uint64(m.Purpose))
}

func (m *Hello) decode(r *reader) {
	r.expectFields(7)
	m.Identity.decode(r)
	m.Challenge = r.bytes()
	m.Purpose = Purpose(r.uint8())
}

func (m *Forward) encode(w *writer) {
	w.arrayLen(5)
	w.uint(m.ID)
	w.string(m.Method)
	w.string(m.URI)
	w.header(m.Header)
	w.bytes(m.Body)
}

func (m *Forward) decode(r *reader) {
	r.expectFields(5)
	m.ID = r.uint()
	m.Method = r.string()
	m.URI = r.string()
	m.Header = r.header()
	m.Body = r.bytes()
}

func (m *ForwardReply) encode(w *writer) {
	w.arrayLen(10)
	w.uint(m.ID)
	w.uint(uint64(m.Outcome))
	w.string(string(m.Reason))
	w.uint(uint64(max(0, m.RetryAfter.Milliseconds())))
	w.string(m.Owner)
	w.uint(uint64(max(0, m.Attempts)))
	w.bool(m.Replayed)
	w.uint(uint64(max(0, m.Status)))
	w.header(m.Header)
	w.bytes(m.Body)
}

func (m *ForwardReply) decode(r *reader) {
	r.expectFields(10)
	m.ID = r.uint()
	m.Outcome = contract.Outcome(r.uint8())
	m.Reason = contract.Reason(r.string())
	m.RetryAfter = time.Duration(r.uint32()) * time.Millisecond
	m.Owner = r.string()
	m.Attempts = int(r.uint32())
	m.Replayed = r.bool()
	m.Status = int(r.uint32())
	m.Header = r.header()
	m.Body = r.bytes()
}

func (m *ColdLeaseRequest) encode(w *writer) {
	w.arrayLen(6)
	w.uint(m.ID)
	w.string(m.Target)
	w.uint(m.Generation)
	w.string(m.Holder)
	w.uint(m.Incarnation)
	w.uint(m.Sequence)
}

func (m *ColdLeaseRequest) decode(r *reader) {
	r.expectFields(6)
	m.ID = r.uint()
	m.Target = r.string()
	m.Generation = r.uint()
	m.Holder = r.string()
	m.Incarnation = r.uint()
	m.Sequence = r.uint()
}

func (m *ColdLeaseReply) encode(w *writer) {
	w.arrayLen(5)
	w.uint(m.ID)
	w.uint(uint64(m.Verdict))
	w.string(m.Holder)
	w.uint(m.HolderIncarnation)
	w.uint(m.Sequence)
}

func (m *ColdLeaseReply) decode(r *reader) {
	r.expectFields(5)
	m.ID = r.uint()
	m.Verdict = Verdict(r.uint8())
	m.Holder = r.string()
	m.HolderIncarnation = r.uint()
	m.Sequence = r.uint()
}

func (m *ColdLeaseRelease) encode(w *writer) {
	w.arrayLen(5)
	w.string(m.Target)
	w.uint(m.Generation)
	w.string(m.Holder)
	w.uint(m.Incarnation)
	w.uint(m.Sequence)
}

func (m *ColdLeaseRelease) decode(r *reader) {
	r.expectFields(5)
	m.Target = r.string()
	m.Generation = r.uint()
	m.Holder = r.string()
	m.Incarnation = r.uint()
	m.Sequence = r.uint()
}

func (m *CrashReport) encode(w *writer) {
	w.arrayLen(3)
	w.bytes(m.Fingerprint)
	w.string(m.Target)
	w.uint(m.Generation)
}

func (m *CrashReport) decode(r *reader) {
	r.expectFields(3)
	m.Fingerprint = r.bytes()
	m.Target = r.string()
	m.Generation = r.uint()
}
