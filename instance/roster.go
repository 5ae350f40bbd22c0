package instance

import (
	"slices"
	"sync/atomic"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/contract"
)

const (
	// forgetAfter is how long dead instances are remembered. Their tickets have
	// expired by then, and no peer still passes on news of them.
	forgetAfter = contract.EpochsKept * contract.EpochLength
	// takeoverAfter is the silence after which an instance suspects a peer that
	// should be sending to it by its own view of the ring. It is longer than
	// SuspectAfter because the views of two instances differ for a few rounds.
	takeoverAfter = 5 * time.Second
	// pauseLimit is the gap between two ticks above which this process itself
	// was paused, so that the silence of its peers means nothing.
	pauseLimit = 2 * HeartbeatInterval
	// maxRecords bounds the roster against peers that invent instances.
	maxRecords = 4096
)

// record is the writer's knowledge of one peer.
type record struct {
	Instance
	knownSince time.Time
	runsSince  time.Time // when the incarnation became known
	direct     time.Time // last heartbeat from the peer itself, zero if none
	directSeq  uint64
	expect     Expectation
	// ringSince is since when the ring makes this instance a successor of the
	// peer; zero if it does not.
	ringSince time.Time
	diedAt    time.Time
	broken    bool // the connection to this incarnation broke and no heartbeat came since
	listed    bool
	everSeen  bool // was on the instance list once
	listLeft  bool // the last listing showed it as leaving
	sends     int  // heartbeats that still carry the news of this record
	owed      bool // the peer is told its record because it sent an outdated one
	// transfer counts the roster records that are still to be passed to the
	// peer, which has started or was out of reach.
	transfer int
}

// Roster holds the entry instances that one of them knows. One goroutine calls
// its event methods; View may be called by any.
type Roster struct {
	view atomic.Pointer[Snapshot]

	self       Instance
	selfListed bool
	selfStayed bool // a listing has shown this instance as not leaving
	records    map[string]*record
	order      []string // keys of records, ascending
	version    uint64
	changed    bool
	listing    uint64
	haveList   bool
	lastTick   time.Time
	meshSince  time.Time // since when all instances talk to all; zero above FullMeshMax

	beats       uint64
	refreshNext int
	successors  []string
	random      []string
	randomUntil time.Time
}

// Own is what changes about this instance during its run.
type Own struct {
	Epoch         uint64
	ConfigVersion uint64
	Leaving       bool
}

// NewRoster returns a roster without peers. A sequence of 0 is replaced by
// FirstSequence(now).
func NewRoster(now time.Time, self Instance) *Roster {
	self.State = StateLive
	if self.Sequence == 0 {
		self.Sequence = FirstSequence(now)
	}
	r := &Roster{self: self, records: map[string]*record{}, lastTick: now, meshSince: now}
	r.publish(now)
	return r
}

// Update records changes of this instance. Leaving is never taken back.
func (r *Roster) Update(now time.Time, own Own) {
	r.changed = r.changed || own.Leaving && !r.self.Leaving
	r.self.Epoch, r.self.ConfigVersion = own.Epoch, own.ConfigVersion
	r.self.Leaving = r.self.Leaving || own.Leaving
	r.publish(now)
}

// Heard takes a heartbeat in. The connection has proved that it comes from
// beat.From; news in its deltas is second-hand.
func (r *Roster) Heard(now time.Time, beat Beat) {
	for _, delta := range beat.Deltas {
		r.learn(now, delta)
	}
	if beat.From.ID == r.self.ID {
		r.learnSelf(beat.From)
	} else {
		r.heardDirectly(now, beat)
	}
	r.publish(now)
}

