// Package exchange runs one contract from acceptance to its outcome: it chooses
// a target, waits in the queue, takes a link, sends the request, reads the
// response, and retries as the contract allows. It runs on the goroutine of the
// request.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

// Request is the request of a caller, without hop-by-hop headers.
type Request struct {
	Method string
	URL    *url.URL // path and query
	Header http.Header
	Body   io.Reader
	Size   int64 // of the body, in bytes; -1 if unknown
	// ID is the caller's ID of the request, for target protocols that carry it.
	ID string
	// Target is the path and query as the caller sent them; if empty, those of
	// URL are used.
	Target string
}

// Observer is notified of attempts, for metrics.
type Observer interface {
	// Attempt is called when an attempt has ended; failure is 0 if the target
	// responded.
	Attempt(service string, failure contract.Failure, took time.Duration)
	// Discarded is called for a response that is truncated, invalid, or belongs
	// to another attempt.
	Discarded(service string)
}

// Chooser chooses a target for a request. It may probe targets for their load
// first.
type Chooser interface {
	// Choose acquires a permit from a target that is not among criteria.Tried.
	// It reports whether it got one.
	Choose(ctx context.Context, s *service.Service, criteria Criteria) (target.Permit, bool)
}

// Criteria are the properties of a request that matter for the choice of a
// target.
type Criteria struct {
	Tried service.Tried // targets to exclude
	Size  int64         // of the body, in bytes; -1 if unknown
	// Urgent requests may wait inside a target; others wait in the queue of this
	// instance.
	Urgent bool
}

// ErrorResponseError holds the error response of a target to a request that may
// be retried. The response is returned to the caller if no other attempt may
// follow.
type ErrorResponseError struct {
	Response *Response
}

func (e *ErrorResponseError) Error() string {
	return fmt.Sprintf("target responded with status %d", e.Response.Status)
}

// Sender holds the connections to the targets and implements the protocol
// between entry instances and targets. Exchange itself is independent of the
// protocol.
type Sender interface {
	// Reserve reserves a connection to the target of the permit before the
	// attempt begins. It returns nil if none is available; the permit then
	// remains with the caller.
	Reserve(ctx context.Context, x *Exchange, permit target.Permit) Attempt
}

// Attempt is one attempt for which a connection is reserved. Exactly one of Send
// and Abandon must be called, once. Both release the permit, Send at the end of
// the response.
type Attempt interface {
	// Send writes the request and reads the response. If the error is not nil,
	// the failure tells whether the target may have run the request.
	Send(ctx context.Context, request *Request, body *Body) (*Response, contract.Failure, error)
	// Abandon returns the connection unused.
	Abandon()
	// SlowAfter returns the time without a response after which the request looks
	// for another target, if it may be sent again.
	SlowAfter() time.Duration
}

// AttemptRecord describes one attempt, for logs: what was known about the target
// when it was chosen, and how the attempt ended.
type AttemptRecord struct {
	Target    string
	Delay     float64       // expected relative delay; see target.RelativeDelay
	ReportAge time.Duration // age of the load report that Delay is based on; negative if there was none
	Failure   contract.Failure
	Took      time.Duration
}

// Exchange serves one request. It must be used by one goroutine only.
type Exchange struct {
	Instance     string
	Contract     *contract.Contract
	Service      *service.Service
	QueueRequest service.QueueRequest // rank and limits; Deadline and WakeEpoch are set by Run
	Sender       Sender
	Chooser      Chooser // if nil, the policy of the service is used
	Urgent       bool    // passed to the Chooser
	Crashes      *contract.Fingerprints
	// CrashScope names what the path of a request is unique in; its fingerprint
	// depends on it. If it is empty, the scope is the class of the service.
	CrashScope string
	Tracer     trace.Tracer
	Observer   Observer
	// Isolated reports whether no new attempt may start; nil means that it
	// always may.
	Isolated func() bool
	// Draining reports whether this instance is shutting down; nil means that it
	// never is. Attempts in progress are then left to end by themselves.
	Draining func() bool

	tried          service.Tried // all targets to avoid, including crashedTargets
	crashedTargets service.Tried // targets that crashed while running this request
	slowSince      time.Time     // start of the last attempt that was slow; zero if there was none
	size           int64         // of the body, in bytes; -1 if unknown
	failedResponse *Response     // last error response of a target
	records        []AttemptRecord
	fingerprint    string       // of the request, if it was refused because it crashes targets
	replacement    *reservation // of the target that takes over from a slow one; nil if there is none
}

// reservation is an attempt for which a connection to the target is reserved.
type reservation struct {
	Attempt
	target *target.Target
}

// CrashFingerprint returns the fingerprint for which the request was refused because
// it crashes targets, or "" if it was not.
func (x *Exchange) CrashFingerprint() string { return x.fingerprint }

// AttemptRecords describes the attempts made so far.
func (x *Exchange) AttemptRecords() []AttemptRecord { return x.records }

// DeclinedBy reports whether a target has declined this request before.
func (x *Exchange) DeclinedBy(t *target.Target) bool {
	return slices.ContainsFunc(x.records, func(r AttemptRecord) bool {
		return r.Target == t.Spec.Name && (r.Failure == contract.FailureDeclined || r.Failure == contract.FailureMisdirected)
	})
}

// addRecord appends the record of an attempt that begins now.
func (x *Exchange) addRecord(now time.Time, t *target.Target) *AttemptRecord {
	age, known := t.ReportAge(now)
	if !known {
		age = -1
	}
	x.records = append(x.records, AttemptRecord{Target: t.Spec.Name, Delay: t.RelativeDelay(now), ReportAge: age})
	return &x.records[len(x.records)-1]
}

