// Package coldstart acquires and grants leases on cold targets. It connects the
// lease protocol with the links to the targets and with the other entry
// instances, and implements link.Lessor.
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

// preferredHolderDelay is the time that an instance that is not the preferred
// holder of the lease on a target waits before it requests the lease. It
// prevents instances that need the same target from refusing each other, and
// still allows another instance to acquire the lease if the preferred holder
// does not work.
const preferredHolderDelay = 300 * time.Millisecond

// queryInterval is the time between queries to peers whether a target is warm. A
// target is cold for seconds, so that this is frequent enough.
const queryInterval = 250 * time.Millisecond

// idleQueryInterval is the time between queries about targets for which this
// instance has no requests, over all such targets together. A new instance thus
// learns within seconds which targets are warm, without a burst of messages if
// there are many targets.
const idleQueryInterval = 50 * time.Millisecond

// LeaseRequest is the message that requests the lease from a peer or queries
// whether the target is warm.
type LeaseRequest struct {
	Target     string
	Round      uint64 // 0 for a query without a request for the lease
	Generation uint32 // number by which the sender identifies the target's process
}

// LeaseReply is the reply to a LeaseRequest.
type LeaseReply struct {
	Target     string
	Round      uint64
	Generation uint32
	Reply      lease.Reply
}

// LeaseRelease is the message that releases a lease.
type LeaseRelease struct {
	Target string
	Round  uint64
}

// Sender sends messages to peers without blocking. Messages may be lost.
type Sender interface {
	SendLeaseRequest(to lease.Participant, request LeaseRequest)
	SendLeaseRelease(to lease.Participant, release LeaseRelease)
}

// Members is the membership of the deployment as this instance knows it. It is
// immutable.
type Members struct {
	// Ready is true once this instance has found itself on the instance list
	// and has been contacted by every other listed instance. Before that
	// another instance could hold a lease that this one does not know of.
	Ready bool
	// Peers are all other instances that may send to targets.
	Peers []lease.Participant
	// Live are the peers that are not suspected of having failed. The preferred
	// holder of a lease is chosen from them and this instance.
	Live []lease.Participant
}

// Targets looks up the targets of this instance.
type Targets interface {
	// ByName returns the target and its links, or nil for a target that this
	// instance does not use.
	ByName(name string) (*target.Target, *link.Set)
	// MaxRun returns the longest time for which a request may execute on the
	// target.
	MaxRun(name string) time.Duration
}

// Broker requests leases for this instance and grants them to peers. It is safe
// for concurrent use. Its mutex is never held during I/O. The Broker is not on
// the request path: the end of a lease is stored in an atomic field of the
// target.
type Broker struct {
	self    lease.Participant
	sender  Sender
	targets Targets
	members func() *Members

	mu      sync.Mutex
	granter *lease.Granter
	prover  *lease.Prover
	leases  map[string]*leaseState // by target name

	idleQueriedAt time.Time // when the last query about an unused target was sent
}

// leaseState is the state of acquiring the lease on one target, and of querying
// peers whether that target is warm.
type leaseState struct {
	requester      *lease.Requester
	pendingRelease *lease.Request // to be sent once no request is in flight; nil if none
	neededSince    time.Time      // when this instance started to need the target; zero if it does not

	queriedAt      time.Time
	queriedPeer    lease.Participant
	peerQueries    int    // queries sent to queriedPeer
	warmGeneration uint32 // generation that a peer has proved to be warm
}

// NewBroker returns the broker of the given incarnation. The function members
// returns the current membership.
func NewBroker(self lease.Participant, sender Sender, targets Targets, members func() *Members) *Broker {
	return &Broker{
		self:    self,
		sender:  sender,
		targets: targets,
		members: members,
		granter: lease.NewGranter(),
		prover:  lease.NewProver(),
		leases:  make(map[string]*leaseState),
	}
}

// stateOf returns the state of the lease on a target, which it creates if
// necessary.
func (b *Broker) stateOf(name string) *leaseState {
	l := b.leases[name]
	if l == nil {
		l = &leaseState{requester: lease.NewRequester(b.self, name)}
		b.leases[name] = l
	}
	return l
}

