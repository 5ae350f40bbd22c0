// Package httpapi is the HTTP front end of an entry instance towards callers.
// It turns headers into the terms of a contract, has the contract served, and
// writes its outcome.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/service"
	"fulmarhoist.example/telemetry"
)

// Forwarder has a request served by the instance that owns its key.
type Forwarder interface {
	// Forward returns the owner's answer. If the owner cannot be reached the
	// answer is a refusal with the outcome "unknown".
	Forward(ctx context.Context, terms *contract.Terms, request *exchange.Request) contract.Answer
}

// Directory answers which instances a caller may use.
type Directory interface {
	// Directory returns a value that encodes to the JSON of the protocol.
	Directory(now time.Time, zone string) any
}

// Standing tells how this instance stands towards callers. It is safe for
// concurrent use.
type Standing interface {
	// Isolated is true while the instance may start no new work, because it is
	// cut off from the log and from all of its peers.
	Isolated() bool
	// Leaving is true after a planned stop has begun.
	Leaving() bool
}

// Front serves callers. All fields are set before the first request.
type Front struct {
	Instance  string
	Catalog   *service.Catalog
	Ledger    *contract.Ledger
	Links     *exchange.Links
	Crashes   *contract.Fingerprints
	Forwarder Forwarder
	Directory Directory
	Standing  Standing
	Tracer    trace.Tracer
	Metrics   *telemetry.Metrics
}

var serverSpan = trace.WithSpanKind(trace.SpanKindServer)

// Handler returns the handler of all paths that callers use.
func (f *Front) Handler() http.Handler {
	router := chi.NewRouter()
	router.Route("/fulmarhoist/v1", func(r chi.Router) {
		r.Get("/directory", f.directory)
		r.Get("/health", f.health)
	})
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { f.Metrics.Write(w) })
	router.NotFound(f.serve)
	router.MethodNotAllowed(f.serve)
	return router
}

func (f *Front) directory(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(f.Directory.Directory(time.Now(), r.URL.Query().Get("zone")))
}

// Health is the body of the health endpoint.
type Health struct {
	Instance      string `json:"instance"`
	ConfigVersion uint64 `json:"config_version"`
	Leaving       bool   `json:"leaving"`
	Isolated      bool   `json:"isolated"`
}

func (f *Front) health(w http.ResponseWriter, _ *http.Request) {
	state := f.Catalog.Snapshot().State
	h := Health{
		Instance:      f.Instance,
		ConfigVersion: state.Version,
		Leaving:       f.Standing.Leaving(),
		Isolated:      f.Standing.Isolated(),
	}
	w.Header().Set("Content-Type", "application/json")
	if h.Leaving || h.Isolated || state.Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	w.Header().Set(headerInstance, f.Instance)
	if f.Standing.Leaving() {
		w.Header().Set("Connection", "close")
	}
	snapshot := f.Catalog.Snapshot()
	if snapshot.State.Config == nil {
		writeRefusal(w, 0, f.unconfigured(now, r.Header.Get(headerKey)))
		return
	}
	a, err := readTerms(r, snapshot, now)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.Tracer.Start(ctx, "receive", serverSpan)
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("service", a.terms.Service), attribute.String("class", a.terms.Class))
	}
	limitTransfer(w, r, a)
	request := &exchange.Request{Method: r.Method, URL: r.URL, Header: passOn(r.Header), Body: r.Body, Size: r.ContentLength}
	if a.terms.Key.IsZero() {
		f.serveOnce(ctx, w, a, request)
		return
	}
	f.serveKeyed(ctx, w, a, request)
}

// unconfigured refuses a request before the first configuration. A request with
// a key did not run only if this instance owns the key and has not opened it
// before; it is then recorded as not run, so that no later copy runs.
func (f *Front) unconfigured(now time.Time, keyText string) *contract.Refusal {
	refusal := &contract.Refusal{Outcome: contract.OutcomeNotRun, Reason: contract.ReasonNoConfiguration, RetryAfter: time.Second}
	if keyText == "" {
		return refusal
	}
	key, err := contract.ParseKey(keyText)
	if err == nil {
		if entry, first, err := f.Ledger.Open(now, key); err == nil && first {
			f.Ledger.Settle(key, entry, contract.Answer{Refusal: refusal})
			return refusal
		}
	}
	return &contract.Refusal{
		Outcome: contract.OutcomeUnknown, Reason: contract.ReasonNoConfiguration, RetryAfter: time.Second, Owner: key.Ticket.Instance,
	}
}

// limitTransfer bounds the size of the body and the time that a slow caller may
// take to send it and to read the answer.
func limitTransfer(w http.ResponseWriter, r *http.Request, a *accepted) {
	r.Body = http.MaxBytesReader(w, r.Body, a.class.MaxBodyBytes)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(a.terms.Deadline)
	_ = controller.SetWriteDeadline(a.terms.Deadline.Add(writeGrace))
}

// writeGrace is the time to write an answer that arrived just before the
// deadline.
const writeGrace = 5 * time.Second

