// Package contract models the delivery guarantees of a single request: its
// class, idempotency key, deadline, attempts, retry allowance and outcome. It
// decides when an attempt may start, whether a failed attempt may be retried,
// and which outcome is reported to the caller. The Ledger ensures that a
// non-idempotent request is executed at most once.
//
// The package starts no goroutines and does no I/O. The caller passes in the
// current time.
package contract

import (
	"fmt"
	"sync/atomic"
	"time"
)

// MaxDepth is the maximum nesting depth of calls through the load balancer. At
// this depth no retries are forwarded with a request. Deployments are specified
// to nest up to 10 calls.
const MaxDepth = 10

// Terms are the fixed properties of a request.
type Terms struct {
	Service    string
	Class      string
	Idempotent bool
	Key        Key // zero for idempotent requests without a key
	Deadline   time.Time
	// Depth is the number of enclosing calls that came through the load
	// balancer; 0 for a top-level request.
	Depth int
	// Retries is the retry allowance: the number of retries that this request
	// and all nested calls below it may use.
	Retries int
}

// Failure classifies an attempt that ended without a complete response.
type Failure uint8

const (
	// FailureNotSent means that no byte of the request left this process.
	FailureNotSent Failure = iota + 1
	// FailureDeclined means that the target explicitly refused to execute the
	// request.
	FailureDeclined
	// FailureCanceled means that the target confirmed that the request was
	// canceled before its execution started.
	FailureCanceled
	// FailureLost means that at least a part of the request was sent and no
	// complete response was received.
	FailureLost
	// FailureMisdirected means that a process other than the intended one
	// answered and did not execute the request. Since the attempt did not reach
	// the intended server, it does not use a retry.
	FailureMisdirected
)

var failureNames = [...]string{"answered", "not-sent", "declined", "canceled", "lost", "misdirected"}

func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return fmt.Sprintf("failure(%d)", uint8(f))
}

// NumFailures is the number of Failure values, including 0 for an answered
// attempt.
const NumFailures = len(failureNames)

// mayHaveRun reports whether the target may have executed the request. Any value
// that does not rule execution out is treated as FailureLost.
func (f Failure) mayHaveRun() bool {
	return f != FailureNotSent && f != FailureDeclined && f != FailureCanceled && f != FailureMisdirected
}

// Phases of a contract, stored in Contract.phase.
const (
	phaseOpen    uint32 = iota // no attempt in progress
	phaseAttempt               // an attempt is in progress
	phaseSettled               // the outcome is final
)

// Contract tracks one request in progress. Only the goroutine that serves the
// request may call its methods, except for Settled, which is safe to call from
// any goroutine.
//
// The retry allowance is split between the levels of nested calls, so that
// their retries do not multiply: each retry costs 1, and the retries forwarded
// with an attempt are subtracted from those available locally. The last call of
// a call path is executed at most 1 + Terms.Retries times, by induction over
// the levels: k attempts that forward s1 to sk retries lead to at most (1+s1) +
// ... + (1+sk) executions, and k-1 + s1 + ... + sk never exceeds the allowance.
// A target that makes several nested calls copies the allowance to each of
// them, so the bound holds per call path; n paths are executed at most n * (1 +
// Terms.Retries) times in total.
type Contract struct {
	Terms Terms

	phase      atomic.Uint32
	attempts   int
	mayHaveRun bool
	// localRetries is the number of retries that are left for this level and for
	// forwarding with later attempts.
	localRetries int
	// forwardedRetries is the number of retries forwarded with the attempt in
	// progress.
	forwardedRetries int
	result           Refusal // valid in phaseSettled
}

// New returns an open contract.
func New(terms Terms) *Contract { return &Contract{Terms: terms, localRetries: max(0, terms.Retries)} }

// AttemptError reports that an attempt must not start.
type AttemptError struct {
	Refusal Refusal
}

func (e *AttemptError) Error() string { return fmt.Sprintf("start attempt: %v", &e.Refusal) }

// Attempts returns the number of attempts started so far. Misdirected attempts
// do not count.
func (c *Contract) Attempts() int { return c.attempts }

// RetriesLeft returns the retry allowance forwarded with the attempt in
// progress, or the one that the next attempt would forward. This level keeps
// the larger half, because it cannot know whether the target makes nested calls
// at all.
func (c *Contract) RetriesLeft() int {
	if c.phase.Load() == phaseAttempt {
		return c.forwardedRetries
	}
	return c.retriesToForward(c.localRetries - c.retryCost())
}

