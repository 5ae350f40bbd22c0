package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/link"
	"fulmarhoist.example/target"
)

// sending is one attempt on one link. It ends with finish, exactly once.
type sending struct {
	x      *Exchange
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

// send writes the request and reads the answer. If err is not nil, failure says
// whether the target may have run it.
func (s *sending) send(ctx context.Context, request *Request, content *body) (*Response, contract.Failure, error) {
	attemptID := newAttemptID()
	s.link.Carry(&link.Work{Fingerprint: func() contract.Fingerprint { return fingerprintOf(s.x, request, content) }})
	watch := s.watch(ctx, attemptID)
	out := s.x.outgoing(watch.ctx, request, content, attemptID)
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
		s.x.Links.Draining(s.permit.Target, s.permit.Generation)
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
	s.x.release(s.permit)
}

func fingerprintOf(x *Exchange, request *Request, content *body) contract.Fingerprint {
	return contract.NewFingerprint(x.Service.Name, x.Contract.Terms.Class, request.Method, request.URL.RequestURI(), content.kept)
}
