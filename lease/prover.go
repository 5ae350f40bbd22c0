package lease

import "time"

// Prover answers queries of other instances whether the running process of a
// target is warm. The proof is an answer of the target to a request that was
// sent after the query arrived. Then the process was still alive and warm at
// that time, so that a link that the querying instance had opened before leads
// to the same process.
//
// The querying instance repeats its query until it gets a proof. A Prover is not
// safe for concurrent use.
type Prover struct {
	pending map[queryKey]query
}

type queryKey struct {
	target   string
	instance string // the querying instance
}

type query struct {
	incarnation uint64 // of the querying instance
	generation  uint32
	receivedAt  time.Time
}

// NewProver returns a prover without pending queries.
func NewProver() *Prover { return &Prover{pending: make(map[queryKey]query)} }

// Query handles a query and reports whether the target is proved to be warm.
// The argument generation is the number by which the querying instance
// identifies the process that it has links to. The argument provedAt is the
// time at which this instance sent the newest request that the target has
// answered while known to be warm; it is zero if the target is not known to be
// warm.
func (p *Prover) Query(now time.Time, target string, from Participant, generation uint32, provedAt time.Time) bool {
	key := queryKey{target, from.Instance}
	first, ok := p.pending[key]
	if !ok || first.incarnation != from.Incarnation || first.generation != generation {
		p.pending[key] = query{from.Incarnation, generation, now}
		return false
	}
	if !provedAt.After(first.receivedAt) {
		return false
	}
	delete(p.pending, key)
	return true
}

// Forget deletes the pending queries of an instance.
func (p *Prover) Forget(instance string) {
	for key := range p.pending {
		if key.instance == instance {
			delete(p.pending, key)
		}
	}
}
