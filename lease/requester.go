package lease

import (
	"hash/fnv"
	"time"
)

// Request is a message that requests consent for a lease from one peer, or
// releases that consent.
type Request struct {
	To     Participant
	Target string
	Round  uint64 // increases with each round of the requester
}

// Bounds of the random backoff after a refusal. It is random, so that two
// competing requesters do not collide again.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// round is one attempt to obtain the consent of all peers.
type round struct {
	number    uint64
	startedAt time.Time
	pending   map[Participant]bool // peers that have not consented yet
	refused   bool                 // the round failed or the lease was given up
}

// Requester acquires and renews the lease on one target by obtaining the
// consent of all peers. It is not safe for concurrent use.
type Requester struct {
	self   Participant
	target string

	current   round
	expiresAt time.Time // end of the lease
	notBefore time.Time // end of the backoff; no round starts before
}

// NewRequester returns a requester that holds no lease.
func NewRequester(self Participant, target string) *Requester {
	return &Requester{self: self, target: target}
}

// PreferredHolder returns the instance that should preferably hold the lease on
// a target, chosen by rendezvous hashing. Instances that know different sets of
// instances may choose different holders; this is safe, because the lease still
// requires consent.
func PreferredHolder(target string, instances []Participant) Participant {
	var best Participant
	var bestScore uint64
	for _, candidate := range instances {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(target))
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(candidate.Instance))
		if score := hash.Sum64(); best.Instance == "" || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// Due reports whether a new round should be started.
func (r *Requester) Due(now time.Time) bool {
	return !now.Before(r.notBefore) && now.Sub(r.current.startedAt) >= RenewInterval
}

// NextRequest returns the request of the next round, addressed to the granter of
// this instance, which must consent before BeginRound is called.
func (r *Requester) NextRequest() Request {
	return Request{To: r.self, Target: r.target, Round: r.current.number + 1}
}

// BeginRound starts a round and returns the requests to the peers, which are
// all other instances that may hold the lease or send to the target. The
// granter of this instance must already have consented. Without peers the lease
// is acquired immediately.
func (r *Requester) BeginRound(now time.Time, peers []Participant) []Request {
	r.current = round{number: r.current.number + 1, startedAt: now, pending: make(map[Participant]bool, len(peers))}
	requests := make([]Request, 0, len(peers))
	for _, peer := range peers {
		r.current.pending[peer] = true
		requests = append(requests, Request{To: peer, Target: r.target, Round: r.current.number})
	}
	r.acquireIfComplete()
	return requests
}

// HandleReply handles the reply of a peer to a request of the given round.
// Replies to earlier rounds are ignored. The result is true if the round
// failed: the caller must then call Abandon and release the lease at all peers
// once none of its requests are in flight.
func (r *Requester) HandleReply(now time.Time, from Participant, roundNumber uint64, reply Reply, random uint64) (failed bool) {
	if roundNumber != r.current.number || !r.current.pending[from] || r.current.refused {
		return false
	}
	if reply == ReplyGranted {
		delete(r.current.pending, from)
		r.acquireIfComplete()
		return false
	}
	r.current.refused = true
	r.notBefore = now.Add(minBackoff + time.Duration(random%uint64(maxBackoff-minBackoff)))
	return true
}

// acquireIfComplete acquires or renews the lease if all peers have consented.
func (r *Requester) acquireIfComplete() {
	if len(r.current.pending) == 0 && !r.current.refused {
		r.expiresAt = r.current.startedAt.Add(Term)
	}
}

// ExpiresAt returns the end of the lease. A zero time or one in the past means
// that no lease is held.
func (r *Requester) ExpiresAt() time.Time { return r.expiresAt }

// Abandon gives up the lease on this side and returns the release for the
// granters. It must not be sent before the last request of this instance to the
// target has ended.
func (r *Requester) Abandon() Request {
	r.expiresAt = time.Time{}
	r.current.refused = true
	return Request{Target: r.target, Round: r.current.number}
}
