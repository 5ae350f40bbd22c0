package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"fulmarhoist.example/caller/resend"
)

// maxRefusalBytes bounds the JSON body of an outcome other than answered.
const maxRefusalBytes = 64 << 10

// outcomeNotKept is the outcome of a request that ran and was answered earlier,
// and whose answer was too long to be kept.
const outcomeNotKept = "answer-not-kept"

// events maps the outcomes of the protocol to events of the plan.
var events = map[string]resend.Event{
	"answered":        resend.EventAnswered,
	outcomeNotKept:    resend.EventAnswered,
	"not-run":         resend.EventNotRun,
	"unknown":         resend.EventUnknown,
	"too-old":         resend.EventTooOld,
	"crashes-targets": resend.EventCrashesTargets,
	"invalid":         resend.EventInvalid,
}

// exchange sends one copy to the instance of the step and classifies what comes
// back. Response is set only for a whole answer.
func (c *call) exchange(step resend.Step) (*Response, resend.Result, error) {
	ctx := c.ctx
	if limit := c.request.AttemptLimit; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, &AttemptLimitError{limit})
		defer cancel()
	}
	var flight flight
	request, err := c.httpRequest(flight.trace(ctx), step)
	if err != nil {
		failure := &TransportError{step.Instance.ID, true, err}
		return nil, resend.Result{Event: resend.EventNotSent}, failure
	}
	answer, err := c.client.transport.RoundTrip(request)
	if err != nil {
		notSent := flight.certainlyNotSent()
		result := resend.Result{Event: resend.EventLost}
		if notSent {
			result.Event = resend.EventNotSent
		}
		return nil, result, &TransportError{step.Instance.ID, notSent, err}
	}
	defer func() { _ = answer.Body.Close() }()
	response, result, err := c.read(step, answer)
	result.SentBefore = flight.sentBefore()
	return response, result, err
}

func (c *call) httpRequest(ctx context.Context, step resend.Step) (*http.Request, error) {
	target := "http://" + step.Instance.Address + c.request.Path
	request, err := http.NewRequestWithContext(ctx, c.request.Method, target, bytes.NewReader(c.request.Body))
	if err != nil {
		return nil, fmt.Errorf("building the request: %w", err)
	}
	for name, values := range c.request.Header {
		request.Header[http.CanonicalHeaderKey(name)] = values
	}
	header := request.Header
	header.Set(headerService, c.request.Service)
	header.Set(headerClass, c.request.Class)
	header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	if step.Key != "" {
		header.Set(headerKey, step.Key)
	}
	if c.request.nested.depth != "" {
		header.Set(headerDepth, c.request.nested.depth)
	}
	if c.request.nested.limited {
		header.Set(headerRetriesLeft, c.retriesLeft())
	}
	if parent := c.request.nested.traceparent; parent != "" && header.Get("traceparent") == "" {
		header.Set("traceparent", parent)
	}
	return request, nil
}

// read reads the whole answer. Whatever cannot be read to its end counts as
// lost, whatever its headers say.
func (c *call) read(step resend.Step, answer *http.Response) (*Response, resend.Result, error) {
	lost := resend.Result{Event: resend.EventLost}
	broken := func(problem string) (*Response, resend.Result, error) {
		return nil, lost, &BrokenAnswerError{step.Instance.ID, answer.StatusCode, problem}
	}
	event, known := events[answer.Header.Get(headerOutcome)]
	if !known {
		return broken("has no known outcome")
	}
	if !c.endIsMarked(answer) {
		return broken("has neither a length nor chunks")
	}
	if answer.Header.Get(headerOutcome) == outcomeNotKept {
		return nil, resend.Result{Event: event, Replayed: true}, &notKeptError{step.Instance.ID}
	}
	limit := c.client.options.MaxAnswerBytes
	if event != resend.EventAnswered {
		limit = maxRefusalBytes
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return nil, lost, &TransportError{step.Instance.ID, false, fmt.Errorf("reading the answer: %w", err)}
	}
	replayed := answer.Header.Get(headerReplayed) == "1"
	if event != resend.EventAnswered {
		refusal := c.refusal(answer, body)
		if refusal == nil {
			return broken("has a malformed body")
		}
		return nil, resend.Result{Event: event, RetryAfter: refusal.RetryAfter, Replayed: replayed}, refusal
	}
	if int64(len(body)) > limit {
		return nil, resend.Result{Event: event}, nil
	}
	attempts, _ := strconv.Atoi(answer.Header.Get(headerAttempts))
	return &Response{
		Status: answer.StatusCode, Header: answer.Header, Body: body,
		Instance: answer.Header.Get(headerInstance), Attempts: attempts, Key: step.Key, Replayed: replayed,
	}, resend.Result{Event: event, Replayed: replayed}, nil
}

// endIsMarked tells whether a truncated body can be told from a whole one. A
// body that ends with the connection cannot.
func (c *call) endIsMarked(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0 ||
		c.request.Method == http.MethodHead ||
		answer.StatusCode == http.StatusNoContent || answer.StatusCode == http.StatusNotModified
}

// wireRefusal is the body of an outcome other than answered.
type wireRefusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Field        string `json:"field"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Owner        string `json:"owner"`
}

// refusal decodes the body of an outcome other than answered; nil if the body
// is malformed or contradicts the header. Answers to HEAD have no body.
func (c *call) refusal(answer *http.Response, body []byte) *Refusal {
	wire := wireRefusal{Outcome: answer.Header.Get(headerOutcome)}
	if c.request.Method != http.MethodHead {
		wire.Outcome = ""
		if json.Unmarshal(body, &wire) != nil || wire.Outcome != answer.Header.Get(headerOutcome) {
			return nil
		}
	}
	wait := time.Duration(max(0, min(wire.RetryAfterMS, maxDeadline.Milliseconds()))) * time.Millisecond
	if seconds, err := strconv.ParseInt(answer.Header.Get("Retry-After"), 10, 64); err == nil && wire.RetryAfterMS == 0 {
		wait = time.Duration(max(0, min(seconds, int64(maxDeadline.Seconds())))) * time.Second
	}
	return &Refusal{
		Outcome: wire.Outcome, Reason: wire.Reason, Field: wire.Field, Detail: wire.Detail,
		RetryAfter: wait, Owner: wire.Owner, Instance: answer.Header.Get(headerInstance),
		Replayed: answer.Header.Get(headerReplayed) == "1",
	}
}
