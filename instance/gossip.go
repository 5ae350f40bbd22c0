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
	// MaxDeltas bounds the news in one heartbeat. With about 75 bytes each, a
	// burst after a partition of 200 instances passes within seconds.
	MaxDeltas = 32
	// refreshEvery is how many heartbeats pass between two that repeat a record
	// without a change. Repeats carry ticket epochs to instances that get no
	// heartbeat from the owner, and repair lost news.
	refreshEvery = 2
	// transferPage is how many records one heartbeat passes to a peer that has
	// started or was out of reach; 200 instances take four heartbeats.
	transferPage = 64
	// greetingsPerBeat bounds the peers that are sent a heartbeat only because
	// they have not sent one yet. Each may cost a connection and a handshake; 200
	// instances take 13 heartbeats.
	greetingsPerBeat = 16
	// greetAfter is how long news of a process spreads before it is greeted. Two
	// instances that know each other by then do not pass on their rosters.
	greetAfter = 2 * HeartbeatInterval
	// randomKept is how long the random peers stay the same. Each new one costs
	// a connection and a handshake.
	randomKept = 30 * time.Second
)

// size counts the instances that are not dead, with this one.
func (r *Roster) size() int {
	n := 1
	for _, rec := range r.records {
		if rec.State != StateDead {
			n++
		}
	}
	return n
}

// sendLimit is how many heartbeats carry one piece of news. An epidemic needs a
// number of rounds that is logarithmic in the number of instances.
func (r *Roster) sendLimit() int { return bits.Len(uint(len(r.records)+1)) + 1 }

// learn takes second-hand news in. News is newer by sequence; at the same
// sequence a suspicion is newer, because it says that no heartbeat followed.
func (r *Roster) learn(now time.Time, news Instance) {
	if news.ID == r.self.ID {
		r.learnSelf(news)
		return
	}
	if news.Incarnation == 0 {
		return
	}
	if news.State != StateLive {
		news.State = StateSuspected
	}
	rec := r.find(now, news.ID)
	if rec == nil {
		return
	}
	other := news.Incarnation != rec.Incarnation
	if news.PeerAddress == "" {
		if other {
			return
		}
		news.Zone, news.CallerAddress, news.PeerAddress = rec.Zone, rec.CallerAddress, rec.PeerAddress
	}
	switch {
	case rec.Incarnation == 0:
		r.replace(now, rec, news)
	case news.Sequence < rec.Sequence:
		r.contradict(rec, news)
	case other:
		if news.Sequence > rec.Sequence || news.Incarnation > rec.Incarnation {
			r.replace(now, rec, news)
		}
	case !r.meshSince.IsZero():
		r.learnInMesh(now, rec, news)
	case news.Sequence > rec.Sequence:
		r.advance(now, rec, news)
	case news.State == StateSuspected && rec.State == StateLive:
		rec.State, rec.expect = StateSuspected, ExpectNone
		r.spread(rec)
	}
}

// learnInMesh takes facts but keeps this instance's own judgment, because in a
// full mesh it hears the peer itself.
func (r *Roster) learnInMesh(now time.Time, rec *record, news Instance) {
	if news.Sequence <= rec.Sequence {
		return
	}
	heardAt := rec.HeardAt
	news.State = rec.State
	if rec.State == StateDead {
		news.State, heardAt = StateSuspected, now
	}
	r.advance(now, rec, news)
	rec.HeardAt = heardAt
}

// contradict passes on what this instance knows if a peer spreads something
// that is out of date and matters.
func (r *Roster) contradict(rec *record, news Instance) {
	if news.Incarnation != rec.Incarnation || news.State != StateLive && rec.State == StateLive {
		rec.sends = max(rec.sends, r.sendLimit())
	}
}

// learnSelf moves this instance's sequence above that of an earlier process
// with the same ID. A suspicion needs no answer of its own: the next heartbeat
// has a higher sequence.
func (r *Roster) learnSelf(news Instance) {
	if news.Incarnation != r.self.Incarnation && news.Sequence >= r.self.Sequence {
		r.self.Sequence = news.Sequence + 1
	}
}

// NextBeat returns the next heartbeat without loads, and advances the sequence.
// The same heartbeat goes to all recipients.
func (r *Roster) NextBeat(now time.Time) Beat {
	r.self.Sequence++
	r.beats++
	beat := Beat{From: r.self, Deltas: r.takeDeltas()}
	if r.beats%refreshEvery == 0 {
		if rec := r.nextRefresh(); rec != nil {
			repeat := rec.Instance
			repeat.Zone, repeat.CallerAddress, repeat.PeerAddress = "", "", ""
			beat.Deltas = append(beat.Deltas, repeat)
		}
	}
	r.publish(now)
	return beat
}

