package instance

import (
	"slices"
	"sync/atomic"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/contract"
)

const (
	// deadRetention is how long the record of a dead instance is kept. By then
	// its tickets have expired, and no peer gossips about it any more.
	deadRetention = contract.ValidEpochs * contract.EpochLength
	// ringSuspectAfter is the time without a heartbeat after which an instance
	// suspects a peer that, by this instance's view of the ring, should send it
	// heartbeats. It is longer than SuspectAfter because the views of two
	// instances can differ for a few rounds.
	ringSuspectAfter = 5 * time.Second
	// maxTickGap is the maximum time between two ticks. After a longer gap this
	// process itself was paused, and missing heartbeats say nothing about peers.
	maxTickGap = 2 * HeartbeatInterval
	// maxRecords limits the size of the roster, to protect it from peers that
	// gossip about instances that do not exist.
	maxRecords = 4096
)

// record is the state that a Roster keeps about one peer.
type record struct {
	Instance
	createdAt        time.Time
	incarnationSince time.Time // when the incarnation became known
	lastDirect       time.Time // last heartbeat from this incarnation itself; zero if none
	lastDirectSeq    uint64
	expectation      Expectation
	// predecessorSince is when the peer became one of this instance's
	// predecessors on the ring; zero if it is none.
	predecessorSince time.Time
	diedAt           time.Time
	connBroken       bool // the connection to this incarnation broke; no heartbeat or newer update since
	listed           bool
	everListed       bool // has been on the instance list
	listedLeaving    bool // the last listing showed it as leaving
	sendsLeft        int  // number of heartbeats that still gossip this record
	replyDue         bool // the next heartbeat goes to the peer, too, in reply to its own
	// transferLeft is the number of roster records still to be transferred to
	// the peer, which has started or was unreachable.
	transferLeft int
}

// Roster holds the entry instances that this instance knows. Its event methods
// must be called by one goroutine; Snapshot may be called by any.
type Roster struct {
	snapshot atomic.Pointer[Snapshot]

	self              Instance
	selfListed        bool
	selfListedStaying bool // a listing has shown this instance as not leaving
	records           map[string]*record
	sortedIDs         []string // keys of records
	version           uint64
	changed           bool
	listVersion       uint64 // version of the last listing
	listReceived      bool
	lastTick          time.Time
	fullMeshSince     time.Time // when the number of instances fell to FullMeshMax; zero above it

	heartbeats    uint64
	refreshCursor int
	successors    []string
	randomIDs     []string
	randomUntil   time.Time
}

// LocalState is the part of this instance's own state that changes at run time.
type LocalState struct {
	Epoch         uint64
	ConfigVersion uint64
	Leaving       bool
}

// NewRoster returns a roster without peers. A sequence number of 0 is replaced
// by FirstSequence(now).
func NewRoster(now time.Time, self Instance) *Roster {
	self.State = StateLive
	if self.Sequence == 0 {
		self.Sequence = FirstSequence(now)
	}
	r := &Roster{self: self, records: map[string]*record{}, lastTick: now, fullMeshSince: now}
	r.publish(now)
	return r
}

// UpdateSelf records changes of this instance's own state. Once set, Leaving
// stays set.
func (r *Roster) UpdateSelf(now time.Time, local LocalState) {
	r.changed = r.changed || local.Leaving && !r.self.Leaving
	r.self.Epoch, r.self.ConfigVersion = local.Epoch, local.ConfigVersion
	r.self.Leaving = r.self.Leaving || local.Leaving
	r.publish(now)
}

// ApplyHeartbeat applies a heartbeat. The sender has been authenticated as
// heartbeat.From by its connection; the deltas are gossip.
func (r *Roster) ApplyHeartbeat(now time.Time, heartbeat Heartbeat) {
	for _, delta := range heartbeat.Deltas {
		r.applyUpdate(now, delta)
	}
	if heartbeat.From.ID == r.self.ID {
		r.applySelfUpdate(heartbeat.From)
	} else {
		r.applySender(now, heartbeat)
	}
	r.publish(now)
}