// Run sends the request until a target responds or the contract allows no other
// attempt. The end of ctx, when the caller has disconnected, cancels the attempt
// in progress.
func (x *Exchange) Run(ctx context.Context, request *Request) (*Response, *contract.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, x.Contract.Terms.Deadline)
	body, err := readBody(request.Body, request.Size)
	if err != nil {
		cancel()
		return nil, x.Contract.Refuse(bodyReason(err))
	}
	x.size = body.size
	began := time.Now()
	x.Service.RecordRequest(began)
	x.Service.RetryBudget.RecordRequest(began)
	for {
		reserved, refusal := x.reserve(ctx, request, body)
		if refusal != nil {
			cancel()
			return nil, refusal
		}
		response, refusal, again := x.attempt(ctx, reserved, request, body)
		if again {
			continue
		}
		if refusal != nil && x.failedResponse != nil {
			response, refusal = x.failedResponse, nil
		}
		if response != nil && !x.Crashes.Empty() {
			x.Crashes.RecordResponse(FingerprintOf(x, request, body))
		}
		if response == nil || response.Rest == nil {
			cancel()
		} else {
			response.Rest = &cancelOnClose{response.Rest, cancel}
		}
		return response, refusal
	}
}

// refuseCrashing refuses a request that has made targets crash. If this copy has
// been sent, it may have run, and the outcome must say so to a later copy.
func (x *Exchange) refuseCrashing() *contract.Refusal {
	refusal := x.Contract.Refuse(contract.ReasonCrashesTargets)
	if refusal.Outcome == contract.OutcomeNotRun {
		refusal.Outcome = contract.OutcomeCrashesTargets
	}
	return refusal
}

// bodyReason returns the reason for refusing a request whose body could not be
// read.
func bodyReason(err error) contract.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return contract.ReasonBodyTooLarge
	}
	return contract.ReasonCallerCanceled
}

// cancelOnClose cancels the context of the exchange when the body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// attempt sends the request once. The result again reports whether another
// attempt may follow.
func (x *Exchange) attempt(ctx context.Context, reserved reservation, request *Request, body *Body) (response *Response, refusal *contract.Refusal, again bool) {
	chosen := reserved.target
	began := time.Now()
	if err := x.Contract.BeginAttempt(began); err != nil {
		reserved.Abandon()
		return nil, refusalOf(err), false
	}
	ctx, span := x.Tracer.Start(ctx, "attempt", clientSpan)
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("target", chosen.Spec.Name), attribute.Int("attempt", x.Contract.Attempts()))
	}
	record := x.addRecord(began, chosen)
	response, failure, err := x.send(ctx, reserved, request, body)
	record.Failure, record.Took = failure, time.Since(began)
	if err == nil {
		x.Contract.Complete()
		return response, nil, false
	}
	span.RecordError(err)
	var errorResponse *ErrorResponseError
	if errors.As(err, &errorResponse) {
		x.failedResponse = errorResponse.Response
	}
	x.Observer.Attempt(x.Service.Name, failure, time.Since(began))
	x.markTried(chosen)
	if !body.replayable() {
		return nil, x.Contract.FailWithoutRetry(failure), false
	}
	now := time.Now()
	refusal = x.Contract.FailAttempt(now, failure)
	if refusal == nil && x.Contract.Terms.Deadline.Sub(now) < minRetryTime {
		refusal = x.Contract.Refuse(contract.ReasonDeadline)
	}
	if refusal != nil {
		x.replacement.abandon()
		return nil, refusal, false
	}
	if x.replacement != nil {
		return nil, nil, true
	}
	if failure != contract.FailureNotSent && !x.Service.RetryBudget.Allow(now) {
		refusal = x.Contract.Refuse(contract.ReasonRetriesSpent)
	}
	if refusal == nil && failure == contract.FailureLost {
		sleep(ctx, crashDetectionTime)
	}
	return nil, refusal, refusal == nil
}

// markTried makes choose prefer other targets from now on. A target is listed
// only once.
func (x *Exchange) markTried(t *target.Target) {
	if !x.tried.Contains(t) {
		x.tried = append(x.tried, t)
	}
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

const (
	// minRetryTime is the time before the deadline from which on a request is not
	// sent again: no target could respond in time.
	minRetryTime = 10 * time.Millisecond
	// linkOpenTime is the time needed to open a connection. If there is a permit
	// but no link, a link is being replaced.
	linkOpenTime = time.Millisecond
	// crashDetectionTime is the delay before a request whose connection broke
	// is sent to another target. If the target crashed, its other connections
	// break in this time too, so that the crash is counted before the request
	// can cause another one.
	crashDetectionTime = 10 * time.Millisecond
)

// refusalOf returns the refusal in an error of Contract.BeginAttempt.
func refusalOf(err error) *contract.Refusal {
	var notAllowed *contract.AttemptError
	if errors.As(err, &notAllowed) {
		return &notAllowed.Refusal
	}
	return &contract.Refusal{Outcome: contract.OutcomeUnknown, Reason: contract.ReasonAnswerLost}
}

// ReleasePermit releases a permit and lets a waiting request choose again.
func (x *Exchange) ReleasePermit(permit target.Permit) {
	permit.Release()
	x.Service.Queue.NotifyRelease(time.Now())
}

var clientSpan = trace.WithSpanKind(trace.SpanKindClient)
