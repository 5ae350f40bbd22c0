package exchange

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/link"
	"fulmarhoist.example/target"
)

// Names of the headers between entry instances and targets.
const (
	headerAttemptID = "Fulmarhoist-Attempt-Id"
	headerDeadline  = "Fulmarhoist-Deadline"
	headerDepth     = "Fulmarhoist-Depth"
	headerRetries   = "Fulmarhoist-Retries-Left"
	headerClass     = "Fulmarhoist-Class"
	headerKey       = "Fulmarhoist-Request-Key"
	headerInstance  = "Fulmarhoist-Instance"
	headerBootID    = "Fulmarhoist-Boot-Id"
	headerLoad      = "Fulmarhoist-Load"
	headerNotRun    = "Fulmarhoist-Not-Run"
	headerDraining  = "Fulmarhoist-Draining"
)

// Reserve implements Sender: it takes an idle link to the target.
func (l *Links) Reserve(_ context.Context, x *Exchange, permit target.Permit) Attempt {
	set := l.Set(permit.Target)
	if set == nil {
		return nil
	}
	taken := takeLink(set, x.slowSince)
	if taken == nil {
		return nil
	}
	return &linkAttempt{exchange: x, links: l, permit: permit, set: set, link: taken, began: time.Now()}
}

// takeLink takes an idle link. If an earlier attempt was slow, as its link may be
// silent, it takes none that may have become silent together with that one.
func takeLink(set *link.Set, slowSince time.Time) *link.Link {
	if slowSince.IsZero() {
		return set.Take()
	}
	return set.TakeVerifiedSince(slowSince)
}

// linkAttempt is one attempt on one link. It implements Attempt and must end
// with exactly one call of finish.
type linkAttempt struct {
	exchange *Exchange
	links    *Links
	permit   target.Permit
	set      *link.Set
	link     *link.Link
	began    time.Time
}

// DeclinedError reports that a target refused a request without running it.
type DeclinedError struct {
	Target string
}

func (e *DeclinedError) Error() string { return fmt.Sprintf("target %s refused the request", e.Target) }

// StalePermitError reports that the target restarted, or that its lease ended,
// between admission and the first write.
type StalePermitError struct {
	Target string
}

func (e *StalePermitError) Error() string {
	return fmt.Sprintf("target %s restarted or its lease ended before the request was sent", e.Target)
}

// Abandon implements Attempt.
func (a *linkAttempt) Abandon() { a.finish(true, a.began) }

// Send implements Attempt.
func (a *linkAttempt) Send(ctx context.Context, request *Request, body *Body) (*Response, contract.Failure, error) {
	attemptID := newAttemptID()
	a.link.SetInFlight(&link.InFlightRequest{Fingerprint: func() contract.Fingerprint { return FingerprintOf(a.exchange, request, body) }})
	canceler := a.startCanceler(ctx, attemptID)
	out := newAttemptRequest(canceler.ctx, a.exchange, request, body, attemptID)
	if !a.permit.MaySend(time.Now()) {
		canceler.end()
		a.finish(true, time.Time{})
		return nil, contract.FailureNotSent, &StalePermitError{a.permit.Target.Spec.Name}
	}
	httpResponse, sent, err := a.link.Send(out)
	if err != nil {
		canceled := canceler.end()
		return nil, a.endFailed(sent, canceled), fmt.Errorf("send to target %s: %w", a.permit.Target.Spec.Name, err)
	}
	httpResponse.Body = canceler.watchResponse(httpResponse.Body)
	if err := checkAttemptID(httpResponse, attemptID); err != nil {
		return nil, a.discard(httpResponse), err
	}
	a.permit.Target.ObserveBootID(a.permit.Generation, httpResponse.Header.Get(headerBootID))
	if inFlight, ok := reportedLoad(httpResponse.Header); ok {
		a.permit.Target.ObserveServerLoad(time.Now(), inFlight)
	}
	if httpResponse.Header.Get(headerDraining) != "" {
		a.links.MarkDraining(a.permit.Target, a.permit.Generation)
	}
	if httpResponse.StatusCode == http.StatusServiceUnavailable && httpResponse.Header.Get(headerNotRun) != "" {
		return nil, a.endDeclined(httpResponse), &DeclinedError{a.permit.Target.Spec.Name}
	}
	response, err := readResponse(httpResponse)
	if err != nil {
		return nil, a.discard(httpResponse), err
	}
	if response.Rest != nil {
		response.Rest = &streamedBody{ReadCloser: response.Rest, finish: a.finish}
		return response, 0, nil
	}
	_ = httpResponse.Body.Close()
	a.finish(true, time.Now())
	return response, 0, nil
}