// applySender updates the record of the instance that sent the heartbeat.
func (r *Roster) applySender(now time.Time, heartbeat Heartbeat) {
	from := heartbeat.From
	from.State = StateLive
	rec := r.findOrCreate(now, from.ID)
	if rec == nil {
		return
	}
	known, before := rec.Incarnation, rec.State
	switch {
	case rec.Incarnation == 0 || from.Incarnation != rec.Incarnation && from.Sequence > rec.Sequence:
		r.replaceIncarnation(now, rec, from)
	case from.Incarnation != rec.Incarnation:
		// This is either a late heartbeat of an earlier process or one of a new
		// process whose clock is behind. The reply makes the new process raise
		// its sequence number.
		rec.replyDue, rec.sendsLeft = true, r.maxSends()
		return
	case from.Sequence <= rec.lastDirectSeq || from.Sequence < rec.Sequence:
		return
	case from.Sequence > rec.Sequence:
		r.applyNewer(now, rec, from)
	}
	if known != from.Incarnation || before != StateLive {
		rec.transferLeft = len(r.sortedIDs)
	}
	// The first heartbeat gets a reply: the peer may be waiting for a heartbeat
	// from every instance.
	rec.replyDue = rec.replyDue || rec.lastDirect.IsZero()
	rec.lastDirect, rec.lastDirectSeq, rec.expectation, rec.connBroken = now, from.Sequence, heartbeat.Expect, false
	if rec.State == StateLive {
		rec.HeardAt = now
	}
}

// findOrCreate returns the record of an ID. It creates one if needed, and
// returns nil if the ID is empty or the roster is full.
func (r *Roster) findOrCreate(now time.Time, id string) *record {
	rec, ok := r.records[id]
	if ok || id == "" || len(r.records) >= maxRecords {
		return rec
	}
	rec = &record{Instance: Instance{ID: id}, createdAt: now}
	r.records[id] = rec
	at, _ := slices.BinarySearch(r.sortedIDs, id)
	r.sortedIDs = slices.Insert(r.sortedIDs, at, id)
	r.changed = true
	return rec
}

func (r *Roster) remove(id string) {
	delete(r.records, id)
	if at, ok := slices.BinarySearch(r.sortedIDs, id); ok {
		r.sortedIDs = slices.Delete(r.sortedIDs, at, at+1)
	}
	r.changed = true
}

// replaceIncarnation sets the record to another incarnation and discards what
// was known of the heartbeats of the previous one.
func (r *Roster) replaceIncarnation(now time.Time, rec *record, update Instance) {
	rec.Instance = update
	rec.HeardAt, rec.incarnationSince = now, now
	rec.lastDirect, rec.lastDirectSeq, rec.expectation, rec.connBroken = time.Time{}, 0, ExpectNone, false
	rec.predecessorSince = time.Time{}
	r.scheduleGossip(rec)
}

// applyNewer applies a newer update of the same incarnation.
func (r *Roster) applyNewer(now time.Time, rec *record, update Instance) {
	update.Leaving = update.Leaving || rec.Leaving
	if update.State != rec.State || update.Leaving != rec.Leaving || update.PeerAddress != rec.PeerAddress {
		r.scheduleGossip(rec)
	}
	rec.Instance = update
	rec.HeardAt = now
	rec.connBroken = false
}

// scheduleGossip adds the record to the deltas of the next maxSends heartbeats.
func (r *Roster) scheduleGossip(rec *record) {
	rec.sendsLeft = r.maxSends()
	r.changed = true
}

// ConnectionBroken records that the connection to the given incarnation of a
// peer ended without having been closed by this instance.
func (r *Roster) ConnectionBroken(now time.Time, id string, incarnation uint64) {
	rec, ok := r.records[id]
	if !ok || rec.Incarnation != incarnation {
		return
	}
	rec.connBroken = true
	r.updateState(now, rec)
	r.publish(now)
}

// Tick updates the states that depend on the time. It must be called once per
// HeartbeatInterval.
func (r *Roster) Tick(now time.Time) {
	paused := now.Sub(r.lastTick) > maxTickGap
	r.lastTick = now
	r.updateFullMesh(now)
	predecessors := r.predecessors()
	for _, id := range slices.Clone(r.sortedIDs) {
		rec := r.records[id]
		switch {
		case r.fullMeshSince.IsZero() && predecessors[id]:
			if rec.predecessorSince.IsZero() {
				rec.predecessorSince = now
			}
		default:
			rec.predecessorSince = time.Time{}
		}
		if paused {
			r.resetTimers(now, rec)
		}
		r.updateState(now, rec)
	}
	r.publish(now)
}

// updateFullMesh records since when there are few enough instances for a full
// mesh.
func (r *Roster) updateFullMesh(now time.Time) {
	switch full := r.clusterSize() <= FullMeshMax; {
	case !full:
		r.fullMeshSince = time.Time{}
	case r.fullMeshSince.IsZero():
		r.fullMeshSince = now
	}
}

