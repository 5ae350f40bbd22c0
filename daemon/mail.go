package daemon

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/target"
)

// mail carries messages to peers. Parts that the cluster needs itself use it.
type mail struct {
	members atomic.Pointer[coldstart.Members]
	leaving chan string // names of targets that said they are leaving
	crashes *contract.Fingerprints
}

func newMail(crashes *contract.Fingerprints) *mail {
	m := &mail{leaving: make(chan string, 64), crashes: crashes}
	m.members.Store(&coldstart.Members{})
	return m
}

func (m *mail) membersNow() *coldstart.Members { return m.members.Load() }

// targetLeaving reports a target that said it is leaving. A report that finds
// the channel full is dropped: the target is not sent to here, and repeats it to
// the other instances.
func (m *mail) targetLeaving(name string) {
	select {
	case m.leaving <- name:
	default:
	}
}

// Crashed implements link.Crashes.
func (m *mail) Crashed(t *target.Target, running []contract.Fingerprint) {
	m.crashes.Crashed(time.Now(), t.Spec.Name, running...)
}

// SendColdAsk implements coldstart.Sender.
func (m *mail) SendColdAsk(lease.Holder, coldstart.Ask) {}

// SendColdAnswer implements coldstart.Sender.
func (m *mail) SendColdAnswer(lease.Holder, coldstart.Answer) {}

// SendColdRelease implements coldstart.Sender.
func (m *mail) SendColdRelease(lease.Holder, coldstart.Release) {}
