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

// maxRefusalBytes is the number of bytes read at most of the JSON body of an
// outcome other than "answered"; a longer body is rejected as malformed.
const maxRefusalBytes = 64 << 10

// outcomeNotKept is the outcome of a request that a target answered when an
// earlier copy was sent, and whose response was too long to be stored.
const outcomeNotKept = "answer-not-kept"

// eventByOutcome maps the outcomes of the protocol to events of the plan.
var eventByOutcome = map[string]resend.Event{
	"answered":        resend.EventAnswered,
	outcomeNotKept:    resend.EventAnswered,
	"not-run":         resend.EventNotRun,
	"unknown":         resend.EventUnknown,
	"too-old":         resend.EventTooOld,
	"crashes-targets": resend.EventCrashesTargets,
	"invalid":         resend.EventInvalid,
}

// exchange sends one copy to the instance of the step and classifies the
// result. The Response is nil unless it is complete.
func (c *call) exchange(step resend.Step) (*Response, resend.Result, error) {
	ctx := c.ctx
	if limit := c.request.AttemptLimit; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, &AttemptLimitError{limit})
		defer cancel()
	}
	var tracker connTracker
	request, err := c.httpRequest(tracker.trace(ctx), step)
	if err != nil {
		failure := &TransportError{step.Instance.ID, true, err}
		return nil, resend.Result{Event: resend.EventNotSent}, failure
	}
	httpResponse, err := c.client.transport.RoundTrip(request)
	if err != nil {
		notSent := tracker.certainlyNotSent()
		result := resend.Result{Event: resend.EventLost}
		if notSent {
			result.Event = resend.EventNotSent
		}
		return nil, result, &TransportError{step.Instance.ID, notSent, err}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response, result, err := c.readResponse(step, httpResponse)
	result.SentBefore = tracker.sentBefore()
	return response, result, err
}

// httpRequest returns the HTTP request for one copy.
func (c *call) httpRequest(ctx context.Context, step resend.Step) (*http.Request, error) {
	url := "http://" + step.Instance.Address + c.request.Path
	request, err := http.NewRequestWithContext(ctx, c.request.Method, url, bytes.NewReader(c.request.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
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
	if c.request.inherited.depth != "" {
		header.Set(headerDepth, c.request.inherited.depth)
	}
	if c.request.inherited.hasRetriesLeft {
		header.Set(headerRetriesLeft, c.retriesLeft())
	}
	if parent := c.request.inherited.traceparent; parent != "" && header.Get("traceparent") == "" {
		header.Set("traceparent", parent)
	}
	return request, nil
}

// readResponse reads the complete response. A response that cannot be read to
// its end counts as lost, even if its headers say otherwise.
func (c *call) readResponse(step resend.Step, httpResponse *http.Response) (*Response, resend.Result, error) {
	lost := resend.Result{Event: resend.EventLost}
	broken := func(problem string) (*Response, resend.Result, error) {
		return nil, lost, &BrokenAnswerError{step.Instance.ID, httpResponse.StatusCode, problem}
	}
	event, known := eventByOutcome[httpResponse.Header.Get(headerOutcome)]
	if !known {
		return broken(fmt.Sprintf("has unknown outcome %q", httpResponse.Header.Get(headerOutcome)))
	}
	if !c.hasDelimitedBody(httpResponse) {
		return broken("has neither a Content-Length nor chunked encoding")
	}
	if httpResponse.Header.Get(headerOutcome) == outcomeNotKept {
		return nil, resend.Result{Event: event, Replayed: true}, &notKeptError{step.Instance.ID}
	}
	limit := c.client.options.MaxAnswerBytes
	if event != resend.EventAnswered {
		limit = maxRefusalBytes
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, limit+1))
	if err != nil {
		return nil, lost, &TransportError{step.Instance.ID, false, fmt.Errorf("read response body: %w", err)}
	}
	replayed := httpResponse.Header.Get(headerReplayed) == "1"
	if event != resend.EventAnswered {
		refusal := c.decodeRefusal(httpResponse, body)
		if refusal == nil {
			return broken(fmt.Sprintf("has a malformed body of %d bytes", len(body)))
		}
		return nil, resend.Result{Event: event, RetryAfter: refusal.RetryAfter, Replayed: replayed}, refusal
	}
	if int64(len(body)) > limit {
		return nil, resend.Result{Event: event}, nil
	}
	attempts, _ := strconv.Atoi(httpResponse.Header.Get(headerAttempts))
	return &Response{
		Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body,
		Instance: httpResponse.Header.Get(headerInstance), Attempts: attempts, Key: step.Key, Replayed: replayed,
	}, resend.Result{Event: event, Replayed: replayed}, nil
}

// hasDelimitedBody reports whether a truncated body can be told from a complete
// one. This is impossible if the body ends when the connection is closed.
func (c *call) hasDelimitedBody(httpResponse *http.Response) bool {
	return httpResponse.ContentLength >= 0 || len(httpResponse.TransferEncoding) > 0 ||
		c.request.Method == http.MethodHead ||
		httpResponse.StatusCode == http.StatusNoContent || httpResponse.StatusCode == http.StatusNotModified
}

// refusalBody is the JSON body of an outcome other than "answered".
type refusalBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Field        string `json:"field"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Owner        string `json:"owner"`
}

// decodeRefusal decodes the body of an outcome other than "answered". It
// returns nil if the body is malformed or names another outcome than the
// header. Responses to HEAD requests have no body.
func (c *call) decodeRefusal(httpResponse *http.Response, body []byte) *Refusal {
	wire := refusalBody{Outcome: httpResponse.Header.Get(headerOutcome)}
	if c.request.Method != http.MethodHead {
		wire.Outcome = ""
		if json.Unmarshal(body, &wire) != nil || wire.Outcome != httpResponse.Header.Get(headerOutcome) {
			return nil
		}
	}
	retryAfter := time.Duration(max(0, min(wire.RetryAfterMS, maxDeadline.Milliseconds()))) * time.Millisecond
	if seconds, err := strconv.ParseInt(httpResponse.Header.Get("Retry-After"), 10, 64); err == nil && wire.RetryAfterMS == 0 {
		retryAfter = time.Duration(max(0, min(seconds, int64(maxDeadline.Seconds())))) * time.Second
	}
	return &Refusal{
		Outcome: wire.Outcome, Reason: wire.Reason, Field: wire.Field, Detail: wire.Detail,
		RetryAfter: retryAfter, Owner: wire.Owner, Instance: httpResponse.Header.Get(headerInstance),
		Replayed: httpResponse.Header.Get(headerReplayed) == "1",
	}
}
