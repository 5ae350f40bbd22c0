// Package contract holds what is promised for one request: its class, key,
// deadline, attempts, retry allowance and outcome. It decides when an attempt
// may start, whether a failed attempt may be followed by another, and what a
// caller is told. The Ledger enforces that a non-idempotent request runs at
// most once.
//
// The package starts no goroutine and does no I/O. Time comes from the caller.
package contract

import (
	"fmt"
	"sync/atomic"
	"time"
)

// MaxDepth is the number of nested calls through the product that a request may
// be part of. Letter-size deployments nest up to 10 deep.
const MaxDepth = 10

// Terms are the fixed properties of a request.
type Terms struct {
	Service    string
	Class      string
	Idempotent bool
	Key        Key // zero for idempotent requests without a key
	Deadline   time.Time
	// Depth is the number of calls above this one that came through the product.
	Depth int
	// Retries is how many attempts after the first one this request and all
	// calls below it may spend.
	Retries int
}

// Failure says how an attempt ended without a whole answer.
type Failure uint8

const (
	// FailureNotSent means that no byte of the request left this process.
	FailureNotSent Failure = iota + 1
	// FailureDeclined means that the target definitely refused to run it.
	FailureDeclined
	// FailureCanceled means that the target confirmed a cancellation that took
	// effect before the work started.
	FailureCanceled
	// FailureLost means that bytes left and no whole answer came back.
	FailureLost
	// FailureMisdirected means that another process than the named one answered
	// and did not run it. The attempt reached no server of the service, so it
	// spends no retry.
	FailureMisdirected
)

var failureNames = [...]string{"answered", "not-sent", "declined", "canceled", "lost", "misdirected"}

func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return fmt.Sprintf("failure(%d)", uint8(f))
}

// Failures is the number of failures, with 0 for an answer.
const Failures = len(failureNames)

// mayHaveRun tells whether the target may have run the request. A value that is
// not one of the definite failures counts as lost.
func (f Failure) mayHaveRun() bool {
	return f != FailureNotSent && f != FailureDeclined && f != FailureCanceled && f != FailureMisdirected
}

// Phases of a contract, in the atomic word.
const (
	phaseOpen uint32 = iota
	phaseSending
	phaseSettled
)

// Contract is one request on its way. The goroutine that serves the request is
// the only caller of its methods, except Settled, which any goroutine may call.
//
// The retry allowance is split, so that retries at one level of nested calls do
// not multiply with those of the levels below: each retry costs 1, and what
// travels with an attempt is taken from what is left here. Executions at the end
// of a call path are at most 1 + Terms.Retries, by induction over the levels: k
// attempts that carry the shares s1 to sk execute it at most (1+s1) + ... +
// (1+sk) times, and k-1 + s1 + ... + sk never exceeds the allowance. A target
// that makes several nested calls copies the allowance to each, so the bound
// holds per call path; n paths execute at most n * (1 + Terms.Retries) times.
type Contract struct {
	Terms Terms

	phase      atomic.Uint32
	attempts   int
	mayHaveRun bool
	kept       int // retries that this level and later attempts may still spend
	share      int // retries that travel with the attempt in progress
	settled    Refusal
}

// New returns an open contract.
func New(terms Terms) *Contract { return &Contract{Terms: terms, kept: max(0, terms.Retries)} }

// AttemptError reports that an attempt may not start.
type AttemptError struct {
	Refusal Refusal
}

func (e *AttemptError) Error() string { return fmt.Sprintf("start attempt: %v", &e.Refusal) }

// Attempts returns how many attempts were started.
func (c *Contract) Attempts() int { return c.attempts }

// RetriesLeft returns the allowance that travels with the attempt in progress,
// or that would travel with the next one. This level keeps the larger half,
// because it cannot know whether the target makes nested calls at all.
func (c *Contract) RetriesLeft() int {
	if c.phase.Load() == phaseSending {
		return c.share
	}
	return c.nextShare(c.kept - c.retryCost())
}

func (c *Contract) nextShare(kept int) int {
	if c.Terms.Depth >= MaxDepth {
		return 0
	}
	return max(0, kept) / 2
}

