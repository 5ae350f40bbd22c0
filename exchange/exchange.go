// Package exchange runs one contract from acceptance to its outcome: it chooses
// a target, waits in the queue, takes a link, sends, reads, and tries again as
// the contract allows. It runs on the goroutine of the request.
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

// Request is what a caller wants sent, without hop-by-hop headers.
type Request struct {
	Method string
	URL    *url.URL // path and query
	Header http.Header
	Body   io.Reader
	Size   int64 // -1 if unknown
	// ID names the request where the protocol of the targets uses the caller's name
	// for it.
	ID string
	// Target is the path and query as the caller sent them; "" if URL gives them.
	Target string
}

// Observer is told about attempts, for metrics.
type Observer interface {
	Attempt(service string, failure contract.Failure, took time.Duration) // failure is 0 for an answer
	Discarded(service string)                                             // an answer that was late, crossed or cut
}

// Chooser finds a target for a request. It may ask targets for their load first.
type Chooser interface {
	// Choose takes a permit from a target that is not among those tried.
	Choose(ctx context.Context, s *service.Service, need Need) (target.Permit, bool)
}

// Need is what a request asks of its target.
type Need struct {
	Tried service.Tried
	Size  int64 // of the body; -1 if unknown
	// Urgent requests may wait inside a target; others wait here.
	Urgent bool
}

// FailedAnswerError is a failure that a target answered to a request that may be
// sent again. It is passed on if no other attempt may follow.
type FailedAnswerError struct {
	Response *Response
}

func (e *FailedAnswerError) Error() string {
	return fmt.Sprintf("the target answered with status %d", e.Response.Status)
}

// Sender has connections to targets. It speaks the protocol between entry
// instances and targets, so that the same exchange serves several protocols.
type Sender interface {
	// Prepare finds a connection to the permitted target before the attempt
	// begins. It returns nil if none can be had now; the permit is then still
	// held by the caller.
	Prepare(ctx context.Context, x *Exchange, permit target.Permit) Sending
}

// Sending is one attempt that has a connection. Either Send or Abandon is called
// once; both release the permit, Send at the end of the answer.
type Sending interface {
	// Send writes the request and reads the answer. If the error is not nil, the
	// failure says whether the target may have run the request.
	Send(ctx context.Context, request *Request, content *Body) (*Response, contract.Failure, error)
	// Abandon gives the connection back unused.
	Abandon()
}

// Note tells of one attempt, for logs: what was known of its target at the choice,
// and how it ended.
type Note struct {
	Target    string
	Delay     float64       // relative delay that was expected; see target.RelativeDelay
	ReportAge time.Duration // age of the load report behind it; negative if there was none
	Failure   contract.Failure
	Took      time.Duration
}

// Exchange serves one request. It is used by one goroutine.
type Exchange struct {
	Instance string
	Contract *contract.Contract
	Service  *service.Service
	Demand   service.Demand // rank and bounds; deadline and mark are set here
	Sender   Sender
	Chooser  Chooser // nil for the policy of the service
	Urgent   bool    // told to the chooser
	Crashes  *contract.Fingerprints
	Tracer   trace.Tracer
	Observer Observer
	// Isolated tells that no new work may start; nil if that never happens.
	Isolated func() bool

	tried  service.Tried
	barred service.Tried // targets that went down while they ran this request
	silent time.Time     // when an attempt began that met a silent connection
	size   int64         // of the body
	failed *Response     // newest failure that a target answered
	notes  []Note
}

// Notes returns what became of the attempts so far.
func (x *Exchange) Notes() []Note { return x.notes }

// note begins the note of an attempt.
func (x *Exchange) note(now time.Time, t *target.Target) *Note {
	age, known := t.ReportAge(now)
	if !known {
		age = -1
	}
	x.notes = append(x.notes, Note{Target: t.Spec.Name, Delay: t.RelativeDelay(now), ReportAge: age})
	return &x.notes[len(x.notes)-1]
}