func (r *Roster) heardDirectly(now time.Time, beat Beat) {
	from := beat.From
	from.State = StateLive
	rec := r.find(now, from.ID)
	if rec == nil {
		return
	}
	known, before := rec.Incarnation, rec.State
	switch {
	case rec.Incarnation == 0 || from.Incarnation != rec.Incarnation && from.Sequence > rec.Sequence:
		r.replace(now, rec, from)
	case from.Incarnation != rec.Incarnation:
		// Either a late heartbeat of an earlier process, or a new process whose
		// clock is behind. The latter moves its sequence up when it is told.
		rec.owed, rec.sends = true, r.sendLimit()
		return
	case from.Sequence <= rec.directSeq || from.Sequence < rec.Sequence:
		return
	case from.Sequence > rec.Sequence:
		r.advance(now, rec, from)
	}
	if known != from.Incarnation || before != StateLive {
		rec.transfer = len(r.order)
	}
	// The first heartbeat is answered: the peer may wait to hear from all others.
	rec.owed = rec.owed || rec.direct.IsZero()
	rec.direct, rec.directSeq, rec.expect, rec.broken = now, from.Sequence, beat.Expect, false
	if rec.State == StateLive {
		rec.HeardAt = now
	}
}

// find returns the record of an ID and creates it if there is room.
func (r *Roster) find(now time.Time, id string) *record {
	rec, ok := r.records[id]
	if ok || id == "" || len(r.records) >= maxRecords {
		return rec
	}
	rec = &record{Instance: Instance{ID: id}, knownSince: now}
	r.records[id] = rec
	at, _ := slices.BinarySearch(r.order, id)
	r.order = slices.Insert(r.order, at, id)
	r.changed = true
	return rec
}

func (r *Roster) forget(id string) {
	delete(r.records, id)
	if at, ok := slices.BinarySearch(r.order, id); ok {
		r.order = slices.Delete(r.order, at, at+1)
	}
	r.changed = true
}

// replace sets the record to another incarnation, whose own words count alone.
func (r *Roster) replace(now time.Time, rec *record, news Instance) {
	rec.Instance = news
	rec.HeardAt, rec.runsSince = now, now
	rec.direct, rec.directSeq, rec.expect, rec.broken = time.Time{}, 0, ExpectNone, false
	rec.ringSince = time.Time{}
	r.spread(rec)
}

// advance takes newer news of the same incarnation.
func (r *Roster) advance(now time.Time, rec *record, news Instance) {
	news.Leaving = news.Leaving || rec.Leaving
	if news.State != rec.State || news.Leaving != rec.Leaving || news.PeerAddress != rec.PeerAddress {
		r.spread(rec)
	}
	rec.Instance = news
	rec.HeardAt = now
	rec.broken = false
}

// spread marks the record to be passed on in the next heartbeats.
func (r *Roster) spread(rec *record) {
	rec.sends = r.sendLimit()
	r.changed = true
}

// ConnectionBroken records that the connection to an incarnation of a peer
// ended without a close from this side.
func (r *Roster) ConnectionBroken(now time.Time, id string, incarnation uint64) {
	rec, ok := r.records[id]
	if !ok || rec.Incarnation != incarnation {
		return
	}
	rec.broken = true
	r.judge(now, rec)
	r.publish(now)
}

// Tick applies the rules of time. It is called once per HeartbeatInterval.
func (r *Roster) Tick(now time.Time) {
	paused := now.Sub(r.lastTick) > pauseLimit
	r.lastTick = now
	r.setShape(now)
	predecessors := r.predecessors()
	for _, id := range slices.Clone(r.order) {
		rec := r.records[id]
		switch {
		case r.meshSince.IsZero() && predecessors[id]:
			if rec.ringSince.IsZero() {
				rec.ringSince = now
			}
		default:
			rec.ringSince = time.Time{}
		}
		if paused {
			r.excuse(now, rec)
		}
		r.judge(now, rec)
	}
	r.publish(now)
}

// setShape notes since when the roster is small enough for a full mesh.
func (r *Roster) setShape(now time.Time) {
	switch full := r.size() <= FullMeshMax; {
	case !full:
		r.meshSince = time.Time{}
	case r.meshSince.IsZero():
		r.meshSince = now
	}
}

