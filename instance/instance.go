// Package instance models the entry instances as one of them sees the others:
// the roster of peers, the directory for callers, the rule for isolated
// instances, and the load that peers report.
//
// One goroutine feeds events to a Roster; any goroutine reads its immutable
// Snapshot. The package starts no goroutine, does no I/O, and takes time and
// randomness from its caller.
package instance

import (
	"fmt"
	"time"

	"fulmarhoist.example/contract"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the silence after which a peer is suspected: three lost
	// heartbeats.
	SuspectAfter = 3 * HeartbeatInterval
	// DeadAfter is the silence after which a peer that the instance list has
	// dropped counts as dead.
	DeadAfter = 10 * time.Second
	// FullMeshMax is the number of instances, with this one, up to which each
	// sends heartbeats to all others.
	FullMeshMax = 8
	// RingSuccessors is how many next instances on the ring get heartbeats above
	// FullMeshMax.
	RingSuccessors = 4
	// RandomPeers is how many random instances get heartbeats in addition.
	RandomPeers = 2
)

// State is what an instance believes about a peer.
type State uint8

const (
	// StateListed means that only the instance list has named the peer so far.
	StateListed State = iota
	// StateLive means that heartbeats arrive.
	StateLive
	// StateSuspected means that heartbeats are missing.
	StateSuspected
	// StateDead means that the instance list has dropped the peer as well. The
	// record is kept so that old news cannot bring the peer back.
	StateDead
)

var stateNames = [...]string{"listed", "live", "suspected", "dead"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Instance is one entry instance. It is a value; copies are independent.
type Instance struct {
	ID            string
	Incarnation   uint64 // 0 until the instance was heard of from a peer
	Zone          string
	CallerAddress string
	PeerAddress   string
	// Sequence numbers the heartbeats. It orders all news about an ID, over
	// restarts too: see FirstSequence.
	Sequence      uint64
	Epoch         uint64 // ticket epoch
	ConfigVersion uint64
	Leaving       bool
	State         State
	// HeardAt is when this instance last got newer news of the peer.
	HeardAt time.Time
}

// Ticket returns the ticket of the instance as last heard.
func (i *Instance) Ticket() contract.Ticket {
	return contract.Ticket{Instance: i.ID, Incarnation: i.Incarnation, Epoch: i.Epoch}
}

// Open tells whether callers may be sent to the instance.
func (i *Instance) Open() bool {
	return i.State == StateLive && !i.Leaving && i.Incarnation != 0
}

// sequenceOrigin and sequenceUnit make first sequence numbers fit into 32 bits
// until 2038, which saves four bytes per heartbeat.
var sequenceOrigin = time.Unix(1_735_689_600, 0) // 2025-01-01

const sequenceUnit = 100 * time.Millisecond

// FirstSequence returns the sequence number before the first heartbeat of a
// process. It grows faster with the clock than heartbeats count, so a restarted
// instance starts above its predecessor and replaces it at once. If its clock
// is behind, it moves its sequence up when it hears of its predecessor; until
// then peers may know either of the two.
func FirstSequence(start time.Time) uint64 {
	return uint64(max(1, start.Sub(sequenceOrigin)/sequenceUnit))
}

// Expectation tells the recipient of a heartbeat whether another one follows.
type Expectation uint8

const (
	// ExpectNone means that the recipient need not watch the sender.
	ExpectNone Expectation = iota
	// ExpectMore means that the sender will send again after HeartbeatInterval;
	// the recipient suspects it if that does not happen.
	ExpectMore
)

// Beat is one heartbeat.
type Beat struct {
	From   Instance
	Expect Expectation
	// LogAge is the time since the sender's last successful read of the log.
	LogAge time.Duration
	// ProbesSpent is the number of load probes that the sender has sent since
	// its previous heartbeat.
	ProbesSpent uint32
	// Loads belong to the Table of configuration version From.ConfigVersion.
	Loads []Load
	// Deltas are news about other instances; HeardAt is not used. A delta without
	// addresses repeats what the recipient knows but for the counters.
	Deltas []Instance
}

// Recipient is a peer to which the next heartbeat goes. Transfer is added to
// the deltas for this peer alone.
type Recipient struct {
	Instance Instance
	Expect   Expectation
	Transfer []Instance
}
