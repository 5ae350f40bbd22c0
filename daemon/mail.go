package daemon

import (
	"sync/atomic"

	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/lease"
)

// mail carries messages to peers. Parts that the cluster needs itself use it.
type mail struct {
	members atomic.Pointer[coldstart.Members]
	leaving chan string // names of targets that said they are leaving
}

func newMail() *mail {
	m := &mail{leaving: make(chan string, 64)}
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

// SendColdAsk implements coldstart.Sender.
func (m *mail) SendColdAsk(lease.Holder, coldstart.Ask) {}

// SendColdAnswer implements coldstart.Sender.
func (m *mail) SendColdAnswer(lease.Holder, coldstart.Answer) {}

// SendColdRelease implements coldstart.Sender.
func (m *mail) SendColdRelease(lease.Holder, coldstart.Release) {}