// retryCost is what the next attempt takes from the allowance.
func (c *Contract) retryCost() int { return min(c.attempts, 1) }

// BeginAttempt must return nil before a byte of the request is written to a
// target. Two concurrent calls never both succeed. A refused attempt settles the
// contract unless another attempt is in progress, so that a request that was
// reported as "not run" never runs later.
func (c *Contract) BeginAttempt(now time.Time) error {
	if !c.phase.CompareAndSwap(phaseOpen, phaseSending) {
		return &AttemptError{c.inProgress()}
	}
	switch {
	case !now.Before(c.Terms.Deadline):
		c.settle(ReasonDeadline)
	case c.kept < c.retryCost():
		c.settle(ReasonRetriesSpent)
	default:
		c.kept -= c.retryCost()
		c.share = c.nextShare(c.kept)
		c.kept -= c.share
		c.attempts++
		return nil
	}
	return &AttemptError{c.settled}
}

// inProgress is the refusal of an attempt beside another one or after the end.
func (c *Contract) inProgress() Refusal {
	if c.phase.Load() == phaseSettled {
		return c.settled
	}
	return Refusal{Outcome: OutcomeUnknown, Reason: ReasonAnswerLost}
}

// FailAttempt records the end of an attempt without a whole answer. It returns
// nil if another attempt may follow, and the refusal otherwise. A call that may
// have run is never tried again unless it is idempotent. Without an attempt in
// progress it changes nothing.
func (c *Contract) FailAttempt(now time.Time, failure Failure) *Refusal {
	switch c.phase.Load() {
	case phaseOpen:
		return nil
	case phaseSettled:
		return c.refusal()
	}
	if failure.mayHaveRun() {
		c.mayHaveRun = true
	} else {
		c.kept += c.share // the target did not run it, so nothing below spent it
	}
	c.share = 0
	if failure == FailureMisdirected {
		c.kept += min(c.attempts-1, 1)
		c.attempts--
	}
	reason := ReasonAnswerLost
	switch {
	case c.mayHaveRun && !c.Terms.Idempotent:
	case !now.Before(c.Terms.Deadline):
		reason = ReasonDeadline
	case c.kept < c.retryCost():
		reason = ReasonRetriesSpent
		if failure == FailureDeclined {
			reason = ReasonDeclined
		}
	default:
		c.phase.Store(phaseOpen)
		return nil
	}
	c.settle(reason)
	return c.refusal()
}

// Refuse settles the contract without an answer. The outcome is "not run" only
// if no attempt may have run; an attempt that is still in progress may have. A
// contract that is settled already keeps its outcome.
func (c *Contract) Refuse(reason Reason) *Refusal {
	if c.phase.Load() == phaseSettled {
		return c.refusal()
	}
	c.mayHaveRun = c.mayHaveRun || c.phase.Load() == phaseSending
	c.settle(reason)
	return c.refusal()
}

// Answer settles the contract with a whole answer of a target. A later refusal,
// for example because the answer could not be passed on, gives "unknown".
func (c *Contract) Answer() {
	if c.phase.Load() == phaseSettled {
		return
	}
	c.mayHaveRun = true
	c.settle(ReasonAnswerLost)
}

// Settled tells whether the contract has an outcome.
func (c *Contract) Settled() bool { return c.phase.Load() == phaseSettled }

func (c *Contract) settle(reason Reason) {
	outcome := OutcomeNotRun
	if c.mayHaveRun {
		outcome = OutcomeUnknown
	}
	c.settled = Refusal{Outcome: outcome, Reason: reason}
	c.phase.Store(phaseSettled)
}

func (c *Contract) refusal() *Refusal {
	refusal := c.settled
	return &refusal
}

// Stop records the end of an attempt after which the request cannot be sent
// again, because its body was not kept, and settles the contract.
func (c *Contract) Stop(failure Failure) *Refusal {
	if c.phase.Load() != phaseSending {
		return c.Refuse(ReasonAnswerLost)
	}
	c.mayHaveRun = c.mayHaveRun || failure.mayHaveRun()
	reason := ReasonAnswerLost
	if failure == FailureDeclined {
		reason = ReasonDeclined
	}
	c.settle(reason)
	return c.refusal()
}
