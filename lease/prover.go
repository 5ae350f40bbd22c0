package lease

import "time"

// Prover answers instances that want to know whether the running process of a
// target is warm. A proof is an answer of the target to a request that was sent
// after the question arrived: the process was warm and alive then, so a link
// that the asking instance had opened before reaches the same process.
//
// The asking instance repeats its question until it gets a proof.
type Prover struct {
	questions map[questionKey]question
}

type questionKey struct {
	target string
	from   string
}

type question struct {
	incarnation uint64
	generation  uint32
	received    time.Time
}

// NewProver returns a prover without questions.
func NewProver() *Prover { return &Prover{questions: make(map[questionKey]question)} }

// Ask handles a question. Generation is the asking instance's number for the
// process that it has links to. Proved is the time at which the newest request
// was sent that a warm target has answered to this instance; zero if it is not
// known to be warm.
func (p *Prover) Ask(now time.Time, target string, from Holder, generation uint32, proved time.Time) bool {
	key := questionKey{target, from.Instance}
	known, ok := p.questions[key]
	if !ok || known.incarnation != from.Incarnation || known.generation != generation {
		p.questions[key] = question{from.Incarnation, generation, now}
		return false
	}
	if !proved.After(known.received) {
		return false
	}
	delete(p.questions, key)
	return true
}

// Gone forgets the questions of an instance.
func (p *Prover) Gone(instance string) {
	for key := range p.questions {
		if key.from == instance {
			delete(p.questions, key)
		}
	}
}
