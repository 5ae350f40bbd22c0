package instance

import (
	"cmp"
	"hash/fnv"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxDeltas is the maximum number of gossiped updates in one heartbeat. An
	// update takes about 75 bytes. The burst of updates that follows a partition
	// of 200 instances is sent within seconds.
	MaxDeltas = 32
	// heartbeatsPerRefresh is the number of heartbeats per refresh, which is one
	// unchanged record that is gossiped again. Refreshes carry ticket epochs to
	// instances that get no heartbeat from the owner, and make up for lost
	// updates.
	heartbeatsPerRefresh = 2
	// transferPageRecords is the number of roster records that one heartbeat
	// transfers to a peer that has started or was unreachable; a roster of 200
	// instances takes four heartbeats.
	transferPageRecords = 64
	// maxIntroductions is the maximum number of peers that get a heartbeat only
	// because they have not sent one yet. Each may need a connection and a
	// handshake; 200 instances take 13 heartbeats.
	maxIntroductions = 16
	// introductionDelay is the time from learning of a process until it gets an
	// introduction. Gossip has spread by then, and two instances that already
	// know each other do not transfer their rosters.
	introductionDelay = 2 * HeartbeatInterval
	// randomPeersPeriod is how long the random peers stay the same. Each new one
	// needs a connection and a handshake.
	randomPeersPeriod = 30 * time.Second
)

// clusterSize returns the number of instances that are not dead, including this
// one.
func (r *Roster) clusterSize() int {
	n := 1
	for _, rec := range r.records {
		if rec.State != StateDead {
			n++
		}
	}
	return n
}

// maxSends returns how many heartbeats carry one update. Gossip needs a number
// of rounds that is logarithmic in the number of instances.
func (r *Roster) maxSends() int { return bits.Len(uint(len(r.records)+1)) + 1 }

// applyUpdate merges an update that another instance gossiped. Updates are
// ordered by sequence number; at the same sequence number a suspicion is newer,
// because it says that no heartbeat followed.
func (r *Roster) applyUpdate(now time.Time, update Instance) {
	if update.ID == r.self.ID {
		r.applySelfUpdate(update)
		return
	}
	if update.Incarnation == 0 {
		return
	}
	if update.State != StateLive {
		update.State = StateSuspected
	}
	rec := r.findOrCreate(now, update.ID)
	if rec == nil {
		return
	}
	other := update.Incarnation != rec.Incarnation
	if update.PeerAddress == "" {
		if other {
			return
		}
		update.Zone, update.CallerAddress, update.PeerAddress = rec.Zone, rec.CallerAddress, rec.PeerAddress
	}
	switch {
	case rec.Incarnation == 0:
		r.replaceIncarnation(now, rec, update)
	case update.Sequence < rec.Sequence:
		r.refuteStale(rec, update)
	case other:
		if update.Sequence > rec.Sequence || update.Incarnation > rec.Incarnation {
			r.replaceIncarnation(now, rec, update)
		}
	case !r.fullMeshSince.IsZero():
		r.applyUpdateInMesh(now, rec, update)
	case update.Sequence > rec.Sequence:
		r.applyNewer(now, rec, update)
	case update.State == StateSuspected && rec.State == StateLive:
		rec.State, rec.expectation = StateSuspected, ExpectNone
		r.scheduleGossip(rec)
	}
}

// applyUpdateInMesh merges an update but keeps the state that this instance has
// determined itself, because in a full mesh the peer sends it heartbeats
// directly. Only a dead peer becomes suspected again.
func (r *Roster) applyUpdateInMesh(now time.Time, rec *record, update Instance) {
	if update.Sequence <= rec.Sequence {
		return
	}
	heardAt := rec.HeardAt
	update.State = rec.State
	if rec.State == StateDead {
		update.State, heardAt = StateSuspected, now
	}
	r.applyNewer(now, rec, update)
	rec.HeardAt = heardAt
}