// takeDeltas returns the freshest news first, so that a burst does not delay it.
func (r *Roster) takeDeltas() []Instance {
	var pending []*record
	for _, id := range r.order {
		if rec := r.records[id]; rec.sends > 0 && rec.Incarnation != 0 {
			pending = append(pending, rec)
		}
	}
	slices.SortStableFunc(pending, func(a, b *record) int { return cmp.Compare(b.sends, a.sends) })
	var deltas []Instance
	for _, rec := range pending[:min(len(pending), MaxDeltas)] {
		rec.sends--
		deltas = append(deltas, rec.Instance)
	}
	return deltas
}

func (r *Roster) nextRefresh() *record {
	for range r.order {
		r.refreshNext = (r.refreshNext + 1) % len(r.order)
		rec := r.records[r.order[r.refreshNext]]
		if rec.Incarnation != 0 && rec.State != StateDead && rec.sends == 0 {
			return rec
		}
	}
	return nil
}

// Recipients returns the peers that get the next heartbeat.
func (r *Roster) Recipients(now time.Time, random uint64) []Recipient {
	if r.size() <= FullMeshMax {
		r.successors, r.random = nil, nil
		return r.recipients(r.allPeers())
	}
	chosen := map[string]Expectation{}
	for _, id := range r.successors {
		chosen[id] = ExpectNone // tells former successors to stop watching
	}
	for id, rec := range r.records {
		if rec.owed || rec.transfer > 0 {
			chosen[id] = ExpectNone
			rec.owed = false
		}
	}
	r.greet(now, chosen)
	r.successors = r.ringSuccessors()
	for _, id := range r.successors {
		chosen[id] = ExpectMore
	}
	for _, id := range r.randomPeers(now, random) {
		chosen[id] = max(chosen[id], ExpectNone)
	}
	return r.recipients(chosen)
}

// greet adds listed peers that this instance has not heard directly. They answer
// once, so that the permission for leases does not wait until the ring or a
// random choice brings every pair together.
func (r *Roster) greet(now time.Time, chosen map[string]Expectation) {
	count := 0
	for i := range r.order {
		// Peers that cannot be reached must not keep others from their turn.
		rec := r.records[r.order[(i+int(r.beats%uint64(len(r.order)))*greetingsPerBeat)%len(r.order)]]
		known := rec.Incarnation != 0 && rec.State == StateLive && now.Sub(rec.runsSince) >= greetAfter
		if known && rec.listed && rec.direct.IsZero() && count < greetingsPerBeat {
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
	for _, id := range r.order {
		rec := r.records[id]
		if expect, ok := chosen[id]; ok && rec.PeerAddress != "" {
			recipients = append(recipients, Recipient{rec.Instance, expect, r.takeTransfer(rec)})
		}
	}
	return recipients
}

// takeTransfer returns the next page of the roster for a peer. Peers that serve
// the same one pass the same pages; a lost page is left to the refreshes.
func (r *Roster) takeTransfer(to *record) []Instance {
	var page []Instance
	to.transfer = min(to.transfer, len(r.order))
	for to.transfer > 0 && len(page) < transferPage {
		to.transfer--
		rec := r.records[r.order[to.transfer]]
		if rec != to && rec.Incarnation != 0 && rec.State != StateDead {
			page = append(page, rec.Instance)
		}
	}
	return page
}

// randomPeers keeps its choice for randomKept. Suspected peers are candidates,
// so that the halves of a healed partition find each other.
func (r *Roster) randomPeers(now time.Time, random uint64) []string {
	valid := func(id string) bool {
		rec, ok := r.records[id]
		return ok && rec.State != StateDead && !slices.Contains(r.successors, id)
	}
	r.random = slices.DeleteFunc(r.random, func(id string) bool { return !valid(id) })
	if len(r.random) == RandomPeers && now.Before(r.randomUntil) {
		return r.random
	}
	r.randomUntil = now.Add(randomKept)
	candidates := slices.DeleteFunc(slices.Clone(r.order), func(id string) bool { return !valid(id) })
	shuffle(candidates, random)
	r.random = candidates[:min(len(candidates), RandomPeers)]
	return r.random
}

// place is the position of an ID on the ring.
func place(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// FNV alone leaves similar IDs close together; this is the finalizer of
	// SplitMix64.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ring returns the live instances, with this one, in ring order, and the index
// of this one.
func (r *Roster) ring() ([]string, int) {
	ids := []string{r.self.ID}
	for _, id := range r.order {
		if r.records[id].State == StateLive {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a, b))
	})
	return ids, slices.Index(ids, r.self.ID)
}

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

// shuffle orders items by a random word.
func shuffle[T any](items []T, random uint64) {
	const stream = 0x9e3779b97f4a7c15 // any constant: PCG needs a second word
	generator := rand.New(rand.NewPCG(random, stream))
	generator.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