// ColdLease implements link.Lessor. It is called at each warm-up step, about
// every 20 ms, while the target is cold and this instance needs it.
func (b *Broker) ColdLease(now time.Time, t *target.Target, generation uint32) time.Time {
	members := b.members()
	b.mu.Lock()
	l := b.stateOf(t.Spec.Name)
	released := b.takeRelease(t, l)
	if l.neededSince.IsZero() {
		l.neededSince = now
	}
	var requests []lease.Request
	if members.Ready && l.pendingRelease == nil && b.mayRequest(now, t, l, members) {
		requests = b.renew(now, t, l, members)
	}
	peer, query := b.query(now, l, members)
	until := l.requester.ExpiresAt()
	b.mu.Unlock()

	for _, request := range requests {
		b.sender.SendLeaseRequest(request.To, LeaseRequest{Target: request.Target, Round: request.Round, Generation: generation})
	}
	if query {
		b.sender.SendLeaseRequest(peer, LeaseRequest{Target: t.Spec.Name, Generation: generation})
	}
	b.sendRelease(released, members)
	return until
}

// Relinquish implements link.Lessor.
func (b *Broker) Relinquish(now time.Time, t *target.Target, generation uint32) {
	members := b.members()
	b.mu.Lock()
	l := b.stateOf(t.Spec.Name)
	l.neededSince = time.Time{}
	if l.pendingRelease == nil && now.Before(l.requester.ExpiresAt()) {
		b.abandon(l)
	}
	released := b.takeRelease(t, l)
	var peer lease.Participant
	query := now.Sub(b.idleQueriedAt) >= idleQueryInterval
	if query {
		if peer, query = b.query(now, l, members); query {
			b.idleQueriedAt = now
		}
	}
	b.mu.Unlock()
	b.sendRelease(released, members)
	if query {
		b.sender.SendLeaseRequest(peer, LeaseRequest{Target: t.Spec.Name, Generation: generation})
	}
}

// mayRequest reports whether this instance may request the lease now: to renew
// it, as the preferred holder, or after preferredHolderDelay.
func (b *Broker) mayRequest(now time.Time, t *target.Target, l *leaseState, members *Members) bool {
	if now.Before(l.requester.ExpiresAt()) || now.Sub(l.neededSince) >= preferredHolderDelay {
		return true
	}
	return lease.PreferredHolder(t.Spec.Name, append([]lease.Participant{b.self}, members.Live...)) == b.self
}

// renew starts a round to acquire or renew the lease if one is due. It returns
// the requests to send.
func (b *Broker) renew(now time.Time, t *target.Target, l *leaseState, members *Members) []lease.Request {
	if !l.requester.Due(now) {
		return nil
	}
	maxRun := b.targets.MaxRun(t.Spec.Name)
	if b.granter.HandleRequest(now, l.requester.NextRequest(), b.self, maxRun) != lease.ReplyGranted {
		return nil
	}
	return l.requester.BeginRound(now, members.Peers)
}

// queriesPerPeer is the number of consecutive queries to one peer before
// another one is chosen. A peer proves warmth by a request that it sends after
// the first query, so that it needs at least a second query.
const queriesPerPeer = 4

// query chooses a peer to query whether the target is warm. It returns false if
// no query is due or there is no live peer.
func (b *Broker) query(now time.Time, l *leaseState, members *Members) (lease.Participant, bool) {
	if len(members.Live) == 0 || now.Sub(l.queriedAt) < queryInterval {
		return lease.Participant{}, false
	}
	l.queriedAt = now
	if l.peerQueries%queriesPerPeer == 0 || !slices.Contains(members.Live, l.queriedPeer) {
		l.queriedPeer, l.peerQueries = members.Live[rand.N(len(members.Live))], 0
	}
	l.peerQueries++
	return l.queriedPeer, true
}

// abandon gives up the lease. Its release is sent later; see takeRelease.
func (b *Broker) abandon(l *leaseState) {
	request := l.requester.Abandon()
	l.pendingRelease = &request
}

