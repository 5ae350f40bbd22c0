// Package httpapi is the HTTP front end through which callers use an entry
// instance. It reads the terms of a contract from the request headers, runs the
// contract, and writes its outcome as an HTTP response.
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
	"fulmarhoist.example/hop"
	"fulmarhoist.example/service"
	"fulmarhoist.example/telemetry"
)

// Forwarder forwards a request to the instance that owns its key.
type Forwarder interface {
	// Forward returns the answer of the owner. If the owner cannot be reached
	// or the request is too long to be forwarded, the answer is a refusal with
	// the outcome "unknown".
	Forward(ctx context.Context, terms *contract.Terms, request *exchange.Request) contract.Answer
}

// Directory provides the list of instances that a caller may use.
type Directory interface {
	// Directory returns the body of a directory response, which is encoded as
	// JSON, for a caller in the given availability zone; "" if it named none.
	Directory(now time.Time, zone string) any
}

// InstanceStatus reports the states of this instance that affect how it serves
// callers. Implementations must be safe for concurrent use.
type InstanceStatus interface {
	// Isolated reports whether the instance must not start new requests because
	// it can reach neither the log nor any of its peers.
	Isolated() bool
	// Leaving reports whether a graceful shutdown has begun.
	Leaving() bool
}

// Front serves the requests of callers. All fields must be set before the first
// request and not be changed afterwards.
type Front struct {
	Instance  string // ID of this entry instance
	Catalog   *service.Catalog
	Ledger    *contract.Ledger
	Links     *exchange.Links
	Crashes   *contract.Fingerprints
	Forwarder Forwarder
	Directory Directory
	Status    InstanceStatus
	Tracer    trace.Tracer
	Metrics   *telemetry.Metrics
	// Buffers limits the memory for response bodies that are returned through other
	// instances; nil has no limit.
	Buffers *hop.BufferBudget
}

var serverSpan = trace.WithSpanKind(trace.SpanKindServer)

// Handler returns the HTTP handler for callers. It serves the directory, health
// and metrics itself; all other requests are requests to services.
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

// directory serves the directory of entry instances.
func (f *Front) directory(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(f.Directory.Directory(time.Now(), r.URL.Query().Get("zone")))
}

// Health is the JSON body of a health response.
type Health struct {
	Instance      string `json:"instance"`
	ConfigVersion uint64 `json:"config_version"`
	Leaving       bool   `json:"leaving"`
	Isolated      bool   `json:"isolated"`
}

// health serves the health of this instance. The status is 503 if the instance
// is leaving, isolated, or has no configuration.
func (f *Front) health(w http.ResponseWriter, _ *http.Request) {
	state := f.Catalog.Snapshot().State
	h := Health{
		Instance:      f.Instance,
		ConfigVersion: state.Version,
		Leaving:       f.Status.Leaving(),
		Isolated:      f.Status.Isolated(),
	}
	w.Header().Set("Content-Type", "application/json")
	if h.Leaving || h.Isolated || state.Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h)
}

// serve serves a request to a service.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	w.Header().Set(headerInstance, f.Instance)
	if f.Status.Leaving() {
		w.Header().Set("Connection", "close")
	}
	snapshot := f.Catalog.Snapshot()
	if snapshot.State.Config == nil {
		writeRefusal(w, 0, f.refuseUnconfigured(now, r.Header.Get(headerKey)))
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
	request := &exchange.Request{Method: r.Method, URL: r.URL, Header: endToEndHeaders(r.Header), Body: r.Body, Size: r.ContentLength}
	if a.terms.Key.IsZero() {
		f.serveIdempotent(ctx, w, a, request)
		return
	}
	f.serveKeyed(ctx, w, a, request)
}

