package lease

import (
	"hash/fnv"
	"time"
)

// Request is a message to ask one peer for consent, or to release it.
type Request struct {
	To     Holder
	Target string
	Round  uint64
}

// backoff bounds the random pause after a refusal, so that two askers do not
// meet again at the same moment.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// round is one attempt to collect the consent of all peers.
type round struct {
	number  uint64
	began   time.Time
	missing map[Holder]bool
	refused bool
}

// Asker collects consent for the lease on one target.
type Asker struct {
	self   Holder
	target string

	current   round
	until     time.Time
	notBefore time.Time
}

// NewAsker returns an asker that holds no lease.
func NewAsker(self Holder, target string) *Asker {
	return &Asker{self: self, target: target}
}

// Home returns the instance that should hold the lease on a target: the first
// one by rendezvous hashing. Instances with different views may name different
// homes; the need for consent resolves that.
func Home(target string, instances []Holder) Holder {
	var best Holder
	var bestScore uint64
	for _, candidate := range instances {
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(target))
		_, _ = sum.Write([]byte{0})
		_, _ = sum.Write([]byte(candidate.Instance))
		if score := sum.Sum64(); best.Instance == "" || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// Due tells whether a new round should begin.
func (a *Asker) Due(now time.Time) bool {
	return !now.Before(a.notBefore) && now.Sub(a.current.began) >= RenewInterval
}

// Next returns the request of the next round, for the asker's own granter. It
// must consent before Begin is called.
func (a *Asker) Next() Request {
	return Request{To: a.self, Target: a.target, Round: a.current.number + 1}
}

// Begin starts a round. The asker's own granter must have consented already.
// Peers are all other instances that may hold the lease or send to the target.
// Without peers the lease is taken at once.
func (a *Asker) Begin(now time.Time, peers []Holder) []Request {
	a.current = round{number: a.current.number + 1, began: now, missing: make(map[Holder]bool, len(peers))}
	requests := make([]Request, 0, len(peers))
	for _, peer := range peers {
		a.current.missing[peer] = true
		requests = append(requests, Request{To: peer, Target: a.target, Round: a.current.number})
	}
	a.conclude()
	return requests
}

// Answered handles a peer's reply. The result is true if the round failed: the
// caller then releases the lease at all peers once no work of it runs.
func (a *Asker) Answered(now time.Time, from Holder, number uint64, reply Reply, random uint64) (failed bool) {
	if number != a.current.number || !a.current.missing[from] || a.current.refused {
		return false
	}
	if reply == ReplyGranted {
		delete(a.current.missing, from)
		a.conclude()
		return false
	}
	a.current.refused = true
	a.notBefore = now.Add(minBackoff + time.Duration(random%uint64(maxBackoff-minBackoff)))
	return true
}

func (a *Asker) conclude() {
	if len(a.current.missing) == 0 && !a.current.refused {
		a.until = a.current.began.Add(Term)
	}
}

// Until returns the end of the lease; a past or zero time means none.
func (a *Asker) Until() time.Time { return a.until }

// Drop ends the lease on this side and returns the release for the granters. It
// is sent when no work of this instance runs on the target any more.
func (a *Asker) Drop() Request {
	a.until = time.Time{}
	a.current.refused = true
	return Request{Target: a.target, Round: a.current.number}
}
