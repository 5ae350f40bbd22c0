package targetconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/target"
)

// Attempt is what the request headers tell a target about an attempt.
type Attempt struct {
	Request   *exchange.Request
	Target    string        // name of the only target that may run it
	Remaining time.Duration // time until the caller needs the response
}

// ResponseInfo is what the status and headers of a response say.
type ResponseInfo struct {
	// MatchesRequest is true if the response belongs to the request.
	MatchesRequest bool
	// Unnamed is true if the response does not name the request that it belongs to.
	Unnamed bool
	// Authentic is true if the response carries the target's signature and an
	// unencoded body.
	Authentic bool
	// NotRun is true if the target says that it did not run the request.
	NotRun bool
	// Misdirected is true if a process other than the addressed target
	// responded.
	Misdirected bool
	LoadReport  *target.Report // nil if the response carries none
}

// Protocol encodes attempts as request headers and decodes response headers. It
// makes no decisions and must be safe for concurrent use.
type Protocol interface {
	// SetAttemptHeaders sets the headers that describe an attempt.
	SetAttemptHeaders(header http.Header, attempt Attempt)
	// ParseResponse reads the status and headers of a response to the request.
	ParseResponse(response *http.Response, request *exchange.Request) ResponseInfo
}

// Sender implements exchange.Sender over pooled connections.
type Sender struct {
	Pools    *Pools
	Protocol Protocol
	Logger   zerolog.Logger
}

const (
	// nonIdempotentMaxIdle is how long a connection may have been idle before it
	// carries a request that must not run twice. If the target closes an idle
	// connection at that moment, it is unknown whether the request has run.
	nonIdempotentMaxIdle = 700 * time.Millisecond
	// newConnection is an idle time that no pooled connection has.
	newConnection = -1
	// coldAfterFailure is how long a target counts as cold after one of its
	// connections broke or could not be opened: its process may have restarted.
	coldAfterFailure = 3 * time.Second
	// minSlowTime and slowFactor set the time after which an attempt counts as
	// slow. The factor applies to the average response time of the class.
	minSlowTime = 250 * time.Millisecond
	slowFactor  = 4
	// responseMargin is subtracted from the caller's deadline, for the response
	// to travel back.
	responseMargin = 5 * time.Millisecond
)

// Reserve implements exchange.Sender.
func (s *Sender) Reserve(ctx context.Context, x *exchange.Exchange, permit target.Permit) exchange.Attempt {
	maxIdle := maxIdleTime
	if !x.Contract.Terms.Idempotent {
		maxIdle = nonIdempotentMaxIdle
	}
	if x.DeclinedBy(permit.Target) {
		// The refusal names the same request. If the target wrote it again on the
		// connection, it would look like the response to this attempt.
		maxIdle = newConnection
	}
	conn, err := s.Pools.Take(ctx, permit.Target, maxIdle)
	if err != nil {
		if ctx.Err() == nil {
			now := time.Now()
			permit.Target.MarkUnreachable(now)
			permit.Target.MarkServerCold(now, coldAfterFailure)
			s.Logger.Warn().Str("event", "target_unreachable").Str("target", permit.Target.Spec.Name).
				Str("address", permit.Target.Spec.Address).Err(err).Msg("could not connect to target")
		}
		return nil
	}
	return &attempt{sender: s, x: x, permit: permit, conn: conn, startedAt: time.Now()}
}

// attempt implements exchange.Attempt: one attempt on one connection.
type attempt struct {
	sender    *Sender
	x         *exchange.Exchange
	permit    target.Permit
	conn      *Conn
	startedAt time.Time
}

// Abandon implements exchange.Attempt.
func (a *attempt) Abandon() {
	a.sender.Pools.Put(a.permit.Target, a.conn)
	a.x.ReleasePermit(a.permit)
}

// DeclinedError reports that a target said it did not run the request.
type DeclinedError struct {
	Target string
	Status int
}

func (e *DeclinedError) Error() string {
	return fmt.Sprintf("target %s declined to run the request with status %d", e.Target, e.Status)
}