// takeRelease returns the pending release if it may be sent now, because this
// instance has no more requests in flight to the target. Otherwise it returns
// nil.
func (b *Broker) takeRelease(t *target.Target, l *leaseState) *lease.Request {
	if l.pendingRelease == nil {
		return nil
	}
	// The order matters: requests admitted before this line are counted as in
	// flight, and no others are admitted. If the lease ended after the check, a
	// request could start after the release.
	t.Lease(time.Time{})
	if t.InFlight() > 0 {
		return nil
	}
	request := *l.pendingRelease
	l.pendingRelease = nil
	b.granter.Release(request, b.self)
	return &request
}

// sendRelease sends a release to all peers. A nil release is ignored.
func (b *Broker) sendRelease(request *lease.Request, members *Members) {
	if request == nil {
		return
	}
	for _, peer := range members.Peers {
		b.sender.SendLeaseRelease(peer, LeaseRelease{Target: request.Target, Round: request.Round})
	}
}

// ProvedWarm implements link.Lessor.
func (b *Broker) ProvedWarm(t *target.Target) bool {
	_, generation := t.State()
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leases[t.Spec.Name]
	return l != nil && l.warmGeneration == generation
}

// AnnounceWarm implements link.Lessor. It ends the lease on a target that is no
// longer cold.
func (b *Broker) AnnounceWarm(t *target.Target) {
	members := b.members()
	b.mu.Lock()
	l := b.stateOf(t.Spec.Name)
	request := l.requester.Abandon()
	l.pendingRelease = nil
	l.neededSince = time.Time{}
	b.granter.Release(request, b.self)
	b.mu.Unlock()
	b.sendRelease(&request, members)
}

// HandleLeaseRequest handles a LeaseRequest from a peer. An instance that
// considers the target warm does not consent: it continues to send, and proves
// to the peer that the target is warm. If the target is not warm because its
// process has restarted, the links of this instance break, so that a later
// round finds the target cold here too.
func (b *Broker) HandleLeaseRequest(now time.Time, from lease.Participant, request LeaseRequest) lease.Reply {
	t, set := b.targets.ByName(request.Target)
	b.mu.Lock()
	defer b.mu.Unlock()
	if t != nil && set != nil {
		if state, _ := t.State(); state == target.StateWarming || state == target.StateWarm {
			if b.prover.Query(now, request.Target, from, request.Generation, set.LastProof()) {
				return lease.ReplyWarm
			}
			set.RequestProof()
			return lease.ReplyRefused
		}
	}
	if request.Round == 0 {
		return lease.ReplyRefused
	}
	consentRequest := lease.Request{Target: request.Target, Round: request.Round}
	return b.granter.HandleRequest(now, consentRequest, from, b.targets.MaxRun(request.Target))
}

// HandleLeaseReply handles the reply of a peer to a LeaseRequest.
func (b *Broker) HandleLeaseReply(now time.Time, from lease.Participant, reply LeaseReply) {
	t, _ := b.targets.ByName(reply.Target)
	if t == nil {
		return
	}
	_, generation := t.State()
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leases[reply.Target]
	if l == nil {
		return
	}
	if reply.Reply == lease.ReplyWarm && reply.Generation == generation {
		l.warmGeneration = generation
	}
	if reply.Round != 0 && l.requester.HandleReply(now, from, reply.Round, reply.Reply, rand.Uint64()) && l.pendingRelease == nil {
		b.abandon(l)
	}
}

// HandleLeaseRelease handles the release of a lease by a peer.
func (b *Broker) HandleLeaseRelease(from lease.Participant, release LeaseRelease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granter.Release(lease.Request{Target: release.Target, Round: release.Round}, from)
}

// HolderEnded records that the process of an incarnation is known to have
// ended. A broken connection alone is no evidence of that, because the network
// may have caused it.
func (b *Broker) HolderEnded(holder lease.Participant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granter.Forget(holder)
	b.prover.Forget(holder.Instance)
}
