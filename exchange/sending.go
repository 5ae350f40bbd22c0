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

// Headers between entry instances and targets.
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

// Prepare implements Sender: it takes an idle link to the target.
func (l *Links) Prepare(_ context.Context, x *Exchange, permit target.Permit) Sending {
	set := l.Set(permit.Target)
	if set == nil {
		return nil
	}
	taken := takeLink(set, x.silent)
	if taken == nil {
		return nil
	}
	return &sending{x: x, links: l, permit: permit, set: set, link: taken, began: time.Now()}
}

// takeLink avoids links that may have gone silent with the one that an earlier
// attempt met.
func takeLink(set *link.Set, silent time.Time) *link.Link {
	if silent.IsZero() {
		return set.Take()
	}
	return set.TakeFresh(silent)
}

// sending is one attempt on one link. It ends with finish, exactly once.
type sending struct {
	x      *Exchange
	links  *Links
	permit target.Permit
	set    *link.Set
	link   *link.Link
	began  time.Time
}

// DeclinedError reports a target's definite refusal to run a request.
type DeclinedError struct {
	Target string
}

func (e *DeclinedError) Error() string { return fmt.Sprintf("target %s refused the request", e.Target) }

// StaleError reports a target that restarted, or whose lease ended, between
// admission and the first write.
type StaleError struct {
	Target string
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("target %s restarted or its lease ended before the request was sent", e.Target)
}

// Abandon implements Sending.
func (s *sending) Abandon() { s.finish(true, s.began) }

// Send implements Sending.
func (s *sending) Send(ctx context.Context, request *Request, content *Body) (*Response, contract.Failure, error) {
	attemptID := newAttemptID()
	s.link.Carry(&link.Work{Fingerprint: func() contract.Fingerprint { return FingerprintOf(s.x, request, content) }})
	watch := s.watch(ctx, attemptID)
	out := outgoing(watch.ctx, s.x, request, content, attemptID)
	watch.observe(out)
	if !s.permit.MaySend(time.Now()) {
		watch.end()
		s.finish(true, time.Time{})
		return nil, contract.FailureNotSent, &StaleError{s.permit.Target.Spec.Name}
	}
	answer, sent, err := s.link.Send(out)
	if err != nil {
		canceled := watch.end()
		if watch.silent.Load() {
			s.x.silent = s.began
		}
		return nil, s.failed(sent, canceled), fmt.Errorf("send to target %s: %w", s.permit.Target.Spec.Name, err)
	}
	answer.Body = watch.body(answer.Body)
	if err := checkEcho(answer, attemptID); err != nil {
		return nil, s.discarded(answer), err
	}
	s.permit.Target.SawBootID(s.permit.Generation, answer.Header.Get(headerBootID))
	if inside, ok := reportedLoad(answer.Header); ok {
		s.permit.Target.ReportServer(time.Now(), inside)
	}
	if answer.Header.Get(headerDraining) != "" {
		s.links.Draining(s.permit.Target, s.permit.Generation)
	}
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(headerNotRun) != "" {
		return nil, s.declined(answer), &DeclinedError{s.permit.Target.Spec.Name}
	}
	response, err := readResponse(answer)
	if err != nil {
		return nil, s.discarded(answer), err
	}
	if response.Rest != nil {
		response.Rest = &streamed{ReadCloser: response.Rest, finish: s.finish}
		return response, 0, nil
	}
	_ = answer.Body.Close()
	s.finish(true, time.Now())
	return response, 0, nil
}

// reportedLoad reads the requests that the target had inside when it answered.
func reportedLoad(header http.Header) (inside int, ok bool) {
	text, _, found := strings.Cut(header.Get(headerLoad), "/")
	if !found {
		return 0, false
	}
	inside, err := strconv.Atoi(text)
	return inside, err == nil && inside >= 0
}

// declined discards the body of a refusal and keeps the link if it is short.
func (s *sending) declined(answer *http.Response) contract.Failure {
	_, err := readResponse(answer)
	_ = answer.Body.Close()
	s.permit.Target.Failed(time.Now())
	s.finish(err == nil, time.Time{})
	return contract.FailureDeclined
}

// discarded drops an answer that is not the whole answer to this attempt. The
// link is closed, so that the rest of it reaches nobody.
func (s *sending) discarded(answer *http.Response) contract.Failure {
	_ = answer.Body.Close()
	s.x.Observer.Discarded(s.x.Service.Name)
	return s.failed(true, false)
}

// failed ends an attempt without a whole answer.
func (s *sending) failed(sent, canceled bool) contract.Failure {
	s.permit.Target.Failed(time.Now())
	s.finish(false, time.Time{})
	switch {
	case !sent:
		return contract.FailureNotSent
	case canceled:
		return contract.FailureCanceled
	default:
		return contract.FailureLost
	}
}

// finish releases the permit, and gives the link back if its connection is in
// order. A time other than zero is the end of a whole answer.
func (s *sending) finish(inOrder bool, answered time.Time) {
	s.link.Carry(nil)
	if inOrder && !answered.IsZero() && answered.After(s.began) {
		took := answered.Sub(s.began)
		s.permit.Target.Answered(took)
		s.x.Service.Durations.Answered(s.x.Contract.Terms.Class, took)
		s.set.Answered(s.link, s.began)
		s.x.Observer.Attempt(s.x.Service.Name, 0, took)
	}
	if inOrder {
		s.set.Put(s.link)
	} else {
		s.link.Close()
	}
	s.x.Release(s.permit)
}

// FingerprintOf identifies the request of an exchange among those that took a
// target down.
func FingerprintOf(x *Exchange, request *Request, content *Body) contract.Fingerprint {
	return contract.NewFingerprint(x.Service.Name, x.Contract.Terms.Class, request.Method, request.URL.RequestURI(), content.kept)
}

// outgoing makes the request of one attempt.
func outgoing(ctx context.Context, x *Exchange, request *Request, content *Body, attemptID string) *http.Request {
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
		ContentLength: content.size,
	}
	if content.size != 0 {
		out.Body = io.NopCloser(content.Reader())
	}
	return out.WithContext(ctx)
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
