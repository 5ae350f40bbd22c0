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
)

// mayHaveRun tells whether the target may have run the request.
func (f Failure) mayHaveRun() bool { return f == FailureLost }

// Phases of a contract, in the atomic word.
const (
	phaseOpen uint32 = iota
	phaseSending
	phaseSettled
)

// Contract is one request on its way. The goroutine that serves the request is
// the only writer; Phase may be read from any goroutine.
type Contract struct {
	Terms Terms

	phase      atomic.Uint32
	attempts   int
	mayHaveRun bool
}

// New returns an open contract.
func New(terms Terms) *Contract { return &Contract{Terms: terms} }

// AttemptError reports that an attempt may not start.
type AttemptError struct {
	Refusal Refusal
}

func (e *AttemptError) Error() string { return fmt.Sprintf("start attempt: %v", &e.Refusal) }

// Attempts returns how many attempts were started.
func (c *Contract) Attempts() int { return c.attempts }

// RetriesLeft returns the allowance that travels with the next attempt.
func (c *Contract) RetriesLeft() int {
	return max(0, c.Terms.Retries-max(0, c.attempts-1))
}

// BeginAttempt must return nil before a byte of the request is written to a
// target. Two concurrent calls never both succeed.
func (c *Contract) BeginAttempt(now time.Time) error {
	if !now.Before(c.Terms.Deadline) {
		return &AttemptError{c.refusal(ReasonDeadline)}
	}
	if c.mayHaveRun && !c.Terms.Idempotent {
		return &AttemptError{c.refusal(ReasonAnswerLost)}
	}
	if !c.phase.CompareAndSwap(phaseOpen, phaseSending) {
		return &AttemptError{Refusal{Outcome: OutcomeUnknown, Reason: ReasonAnswerLost}}
	}
	c.attempts++
	return nil
}

// FailAttempt records the end of an attempt without a whole answer. It returns
// nil if another attempt may follow, and the refusal otherwise. A call that may
// have run is never tried again unless it is idempotent.
func (c *Contract) FailAttempt(now time.Time, failure Failure) *Refusal {
	c.mayHaveRun = c.mayHaveRun || failure.mayHaveRun()
	reason := ReasonAnswerLost
	switch {
	case c.mayHaveRun && !c.Terms.Idempotent:
	case !now.Before(c.Terms.Deadline):
		reason = ReasonDeadline
	case c.attempts > c.Terms.Retries:
		reason = ReasonRetriesSpent
		if failure == FailureDeclined {
			reason = ReasonDeclined
		}
	default:
		c.phase.Store(phaseOpen)
		return nil
	}
	return c.Refuse(reason)
}

// Refuse settles the contract without an answer. The outcome is "not run" only
// if no attempt may have run.
func (c *Contract) Refuse(reason Reason) *Refusal {
	c.phase.Store(phaseSettled)
	refusal := c.refusal(reason)
	return &refusal
}

// Answer settles the contract with a whole answer of a target.
func (c *Contract) Answer() { c.phase.Store(phaseSettled) }

// Settled tells whether the contract has an outcome.
func (c *Contract) Settled() bool { return c.phase.Load() == phaseSettled }

func (c *Contract) refusal(reason Reason) Refusal {
	outcome := OutcomeNotRun
	if c.mayHaveRun {
		outcome = OutcomeUnknown
	}
	return Refusal{Outcome: outcome, Reason: reason}
}

// Stop records the end of an attempt after which the request cannot be sent
// again, because its body was not kept, and settles the contract.
func (c *Contract) Stop(failure Failure) *Refusal {
	c.mayHaveRun = c.mayHaveRun || failure.mayHaveRun()
	reason := ReasonAnswerLost
	if failure == FailureDeclined {
		reason = ReasonDeclined
	}
	return c.Refuse(reason)
}
