// Package lease decides which entry instance may send to a cold target that can
// handle fewer concurrent requests than there are instances.
//
// At most one instance at a time holds the lease on a target. It needs the
// consent of every other instance that it knows. A Granter gives consent, a
// Requester obtains it. Both are event-driven and not safe for concurrent use.
// Time and randomness are passed in by the caller, and the package does no I/O.
//
// Mutual exclusion relies on two rules. First, an instance that has consented
// neither sends to the target nor consents to another instance until the lease
// term plus the longest execution time of a request have passed on its clock.
// Second, a holder measures its term from the time of its request, which is
// earlier than any consent, and checks it directly before each write. Therefore
// a holder that was paused stops sending before any granter consents to another
// instance. Clocks must run at the same rate, but need not be synchronized.
package lease

import "time"

const (
	// Term is the duration of a lease, measured from the request for it.
	Term = 2 * time.Second
	// RenewInterval is the time between requests for the same lease. A term has
	// four of them, so that three consecutive lost messages do not end the lease.
	RenewInterval = 500 * time.Millisecond
)

// Participant is one incarnation of an entry instance.
type Participant struct {
	Instance    string
	Incarnation uint64
}

// Reply is the answer to a request for a lease.
type Reply uint8

const (
	// ReplyRefused means that there is no consent: another instance may hold the
	// lease or may still have requests in flight.
	ReplyRefused Reply = iota
	// ReplyGranted means that the granter consents.
	ReplyGranted
	// ReplyWarm means that the replying instance has proved, since it was first
	// queried, that the current process of the target is warm. No lease is
	// needed.
	ReplyWarm
)

// grant is the consent given to one holder for one target.
type grant struct {
	holder    Participant
	round     uint64 // highest round for which consent was requested
	expiresAt time.Time
}

// Granter stores the consents that this instance has given, including those to
// itself.
type Granter struct {
	grants         map[string]grant      // by target name
	releasedRounds map[releaseKey]uint64 // highest round released
}

// releaseKey identifies the releases of one target by one holder.
type releaseKey struct {
	target string
	holder Participant
}

// NewGranter returns a granter that has given no consent.
func NewGranter() *Granter {
	return &Granter{grants: make(map[string]grant), releasedRounds: make(map[releaseKey]uint64)}
}

// HandleRequest handles a request for the lease on a target. The argument
// maxRun is the longest time for which a request may execute on the target.
// Another request from the same holder renews its grant. A request that arrives
// after the release of its round is refused: the holder would not release the
// grant again, so that it would block other instances until it expires.
func (g *Granter) HandleRequest(now time.Time, request Request, from Participant, maxRun time.Duration) Reply {
	if request.Round <= g.releasedRounds[releaseKey{request.Target, from}] {
		return ReplyRefused
	}
	held, ok := g.grants[request.Target]
	if ok && held.holder != from && now.Before(held.expiresAt) {
		return ReplyRefused
	}
	next := grant{holder: from, round: request.Round, expiresAt: now.Add(Term + maxRun)}
	if ok && held.holder == from {
		next.round = max(next.round, held.round)
		if held.expiresAt.After(next.expiresAt) {
			next.expiresAt = held.expiresAt
		}
	}
	g.grants[request.Target] = next
	return ReplyGranted
}

// Release ends the grant of a holder that has no more requests in flight. A
// release that arrives after a request of a later round does not end the
// renewed grant.
func (g *Granter) Release(request Request, from Participant) {
	key := releaseKey{request.Target, from}
	g.releasedRounds[key] = max(g.releasedRounds[key], request.Round)
	held := g.grants[request.Target]
	if held.holder == from && held.round <= request.Round {
		delete(g.grants, request.Target)
	}
}

// Forget ends all grants of an incarnation whose process is known to have
// ended. This is safe, because the connections of the process to targets have
// ended too.
func (g *Granter) Forget(holder Participant) {
	for target, held := range g.grants {
		if held.holder == holder {
			delete(g.grants, target)
		}
	}
	for key := range g.releasedRounds {
		if key.holder == holder {
			delete(g.releasedRounds, key)
		}
	}
}

// Holder returns the holder of the unexpired grant for the target, and false if
// there is none.
func (g *Granter) Holder(now time.Time, target string) (Participant, bool) {
	held, ok := g.grants[target]
	if !ok || !now.Before(held.expiresAt) {
		return Participant{}, false
	}
	return held.holder, true
}