// Run sends the request until it is answered or the contract refuses another
// attempt. The context ends when the caller has gone; it cancels the attempt.
func (x *Exchange) Run(ctx context.Context, request *Request) (*Response, *contract.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, x.Contract.Terms.Deadline)
	content, err := readBody(request.Body, request.Size)
	if err != nil {
		cancel()
		return nil, x.Contract.Refuse(bodyReason(err))
	}
	x.size = content.size
	began := time.Now()
	x.Service.Asked(began)
	x.Service.Retries.Request(began)
	for {
		if !x.Crashes.Empty() {
			now, fingerprint := time.Now(), FingerprintOf(x, request, content)
			if x.Crashes.Refused(now, fingerprint) {
				cancel()
				return nil, x.crashes()
			}
			x.bar(x.Crashes.Targets(now, fingerprint))
		}
		permit, refusal := x.admit(ctx)
		if refusal != nil {
			cancel()
			return nil, refusal
		}
		response, refusal, again := x.attempt(ctx, permit, request, content)
		if again {
			continue
		}
		if refusal != nil && x.failed != nil {
			response, refusal = x.failed, nil
		}
		if response != nil && !x.Crashes.Empty() {
			x.Crashes.Answered(FingerprintOf(x, request, content))
		}
		if response == nil || response.Rest == nil {
			cancel()
		} else {
			response.Rest = &canceling{response.Rest, cancel}
		}
		return response, refusal
	}
}

// crashes refuses a request that takes targets down. If it has been sent, it
// may have run, and a later copy must learn that.
func (x *Exchange) crashes() *contract.Refusal {
	refusal := x.Contract.Refuse(contract.ReasonCrashes)
	if refusal.Outcome == contract.OutcomeNotRun {
		refusal.Outcome = contract.OutcomeCrashesTargets
	}
	return refusal
}

func bodyReason(err error) contract.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return contract.ReasonBodyTooLarge
	}
	return contract.ReasonCallerCanceled
}

// canceling ends the context of the exchange with the body.
type canceling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *canceling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// admit returns a permit. A request that waited since before this instance was
// cut off from changes gets none.
func (x *Exchange) admit(ctx context.Context) (target.Permit, *contract.Refusal) {
	if ctx.Err() != nil {
		return target.Permit{}, x.Contract.Refuse(x.contextReason(ctx))
	}
	permit, refusal := x.find(ctx)
	if refusal == nil && x.Isolated != nil && x.Isolated() {
		x.Release(permit)
		return target.Permit{}, x.Contract.Refuse(contract.ReasonIsolated)
	}
	return permit, refusal
}

// find takes a permit, waiting in the queue if no target has room.
func (x *Exchange) find(ctx context.Context) (target.Permit, *contract.Refusal) {
	seen := x.Service.Queue.Seen()
	if x.Service.Queue.Len() == 0 {
		if permit, ok := x.choose(ctx); ok {
			return permit, nil
		}
	}
	return x.wait(ctx, seen)
}

// choose prefers targets that this request has not failed on.
func (x *Exchange) choose(ctx context.Context) (target.Permit, bool) {
	if permit, ok := x.chooseBut(ctx, x.tried); ok {
		return permit, true
	}
	if len(x.tried) == len(x.barred) {
		return target.Permit{}, false
	}
	return x.chooseBut(ctx, x.barred)
}

func (x *Exchange) chooseBut(ctx context.Context, tried service.Tried) (target.Permit, bool) {
	if x.Chooser != nil {
		return x.Chooser.Choose(ctx, x.Service, Need{Tried: tried, Size: x.size, Urgent: x.Urgent})
	}
	return x.Service.Choose(time.Now(), tried, rand.Uint64())
}

// bar excludes the targets with the given names. One that has restarted would go
// down again, and would count as one target only.
func (x *Exchange) bar(names []string) {
	for _, c := range x.Service.View().Candidates {
		if slices.Contains(names, c.Target.Spec.Name) && !x.barred.Has(c.Target) {
			x.barred = append(x.barred, c.Target)
			x.avoid(c.Target)
		}
	}
}

func (x *Exchange) wait(ctx context.Context, seen uint64) (target.Permit, *contract.Refusal) {
	_, span := x.Tracer.Start(ctx, "queue")
	defer span.End()
	now := time.Now()
	queue := x.Service.Queue
	demand := x.Demand
	demand.Deadline, demand.Seen = x.Contract.Terms.Deadline, seen
	waiter, err := queue.JoinAt(now, demand)
	if err != nil {
		return target.Permit{}, x.Contract.Refuse(queueReason(err))
	}
	// The end of a target's back-off releases no permit and wakes nobody.
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	hold := holdTimer(demand.Hold)
	defer hold.Stop()
	for {
		select {
		case <-waiter.Ready():
			if waiter.Displaced() {
				return target.Permit{}, x.Contract.Refuse(contract.ReasonQueueFull)
			}
			if permit, ok := x.choose(ctx); ok {
				queue.Taken(waiter)
				return permit, nil
			}
			queue.Rejoin(waiter)
		case <-recheck.C:
			if permit, ok := x.choose(ctx); ok {
				queue.Leave(waiter)
				return permit, nil
			}
		case <-hold.C:
			queue.Leave(waiter)
			return target.Permit{}, x.Contract.Refuse(contract.ReasonNoTarget)
		case <-ctx.Done():
			queue.Leave(waiter)
			return target.Permit{}, x.Contract.Refuse(x.contextReason(ctx))
		}
	}
}