// refuseUnconfigured returns the refusal of a request while there is no
// configuration yet. The outcome of a request with a key is "not-run" only if
// this instance owns the key and its ledger has no entry for it. This outcome
// is recorded, so that no later copy is executed.
func (f *Front) refuseUnconfigured(now time.Time, keyText string) *contract.Refusal {
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

// limitTransfer limits the size of the request body and the time that a slow
// caller may take to send it and to read the response.
func limitTransfer(w http.ResponseWriter, r *http.Request, a *acceptedRequest) {
	r.Body = http.MaxBytesReader(w, r.Body, a.class.MaxBodyBytes)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(a.terms.Deadline)
	_ = controller.SetWriteDeadline(a.terms.Deadline.Add(writeGracePeriod))
}

// writeGracePeriod is the time after the deadline that remains to write a
// response that was received just before it.
const writeGracePeriod = 5 * time.Second

// newExchange returns the exchange that runs the contract of a request.
func (f *Front) newExchange(a *acceptedRequest) *exchange.Exchange {
	return &exchange.Exchange{
		Instance:     f.Instance,
		Contract:     contract.New(a.terms),
		Service:      a.service,
		QueueRequest: queueRequestFor(a.class),
		Sender:       f.Links,
		Crashes:      f.Crashes,
		Tracer:       f.Tracer,
		Observer:     f.Metrics,
		Isolated:     f.Status.Isolated,
		Draining:     f.Status.Leaving,
	}
}

// serveIdempotent serves a request without a key, which may be executed more
// than once.
func (f *Front) serveIdempotent(ctx context.Context, w http.ResponseWriter, a *acceptedRequest, request *exchange.Request) {
	if f.Status.Isolated() {
		f.refuse(w, a, 0, &contract.Refusal{Outcome: contract.OutcomeNotRun, Reason: contract.ReasonInstanceIsolated})
		return
	}
	x := f.newExchange(a)
	response, refusal := x.Run(ctx, request)
	if refusal != nil {
		f.refuse(w, a, x.Contract.Attempts(), refusal)
		return
	}
	f.Metrics.CountRequest(a.terms.Service, contract.OutcomeAnswered)
	writeResponse(w, x.Contract.Attempts(), response)
}

// serveKeyed serves a request that must not be executed twice. The first copy
// runs to its end even if its caller disconnects, so that a later copy gets the
// outcome.
func (f *Front) serveKeyed(ctx context.Context, w http.ResponseWriter, a *acceptedRequest, request *exchange.Request) {
	entry, first, err := f.Ledger.Open(time.Now(), a.terms.Key)
	if err != nil {
		f.serveRejectedKey(ctx, w, a, request, err)
		return
	}
	if !first {
		answer := f.awaitAnswer(ctx, a, entry)
		f.writeAnswer(w, a, &answer)
		return
	}
	response, refusal, attempts := f.runKeyed(ctx, a, entry, request)
	if refusal != nil {
		f.refuse(w, a, attempts, refusal)
		return
	}
	f.Metrics.CountRequest(a.terms.Service, contract.OutcomeAnswered)
	writeResponse(w, attempts, response)
}

// runKeyed runs the first copy of a request with a key and records its outcome.
// It returns the response or the refusal, and the number of attempts.
func (f *Front) runKeyed(ctx context.Context, a *acceptedRequest, entry *contract.Entry, request *exchange.Request) (*exchange.Response, *contract.Refusal, int) {
	// Only the first call of Settle has an effect, so this one matters only
	// after a panic.
	defer f.Ledger.Settle(a.terms.Key, entry, contract.Answer{Refusal: &contract.Refusal{
		Outcome: contract.OutcomeUnknown, Reason: contract.ReasonAnswerLost, Owner: f.Instance,
	}})
	if f.Status.Isolated() {
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

// serveRejectedKey serves a request for whose key the ledger has returned an
// error. It forwards the request if the key belongs to another instance or
// incarnation, otherwise it refuses it.
func (f *Front) serveRejectedKey(ctx context.Context, w http.ResponseWriter, a *acceptedRequest, request *exchange.Request, err error) {
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

// writeAnswer writes an answer that was recorded earlier or comes from the
// owner of the key.
func (f *Front) writeAnswer(w http.ResponseWriter, a *acceptedRequest, answer *contract.Answer) {
	if answer.Replayed {
		w.Header().Set(headerReplayed, "1")
	}
	if answer.Refusal != nil {
		f.refuse(w, a, 0, answer.Refusal)
		return
	}
	f.Metrics.CountRequest(a.terms.Service, contract.OutcomeAnswered)
	if answer.BodyDropped {
		writeNotKept(w)
		return
	}
	writeResponse(w, 0, &exchange.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body})
}

// refuse writes a refusal and counts its outcome.
func (f *Front) refuse(w http.ResponseWriter, a *acceptedRequest, attempts int, refusal *contract.Refusal) {
	f.Metrics.CountRequest(a.terms.Service, refusal.Outcome)
	writeRefusal(w, attempts, refusal)
}

func setAttempts(w http.ResponseWriter, attempts int) {
	w.Header().Set(headerAttempts, strconv.Itoa(attempts))
}
