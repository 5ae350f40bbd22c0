package contract

import (
	"fmt"
	"time"
)

// Outcome is the result of a request as it is reported to the caller.
type Outcome uint8

const (
	// OutcomePending means that the request is not settled yet.
	OutcomePending Outcome = iota
	// OutcomeAnswered means that a target gave a complete response.
	OutcomeAnswered
	// OutcomeNotRun means that the request was not executed and never will be
	// under its key. The caller may safely send it again, to any instance, under
	// a new key.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown
	// OutcomeTooOld means that the ticket of the key has expired. This copy of
	// the request was not executed, but an earlier one may have been.
	OutcomeTooOld
	// OutcomeCrashesTargets means that the request was refused because targets
	// crashed while they were executing it.
	OutcomeCrashesTargets
)

var outcomeNames = [...]string{"pending", "answered", "not-run", "unknown", "too-old", "crashes-targets"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Reason says why a request was refused or why its outcome is unknown.
type Reason string

// Reasons of refusals. Their values are part of the protocol with callers.
const (
	ReasonNoTarget         Reason = "no-target"
	ReasonQueueFull        Reason = "queue-full"
	ReasonTargetsPaused    Reason = "targets-paused"
	ReasonDeadline         Reason = "deadline"
	ReasonRetriesSpent     Reason = "retries-spent"
	ReasonDeclined         Reason = "declined-by-target"
	ReasonAnswerLost       Reason = "answer-lost"
	ReasonOwnerUnreachable Reason = "owner-unreachable"
	ReasonTicketExpired    Reason = "ticket-expired"
	ReasonCrashesTargets   Reason = "crashes-targets"
	ReasonInstanceIsolated Reason = "instance-isolated"
	ReasonNoConfiguration  Reason = "no-configuration"
	ReasonCallerCanceled   Reason = "canceled-by-caller"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonAnswerNotKept    Reason = "answer-not-kept"
	ReasonMalformed        Reason = "malformed"
)

// Refusal is the final outcome of a request without a response from a target. It
// implements error.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // 0 if waiting does not help
	Owner      string        // instance that owns the key; empty if not relevant
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
}

// FieldError reports a request field that is missing or malformed.
type FieldError struct {
	Field   string
	Problem string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Problem) }
