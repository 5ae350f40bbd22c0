package instance

import (
	"sync/atomic"
	"time"
)

// IsolatedAfter is the time without contact to the log or to any peer after
// which an instance accepts no new requests.
const IsolatedAfter = 5 * time.Second

// Isolation determines whether this instance may be cut off from configuration
// changes. It is safe for concurrent use. Times are stored relative to the
// start, so that steps of the wall clock have no effect.
type Isolation struct {
	start       time.Time
	lastContact atomic.Int64 // last contact to log or peer, nanoseconds since start
	hadPeer     atomic.Bool  // whether any peer has ever sent a message
}

// NewIsolation returns the Isolation of an instance that starts now.
func NewIsolation(now time.Time) *Isolation { return &Isolation{start: now} }

// RecordLogRead records a successful read of the log.
func (i *Isolation) RecordLogRead(now time.Time) { i.recordContact(now) }

// RecordPeerMessage records a message from a peer.
func (i *Isolation) RecordPeerMessage(now time.Time) {
	i.recordContact(now)
	i.hadPeer.Store(true)
}

// recordContact stores the time of a contact unless a later one is known.
func (i *Isolation) recordContact(now time.Time) {
	at := int64(now.Sub(i.start))
	for {
		old := i.lastContact.Load()
		if old >= at || i.lastContact.CompareAndSwap(old, at) {
			return
		}
	}
}

// Isolated reports whether new requests must be refused. An instance that has
// never had a peer is never isolated.
func (i *Isolation) Isolated(now time.Time) bool {
	return i.hadPeer.Load() && now.Sub(i.start)-time.Duration(i.lastContact.Load()) >= IsolatedAfter
}
