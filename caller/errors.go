package caller

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is the body of an outcome other than answered.
type Refusal struct {
	Outcome    string
	Reason     string
	Field      string
	Detail     string
	RetryAfter time.Duration
	// Owner is the instance that owns the key, where that matters.
	Owner string
	// Instance is the instance that answered.
	Instance string
	// Replayed means that the outcome had been recorded earlier under the key.
	Replayed bool
}

func (r *Refusal) Error() string {
	text := r.Outcome + ": " + r.Reason
	if r.Field != "" {
		text += ", field " + r.Field
	}
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	return text
}

// Trail says what a call did before it ended without an answer. Every error
// type of Do but RequestError and DirectoryError embeds it. Cause is the last
// failure: a *Refusal, a *TransportError, a *BrokenAnswerError, or the error of
// the context.
type Trail struct {
	// Key is the last request key; empty for idempotent requests.
	Key string
	// Sends is the number of copies that may have left this process.
	Sends int
	Cause error
}

// Unwrap returns the last failure.
func (t *Trail) Unwrap() error { return t.Cause }

func (t *Trail) text(outcome string) string {
	if t.Cause == nil {
		return fmt.Sprintf("%s (sent %d times)", outcome, t.Sends)
	}
	return fmt.Sprintf("%s (sent %d times): %v", outcome, t.Sends, t.Cause)
}

// NotRunError reports that the request did not run and never will. The same
// work may be given to Do again.
type NotRunError struct{ Trail }

func (e *NotRunError) Error() string { return e.text("request did not run") }

// UnreachableError reports that no copy of the request left this process.
type UnreachableError struct{ Trail }

func (e *UnreachableError) Error() string { return e.text("no instance could be reached") }

// UnknownError reports that the request may have run. To learn more, give the
// request to Do again with Request.Key set to Key; never without.
type UnknownError struct{ Trail }

func (e *UnknownError) Error() string { return e.text("request may have run") }

// TooOldError reports that the key has expired while the outcome was open. Find
// out by other means whether the request ran.
type TooOldError struct{ Trail }

func (e *TooOldError) Error() string {
	return e.text("request key has expired and the request may have run")
}

// CrashesTargetsError reports that targets that ran this request went down. Do
// not send it again.
type CrashesTargetsError struct{ Trail }

func (e *CrashesTargetsError) Error() string {
	return e.text("request was refused because it takes targets down")
}

// InvalidError reports that an instance found the request malformed. Nothing
// was sent to a target.
type InvalidError struct{ Trail }

func (e *InvalidError) Error() string { return e.text("request is invalid") }

// AnswerNotKeptError reports a request that ran and was answered, and whose answer
// the product no longer holds: it was too long to be kept for a resend.
type AnswerNotKeptError struct{ Trail }

func (e *AnswerNotKeptError) Error() string {
	return e.text("request ran, but its answer is no longer held")
}

// notKeptError is the cause of an AnswerNotKeptError.
type notKeptError struct{ instance string }

func (e *notKeptError) Error() string {
	return fmt.Sprintf("instance %s no longer holds the answer", e.instance)
}

// AnswerTooLargeError reports an answer longer than Options.MaxAnswerBytes. The
// request ran.
type AnswerTooLargeError struct {
	Trail
	Limit int64
}

func (e *AnswerTooLargeError) Error() string {
	return e.text(fmt.Sprintf("request ran, but its answer is longer than %d bytes", e.Limit))
}

// TransportError reports that an exchange with an instance failed below HTTP.
type TransportError struct {
	Instance string
	// NotSent means that certainly no byte of the request was written.
	NotSent bool
	Err     error
}

func (e *TransportError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("instance %s: not sent: %v", e.Instance, e.Err)
	}
	return fmt.Sprintf("instance %s: no whole answer: %v", e.Instance, e.Err)
}

func (e *TransportError) Unwrap() error { return e.Err }

// BrokenAnswerError reports an answer that is not one of an entry instance, or
// whose end cannot be told.
type BrokenAnswerError struct {
	Instance string
	Status   int
	Problem  string
}

func (e *BrokenAnswerError) Error() string {
	return fmt.Sprintf("instance %s: answer with status %d %s", e.Instance, e.Status, e.Problem)
}

// RequestError reports a request that Do cannot send.
type RequestError struct {
	Field   string
	Problem string
}

func (e *RequestError) Error() string { return fmt.Sprintf("request: %s %s", e.Field, e.Problem) }

// OptionError reports an option that New cannot use.
type OptionError struct {
	Field   string
	Problem string
}

func (e *OptionError) Error() string { return fmt.Sprintf("option %s %s", e.Field, e.Problem) }

// DirectoryError reports that no instance answered the directory call and that
// there is no earlier answer. Nothing was sent.
type DirectoryError struct {
	// Asked lists the addresses that were asked.
	Asked []string
	// Err is the last failure.
	Err error
}

func (e *DirectoryError) Error() string {
	return fmt.Sprintf("no directory from any of %v: %v", e.Asked, e.Err)
}

func (e *DirectoryError) Unwrap() error { return e.Err }

// DirectoryAnswerError reports a directory answer that cannot be used.
type DirectoryAnswerError struct {
	Address string
	Problem string
}

func (e *DirectoryAnswerError) Error() string {
	return fmt.Sprintf("directory answer of %s %s", e.Address, e.Problem)
}

// AttemptLimitError is the cause of a copy that was given up after
// Request.AttemptLimit.
type AttemptLimitError struct{ Limit time.Duration }

func (e *AttemptLimitError) Error() string { return fmt.Sprintf("no whole answer within %v", e.Limit) }

// trail lets TrailOf find the trail in any of the error types that embed it.
func (t *Trail) trail() *Trail { return t }

// TrailOf returns what the call of a failed Do did, if the error says so.
func TrailOf(err error) (Trail, bool) {
	var failure interface {
		error
		trail() *Trail
	}
	if !errors.As(err, &failure) {
		return Trail{}, false
	}
	return *failure.trail(), true
}

// OutcomeOf names how a Do ended, for reports and metrics: an outcome of the
// protocol; "unreachable" if nothing was sent; "answer-too-large";
// "bad-request" for a request that Do cannot send; "failed" for other errors.
func OutcomeOf(err error) string {
	switch {
	case err == nil:
		return "answered"
	case isA[*NotRunError](err):
		return "not-run"
	case isA[*UnknownError](err):
		return "unknown"
	case isA[*TooOldError](err):
		return "too-old"
	case isA[*CrashesTargetsError](err):
		return "crashes-targets"
	case isA[*InvalidError](err):
		return "invalid"
	case isA[*UnreachableError](err), isA[*DirectoryError](err):
		return "unreachable"
	case isA[*AnswerTooLargeError](err):
		return "answer-too-large"
	case isA[*AnswerNotKeptError](err):
		return outcomeNotKept
	case isA[*RequestError](err):
		return "bad-request"
	default:
		return "failed"
	}
}

func isA[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}