// retriesToForward returns how many of the available retries are forwarded with
// an attempt.
func (c *Contract) retriesToForward(available int) int {
	if c.Terms.Depth >= MaxDepth {
		return 0
	}
	return max(0, available) / 2
}

// retryCost returns the number of retries that the next attempt uses: 0 for the
// first attempt, 1 for each later one.
func (c *Contract) retryCost() int { return min(c.attempts, 1) }

// BeginAttempt starts an attempt. It must have returned nil before any byte of
// the request is written to a target. At most one attempt is in progress at a
// time. If the attempt may not start and no other one is in progress, the
// contract is settled, so that a request that was reported as "not-run" is never
// executed later.
func (c *Contract) BeginAttempt(now time.Time) error {
	if !c.phase.CompareAndSwap(phaseOpen, phaseAttempt) {
		return &AttemptError{c.notOpenRefusal()}
	}
	switch {
	case !now.Before(c.Terms.Deadline):
		c.settle(ReasonDeadline)
	case c.localRetries < c.retryCost():
		c.settle(ReasonRetriesSpent)
	default:
		c.localRetries -= c.retryCost()
		c.forwardedRetries = c.retriesToForward(c.localRetries)
		c.localRetries -= c.forwardedRetries
		c.attempts++
		return nil
	}
	return &AttemptError{c.result}
}

// notOpenRefusal returns the refusal of an attempt that would start while
// another one is in progress or after the contract was settled.
func (c *Contract) notOpenRefusal() Refusal {
	if c.phase.Load() == phaseSettled {
		return c.result
	}
	return Refusal{Outcome: OutcomeUnknown, Reason: ReasonAnswerLost}
}

// MayRetry reports whether a retry may follow if the attempt in progress gets no
// complete response.
func (c *Contract) MayRetry() bool {
	return c.phase.Load() == phaseAttempt && c.Terms.Idempotent && c.localRetries >= c.retryCost()
}

// FailAttempt records that the attempt in progress ended without a complete
// response. It returns nil if the request may be retried, and the refusal
// otherwise. A request that may have been executed is retried only if it is
// idempotent. Without an attempt in progress FailAttempt changes nothing.
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
		c.localRetries += c.forwardedRetries // not executed, so no nested call used the forwarded retries
	}
	c.forwardedRetries = 0
	if failure == FailureMisdirected {
		c.localRetries += min(c.attempts-1, 1)
		c.attempts--
	}
	reason := ReasonAnswerLost
	switch {
	case c.mayHaveRun && !c.Terms.Idempotent:
	case !now.Before(c.Terms.Deadline):
		reason = ReasonDeadline
	case c.localRetries < c.retryCost():
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

// Refuse settles the contract without a response. The outcome is "not-run" only
// if no attempt can have been executed; an attempt still in progress counts as
// possibly executed. A contract that is already settled keeps its outcome.
func (c *Contract) Refuse(reason Reason) *Refusal {
	if c.phase.Load() == phaseSettled {
		return c.refusal()
	}
	c.mayHaveRun = c.mayHaveRun || c.phase.Load() == phaseAttempt
	c.settle(reason)
	return c.refusal()
}

// Complete settles the contract after a complete response from a target. A
// later call to Refuse, for example because the response could not be delivered
// to the caller, reports "unknown".
func (c *Contract) Complete() {
	if c.phase.Load() == phaseSettled {
		return
	}
	c.mayHaveRun = true
	c.settle(ReasonAnswerLost)
}

// Settled reports whether the contract has a final outcome.
func (c *Contract) Settled() bool { return c.phase.Load() == phaseSettled }

func (c *Contract) settle(reason Reason) {
	outcome := OutcomeNotRun
	if c.mayHaveRun {
		outcome = OutcomeUnknown
	}
	c.result = Refusal{Outcome: outcome, Reason: reason}
	c.phase.Store(phaseSettled)
}

func (c *Contract) refusal() *Refusal {
	refusal := c.result
	return &refusal
}

// FailWithoutRetry records the failure of the attempt in progress and settles
// the contract. It is used where a retry is impossible because the request body
// was not kept.
func (c *Contract) FailWithoutRetry(failure Failure) *Refusal {
	if c.phase.Load() != phaseAttempt {
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
