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

// Attempt is what a target is told about an attempt.
type Attempt struct {
	Request *exchange.Request
	Target  string        // the process that may run it
	Left    time.Duration // time until the caller needs the answer
}

// Verdict is what an answer says, read from its headers.
type Verdict struct {
	// Own is true if the answer names the request that it was asked.
	Own bool
	// Genuine is true if the answer bears the target's mark and its plain body.
	Genuine bool
	// NotRun is true if the target says that it did not run the request.
	NotRun bool
	// Misdirected is true if another process than the named one answered.
	Misdirected bool
	Load        *target.Report // nil if the answer tells none
}

// Protocol turns attempts into headers and answers into verdicts. It decides
// nothing, and is safe for concurrent use.
type Protocol interface {
	// Outgoing adds the headers of an attempt.
	Outgoing(header http.Header, attempt Attempt)
	// Judge reads an answer to an attempt.
	Judge(response *http.Response, request *exchange.Request) Verdict
}

// Sender sends attempts over pooled connections.
type Sender struct {
	Pools    *Pools
	Protocol Protocol
	Logger   zerolog.Logger
}

const (
	// onceIdle is the longest time for which a connection may have been idle when
	// it carries a request that must not run twice. If the target closes it at
	// the same moment, nobody can tell whether the request has run.
	onceIdle = 700 * time.Millisecond
	// suspicion is how long a target counts as cold after its connections broke:
	// its process may have started again.
	suspicion = 3 * time.Second
	// leastPatience and patienceFactor set how long an attempt at a target that
	// does not answer lasts if the request may be sent again, relative to the
	// usual time of its class.
	leastPatience  = 250 * time.Millisecond
	patienceFactor = 4
	// answerMargin is left of the caller's time for the answer to travel.
	answerMargin = 5 * time.Millisecond
)

// Prepare implements exchange.Sender.
func (s *Sender) Prepare(ctx context.Context, x *exchange.Exchange, permit target.Permit) exchange.Sending {
	within := idleLifetime
	if !x.Contract.Terms.Idempotent {
		within = onceIdle
	}
	conn, err := s.Pools.Take(ctx, permit.Target, within)
	if err != nil {
		if ctx.Err() == nil {
			now := time.Now()
			permit.Target.Unreachable(now)
			permit.Target.CoolFor(now, suspicion)
			s.Logger.Warn().Str("event", "target_unreachable").Str("target", permit.Target.Spec.Name).
				Str("address", permit.Target.Spec.Address).Err(err).Msg("target cannot be reached")
		}
		return nil
	}
	return &sending{s: s, x: x, permit: permit, conn: conn, began: time.Now()}
}

// sending is one attempt on one connection.
type sending struct {
	s      *Sender
	x      *exchange.Exchange
	permit target.Permit
	conn   *Conn
	began  time.Time
}

// Abandon implements exchange.Sending.
func (s *sending) Abandon() {
	s.s.Pools.Put(s.permit.Target, s.conn)
	s.x.Release(s.permit)
}

// DeclinedError reports a target that says it did not run a request.
type DeclinedError struct {
	Target string
	Status int
}

func (e *DeclinedError) Error() string {
	return fmt.Sprintf("target %s did not run the request: status %d", e.Target, e.Status)
}

// ForgedError reports an answer that is not the target's whole own answer.
type ForgedError struct {
	Target string
	Status int
}

func (e *ForgedError) Error() string {
	return fmt.Sprintf("target %s: an answer with status %d is not its own", e.Target, e.Status)
}

// Send implements exchange.Sending.
func (s *sending) Send(ctx context.Context, request *exchange.Request, content *exchange.Body) (*exchange.Response, contract.Failure, error) {
	ctx, cancel := context.WithTimeout(ctx, s.patience())
	answer, sent, err := s.conn.Do(ctx, s.message(request, content))
	silent := err != nil && ctx.Err() != nil
	if err != nil {
		cancel()
		return nil, s.broken(request, content, sent, silent, err), err
	}
	verdict := s.s.Protocol.Judge(answer.Response, request)
	if verdict.Load != nil {
		s.permit.Target.Observe(time.Now(), *verdict.Load)
	}
	response := &exchange.Response{
		Status: answer.Response.StatusCode, Header: answer.Response.Header, Body: answer.Body, Rest: answer.Rest,
	}
	failure, err := s.classify(&verdict, response)
	if err != nil || answer.Rest == nil {
		cancel()
		s.finish(err, answer)
		return response, failure, err
	}
	response.Rest = &rest{ReadCloser: answer.Rest, end: func() { cancel(); s.finish(nil, answer) }}
	return response, 0, nil
}