// StalePermitError reports that the target announced its shutdown, asked for a
// pause or restarted between the choice of the target and the first write.
type StalePermitError struct {
	Target string
}

func (e *StalePermitError) Error() string {
	return fmt.Sprintf("target %s no longer takes the request that was about to be sent", e.Target)
}

// InvalidResponseError reports a response that is not authentic; see
// ResponseInfo.Authentic.
type InvalidResponseError struct {
	Target string
	Status int
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("target %s: response with status %d lacks the target's signature or has an encoded body", e.Target, e.Status)
}

// Send implements exchange.Attempt.
func (a *attempt) Send(ctx context.Context, request *exchange.Request, body *exchange.Body) (*exchange.Response, contract.Failure, error) {
	if !a.permit.MaySend(time.Now()) {
		a.Abandon()
		return nil, contract.FailureNotSent, &StalePermitError{a.permit.Target.Spec.Name}
	}
	ctx, cancel := context.WithTimeout(ctx, a.remaining())
	response, sent, err := a.conn.Do(ctx, a.newRequest(request, body))
	attemptEnded := err != nil && ctx.Err() != nil
	if err != nil {
		cancel()
		return nil, a.recordFailure(request, body, sent, attemptEnded, err), err
	}
	info := a.sender.Protocol.ParseResponse(response.HTTP, request)
	if info.LoadReport != nil {
		a.permit.Target.Observe(time.Now(), *info.LoadReport)
	}
	result := &exchange.Response{
		Status: response.HTTP.StatusCode, Header: response.HTTP.Header, Body: response.Body, Rest: response.Rest,
	}
	failure, err := a.classify(&info, result)
	if info.Unnamed {
		// Written again, the response could not be told from one to the next request.
		a.conn.Close()
	}
	if err != nil || response.Rest == nil {
		response.discard()
		cancel()
		a.finish(err, response)
		return result, failure, err
	}
	result.Rest = &remainingBody{ReadCloser: response.Rest, end: func(err error) {
		cause := ctx.Err()
		cancel()
		if errors.Is(err, io.EOF) {
			a.finish(nil, response)
			return
		}
		a.finishIncomplete(errors.Is(cause, context.DeadlineExceeded) || cause == nil && err != nil)
	}}
	return result, 0, nil
}

// finishIncomplete records an attempt whose response was passed on only in part.
// The target is at fault if it sent the body for longer than the attempt may take
// or ended it early, but not if the caller has disconnected.
func (a *attempt) finishIncomplete(targetFailed bool) {
	a.conn.Close()
	if targetFailed {
		a.permit.Target.RecordResult(true)
		a.x.Observer.Discarded(a.x.Service.Name)
	}
	a.x.ReleasePermit(a.permit)
}

// classify returns how the attempt failed, or 0 and nil if the response is
// final.
func (a *attempt) classify(info *ResponseInfo, response *exchange.Response) (contract.Failure, error) {
	name, status := a.permit.Target.Spec.Name, response.Status
	switch {
	case info.Misdirected:
		return contract.FailureMisdirected, &DeclinedError{name, status}
	case info.NotRun:
		return contract.FailureDeclined, &DeclinedError{name, status}
	case !info.Authentic:
		return contract.FailureLost, &InvalidResponseError{name, status}
	case status >= http.StatusInternalServerError && a.x.Contract.Terms.Idempotent && response.Rest == nil:
		return contract.FailureLost, &exchange.ErrorResponseError{Response: response}
	default:
		return 0, nil
	}
}

// finish records an attempt that got a response, and releases its connection and
// permit.
func (a *attempt) finish(err error, response *Response) {
	t, now := a.permit.Target, time.Now()
	var declined *DeclinedError
	var failed *exchange.ErrorResponseError
	switch {
	case errors.As(err, &declined):
		t.RecordResult(true)
		if declined.Status == http.StatusMisdirectedRequest {
			t.MarkReplaced(now)
		}
	case err != nil:
		t.RecordResult(true)
		if !errors.As(err, &failed) {
			a.conn.Close()
		}
	default:
		t.RecordResult(response.HTTP.StatusCode >= http.StatusInternalServerError)
		took := now.Sub(a.startedAt)
		t.RecordResponse(took)
		a.x.Service.ResponseTimes.Record(a.x.Contract.Terms.Class, took)
		a.x.Observer.Attempt(a.x.Service.Name, 0, took)
	}
	a.sender.Pools.Put(t, a.conn)
	a.x.ReleasePermit(a.permit)
}

