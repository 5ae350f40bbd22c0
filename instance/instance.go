// Package instance implements the membership of the entry instances as seen by
// one of them: the roster of peers with its failure detector and gossip, the
// directory for callers, the detection of isolation, and the loads that peers
// report.
//
// One goroutine passes events to a Roster; any goroutine may read its immutable
// Snapshot. The package starts no goroutines, does no I/O, and gets the time and
// random numbers from its caller.
package instance

import (
	"fmt"
	"time"

	"fulmarhoist.example/contract"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the time without a heartbeat after which a peer is
	// suspected: three heartbeats have been lost.
	SuspectAfter = 3 * HeartbeatInterval
	// DeadAfter is the time without a heartbeat after which a peer that is no
	// longer on the instance list is declared dead.
	DeadAfter = 10 * time.Second
	// FullMeshMax is the maximum number of instances, including this one, for
	// which each sends heartbeats to all others.
	FullMeshMax = 8
	// RingSuccessors is the number of successors on the hash ring to which an
	// instance sends heartbeats if there are more than FullMeshMax instances.
	RingSuccessors = 4
	// RandomPeers is the number of randomly chosen instances that get heartbeats
	// in addition to the ring successors.
	RandomPeers = 2
)

// State is the state of a peer as determined by this instance.
type State uint8

const (
	// StateListed means that the peer is known only from the instance list.
	StateListed State = iota
	// StateLive means that the peer sends its heartbeats.
	StateLive
	// StateSuspected means that heartbeats are missing.
	StateSuspected
	// StateDead means that the peer has failed and is no longer on the instance
	// list. The record is kept so that outdated updates cannot revive the peer.
	StateDead
)

var stateNames = [...]string{"listed", "live", "suspected", "dead"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Instance describes one entry instance. Copies are independent of each other.
type Instance struct {
	ID            string
	Incarnation   uint64 // 0 until a heartbeat or gossip has named it
	Zone          string
	CallerAddress string
	PeerAddress   string
	// Sequence numbers the heartbeats. It orders all updates about an ID, also
	// across restarts: see FirstSequence.
	Sequence      uint64
	Epoch         uint64 // ticket epoch
	ConfigVersion uint64
	Leaving       bool
	State         State
	// HeardAt is when this instance last got a heartbeat from the peer or a
	// newer update about it.
	HeardAt time.Time
}

// Ticket returns the ticket that the instance last announced.
func (i *Instance) Ticket() contract.Ticket {
	return contract.Ticket{Instance: i.ID, Incarnation: i.Incarnation, Epoch: i.Epoch}
}

// AcceptsCallers reports whether callers may use the instance.
func (i *Instance) AcceptsCallers() bool {
	return i.State == StateLive && !i.Leaving && i.Incarnation != 0
}

// sequenceOrigin and sequenceUnit keep first sequence numbers within 32 bits
// until 2038, which saves four bytes per heartbeat.
var sequenceOrigin = time.Unix(1_735_689_600, 0) // 2025-01-01

const sequenceUnit = 100 * time.Millisecond

// FirstSequence returns the sequence number with which a process starts; its
// first heartbeat has the next one. It is taken from the clock and grows faster
// than heartbeats are sent, so a restarted instance starts above the sequence
// number of its previous process and replaces it at once. If its clock is
// behind, it raises its sequence number when it learns of the previous process;
// until then peers may know either of the two.
func FirstSequence(start time.Time) uint64 {
	return uint64(max(1, start.Sub(sequenceOrigin)/sequenceUnit))
}

// Expectation tells the recipient of a heartbeat whether to expect another.
type Expectation uint8

const (
	// ExpectNone means that the recipient need not monitor the sender.
	ExpectNone Expectation = iota
	// ExpectMore means that the sender sends again after HeartbeatInterval. The
	// recipient suspects it after SuspectAfter without a heartbeat.
	ExpectMore
)

// Heartbeat is one heartbeat.
type Heartbeat struct {
	From   Instance
	Expect Expectation
	// LogAge is the time since the sender's last successful read of the log.
	LogAge time.Duration
	// ProbesSent is the number of load probes that the sender has sent to
	// targets since its previous heartbeat.
	ProbesSent uint32
	// Loads are numbered by the Table of configuration version
	// From.ConfigVersion.
	Loads []Load
	// Deltas are updates about other instances; HeardAt is not used. A delta
	// without zone and addresses is a refresh: the recipient keeps those it
	// knows.
	Deltas []Instance
}

// Recipient is a peer that gets the next heartbeat.
type Recipient struct {
	Instance Instance
	Expect   Expectation
	Transfer []Instance // added to the deltas for this peer only
}
