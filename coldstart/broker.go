// Package coldstart connects the lease on cold targets with the links to them
// and with the other entry instances. It implements link.Lessor.
package coldstart

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fulmarhoist.example/lease"
	"fulmarhoist.example/link"
	"fulmarhoist.example/target"
)

// homeAdvantage is how long an instance that is not the home of a target waits
// before it asks for the lease. It keeps instances that all want the same target
// from refusing each other, and lets one without a working home have it.
const homeAdvantage = 300 * time.Millisecond

// queryInterval is the time between questions to peers whether a target is
// warm. A target is cold for seconds, so the answer comes early enough.
const queryInterval = 250 * time.Millisecond

// idleQueryInterval is the time between questions about targets that no request
// has come for yet, over all targets together. A new instance learns in seconds
// which targets are warm, without a burst of messages at many targets.
const idleQueryInterval = 50 * time.Millisecond

// Ask is the message that asks a peer for the lease, or only whether the target
// is warm.
type Ask struct {
	Target     string
	Round      uint64 // 0 asks only whether the target is warm
	Generation uint32 // the asking instance's number of the target's process
}

// Answer is the reply to an Ask.
type Answer struct {
	Target     string
	Round      uint64
	Generation uint32
	Reply      lease.Reply
}

// Release is the message that ends a lease.
type Release struct {
	Target string
	Round  uint64
}

// Sender sends messages to peers without waiting. A message may be lost.
type Sender interface {
	SendColdAsk(to lease.Holder, ask Ask)
	SendColdRelease(to lease.Holder, release Release)
}

// Members is what is known about the other instances. It is immutable.
type Members struct {
	// Ready is true once this instance has seen itself on the instance list and
	// has heard from every other listed instance. Before that another instance
	// could hold a lease without this one knowing.
	Ready bool
	// Peers are all other instances that may send to targets.
	Peers []lease.Holder
	// Live are the peers that are not suspected; a home is one of them.
	Live []lease.Holder
}

// Known finds what this instance has for a target.
type Known interface {
	// ByName returns the target and its links, or nil for a target that gets no
	// work from this instance.
	ByName(name string) (*target.Target, *link.Set)
	// MaxRun returns the longest time that a request may run on the target.
	MaxRun(name string) time.Duration
}

// Broker asks for leases and gives consent. Its mutex is held for short
// decisions only, never over I/O. It is not on the path of a request: the time
// until which a lease lasts is an atomic of the target.
type Broker struct {
	self    lease.Holder
	sender  Sender
	known   Known
	members func() *Members

	mu      sync.Mutex
	granter *lease.Granter
	prover  *lease.Prover
	wanted  map[string]*want // by target name
	idleAt  time.Time        // when a question about an unused target was last sent
}

// want is what this instance tries to get for one cold target.
type want struct {
	asker     *lease.Requester
	release   *lease.Request // not sent yet, because work still runs
	since     time.Time      // when this instance began to want the target
	queriedAt time.Time
	queried   lease.Holder // the peer that is asked whether the target is warm
	questions int          // how often it was asked
	warm      uint32       // generation that a peer has proved to be warm
}

// NewBroker returns a broker of the given incarnation.
func NewBroker(self lease.Holder, sender Sender, known Known, members func() *Members) *Broker {
	return &Broker{
		self:    self,
		sender:  sender,
		known:   known,
		members: members,
		granter: lease.NewGranter(),
		prover:  lease.NewProver(),
		wanted:  make(map[string]*want),
	}
}

func (b *Broker) want(name string) *want {
	w := b.wanted[name]
	if w == nil {
		w = &want{asker: lease.NewRequester(b.self, name)}
		b.wanted[name] = w
	}
	return w
}

// ColdLease implements link.Lessor. The owner of the target's links calls it
// every few milliseconds while the target is cold.
func (b *Broker) ColdLease(now time.Time, t *target.Target, generation uint32) time.Time {
	members := b.members()
	b.mu.Lock()
	w := b.want(t.Spec.Name)
	released := b.settleRelease(t, w)
	if w.since.IsZero() {
		w.since = now
	}
	var asks []lease.Request
	if members.Ready && w.release == nil && b.mayAsk(now, t, w, members) {
		asks = b.renew(now, t, w, members)
	}
	query, ask := b.query(now, w, members)
	until := w.asker.ExpiresAt()
	b.mu.Unlock()

	for _, request := range asks {
		b.sender.SendColdAsk(request.To, Ask{Target: request.Target, Round: request.Round, Generation: generation})
	}
	if ask {
		b.sender.SendColdAsk(query, Ask{Target: t.Spec.Name, Generation: generation})
	}
	b.sendRelease(released, members)
	return until
}

// Relinquish implements link.Lessor.
func (b *Broker) Relinquish(now time.Time, t *target.Target, generation uint32) {
	members := b.members()
	b.mu.Lock()
	w := b.want(t.Spec.Name)
	w.since = time.Time{}
	if w.release == nil && now.Before(w.asker.ExpiresAt()) {
		b.drop(w)
	}
	released := b.settleRelease(t, w)
	var peer lease.Holder
	ask := now.Sub(b.idleAt) >= idleQueryInterval
	if ask {
		if peer, ask = b.query(now, w, members); ask {
			b.idleAt = now
		}
	}
	b.mu.Unlock()
	b.sendRelease(released, members)
	if ask {
		b.sender.SendColdAsk(peer, Ask{Target: t.Spec.Name, Generation: generation})
	}
}