// recordFailure records an attempt that got no usable response and releases its
// permit. It returns FailureNotSent only if no byte of the request was written.
// The parameter attemptEnded is true if the context of the attempt had ended.
func (a *attempt) recordFailure(request *exchange.Request, body *exchange.Body, sent, attemptEnded bool, err error) contract.Failure {
	t, now := a.permit.Target, time.Now()
	a.conn.Close()
	defer a.x.ReleasePermit(a.permit)
	if !sent {
		return contract.FailureNotSent
	}
	event := a.sender.Logger.Info()
	var broken *BrokenError
	switch {
	case attemptEnded:
		// The caller disconnected, its deadline has passed, or another target
		// replaces this one. That counts as a failure of the target only if the
		// attempt lasted at least minSlowTime.
		t.RecordResult(now.Sub(a.startedAt) >= minSlowTime)
	case errors.As(err, &broken) && broken.NoResponse:
		t.RecordResult(true)
		t.RecordFailure(now)
		t.MarkServerCold(now, coldAfterFailure)
		fingerprint := exchange.FingerprintOf(a.x, request, body)
		a.x.Crashes.Crashed(now, t.Spec.Name, fingerprint)
		event = event.Str("fingerprint", fingerprint.String()).Int("crashed", len(a.x.Crashes.Targets(now, fingerprint)))
	default:
		t.RecordResult(true)
		a.x.Observer.Discarded(a.x.Service.Name)
	}
	event.Str("event", "attempt_lost").Str("request", request.ID).Str("target", t.Spec.Name).
		Dur("took", now.Sub(a.startedAt)).Bool("ended_here", attemptEnded).Err(err).Msg("attempt got no response from target")
	return contract.FailureLost
}

// remaining returns how long the attempt may take: what is left of the caller's
// deadline.
func (a *attempt) remaining() time.Duration {
	return time.Until(a.x.Contract.Terms.Deadline) - responseMargin
}

// SlowAfter implements exchange.Attempt.
func (a *attempt) SlowAfter() time.Duration {
	average, known := a.x.Service.ResponseTimes.Average(a.x.Contract.Terms.Class)
	if !known {
		return a.remaining() / 2
	}
	return max(minSlowTime, slowFactor*average)
}

func (a *attempt) newRequest(request *exchange.Request, body *exchange.Body) *Request {
	header := request.Header.Clone()
	a.sender.Protocol.SetAttemptHeaders(header, Attempt{
		Request: request, Target: a.permit.Target.Spec.Name,
		Remaining: a.remaining(),
	})
	out := &Request{
		Method: request.Method, Target: request.Target, Host: header.Get("Host"), Header: header, Size: body.Size(),
		Matches: func(response *http.Response) bool {
			return a.sender.Protocol.ParseResponse(response, request).MatchesRequest
		},
		BodyLimit: func(response *http.Response) int64 {
			if a.sender.Protocol.ParseResponse(response, request).Authentic {
				return MaxBufferedBodyBytes
			}
			return maxSkippedBodyBytes
		},
	}
	header.Del("Host")
	if out.Size != 0 {
		out.Body = body.Reader()
	}
	return out
}

// remainingBody is the rest of a response body that is longer than what is
// buffered. Closing it ends the attempt.
type remainingBody struct {
	io.ReadCloser
	end     func(readErr error) // called once by Close
	readErr error               // of the last Read; io.EOF at the end of the body
	done    bool
}

func (r *remainingBody) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.readErr = err
	return n, err
}

func (r *remainingBody) Close() error {
	err := r.ReadCloser.Close()
	if !r.done {
		r.done = true
		r.end(r.readErr)
	}
	return err
}