// classify tells whether an answer is the end of the request.
func (s *sending) classify(verdict *Verdict, response *exchange.Response) (contract.Failure, error) {
	name, status := s.permit.Target.Spec.Name, response.Status
	switch {
	case verdict.Misdirected:
		return contract.FailureMisdirected, &DeclinedError{name, status}
	case verdict.NotRun:
		return contract.FailureDeclined, &DeclinedError{name, status}
	case !verdict.Genuine:
		return contract.FailureLost, &ForgedError{name, status}
	case status >= http.StatusInternalServerError && s.x.Contract.Terms.Idempotent && response.Rest == nil:
		return contract.FailureLost, &exchange.FailedAnswerError{Response: response}
	default:
		return 0, nil
	}
}

// finish records an answered attempt and gives connection and permit back.
func (s *sending) finish(err error, answer *Answer) {
	t, now := s.permit.Target, time.Now()
	var declined *DeclinedError
	var failed *exchange.FailedAnswerError
	switch {
	case errors.As(err, &declined):
		t.Judge(true)
		if declined.Status == http.StatusMisdirectedRequest {
			t.Replaced(now)
		}
	case err != nil:
		t.Judge(true)
		if !errors.As(err, &failed) {
			s.conn.Close()
		}
	default:
		t.Judge(answer.Response.StatusCode >= http.StatusInternalServerError)
		took := now.Sub(s.began)
		t.Answered(took)
		s.x.Service.Durations.Answered(s.x.Contract.Terms.Class, took)
		s.x.Observer.Attempt(s.x.Service.Name, 0, took)
	}
	s.s.Pools.Put(t, s.conn)
	s.x.Release(s.permit)
}

// broken records an attempt without an answer and returns what is known of it.
func (s *sending) broken(request *exchange.Request, content *exchange.Body, sent, ended bool, err error) contract.Failure {
	t, now := s.permit.Target, time.Now()
	s.conn.Close()
	defer s.x.Release(s.permit)
	if !sent {
		return contract.FailureNotSent
	}
	var cut *BrokenError
	switch {
	case ended:
		// The caller left, or the time for the attempt is over.
		t.Judge(now.Sub(s.began) >= leastPatience)
	case errors.As(err, &cut) && cut.Silent:
		t.Judge(true)
		t.Failed(now)
		t.CoolFor(now, suspicion)
		s.x.Crashes.Crashed(now, t.Spec.Name, exchange.FingerprintOf(s.x, request, content))
	default:
		t.Judge(true)
		s.x.Observer.Discarded(s.x.Service.Name)
	}
	s.s.Logger.Info().Str("event", "attempt_lost").Str("request", request.ID).Str("target", t.Spec.Name).
		Dur("took", now.Sub(s.began)).Bool("ended_here", ended).Err(err).Msg("attempt without an answer")
	return contract.FailureLost
}

// patience is how long the attempt may take.
func (s *sending) patience() time.Duration {
	left := time.Until(s.x.Contract.Terms.Deadline) - answerMargin
	if !s.x.Contract.Terms.Idempotent || s.x.Contract.Attempts() > s.x.Contract.Terms.Retries {
		return left
	}
	usual, known := s.x.Service.Durations.Usual(s.x.Contract.Terms.Class)
	if !known {
		return left / 2
	}
	return min(left, max(leastPatience, patienceFactor*usual))
}

func (s *sending) message(request *exchange.Request, content *exchange.Body) *Message {
	header := request.Header.Clone()
	s.s.Protocol.Outgoing(header, Attempt{
		Request: request, Target: s.permit.Target.Spec.Name,
		Left: time.Until(s.x.Contract.Terms.Deadline) - answerMargin,
	})
	m := &Message{
		Method: request.Method, Target: request.Target, Host: header.Get("Host"), Header: header, Size: content.Size(),
		Expected: func(response *http.Response) bool { return s.s.Protocol.Judge(response, request).Own },
	}
	header.Del("Host")
	if m.Size != 0 {
		m.Body = content.Reader()
	}
	return m
}

// rest is the second part of a long answer.
type rest struct {
	io.ReadCloser
	end  func()
	done bool
}

func (r *rest) Close() error {
	err := r.ReadCloser.Close()
	if !r.done {
		r.done = true
		r.end()
	}
	return err
}