func (b *Broker) mayAsk(now time.Time, t *target.Target, w *want, members *Members) bool {
	if now.Before(w.asker.ExpiresAt()) || now.Sub(w.since) >= homeAdvantage {
		return true
	}
	return lease.Home(t.Spec.Name, append([]lease.Holder{b.self}, members.Live...)) == b.self
}

func (b *Broker) renew(now time.Time, t *target.Target, w *want, members *Members) []lease.Request {
	if !w.asker.Due(now) {
		return nil
	}
	maxRun := b.known.MaxRun(t.Spec.Name)
	if b.granter.Ask(now, w.asker.NextRequest(), b.self, maxRun) != lease.ReplyGranted {
		return nil
	}
	return w.asker.BeginRound(now, members.Peers)
}

// questionsPerPeer is how often one peer is asked before another one is. A peer
// proves warmth by work after the first question, so it needs a second one.
const questionsPerPeer = 4

// query chooses a peer to ask whether the target is warm.
func (b *Broker) query(now time.Time, w *want, members *Members) (lease.Holder, bool) {
	if len(members.Live) == 0 || now.Sub(w.queriedAt) < queryInterval {
		return lease.Holder{}, false
	}
	w.queriedAt = now
	if w.questions%questionsPerPeer == 0 || !slices.Contains(members.Live, w.queried) {
		w.queried, w.questions = members.Live[rand.N(len(members.Live))], 0
	}
	w.questions++
	return w.queried, true
}

func (b *Broker) drop(w *want) {
	request := w.asker.Abandon()
	w.release = &request
}

// settleRelease returns a release that may be sent now, because no work of this
// instance runs on the target any more.
func (b *Broker) settleRelease(t *target.Target, w *want) *lease.Request {
	if w.release == nil {
		return nil
	}
	// Work that started before this line is in flight; work that has not started
	// is refused. The other order would let some start after the release.
	t.Lease(time.Time{})
	if t.InFlight() > 0 {
		return nil
	}
	request := *w.release
	w.release = nil
	b.granter.Release(request, b.self)
	return &request
}

func (b *Broker) sendRelease(request *lease.Request, members *Members) {
	if request == nil {
		return
	}
	for _, peer := range members.Peers {
		b.sender.SendColdRelease(peer, Release{Target: request.Target, Round: request.Round})
	}
}

// ProvedWarm implements link.Lessor.
func (b *Broker) ProvedWarm(t *target.Target) bool {
	_, generation := t.State()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.wanted[t.Spec.Name]
	return w != nil && w.warm == generation
}

// Warm implements link.Lessor: it ends the lease on a target that is no longer
// cold.
func (b *Broker) Warm(t *target.Target) {
	members := b.members()
	b.mu.Lock()
	w := b.want(t.Spec.Name)
	request := w.asker.Abandon()
	w.release = nil
	w.since = time.Time{}
	b.granter.Release(request, b.self)
	b.mu.Unlock()
	b.sendRelease(&request, members)
}

// OnAsk decides on a peer's message. An instance that believes the target warm does not
// consent: it goes on sending, and proves to the asking instance that the target
// is warm. If its belief is wrong, its links break and the next round finds the
// target cold here too.
func (b *Broker) OnAsk(now time.Time, from lease.Holder, ask Ask) lease.Reply {
	t, set := b.known.ByName(ask.Target)
	b.mu.Lock()
	defer b.mu.Unlock()
	if t != nil && set != nil {
		if state, _ := t.State(); state == target.StateWarming || state == target.StateWarm {
			if b.prover.Query(now, ask.Target, from, ask.Generation, set.Proved()) {
				return lease.ReplyWarm
			}
			set.WantProof()
			return lease.ReplyRefused
		}
	}
	if ask.Round == 0 {
		return lease.ReplyRefused
	}
	request := lease.Request{Target: ask.Target, Round: ask.Round}
	return b.granter.Ask(now, request, from, b.known.MaxRun(ask.Target))
}

// OnAnswer handles a peer's reply.
func (b *Broker) OnAnswer(now time.Time, from lease.Holder, answer Answer) {
	t, _ := b.known.ByName(answer.Target)
	if t == nil {
		return
	}
	_, generation := t.State()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.wanted[answer.Target]
	if w == nil {
		return
	}
	if answer.Reply == lease.ReplyWarm && answer.Generation == generation {
		w.warm = generation
	}
	if answer.Round != 0 && w.asker.HandleReply(now, from, answer.Round, answer.Reply, rand.Uint64()) && w.release == nil {
		b.drop(w)
	}
}

// OnRelease handles the end of a peer's lease.
func (b *Broker) OnRelease(from lease.Holder, release Release) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granter.Release(lease.Request{Target: release.Target, Round: release.Round}, from)
}

// Gone records that the process of an incarnation has certainly ended. A broken
// connection alone does not show that: something between the two may have cut it.
func (b *Broker) Gone(holder lease.Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granter.Forget(holder)
	b.prover.Forget(holder.Instance)
}
