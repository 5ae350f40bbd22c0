package httpapi

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/hop"
)

// maxForwardedRestBytes limits the part of a response body after the buffered
// beginning, in bytes, if the response is returned through another instance. A
// body whose rest is this long or longer is dropped.
const maxForwardedRestBytes = 3 << 20

// ForwardHeader returns the headers of a request that is forwarded to the owner
// of its key. They carry the terms, so that the owner serves the request with
// the same ones, and the trace context.
func ForwardHeader(ctx context.Context, terms *contract.Terms, header http.Header) http.Header {
	forwarded := header.Clone()
	forwarded.Set(headerService, terms.Service)
	forwarded.Set(headerClass, terms.Class)
	forwarded.Set(headerKey, terms.Key.String())
	forwarded.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(terms.Deadline).Milliseconds()), 10))
	forwarded.Set(headerDepth, strconv.Itoa(terms.Depth))
	forwarded.Set(headerRetries, strconv.Itoa(terms.Retries))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(forwarded))
	return forwarded
}

// ServeForwarded serves a request that another instance has received and
// forwarded because this instance owns the key.
func (f *Front) ServeForwarded(ctx context.Context, method, uri string, header http.Header, body []byte) contract.Answer {
	// Unlike url.Parse, ParseRequestURI does not parse the beginning of a path
	// that starts with "//" as a host.
	requestURL, err := url.ParseRequestURI(uri)
	if err != nil {
		return unknownOutcome(contract.ReasonMalformed)
	}
	r, err := http.NewRequestWithContext(ctx, method, "/", bytes.NewReader(body))
	if err != nil {
		return unknownOutcome(contract.ReasonMalformed)
	}
	r.URL, r.Header = requestURL, header
	snapshot := f.Catalog.Snapshot()
	if snapshot.State.Config == nil {
		return unknownOutcome(contract.ReasonNoConfiguration)
	}
	a, err := readTerms(r, snapshot, time.Now())
	if err != nil || a.terms.Key.IsZero() {
		return unknownOutcome(contract.ReasonMalformed)
	}
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(header))
	ctx, span := f.Tracer.Start(ctx, "receive-forwarded", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	entry, first, err := f.Ledger.Open(time.Now(), a.terms.Key)
	if err != nil {
		var refusal *contract.Refusal
		if errors.As(err, &refusal) {
			return contract.Answer{Refusal: refusal}
		}
		return contract.Answer{Refusal: &contract.Refusal{Outcome: contract.OutcomeUnknown, Reason: contract.ReasonOwnerUnreachable}}
	}
	if !first {
		return f.awaitAnswer(ctx, a, entry)
	}
	request := &exchange.Request{Method: method, URL: r.URL, Header: endToEndHeaders(header), Body: r.Body, Size: int64(len(body))}
	response, refusal, _ := f.runKeyed(ctx, a, entry, request)
	if refusal != nil {
		return contract.Answer{Refusal: refusal}
	}
	return f.readAnswer(response)
}

// unknownOutcome refuses a forwarded request. The outcome must not be
// "not-run", because nothing was recorded in the ledger and a later copy may be
// executed.
func unknownOutcome(reason contract.Reason) contract.Answer {
	return contract.Answer{Refusal: &contract.Refusal{Outcome: contract.OutcomeUnknown, Reason: reason}}
}

// awaitAnswer waits for the answer to an earlier copy with the same key. If
// there is none by the deadline, the outcome is "unknown".
func (f *Front) awaitAnswer(ctx context.Context, a *acceptedRequest, entry *contract.Entry) contract.Answer {
	ctx, cancel := context.WithDeadline(ctx, a.terms.Deadline)
	defer cancel()
	select {
	case <-entry.Done():
		answer := *entry.Answer()
		answer.Replayed = true
		return answer
	case <-ctx.Done():
		return contract.Answer{Refusal: &contract.Refusal{
			Outcome: contract.OutcomeUnknown, Reason: contract.ReasonDeadline, Owner: f.Instance,
		}}
	}
}

// readAnswer reads the rest of the response body. If the body cannot be read to
// its end, is too long to be returned through another instance, or finds no memory
// left in Buffers, it is dropped and the request is reported as answered.
func (f *Front) readAnswer(response *exchange.Response) contract.Answer {
	answer := contract.Answer{Status: response.Status, Header: endToEndHeaders(response.Header), Body: response.Body}
	if response.Rest == nil {
		return answer
	}
	defer func() { _ = response.Rest.Close() }()
	rest := hop.NewBodyBuffer(f.Buffers, maxForwardedRestBytes-1)
	defer rest.Release()
	if complete, err := rest.Fill(response.Rest); err != nil || !complete {
		answer.Body, answer.BodyDropped = nil, true
		return answer
	}
	answer.Body = append(answer.Body, rest.Data...)
	return answer
}
