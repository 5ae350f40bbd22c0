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
	"math/rand/v2"
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

	tried          service.Tried // all targets to avoid, including crashedTargets
	crashedTargets service.Tried // targets that crashed while running this request
	silentSince    time.Time     // start of the last attempt whose link was silent; zero if there was none
	size           int64         // of the body, in bytes; -1 if unknown
	failedResponse *Response     // last error response of a target
	records        []AttemptRecord
	fingerprint    string // of the request, if it was refused because it crashes targets
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
		if !x.Crashes.Empty() {
			now, fingerprint := time.Now(), FingerprintOf(x, request, body)
			if x.Crashes.Refused(now, fingerprint) {
				cancel()
				x.fingerprint = fingerprint.String()
				return nil, x.refuseCrashing()
			}
			x.excludeCrashed(x.Crashes.Targets(now, fingerprint))
		}
		permit, refusal := x.admit(ctx)
		if refusal != nil {
			cancel()
			return nil, refusal
		}
		response, refusal, again := x.attempt(ctx, permit, request, body)
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

// admit acquires a permit. It refuses a request if this instance became isolated
// while the request was waiting.
func (x *Exchange) admit(ctx context.Context) (target.Permit, *contract.Refusal) {
	if ctx.Err() != nil {
		return target.Permit{}, x.Contract.Refuse(x.contextReason(ctx))
	}
	permit, refusal := x.acquirePermit(ctx)
	if refusal == nil && x.Isolated != nil && x.Isolated() {
		x.ReleasePermit(permit)
		return target.Permit{}, x.Contract.Refuse(contract.ReasonInstanceIsolated)
	}
	return permit, refusal
}

// acquirePermit acquires a permit, waiting in the queue if no target has
// capacity.
func (x *Exchange) acquirePermit(ctx context.Context) (target.Permit, *contract.Refusal) {
	wakeEpoch := x.Service.Queue.WakeEpoch()
	if x.Service.Queue.Len() == 0 {
		if permit, ok := x.choose(ctx); ok {
			return permit, nil
		}
	}
	return x.waitInQueue(ctx, wakeEpoch)
}

// choose prefers targets that the request has not been tried on. It never
// chooses one that crashed while running the request.
func (x *Exchange) choose(ctx context.Context) (target.Permit, bool) {
	if permit, ok := x.chooseExcluding(ctx, x.tried); ok {
		return permit, true
	}
	if len(x.tried) == len(x.crashedTargets) {
		return target.Permit{}, false
	}
	return x.chooseExcluding(ctx, x.crashedTargets)
}

func (x *Exchange) chooseExcluding(ctx context.Context, tried service.Tried) (target.Permit, bool) {
	if x.Chooser != nil {
		return x.Chooser.Choose(ctx, x.Service, Criteria{Tried: tried, Size: x.size, Urgent: x.Urgent})
	}
	return x.Service.Choose(time.Now(), tried, rand.Uint64())
}

// excludeCrashed excludes the targets with the given names. Once restarted, such
// a target would crash again, and would still count as only one target.
func (x *Exchange) excludeCrashed(names []string) {
	for _, c := range x.Service.View().Candidates {
		if slices.Contains(names, c.Target.Spec.Name) && !x.crashedTargets.Contains(c.Target) {
			x.crashedTargets = append(x.crashedTargets, c.Target)
			x.markTried(c.Target)
		}
	}
}

// waitInQueue waits in the queue of the service until a target has capacity.
func (x *Exchange) waitInQueue(ctx context.Context, wakeEpoch uint64) (target.Permit, *contract.Refusal) {
	_, span := x.Tracer.Start(ctx, "queue")
	defer span.End()
	now := time.Now()
	queue := x.Service.Queue
	queued := x.QueueRequest
	queued.Deadline, queued.WakeEpoch = x.Contract.Terms.Deadline, wakeEpoch
	giveUpAt := queued.Deadline
	if queued.QueueTimeout > 0 {
		giveUpAt = earlier(giveUpAt, now.Add(queued.QueueTimeout))
	}
	if refusal := x.refusePaused(now, giveUpAt); refusal != nil {
		return target.Permit{}, refusal
	}
	waiter, err := queue.JoinAt(now, queued)
	if err != nil {
		return target.Permit{}, x.Contract.Refuse(queueReason(err))
	}
	// The end of a target's back-off releases no permit, so it does not wake a
	// waiter.
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	timeout := newQueueTimer(queued.QueueTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-waiter.Ready():
			if waiter.Displaced() {
				return target.Permit{}, x.Contract.Refuse(contract.ReasonQueueFull)
			}
			if permit, ok := x.choose(ctx); ok {
				queue.Served(waiter)
				return permit, nil
			}
			queue.Rejoin(waiter)
		case <-recheck.C:
			if permit, ok := x.choose(ctx); ok {
				queue.Leave(waiter)
				return permit, nil
			}
			if refusal := x.refusePaused(time.Now(), giveUpAt); refusal != nil {
				queue.Leave(waiter)
				return target.Permit{}, refusal
			}
		case <-timeout.C:
			queue.Leave(waiter)
			return target.Permit{}, x.Contract.Refuse(contract.ReasonNoTarget)
		case <-ctx.Done():
			queue.Leave(waiter)
			return target.Permit{}, x.Contract.Refuse(x.contextReason(ctx))
		}
	}
}

// refusePaused refuses a request if all targets have asked for a pause that ends
// after the time at which the request would stop waiting. It returns nil if the
// request may wait.
func (x *Exchange) refusePaused(now, giveUpAt time.Time) *contract.Refusal {
	pausedUntil, paused := x.Service.View().PausedUntil(now)
	if !paused || pausedUntil.Before(giveUpAt) {
		return nil
	}
	refusal := x.Contract.Refuse(contract.ReasonTargetsPaused)
	refusal.RetryAfter = pausedUntil.Sub(now)
	return refusal
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// newQueueTimer returns a timer that ends the wait in the queue. If the timeout
// is 0, it never fires.
func newQueueTimer(timeout time.Duration) *time.Timer {
	if timeout > 0 {
		return time.NewTimer(timeout)
	}
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// recheckInterval is the interval at which a waiting request tries to choose a
// target without having been woken.
const recheckInterval = 25 * time.Millisecond

func queueReason(err error) contract.Reason {
	var deadlineErr *service.DeadlineError
	if errors.As(err, &deadlineErr) {
		return contract.ReasonDeadline
	}
	return contract.ReasonQueueFull
}

// contextReason returns why the context ended. A context that is canceled at the
// deadline counts as expired, because the server's read deadline for the request
// passes at the same moment and cancels it.
func (x *Exchange) contextReason(ctx context.Context) contract.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(x.Contract.Terms.Deadline) {
		return contract.ReasonDeadline
	}
	return contract.ReasonCallerCanceled
}

// attempt sends the request once. The result again reports whether another
// attempt may follow.
func (x *Exchange) attempt(ctx context.Context, permit target.Permit, request *Request, body *Body) (response *Response, refusal *contract.Refusal, again bool) {
	chosen := permit.Target
	reserved := x.Sender.Reserve(ctx, x, permit)
	if reserved == nil {
		x.ReleasePermit(permit)
		x.markTried(chosen)
		sleep(ctx, linkOpenTime)
		return nil, nil, true
	}
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
	response, failure, err := reserved.Send(ctx, request, body)
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
	if refusal == nil && failure != contract.FailureNotSent && !x.Service.RetryBudget.Allow(now) {
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