// excuse restarts the clocks of a live peer after this process was paused.
func (r *Roster) excuse(now time.Time, rec *record) {
	if rec.State != StateLive {
		return
	}
	rec.HeardAt = now
	if !rec.direct.IsZero() {
		rec.direct = now
	}
	if !rec.ringSince.IsZero() {
		rec.ringSince = now
	}
}

// judge moves a record to suspected, dead or forgotten as time demands.
func (r *Roster) judge(now time.Time, rec *record) {
	if rec.State == StateLive && r.silent(now, rec) {
		rec.State = StateSuspected
		rec.expect = ExpectNone
		r.spread(rec)
	}
	switch {
	case rec.State == StateDead:
		if now.Sub(rec.diedAt) >= forgetAfter {
			r.forget(rec.ID)
		}
	case !r.dropped(now, rec):
	case rec.State == StateListed:
		r.forget(rec.ID)
	case rec.broken || now.Sub(rec.HeardAt) >= DeadAfter:
		rec.State = StateDead
		rec.diedAt = now
		r.changed = true
	}
}

// silent tells whether a live peer has missed its heartbeats to this instance.
func (r *Roster) silent(now time.Time, rec *record) bool {
	if !r.meshSince.IsZero() {
		since := rec.HeardAt
		if since.Before(r.meshSince) {
			since = r.meshSince
		}
		return now.Sub(since) >= SuspectAfter
	}
	if rec.expect == ExpectMore && now.Sub(rec.direct) >= SuspectAfter {
		return true
	}
	if rec.ringSince.IsZero() {
		return false
	}
	since := rec.ringSince
	if rec.direct.After(since) {
		since = rec.direct
	}
	return now.Sub(since) >= takeoverAfter && now.Sub(rec.HeardAt) >= SuspectAfter
}

// dropped tells whether the instance list no longer names the peer. A newcomer
// may run for a while before the lagging list names it.
func (r *Roster) dropped(now time.Time, rec *record) bool {
	return r.haveList && !rec.listed && (rec.everSeen || now.Sub(rec.knownSince) >= DeadAfter)
}

// Listed takes an answer of the instance list in. An answer that is older than
// the last one has no effect.
func (r *Roster) Listed(now time.Time, listing backing.Listing) {
	if r.haveList && listing.Version < r.listing {
		return
	}
	r.listing, r.haveList, r.selfListed = listing.Version, true, false
	named := make(map[string]bool, len(listing.Members))
	for _, member := range listing.Members {
		if member.Kind != backing.KindEntry {
			continue
		}
		named[member.ID] = true
		if member.ID == r.self.ID {
			r.selfListedAs(member)
		} else {
			r.listedPeer(now, member)
		}
	}
	for _, id := range slices.Clone(r.order) {
		rec := r.records[id]
		if !named[id] {
			rec.listed, rec.listLeft = false, false
		}
		r.judge(now, rec)
	}
	r.publish(now)
}

// selfListedAs ignores a leaving mark that is left over from an earlier process
// with this ID: it counts only if the list showed this one as staying before.
func (r *Roster) selfListedAs(member backing.Member) {
	r.selfListed = true
	if !member.Leaving {
		r.selfStayed = true
	} else if r.selfStayed && !r.self.Leaving {
		r.self.Leaving, r.changed = true, true
	}
}

func (r *Roster) listedPeer(now time.Time, member backing.Member) {
	rec := r.find(now, member.ID)
	if rec == nil {
		return
	}
	if rec.State == StateDead && !rec.listed {
		// The peer is back, or the list was wrong: find out by contacting it.
		rec.State, rec.HeardAt, r.changed = StateSuspected, now, true
	}
	if rec.State != StateLive {
		rec.PeerAddress, rec.Zone = member.Address, member.Zone
	}
	// The mark counts for the incarnation that was known when it appeared. A
	// restarted one tells by itself whether it leaves.
	if member.Leaving && !rec.listLeft && rec.Incarnation != 0 && !rec.Leaving {
		rec.Leaving = true
		r.spread(rec)
	}
	rec.listed, rec.everSeen, rec.listLeft = true, true, member.Leaving
}
