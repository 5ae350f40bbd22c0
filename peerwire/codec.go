package peerwire

import (
	"time"

	"fulmarhoist.example/contract"
)

func (*Hello) kind() Kind        { return KindHello }
func (*Proof) kind() Kind        { return KindProof }
func (*Beat) kind() Kind         { return KindBeat }
func (*Pong) kind() Kind         { return KindPong }
func (*Bye) kind() Kind          { return KindBye }
func (*ConfigState) kind() Kind  { return KindConfigState }
func (*Forward) kind() Kind      { return KindForward }
func (*ForwardReply) kind() Kind { return KindForwardReply }
func (*Busy) kind() Kind         { return KindBusy }
func (*ColdAsk) kind() Kind      { return KindColdAsk }
func (*ColdAnswer) kind() Kind   { return KindColdAnswer }
func (*ColdRelease) kind() Kind  { return KindColdRelease }
func (*CrashReport) kind() Kind  { return KindCrashReport }

func (m *Forward) setID(id uint64)        { m.ID = id }
func (m *ColdAsk) setID(id uint64)        { m.ID = id }
func (m *ForwardReply) requestID() uint64 { return m.ID }
func (m *Busy) requestID() uint64         { return m.ID }
func (m *ColdAnswer) requestID() uint64   { return m.ID }
func (*Pong) encode(w *writer)            { w.list(0) }
func (*Pong) decode(r *reader)            { r.fields(0) }
func (*Bye) encode(w *writer)             { w.list(0) }
func (*Bye) decode(r *reader)             { r.fields(0) }
func (m *Busy) encode(w *writer)          { w.list(1); w.uint(m.ID) }
func (m *Busy) decode(r *reader)          { r.fields(1); m.ID = r.uint() }
func (m *Proof) encode(w *writer)         { w.list(1); w.bytes(m.MAC) }
func (m *Proof) decode(r *reader)         { r.fields(1); m.MAC = r.bytes() }
func (m *ConfigState) encode(w *writer)   { w.list(2); w.uint(m.Version); w.bytes(m.State) }
func (m *ConfigState) decode(r *reader)   { r.fields(2); m.Version, m.State = r.uint(), r.bytes() }

// fields reads the length of a message with a fixed number of fields.
func (r *reader) fields(n int) {
	if got := r.list(n); r.err == nil && got != n {
		r.fail("has too few fields")
	}
}

func (i *Identity) encode(w *writer) {
	w.text(i.ID)
	w.uint(i.Incarnation)
	w.text(i.Zone)
	w.text(i.CallerAddress)
	w.text(i.PeerAddress)
}

func (i *Identity) decode(r *reader) {
	i.ID = r.text()
	i.Incarnation = r.uint()
	i.Zone = r.text()
	i.CallerAddress = r.text()
	i.PeerAddress = r.text()
}

func (m *Hello) encode(w *writer) {
	w.list(7)
	m.Identity.encode(w)
	w.bytes(m.Challenge)
	w.uint(uint64(m.Purpose))
}

func (m *Hello) decode(r *reader) {
	r.fields(7)
	m.Identity.decode(r)
	m.Challenge = r.bytes()
	m.Purpose = Purpose(r.small())
}

func (m *Forward) encode(w *writer) {
	w.list(5)
	w.uint(m.ID)
	w.text(m.Method)
	w.text(m.URI)
	w.header(m.Header)
	w.bytes(m.Body)
}

func (m *Forward) decode(r *reader) {
	r.fields(5)
	m.ID = r.uint()
	m.Method = r.text()
	m.URI = r.text()
	m.Header = r.header()
	m.Body = r.bytes()
}

func (m *ForwardReply) encode(w *writer) {
	w.list(10)
	w.uint(m.ID)
	w.uint(uint64(m.Outcome))
	w.text(string(m.Reason))
	w.uint(uint64(max(0, m.RetryAfter.Milliseconds())))
	w.text(m.Owner)
	w.uint(uint64(max(0, m.Attempts)))
	w.yes(m.Replayed)
	w.uint(uint64(max(0, m.Status)))
	w.header(m.Header)
	w.bytes(m.Body)
}

func (m *ForwardReply) decode(r *reader) {
	r.fields(10)
	m.ID = r.uint()
	m.Outcome = contract.Outcome(r.small())
	m.Reason = contract.Reason(r.text())
	m.RetryAfter = time.Duration(r.uint32()) * time.Millisecond
	m.Owner = r.text()
	m.Attempts = int(r.uint32())
	m.Replayed = r.yes()
	m.Status = int(r.uint32())
	m.Header = r.header()
	m.Body = r.bytes()
}

func (m *ColdAsk) encode(w *writer) {
	w.list(6)
	w.uint(m.ID)
	w.text(m.Target)
	w.uint(m.Generation)
	w.text(m.Holder)
	w.uint(m.Incarnation)
	w.uint(m.Sequence)
}

func (m *ColdAsk) decode(r *reader) {
	r.fields(6)
	m.ID = r.uint()
	m.Target = r.text()
	m.Generation = r.uint()
	m.Holder = r.text()
	m.Incarnation = r.uint()
	m.Sequence = r.uint()
}

func (m *ColdAnswer) encode(w *writer) {
	w.list(5)
	w.uint(m.ID)
	w.uint(uint64(m.Verdict))
	w.text(m.Holder)
	w.uint(m.HolderIncarnation)
	w.uint(m.Sequence)
}

func (m *ColdAnswer) decode(r *reader) {
	r.fields(5)
	m.ID = r.uint()
	m.Verdict = Verdict(r.small())
	m.Holder = r.text()
	m.HolderIncarnation = r.uint()
	m.Sequence = r.uint()
}

func (m *ColdRelease) encode(w *writer) {
	w.list(5)
	w.text(m.Target)
	w.uint(m.Generation)
	w.text(m.Holder)
	w.uint(m.Incarnation)
	w.uint(m.Sequence)
}

func (m *ColdRelease) decode(r *reader) {
	r.fields(5)
	m.Target = r.text()
	m.Generation = r.uint()
	m.Holder = r.text()
	m.Incarnation = r.uint()
	m.Sequence = r.uint()
}

func (m *CrashReport) encode(w *writer) {
	w.list(3)
	w.bytes(m.Fingerprint)
	w.text(m.Target)
	w.uint(m.Generation)
}

func (m *CrashReport) decode(r *reader) {
	r.fields(3)
	m.Fingerprint = r.bytes()
	m.Target = r.text()
	m.Generation = r.uint()
}