// resetTimers restarts the timers of a live peer after this process was paused.
func (r *Roster) resetTimers(now time.Time, rec *record) {
	if rec.State != StateLive {
		return
	}
	rec.HeardAt = now
	if !rec.lastDirect.IsZero() {
		rec.lastDirect = now
	}
	if !rec.predecessorSince.IsZero() {
		rec.predecessorSince = now
	}
}

// updateState marks a peer as suspected or dead, or removes its record, if it is
// time to do so.
func (r *Roster) updateState(now time.Time, rec *record) {
	if rec.State == StateLive && r.missedHeartbeats(now, rec) {
		rec.State = StateSuspected
		rec.expectation = ExpectNone
		r.scheduleGossip(rec)
	}
	switch {
	case rec.State == StateDead:
		if now.Sub(rec.diedAt) >= deadRetention {
			r.remove(rec.ID)
		}
	case !r.unlisted(now, rec):
	case rec.State == StateListed:
		r.remove(rec.ID)
	case rec.connBroken || now.Sub(rec.HeardAt) >= DeadAfter:
		rec.State = StateDead
		rec.diedAt = now
		r.changed = true
	}
}

// missedHeartbeats reports whether a live peer has failed to send heartbeats to
// this instance.
func (r *Roster) missedHeartbeats(now time.Time, rec *record) bool {
	if !r.fullMeshSince.IsZero() {
		since := rec.HeardAt
		if since.Before(r.fullMeshSince) {
			since = r.fullMeshSince
		}
		return now.Sub(since) >= SuspectAfter
	}
	if rec.expectation == ExpectMore && now.Sub(rec.lastDirect) >= SuspectAfter {
		return true
	}
	if rec.predecessorSince.IsZero() {
		return false
	}
	since := rec.predecessorSince
	if rec.lastDirect.After(since) {
		since = rec.lastDirect
	}
	return now.Sub(since) >= ringSuspectAfter && now.Sub(rec.HeardAt) >= SuspectAfter
}

// unlisted reports whether the peer is no longer on the instance list. A new
// peer that was never listed gets DeadAfter to appear, because the list lags.
func (r *Roster) unlisted(now time.Time, rec *record) bool {
	return r.listReceived && !rec.listed && (rec.everListed || now.Sub(rec.createdAt) >= DeadAfter)
}

// ApplyListing applies the contents of the instance list. A listing with a lower
// version than the last one has no effect.
func (r *Roster) ApplyListing(now time.Time, listing backing.Listing) {
	if r.listReceived && listing.Version < r.listVersion {
		return
	}
	r.listVersion, r.listReceived, r.selfListed = listing.Version, true, false
	named := make(map[string]bool, len(listing.Members))
	for _, member := range listing.Members {
		if member.Kind != backing.KindEntry {
			continue
		}
		named[member.ID] = true
		if member.ID == r.self.ID {
			r.applySelfListing(member)
		} else {
			r.applyPeerListing(now, member)
		}
	}
	for _, id := range slices.Clone(r.sortedIDs) {
		rec := r.records[id]
		if !named[id] {
			rec.listed, rec.listedLeaving = false, false
		}
		r.updateState(now, rec)
	}
	r.publish(now)
}

// applySelfListing marks this instance as leaving if the list does. It ignores a
// leaving mark left over from an earlier process with the same ID: the mark
// counts only if an earlier listing showed this instance without it.
func (r *Roster) applySelfListing(member backing.Member) {
	r.selfListed = true
	if !member.Leaving {
		r.selfListedStaying = true
	} else if r.selfListedStaying && !r.self.Leaving {
		r.self.Leaving, r.changed = true, true
	}
}

func (r *Roster) applyPeerListing(now time.Time, member backing.Member) {
	rec := r.findOrCreate(now, member.ID)
	if rec == nil {
		return
	}
	if rec.State == StateDead && !rec.listed {
		// The peer is back, or the list was wrong. As a suspected peer it gets
		// heartbeats, which will tell.
		rec.State, rec.HeardAt, r.changed = StateSuspected, now, true
	}
	if rec.State != StateLive {
		rec.PeerAddress, rec.Zone = member.Address, member.Zone
	}
	// The leaving mark applies to the incarnation that was known when it
	// appeared. A restarted peer announces by itself that it is leaving.
	if member.Leaving && !rec.listedLeaving && rec.Incarnation != 0 && !rec.Leaving {
		rec.Leaving = true
		r.scheduleGossip(rec)
	}
	rec.listed, rec.everListed, rec.listedLeaving = true, true, member.Leaving
}
