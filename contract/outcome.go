package contract

import (
	"fmt"
	"time"
)

// Outcome is what a caller learns about its request.
type Outcome uint8

const (
	// OutcomePending means that the request is not settled yet.
	OutcomePending Outcome = iota
	// OutcomeAnswered means that a target gave a whole answer.
	OutcomeAnswered
	// OutcomeNotRun means that the request did not run and never will under
	// its key. The same work may be sent again, under a new key, anywhere.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// OutcomeTooOld means that the key's ticket has expired. The request was
	// not started now, but an earlier copy may have run.
	OutcomeTooOld
	// OutcomeCrashesTargets means that the request was refused because targets
	// that ran it went down.
	OutcomeCrashesTargets
)

var outcomeNames = [...]string{"pending", "answered", "not-run", "unknown", "too-old", "crashes-targets"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Reason tells why a request was refused or left unsettled.
type Reason string

// Reasons of refusals. They are part of the protocol towards callers.
const (
	ReasonNoTarget       Reason = "no-target"
	ReasonQueueFull      Reason = "queue-full"
	ReasonDeadline       Reason = "deadline"
	ReasonRetriesSpent   Reason = "retries-spent"
	ReasonDeclined       Reason = "declined-by-target"
	ReasonAnswerLost     Reason = "answer-lost"
	ReasonOwnerLost      Reason = "owner-unreachable"
	ReasonExpiredTicket  Reason = "ticket-expired"
	ReasonCrashes        Reason = "crashes-targets"
	ReasonIsolated       Reason = "instance-isolated"
	ReasonNoConfig       Reason = "no-configuration"
	ReasonCallerCanceled Reason = "canceled-by-caller"
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonAnswerNotKept  Reason = "answer-not-kept"
	ReasonMalformed      Reason = "malformed"
)

// Refusal is a settled request without an answer from a target.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // 0 where waiting does not help
	Owner      string        // instance that owns the key, where that matters
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
}

// FieldError reports a field of a request that is missing or malformed.
type FieldError struct {
	Field   string
	Problem string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Problem) }
