package contract_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/contract"
)

var failures = []contract.Failure{
	0, contract.FailureNotSent, contract.FailureDeclined, contract.FailureCanceled, contract.FailureLost,
	contract.FailureMisdirected,
}

// history is the reference model of a contract. It tracks whether a target may
// have executed the request and what the caller was told.
type history struct {
	inFlight   bool
	mayHaveRun bool
	notRun     bool // OutcomeNotRun was reported to the caller
}

// checkRefusal checks and records an outcome reported by the contract.
func (h *history) checkRefusal(t *rapid.T, refusal *contract.Refusal) {
	if refusal == nil || refusal.Outcome != contract.OutcomeNotRun {
		return
	}
	if h.mayHaveRun || h.inFlight {
		t.Fatalf("reported %v although an attempt may have been executed", refusal)
	}
	h.notRun = true
}

var _ = Describe("Contract", func() {
	// Guards against a request that runs out of retries because the addresses of
	// terminated servers were reused by other processes, which then answer.
	It("uses no retry for a misdirected attempt", func() {
		now := time.Unix(1_000_000, 0)
		c := contract.New(contract.Terms{Deadline: now.Add(time.Second), Retries: 1, Depth: contract.MaxDepth})
		for range 5 {
			Expect(c.BeginAttempt(now)).To(Succeed())
			Expect(c.FailAttempt(now, contract.FailureMisdirected)).To(BeNil())
		}
		Expect(c.BeginAttempt(now)).To(Succeed())
		Expect(c.FailAttempt(now, contract.FailureDeclined)).To(BeNil())
		Expect(c.BeginAttempt(now)).To(Succeed())
		refusal := c.FailAttempt(now, contract.FailureDeclined)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Outcome).To(Equal(contract.OutcomeNotRun))
	})

	// Guards against a second execution of a non-idempotent request, and against
	// the outcome "not-run" for a request that was executed or is executed later,
	// for any order of events and a clock that jumps.
	It("neither retries a request that may have run nor reports it as not run", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1_000_000, 0)
			terms := contract.Terms{
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Deadline:   now.Add(10 * time.Second),
				Retries:    rapid.IntRange(-1, 4).Draw(t, "retries"),
			}
			c := contract.New(terms)
			h := &history{}
			t.Repeat(map[string]func(*rapid.T){
				"jump": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.Int64Range(-20_000, 20_000).Draw(t, "ms")) * time.Millisecond)
				},
				"begin": func(t *rapid.T) {
					err := c.BeginAttempt(now)
					if refused := (*contract.AttemptError)(nil); errors.As(err, &refused) {
						h.checkRefusal(t, &refused.Refusal)
						return
					}
					if h.notRun || h.inFlight || (h.mayHaveRun && !terms.Idempotent) {
						t.Fatalf("attempt %d started after %+v", c.Attempts(), *h)
					}
					h.inFlight = true
				},
				"fail": func(t *rapid.T) {
					failure := rapid.SampledFrom(failures).Draw(t, "failure")
					definite := failure >= contract.FailureNotSent && failure <= contract.FailureCanceled || failure == contract.FailureMisdirected
					h.mayHaveRun = h.mayHaveRun || (h.inFlight && !definite)
					h.inFlight = false
					h.checkRefusal(t, c.FailAttempt(now, failure))
				},
				"refuse": func(t *rapid.T) { h.checkRefusal(t, c.Refuse(contract.ReasonCallerCanceled)) },
				"answer": func(*rapid.T) {
					h.mayHaveRun = h.mayHaveRun || h.inFlight
					h.inFlight = false
					c.Complete()
				},
			})
		})
	})

	// Guards against retries that multiply over nested calls: in a tree of calls
	// with losses at any level, the last call of each call path must be executed
	// at most 1 + allowance times.
	It("bounds the executions of the last call of each call path", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			depth := rapid.IntRange(1, contract.MaxDepth).Draw(t, "depth")
			allowance := rapid.IntRange(0, 8).Draw(t, "allowance")
			fanOut := make([]int, depth) // nested calls per execution at each level
			leaves := 1
			for level := range depth - 1 {
				fanOut[level] = 1
				if leaves < 8 {
					fanOut[level] = rapid.IntRange(1, 3).Draw(t, "fan-out")
				}
				leaves *= fanOut[level]
			}
			loseAll := rapid.Bool().Draw(t, "every attempt is lost")
			runs := map[string]int{}
			total := 0
			var call func(level, retries int, path string)
			call = func(level, retries int, path string) {
				c := contract.New(contract.Terms{
					Idempotent: true, Deadline: time.Unix(2, 0), Depth: level, Retries: retries,
				})
				for c.BeginAttempt(time.Unix(1, 0)) == nil {
					failure := contract.FailureLost
					if !loseAll {
						failure = rapid.SampledFrom(failures[1:]).Draw(t, "failure")
					}
					if failure == contract.FailureLost { // worst case: the request was fully executed
						if level == depth-1 {
							runs[path]++
							total++
						}
						if runs[path] > 1+allowance || total > leaves*(1+allowance) {
							t.Fatalf("path %q was executed %d times, in total %d times over %d paths; allowance %d", path, runs[path], total, leaves, allowance)
						}
						for i := range fanOut[level] {
							call(level+1, c.RetriesLeft(), path+string(rune('a'+i)))
						}
					}
					if c.FailAttempt(time.Unix(1, 0), failure) != nil {
						return
					}
				}
			}
			call(0, allowance, "")
		})
	})

	// Guards against an allowance that is forwarded entirely, which leaves no
	// retry for the level that observes the lost attempt.
	It("keeps the larger half of the allowance and reclaims unused forwarded retries", func() {
		now := time.Unix(1, 0)
		c := contract.New(contract.Terms{Idempotent: true, Deadline: now.Add(time.Second), Retries: 3})
		Expect(c.BeginAttempt(now)).To(Succeed())
		Expect(c.RetriesLeft()).To(Equal(1))
		Expect(c.FailAttempt(now, contract.FailureDeclined)).To(BeNil())
		Expect(c.BeginAttempt(now)).To(Succeed())
		Expect(c.RetriesLeft()).To(Equal(1))
		Expect(c.FailAttempt(now, contract.FailureLost)).To(BeNil())
		Expect(c.BeginAttempt(now)).To(Succeed())
		Expect(c.RetriesLeft()).To(Equal(0))
		Expect(c.FailAttempt(now, contract.FailureLost).Outcome).To(Equal(contract.OutcomeUnknown))
	})

	// Guards against tickets that are issued but cannot be parsed.
	It("parses every key that it formats", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			k := contract.Key{
				Ticket: contract.Ticket{
					Instance:    rapid.StringMatching(`[a-z][a-z0-9.-]{0,20}`).Draw(t, "instance"),
					Incarnation: rapid.Uint64().Draw(t, "incarnation"),
					Epoch:       rapid.Uint64().Draw(t, "epoch"),
				},
				Name: rapid.StringMatching(`[a-z0-9/.]{1,40}`).Draw(t, "name"),
			}
			parsed, err := contract.ParseKey(k.String())
			if err != nil || parsed != k {
				t.Fatalf("parsed %q as %v, %v", k, parsed, err)
			}
		})
	})
})
