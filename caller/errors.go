package caller

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is the response of an instance with an outcome other than "answered".
type Refusal struct {
	Outcome    string
	Reason     string
	Field      string
	Detail     string
	RetryAfter time.Duration // minimum delay before a resend; 0 means none
	// Owner is the ID of the instance that owns the key; empty if the response
	// does not name it.
	Owner string
	// Instance is the ID of the instance that sent the response.
	Instance string
	// Replayed means that the outcome was recorded for an earlier copy with the
	// same key.
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

// CallDetails holds the details of a call that ended without a response. All
// error types that Do returns embed it, except RequestError and DirectoryError.
type CallDetails struct {
	// Key is the latest request key; empty for idempotent requests.
	Key string
	// Sends is the number of copies that may have been sent to instances.
	Sends int
	// Cause is the last failure, for example a *Refusal, a *TransportError, a
	// *BrokenAnswerError, or the error of the context. It may be nil.
	Cause error
}

// Unwrap returns Cause.
func (d *CallDetails) Unwrap() error { return d.Cause }

// text returns the error text of an error type that embeds CallDetails.
func (d *CallDetails) text(outcome string) string {
	if d.Cause == nil {
		return fmt.Sprintf("%s (sent %d times)", outcome, d.Sends)
	}
	return fmt.Sprintf("%s (sent %d times): %v", outcome, d.Sends, d.Cause)
}

// NotRunError reports that the request was not executed and will not be. The
// same request may be passed to Do again.
type NotRunError struct{ CallDetails }

func (e *NotRunError) Error() string { return e.text("request was not executed") }

// UnreachableError reports that no copy of the request was sent to an instance.
type UnreachableError struct{ CallDetails }

func (e *UnreachableError) Error() string { return e.text("no instance could be reached") }

// UnknownError reports that the request may have been executed. To find out,
// pass the request to Do again with Request.Key set to Key. A request that is
// not idempotent must not be passed to Do again without the key.
type UnknownError struct{ CallDetails }

func (e *UnknownError) Error() string { return e.text("request may have been executed") }

// TooOldError reports that the key has expired and that the request may have
// been executed. Whether it was must be found out by other means.
type TooOldError struct{ CallDetails }

func (e *TooOldError) Error() string {
	return e.text("request key has expired and the request may have been executed")
}

// CrashesTargetsError reports that the request was refused because targets
// crashed while they executed it. It must not be sent again.
type CrashesTargetsError struct{ CallDetails }

func (e *CrashesTargetsError) Error() string {
	return e.text("request was refused because it crashes targets")
}

// InvalidError reports that an instance rejected the request as invalid.
// Nothing was sent to a target.
type InvalidError struct{ CallDetails }

func (e *InvalidError) Error() string { return e.text("request is invalid") }

// AnswerNotKeptError reports that the request was executed, but its response is
// no longer available because it was too long to be stored for a resend.
type AnswerNotKeptError struct{ CallDetails }

func (e *AnswerNotKeptError) Error() string {
	return e.text("request was executed, but its response was not stored")
}

// notKeptError is the cause of an AnswerNotKeptError.
type notKeptError struct{ instance string }

func (e *notKeptError) Error() string {
	return fmt.Sprintf("instance %s has not stored the response", e.instance)
}

// AnswerTooLargeError reports that the response body is longer than
// Options.MaxAnswerBytes. The request was executed.
type AnswerTooLargeError struct {
	CallDetails
	Limit int64 // Options.MaxAnswerBytes
}

func (e *AnswerTooLargeError) Error() string {
	return e.text(fmt.Sprintf("request was executed, but its response is longer than %d bytes", e.Limit))
}

// TransportError reports that no complete response was received from an
// instance, for example because the connection failed.
type TransportError struct {
	Instance string
	// NotSent means that no byte of the request was written to a connection.
	NotSent bool
	Err     error
}

func (e *TransportError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("instance %s: request not sent: %v", e.Instance, e.Err)
	}
	return fmt.Sprintf("instance %s: no complete response: %v", e.Instance, e.Err)
}

func (e *TransportError) Unwrap() error { return e.Err }

// BrokenAnswerError reports a response that does not come from an entry
// instance or is malformed, or whose end cannot be determined.
type BrokenAnswerError struct {
	Instance string
	Status   int
	Problem  string
}

func (e *BrokenAnswerError) Error() string {
	return fmt.Sprintf("instance %s: response with status %d %s", e.Instance, e.Status, e.Problem)
}

// RequestError reports a request that is invalid and was not sent.
type RequestError struct {
	Field   string
	Problem string
}

func (e *RequestError) Error() string { return fmt.Sprintf("request: %s %s", e.Field, e.Problem) }

// OptionError reports an invalid option.
type OptionError struct {
	Field   string
	Problem string
}

func (e *OptionError) Error() string { return fmt.Sprintf("option %s %s", e.Field, e.Problem) }

// DirectoryError reports that no instance returned a directory and that there
// is no earlier one, or that the call ended before the directory was renewed.
// The request was not sent.
type DirectoryError struct {
	// Addresses lists the instances from which a directory was requested.
	Addresses []string
	// Err is the last failure.
	Err error
}

func (e *DirectoryError) Error() string {
	return fmt.Sprintf("no directory from %d instances %v: %v", len(e.Addresses), e.Addresses, e.Err)
}

func (e *DirectoryError) Unwrap() error { return e.Err }

// DirectoryAnswerError reports an invalid response to a directory request.
type DirectoryAnswerError struct {
	Address string
	Problem string
}

func (e *DirectoryAnswerError) Error() string {
	return fmt.Sprintf("directory response of %s %s", e.Address, e.Problem)
}

// AttemptLimitError reports that a copy got no complete response within
// Request.AttemptLimit.
type AttemptLimitError struct{ Limit time.Duration }

func (e *AttemptLimitError) Error() string {
	return fmt.Sprintf("no complete response within %v", e.Limit)
}

// callDetails lets CallDetailsOf find the CallDetails in all error types that
// embed it.
func (d *CallDetails) callDetails() *CallDetails { return d }

// CallDetailsOf returns the CallDetails of an error returned by Do, and whether
// it has any.
func CallDetailsOf(err error) (CallDetails, bool) {
	var failure interface {
		error
		callDetails() *CallDetails
	}
	if !errors.As(err, &failure) {
		return CallDetails{}, false
	}
	return *failure.callDetails(), true
}

// OutcomeOf returns a name for the result of Do, for reports and metrics: an
// outcome of the protocol; "unreachable" if nothing was sent;
// "answer-too-large"; "bad-request" for a RequestError; "failed" for other
// errors.
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

// isA reports whether err is or wraps an error of type E.
func isA[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}
