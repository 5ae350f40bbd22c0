package instance

import (
	"sync/atomic"
	"time"
)

// IsolatedAfter is the time without contact to the log and to any peer after
// which an instance starts no new work.
const IsolatedAfter = 5 * time.Second

// Isolation decides whether this instance may be cut off from changes of the
// configuration. It is safe for concurrent use. Times are kept relative to the
// start, so that steps of the wall clock have no effect.
type Isolation struct {
	start   time.Time
	contact atomic.Int64 // last contact to log or peer, nanoseconds since start
	peers   atomic.Bool  // a peer was heard once
}

// NewIsolation returns the state of an instance that starts now.
func NewIsolation(now time.Time) *Isolation { return &Isolation{start: now} }

// LogRead records a successful read of the log.
func (i *Isolation) LogRead(now time.Time) { i.touch(now) }

// PeerHeard records a message from a peer.
func (i *Isolation) PeerHeard(now time.Time) {
	i.touch(now)
	i.peers.Store(true)
}

// touch keeps the latest of concurrent contacts.
func (i *Isolation) touch(now time.Time) {
	at := int64(now.Sub(i.start))
	for {
		old := i.contact.Load()
		if old >= at || i.contact.CompareAndSwap(old, at) {
			return
		}
	}
}

// Isolated tells whether new work must be refused. An instance that has never
// had peers is never isolated.
func (i *Isolation) Isolated(now time.Time) bool {
	return i.peers.Load() && now.Sub(i.start)-time.Duration(i.contact.Load()) >= IsolatedAfter
}
