// Package lease decides which entry instance may send to a cold target that
// bears fewer requests than there are instances.
//
// One instance at a time holds the lease on a target. It needs the consent of
// every other instance that it knows. A Granter gives consent, an Asker collects
// it. Both are driven event by event, by one goroutine each; they take time and
// randomness from their caller and do no I/O.
//
// Safety rests on two rules. A granter that consented neither sends to the
// target nor consents to another instance until the term and the longest run of
// a request have passed on its clock. A holder counts its term from the moment
// it asked, which is earlier, and looks at it directly before each write; so a
// holder that was paused stops before any granter consents again. Clocks need
// the same rate, not the same time.
package lease

import "time"

const (
	// Term is how long a lease lasts, counted from the request for it.
	Term = 2 * time.Second
	// RenewInterval is the time between requests for the same lease. Four fit
	// into a term, so that three lost messages in a row do not end it.
	RenewInterval = 500 * time.Millisecond
)

// Holder is one incarnation of an entry instance.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// Reply is a granter's answer.
type Reply uint8

const (
	// ReplyRefused means that another instance holds the lease or may still
	// have work running.
	ReplyRefused Reply = iota
	// ReplyGranted means consent.
	ReplyGranted
	// ReplyWarm means that the granter has shown, after it was asked, that the
	// running process of the target is warm. No lease is needed.
	ReplyWarm
)

type grant struct {
	holder Holder
	round  uint64 // newest round that asked for it
	until  time.Time
}

// Granter keeps the consents that this instance gave, also to itself.
type Granter struct {
	grants   map[string]grant // by target name
	released map[released]uint64
}

// released names the newest round for which a holder has released a target.
type released struct {
	target string
	holder Holder
}

// NewGranter returns a granter that has consented to nothing.
func NewGranter() *Granter {
	return &Granter{grants: make(map[string]grant), released: make(map[released]uint64)}
}

// Ask handles a request for the lease on a target. MaxRun is the longest time
// that a request may run on the target. A repeated request of the same holder
// renews its grant. A request that its own release has overtaken is refused: the
// holder would not release that grant again, and it would last for its full term.
func (g *Granter) Ask(now time.Time, request Request, from Holder, maxRun time.Duration) Reply {
	if request.Round <= g.released[released{request.Target, from}] {
		return ReplyRefused
	}
	held, ok := g.grants[request.Target]
	if ok && held.holder != from && now.Before(held.until) {
		return ReplyRefused
	}
	next := grant{holder: from, round: request.Round, until: now.Add(Term + maxRun)}
	if ok && held.holder == from {
		next.round = max(next.round, held.round)
		if held.until.After(next.until) {
			next.until = held.until
		}
	}
	g.grants[request.Target] = next
	return ReplyGranted
}

// Release ends a grant. The holder sends it when no work of it runs any more. A
// release that was overtaken by a request of a later round has no effect.
func (g *Granter) Release(request Request, from Holder) {
	key := released{request.Target, from}
	g.released[key] = max(g.released[key], request.Round)
	held := g.grants[request.Target]
	if held.holder == from && held.round <= request.Round {
		delete(g.grants, request.Target)
	}
}

// Gone ends all grants of an incarnation whose process is known to have ended.
// Its connections to targets ended with it.
func (g *Granter) Gone(holder Holder) {
	for target, held := range g.grants {
		if held.holder == holder {
			delete(g.grants, target)
		}
	}
	for key := range g.released {
		if key.holder == holder {
			delete(g.released, key)
		}
	}
}

// Holder returns who holds consent for the target.
func (g *Granter) Holder(now time.Time, target string) (Holder, bool) {
	held, ok := g.grants[target]
	if !ok || !now.Before(held.until) {
		return Holder{}, false
	}
	return held.holder, true
}