// refuteStale gossips the record again if a peer sent an outdated update with
// another incarnation or a false suspicion.
func (r *Roster) refuteStale(rec *record, update Instance) {
	if update.Incarnation != rec.Incarnation || update.State != StateLive && rec.State == StateLive {
		rec.sendsLeft = max(rec.sendsLeft, r.maxSends())
	}
}

// applySelfUpdate raises this instance's sequence number above that of an
// earlier process with the same ID. A suspicion needs no refutation: the next
// heartbeat has a higher sequence number.
func (r *Roster) applySelfUpdate(update Instance) {
	if update.Incarnation != r.self.Incarnation && update.Sequence >= r.self.Sequence {
		r.self.Sequence = update.Sequence + 1
	}
}

// NextHeartbeat increments the sequence number and returns the next heartbeat
// without loads. The same heartbeat goes to all recipients.
func (r *Roster) NextHeartbeat(now time.Time) Heartbeat {
	r.self.Sequence++
	r.heartbeats++
	heartbeat := Heartbeat{From: r.self, Deltas: r.nextDeltas()}
	if r.heartbeats%heartbeatsPerRefresh == 0 {
		if rec := r.nextRefresh(); rec != nil {
			repeat := rec.Instance
			repeat.Zone, repeat.CallerAddress, repeat.PeerAddress = "", "", ""
			heartbeat.Deltas = append(heartbeat.Deltas, repeat)
		}
	}
	r.publish(now)
	return heartbeat
}