// holdTimer ends a wait. Without a bound it does not run.
func holdTimer(hold time.Duration) *time.Timer {
	if hold > 0 {
		return time.NewTimer(hold)
	}
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// recheckInterval is how often a waiting request looks for a target by itself.
const recheckInterval = 25 * time.Millisecond

func queueReason(err error) contract.Reason {
	var late *service.LateError
	if errors.As(err, &late) {
		return contract.ReasonDeadline
	}
	return contract.ReasonQueueFull
}

// contextReason tells why the context ended. The server cancels it when its own
// deadline for reading the request passes, which is at the same moment.
func (x *Exchange) contextReason(ctx context.Context) contract.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(x.Contract.Terms.Deadline) {
		return contract.ReasonDeadline
	}
	return contract.ReasonCallerCanceled
}

// attempt sends the request once. The result again tells that another attempt
// may follow.
func (x *Exchange) attempt(ctx context.Context, permit target.Permit, request *Request, content *Body) (response *Response, refusal *contract.Refusal, again bool) {
	chosen := permit.Target
	sending := x.Sender.Prepare(ctx, x, permit)
	if sending == nil {
		x.Release(permit)
		x.avoid(chosen)
		pause(ctx, linkPause)
		return nil, nil, true
	}
	began := time.Now()
	if err := x.Contract.BeginAttempt(began); err != nil {
		sending.Abandon()
		return nil, refusalOf(err), false
	}
	ctx, span := x.Tracer.Start(ctx, "attempt", clientSpan)
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("target", chosen.Spec.Name), attribute.Int("attempt", x.Contract.Attempts()))
	}
	note := x.note(began, chosen)
	response, failure, err := sending.Send(ctx, request, content)
	note.Failure, note.Took = failure, time.Since(began)
	if err == nil {
		x.Contract.Answer()
		return response, nil, false
	}
	span.RecordError(err)
	var answered *FailedAnswerError
	if errors.As(err, &answered) {
		x.failed = answered.Response
	}
	x.Observer.Attempt(x.Service.Name, failure, time.Since(began))
	x.avoid(chosen)
	if !content.replayable() {
		return nil, x.Contract.Stop(failure), false
	}
	now := time.Now()
	refusal = x.Contract.FailAttempt(now, failure)
	if refusal == nil && failure != contract.FailureNotSent && !x.Service.Retries.Retry(now) {
		refusal = x.Contract.Refuse(contract.ReasonRetriesSpent)
	}
	if refusal == nil && failure == contract.FailureLost {
		pause(ctx, crashSettle)
	}
	return nil, refusal, refusal == nil
}

// avoid prefers other targets from now on. Each target is listed once.
func (x *Exchange) avoid(t *target.Target) {
	if !x.tried.Has(t) {
		x.tried = append(x.tried, t)
	}
}

// pause waits, or returns when the context ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

const (
	// linkPause is the time that opening a connection takes. A permit without a
	// link means that one is being replaced.
	linkPause = time.Millisecond
	// crashSettle is the pause before a request whose connection broke is sent
	// to another target. In it the other connections of a target that went down
	// break too, and the crash is counted before the request can cause another.
	crashSettle = 10 * time.Millisecond
)

func refusalOf(err error) *contract.Refusal {
	var notAllowed *contract.AttemptError
	if errors.As(err, &notAllowed) {
		return &notAllowed.Refusal
	}
	return &contract.Refusal{Outcome: contract.OutcomeUnknown, Reason: contract.ReasonAnswerLost}
}

// Release gives a permit back and lets a waiting request choose again.
func (x *Exchange) Release(permit target.Permit) {
	permit.Release()
	x.Service.Queue.Released(time.Now())
}

var clientSpan = trace.WithSpanKind(trace.SpanKindClient)