func (f *Front) newExchange(a *accepted) *exchange.Exchange {
	return &exchange.Exchange{
		Instance: f.Instance,
		Contract: contract.New(a.terms),
		Service:  a.service,
		Demand:   demandOf(a.class),
		Sender:   f.Links,
		Crashes:  f.Crashes,
		Tracer:   f.Tracer,
		Observer: f.Metrics,
		Isolated: f.Standing.Isolated,
	}
}

// serveOnce serves a request that may be sent again.
func (f *Front) serveOnce(ctx context.Context, w http.ResponseWriter, a *accepted, request *exchange.Request) {
	if f.Standing.Isolated() {
		f.refuse(w, a, 0, &contract.Refusal{Outcome: contract.OutcomeNotRun, Reason: contract.ReasonInstanceIsolated})
		return
	}
	x := f.newExchange(a)
	response, refusal := x.Run(ctx, request)
	if refusal != nil {
		f.refuse(w, a, x.Contract.Attempts(), refusal)
		return
	}
	f.Metrics.Settled(a.terms.Service, contract.OutcomeAnswered)
	writeResponse(w, x.Contract.Attempts(), response)
}

// serveKeyed serves a request that must not run twice. The first copy runs to
// its end even if its caller goes away, so that a later copy learns the outcome.
func (f *Front) serveKeyed(ctx context.Context, w http.ResponseWriter, a *accepted, request *exchange.Request) {
	entry, first, err := f.Ledger.Open(time.Now(), a.terms.Key)
	if err != nil {
		f.serveUnopened(ctx, w, a, request, err)
		return
	}
	if !first {
		answer := f.joined(ctx, a, entry)
		f.writeAnswer(w, a, &answer)
		return
	}
	response, refusal, attempts := f.runKeyed(ctx, a, entry, request)
	if refusal != nil {
		f.refuse(w, a, attempts, refusal)
		return
	}
	f.Metrics.Settled(a.terms.Service, contract.OutcomeAnswered)
	writeResponse(w, attempts, response)
}

// runKeyed runs the first copy of a keyed request and records its outcome.
func (f *Front) runKeyed(ctx context.Context, a *accepted, entry *contract.Entry, request *exchange.Request) (*exchange.Response, *contract.Refusal, int) {
	// The first outcome counts, so this one does only after a panic.
	defer f.Ledger.Settle(a.terms.Key, entry, contract.Answer{Refusal: &contract.Refusal{
		Outcome: contract.OutcomeUnknown, Reason: contract.ReasonAnswerLost, Owner: f.Instance,
	}})
	if f.Standing.Isolated() {
		refusal := &contract.Refusal{Outcome: contract.OutcomeNotRun, Reason: contract.ReasonInstanceIsolated}
		f.Ledger.Settle(a.terms.Key, entry, contract.Answer{Refusal: refusal})
		return nil, refusal, 0
	}
	x := f.newExchange(a)
	response, refusal := x.Run(context.WithoutCancel(ctx), request)
	if refusal != nil {
		f.Ledger.Settle(a.terms.Key, entry, contract.Answer{Refusal: refusal})
		return nil, refusal, x.Contract.Attempts()
	}
	f.Ledger.Settle(a.terms.Key, entry, contract.Answer{
		Status: response.Status, Header: response.Header, Body: response.Body, BodyDropped: response.Rest != nil,
	})
	return response, nil, x.Contract.Attempts()
}

// serveUnopened handles a key that this instance may not run.
func (f *Front) serveUnopened(ctx context.Context, w http.ResponseWriter, a *accepted, request *exchange.Request, err error) {
	var notOwner *contract.NotOwnerError
	var refusal *contract.Refusal
	switch {
	case errors.As(err, &notOwner):
		ctx, span := f.Tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("owner", notOwner.Ticket.Instance)))
		answer := f.Forwarder.Forward(ctx, &a.terms, request)
		span.End()
		f.writeAnswer(w, a, &answer)
	case errors.As(err, &refusal):
		f.refuse(w, a, 0, refusal)
	default:
		writeInvalid(w, err)
	}
}

func (f *Front) writeAnswer(w http.ResponseWriter, a *accepted, answer *contract.Answer) {
	if answer.Replayed {
		w.Header().Set(headerReplayed, "1")
	}
	if answer.Refusal != nil {
		f.refuse(w, a, 0, answer.Refusal)
		return
	}
	f.Metrics.Settled(a.terms.Service, contract.OutcomeAnswered)
	if answer.BodyDropped {
		writeNotKept(w)
		return
	}
	writeResponse(w, 0, &exchange.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body})
}

func (f *Front) refuse(w http.ResponseWriter, a *accepted, attempts int, refusal *contract.Refusal) {
	f.Metrics.Settled(a.terms.Service, refusal.Outcome)
	writeRefusal(w, attempts, refusal)
}

func setAttempts(w http.ResponseWriter, attempts int) {
	w.Header().Set(headerAttempts, strconv.Itoa(attempts))
}