// nextDeltas returns the updates that have been sent least often first, so that
// a burst does not delay new ones.
func (r *Roster) nextDeltas() []Instance {
	var pending []*record
	for _, id := range r.sortedIDs {
		if rec := r.records[id]; rec.sendsLeft > 0 && rec.Incarnation != 0 {
			pending = append(pending, rec)
		}
	}
	slices.SortStableFunc(pending, func(a, b *record) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	var deltas []Instance
	for _, rec := range pending[:min(len(pending), MaxDeltas)] {
		rec.sendsLeft--
		deltas = append(deltas, rec.Instance)
	}
	return deltas
}

// nextRefresh returns the next record to gossip unchanged, in round-robin order.
func (r *Roster) nextRefresh() *record {
	for range r.sortedIDs {
		r.refreshCursor = (r.refreshCursor + 1) % len(r.sortedIDs)
		rec := r.records[r.sortedIDs[r.refreshCursor]]
		if rec.Incarnation != 0 && rec.State != StateDead && rec.sendsLeft == 0 {
			return rec
		}
	}
	return nil
}

// Recipients returns the peers that get the next heartbeat.
func (r *Roster) Recipients(now time.Time, random uint64) []Recipient {
	if r.clusterSize() <= FullMeshMax {
		r.successors, r.randomIDs = nil, nil
		return r.recipients(r.allPeers())
	}
	chosen := map[string]Expectation{}
	for _, id := range r.successors {
		chosen[id] = ExpectNone // tells former successors to stop monitoring this instance
	}
	for id, rec := range r.records {
		if rec.replyDue || rec.transferLeft > 0 {
			chosen[id] = ExpectNone
			rec.replyDue = false
		}
	}
	r.addIntroductions(now, chosen)
	r.successors = r.ringSuccessors()
	for _, id := range r.successors {
		chosen[id] = ExpectMore
	}
	for _, id := range r.randomPeers(now, random) {
		chosen[id] = max(chosen[id], ExpectNone)
	}
	return r.recipients(chosen)
}

// addIntroductions adds listed peers that have not sent this instance a
// heartbeat. They answer with one, so that an instance need not wait for lease
// permission until the ring or a random choice has paired it with every other.
func (r *Roster) addIntroductions(now time.Time, chosen map[string]Expectation) {
	count := 0
	for i := range r.sortedIDs {
		// The start moves with each heartbeat, so that unreachable peers do not
		// take up all introductions.
		rec := r.records[r.sortedIDs[(i+int(r.heartbeats%uint64(len(r.sortedIDs)))*maxIntroductions)%len(r.sortedIDs)]]
		known := rec.Incarnation != 0 && rec.State == StateLive && now.Sub(rec.incarnationSince) >= introductionDelay
		if known && rec.listed && rec.lastDirect.IsZero() && count < maxIntroductions {
			chosen[rec.ID] = ExpectNone
			count++
		}
	}
}

func (r *Roster) allPeers() map[string]Expectation {
	chosen := map[string]Expectation{}
	for id, rec := range r.records {
		if rec.State != StateDead {
			chosen[id] = ExpectMore
		}
	}
	return chosen
}

func (r *Roster) recipients(chosen map[string]Expectation) []Recipient {
	var recipients []Recipient
	for _, id := range r.sortedIDs {
		rec := r.records[id]
		if expect, ok := chosen[id]; ok && rec.PeerAddress != "" {
			recipients = append(recipients, Recipient{rec.Instance, expect, r.nextTransferPage(rec)})
		}
	}
	return recipients
}

// nextTransferPage returns the next page of the roster for a peer. All instances
// that transfer their roster to the same peer send the same pages; a lost page
// is made up for by the refreshes.
func (r *Roster) nextTransferPage(to *record) []Instance {
	var page []Instance
	to.transferLeft = min(to.transferLeft, len(r.sortedIDs))
	for to.transferLeft > 0 && len(page) < transferPageRecords {
		to.transferLeft--
		rec := r.records[r.sortedIDs[to.transferLeft]]
		if rec != to && rec.Incarnation != 0 && rec.State != StateDead {
			page = append(page, rec.Instance)
		}
	}
	return page
}

// randomPeers returns the random peers, which it chooses anew every
// randomPeersPeriod. Suspected peers are candidates too, so that the two sides
// of a healed partition find each other.
func (r *Roster) randomPeers(now time.Time, random uint64) []string {
	valid := func(id string) bool {
		rec, ok := r.records[id]
		return ok && rec.State != StateDead && !slices.Contains(r.successors, id)
	}
	r.randomIDs = slices.DeleteFunc(r.randomIDs, func(id string) bool { return !valid(id) })
	if len(r.randomIDs) == RandomPeers && now.Before(r.randomUntil) {
		return r.randomIDs
	}
	r.randomUntil = now.Add(randomPeersPeriod)
	candidates := slices.DeleteFunc(slices.Clone(r.sortedIDs), func(id string) bool { return !valid(id) })
	shuffle(candidates, random)
	r.randomIDs = candidates[:min(len(candidates), RandomPeers)]
	return r.randomIDs
}

// ringPosition returns the position of an ID on the hash ring.
func ringPosition(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// FNV alone places similar IDs close together; the rest is the finalizer of
	// SplitMix64.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ring returns the IDs of the live instances, including this one, in ring
// order, and the index of this one.
func (r *Roster) ring() ([]string, int) {
	ids := []string{r.self.ID}
	for _, id := range r.sortedIDs {
		if r.records[id].State == StateLive {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(ringPosition(a), ringPosition(b)), cmp.Compare(a, b))
	})
	return ids, slices.Index(ids, r.self.ID)
}

// ringSuccessors returns the peers that this instance sends heartbeats to.
func (r *Roster) ringSuccessors() []string {
	ids, self := r.ring()
	var next []string
	for i := 1; i < len(ids) && i <= RingSuccessors; i++ {
		next = append(next, ids[(self+i)%len(ids)])
	}
	return next
}

// predecessors returns the peers that should send heartbeats to this instance.
func (r *Roster) predecessors() map[string]bool {
	ids, self := r.ring()
	before := map[string]bool{}
	for i := 1; i < len(ids) && i <= RingSuccessors; i++ {
		before[ids[(self-i+len(ids))%len(ids)]] = true
	}
	return before
}

// shuffle permutes the items in place, with random as the seed.
func shuffle[T any](items []T, random uint64) {
	const stream = 0x9e3779b97f4a7c15 // any constant will do: PCG takes two seeds
	generator := rand.New(rand.NewPCG(random, stream))
	generator.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