// reportedLoad returns the number of requests that the target held when it
// responded.
func reportedLoad(header http.Header) (inFlight int, ok bool) {
	text, _, found := strings.Cut(header.Get(headerLoad), "/")
	if !found {
		return 0, false
	}
	inFlight, err := strconv.Atoi(text)
	return inFlight, err == nil && inFlight >= 0
}

// endDeclined ends an attempt that the target declined. It discards the body of
// the response and keeps the link if the whole body could be read and the response
// names the attempt: written again, another one could not be told from the response
// to the next attempt.
func (a *linkAttempt) endDeclined(httpResponse *http.Response) contract.Failure {
	response, err := readResponse(httpResponse)
	reusable := err == nil && response.Rest == nil && httpResponse.Header.Get(headerAttemptID) != ""
	if reusable {
		_ = httpResponse.Body.Close()
	}
	a.permit.Target.RecordFailure(time.Now())
	a.finish(reusable, time.Time{})
	return contract.FailureDeclined
}

// discard ends an attempt whose response is invalid. It closes the link, so that
// the rest of the response cannot reach another request.
func (a *linkAttempt) discard(httpResponse *http.Response) contract.Failure {
	_ = httpResponse.Body.Close()
	a.exchange.Observer.Discarded(a.exchange.Service.Name)
	return a.endFailed(true, false)
}

// endFailed ends an attempt without a complete response.
func (a *linkAttempt) endFailed(sent, canceled bool) contract.Failure {
	a.permit.Target.RecordFailure(time.Now())
	a.finish(false, time.Time{})
	switch {
	case !sent:
		return contract.FailureNotSent
	case canceled:
		return contract.FailureCanceled
	default:
		return contract.FailureLost
	}
}

// finish releases the permit. It returns the link if its connection is reusable,
// and closes it otherwise. If the response was complete, answered is the time of
// its end.
func (a *linkAttempt) finish(reusable bool, answered time.Time) {
	a.link.SetInFlight(nil)
	if reusable && !answered.IsZero() && answered.After(a.began) {
		took := answered.Sub(a.began)
		a.permit.Target.RecordResponse(took)
		a.exchange.Service.ResponseTimes.Record(a.exchange.Contract.Terms.Class, took)
		a.set.RecordResponse(a.link, a.began)
		a.exchange.Observer.Attempt(a.exchange.Service.Name, 0, took)
	}
	if reusable {
		a.set.Put(a.link)
	} else {
		a.link.Close()
	}
	a.exchange.ReleasePermit(a.permit)
}

// FingerprintOf returns the fingerprint by which a request is recognized among
// those that made a target crash.
func FingerprintOf(x *Exchange, request *Request, body *Body) contract.Fingerprint {
	if x.CrashScope != "" {
		return contract.NewFingerprint(x.CrashScope, "", request.Method, request.URL.RequestURI(), body.buffered)
	}
	return contract.NewFingerprint(x.Service.Name, x.Contract.Terms.Class, request.Method, request.URL.RequestURI(), body.buffered)
}

// newAttemptRequest returns the HTTP request of one attempt.
func newAttemptRequest(ctx context.Context, x *Exchange, request *Request, body *Body, attemptID string) *http.Request {
	header := request.Header.Clone()
	terms := &x.Contract.Terms
	header.Set(headerAttemptID, attemptID)
	header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(terms.Deadline).Milliseconds()), 10))
	header.Set(headerDepth, strconv.Itoa(terms.Depth+1))
	header.Set(headerRetries, strconv.Itoa(x.Contract.RetriesLeft()))
	header.Set(headerClass, terms.Class)
	header.Set(headerInstance, x.Instance)
	if !terms.Key.IsZero() {
		header.Set(headerKey, terms.Key.String())
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	address := *request.URL
	out := &http.Request{
		Method:        request.Method,
		URL:           &address,
		Host:          request.Header.Get("Host"),
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: body.size,
	}
	if body.size != 0 {
		out.Body = io.NopCloser(body.Reader())
	}
	return out.WithContext(ctx)
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
