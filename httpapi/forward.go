package httpapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
)

// maxForwardedAnswer bounds the body of an answer that goes back through
// another instance.
const maxForwardedAnswer = 3 << 20

// ForwardHeader returns the headers with which another instance serves the
// request under the same terms.
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

// ServeForwarded serves a request whose key this instance owns and which another
// instance received.
func (f *Front) ServeForwarded(ctx context.Context, method, uri string, header http.Header, body []byte) contract.Answer {
	// Unlike url.Parse, this takes a path that starts with "//" for a path.
	address, err := url.ParseRequestURI(uri)
	if err != nil {
		return notRun(contract.ReasonMalformed)
	}
	r, err := http.NewRequestWithContext(ctx, method, "/", bytes.NewReader(body))
	if err != nil {
		return notRun(contract.ReasonMalformed)
	}
	r.URL, r.Header = address, header
	snapshot := f.Catalog.Snapshot()
	if snapshot.State.Config == nil {
		return notRun(contract.ReasonNoConfiguration)
	}
	a, err := readTerms(r, snapshot, time.Now())
	if err != nil || a.terms.Key.IsZero() {
		return notRun(contract.ReasonMalformed)
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
		return f.joined(ctx, a, entry)
	}
	request := &exchange.Request{Method: method, URL: r.URL, Header: passOn(header), Body: r.Body, Size: int64(len(body))}
	response, refusal, _ := f.runKeyed(ctx, a, entry, request)
	if refusal != nil {
		return contract.Answer{Refusal: refusal}
	}
	return f.wholeAnswer(response)
}

// notRun refuses a forwarded request. The key was not entered into the ledger,
// so a later copy may still run: the outcome must not be "not run".
func notRun(reason contract.Reason) contract.Answer {
	return contract.Answer{Refusal: &contract.Refusal{Outcome: contract.OutcomeUnknown, Reason: reason}}
}

// joined waits for the outcome of an earlier copy.
func (f *Front) joined(ctx context.Context, a *accepted, entry *contract.Entry) contract.Answer {
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

// wholeAnswer reads the rest of a long answer. One that breaks or is too long to
// go back through another instance is reported as answered without its body.
func (f *Front) wholeAnswer(response *exchange.Response) contract.Answer {
	answer := contract.Answer{Status: response.Status, Header: passOn(response.Header), Body: response.Body}
	if response.Rest == nil {
		return answer
	}
	defer func() { _ = response.Rest.Close() }()
	rest, err := io.ReadAll(io.LimitReader(response.Rest, maxForwardedAnswer))
	if err != nil || len(rest) == maxForwardedAnswer {
		answer.Body, answer.BodyDropped = nil, true
		return answer
	}
	answer.Body = append(answer.Body, rest...)
	return answer
}
