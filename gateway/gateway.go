// Package gateway serves the requests of callers that are routed by host and path:
// it finds the route, has an exchange run the request, and turns its outcome into
// an answer.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/hop"
	"fulmarhoist.example/ingress"
	"fulmarhoist.example/routing"
	"fulmarhoist.example/service"
)

// Caller is what a request says of its caller's wishes.
type Caller struct {
	RequestID string
	Left      time.Duration // how long the caller waits
	LeftKnown bool
}

// Protocol reads the headers of callers. It decides nothing.
type Protocol interface {
	Read(r *ingress.Request) Caller
}

// Services finds services by name.
type Services interface {
	Service(name string) *service.Service
}

// Metrics counts what became of requests.
type Metrics interface {
	exchange.Observer
	Settled(service string, outcome contract.Outcome)
	Served(route, result string, took time.Duration)
}

// Gateway implements ingress.Handler. All fields are set before the first request.
type Gateway struct {
	Instance string
	Protocol Protocol
	Services Services
	Sender   exchange.Sender
	Chooser  exchange.Chooser
	Crashes  *contract.Fingerprints
	Tracer   trace.Tracer
	Metrics  Metrics
	Logger   zerolog.Logger
	Answers  zerolog.Logger // for requests that were answered; may drop lines under load
	Stop     *Stop
	Tables   *Tables
}

// Tables holds the routing table in force. One goroutine stores; any loads, and
// gets nil before the first one.
type Tables struct {
	atomic.Pointer[routing.Table]
}

const (
	// defaultTime is how long a request may take whose caller and route say nothing.
	defaultTime = 30 * time.Second
	// startupRetry is when a caller may come back to an instance that has no
	// configuration yet.
	startupRetry = 500 * time.Millisecond
	// leastRetry and retrySpread set when a refused caller may come back: after
	// about the time of a request, spread so that callers do not return together.
	leastRetry  = 60 * time.Millisecond
	retrySpread = 140 * time.Millisecond
	// holdPart is the part of the time for a full answer after which a request
	// that found no target is refused. One that is held longer is late in any case,
	// and keeps its caller from coming back when there is room.
	holdPart = 6
	// elsewhereRetry is for a caller that is to connect to another instance.
	elsewhereRetry = 10 * time.Millisecond
)

// Serve implements ingress.Handler.
func (g *Gateway) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	caller := g.Protocol.Read(r)
	line := &line{gateway: g, caller: caller, request: r}
	table := g.Tables.Load()
	if table == nil {
		return line.refuse(http.StatusServiceUnavailable, "no-configuration", startupRetry)
	}
	line.version = table.Config.Version
	decision, found := table.Match(r.Host, r.URL.Path)
	if !found {
		return line.refuse(http.StatusNotFound, "no-route", 0)
	}
	line.route, line.urgent = decision.Route, decision.Urgent
	if !g.Stop.Takes(time.Now()) {
		return line.refuse(http.StatusServiceUnavailable, "leaving", elsewhereRetry)
	}
	of := g.Services.Service(decision.Service)
	if of == nil {
		return line.refuse(http.StatusServiceUnavailable, "no-service", leastRetry)
	}
	return g.run(ctx, line, of)
}

// run has an exchange serve the request.
func (g *Gateway) run(ctx context.Context, l *line, of *service.Service) *ingress.Response {
	route, r := l.route, l.request
	x := &exchange.Exchange{
		Instance: g.Instance,
		Contract: contract.New(contract.Terms{
			Service: of.Name, Class: route.Name, Idempotent: route.Kind.Repeatable(), Deadline: deadlineOf(l),
			// Targets know no allowance that travels with a call.
			Depth: contract.MaxDepth, Retries: max(0, route.Attempts-1),
		}),
		Service: of,
		Demand: service.Demand{
			Rank: service.Rank(min(max(route.Priority, 0), 255)), Run: usual(of, route), Hold: route.Aim / holdPart,
		},
		Sender:   g.Sender,
		Chooser:  g.Chooser,
		Urgent:   l.urgent,
		Crashes:  g.Crashes,
		Tracer:   g.Tracer,
		Observer: g.Metrics,
	}
	request := &exchange.Request{
		Method: r.Method, URL: r.URL, Target: r.Target, Header: hop.PassOn(r.Header, ""), Body: r.Body, Size: r.Size,
		ID: l.caller.RequestID,
	}
	request.Header.Set("Host", r.Host)
	request.Header.Del("Content-Length")
	response, refusal := x.Run(ctx, request)
	l.of, l.notes = of, x.Notes()
	if refusal != nil {
		g.Metrics.Settled(of.Name, refusal.Outcome)
		return l.refuse(statusOf(refusal), string(refusal.Reason), retryAfter(refusal))
	}
	g.Metrics.Settled(of.Name, contract.OutcomeAnswered)
	l.answered(response.Status)
	return &ingress.Response{
		Status: response.Status, Header: hop.PassOn(response.Header, ""), Body: response.Body, Rest: response.Rest,
		Close: g.Stop.Leaving(),
	}
}

// usual is the expected time at a target, which a request that waits must leave.
func usual(of *service.Service, route *routing.Route) time.Duration {
	known, _ := of.Durations.Usual(route.Name)
	return known / 2 // about half of the requests are quicker
}

// deadlineOf is when the caller must have a final answer.
func deadlineOf(l *line) time.Time {
	limit := defaultTime
	if l.route.Timeout > 0 {
		limit = l.route.Timeout
	}
	if l.caller.LeftKnown {
		limit = min(limit, l.caller.Left)
	}
	return l.request.ReadAt.Add(limit)
}

// statusOf is the status of an outcome without an answer. A status of 503 says
// that the request did not run and never will.
func statusOf(refusal *contract.Refusal) int {
	switch {
	case refusal.Reason == contract.ReasonBodyTooLarge && refusal.Outcome == contract.OutcomeNotRun:
		return http.StatusRequestEntityTooLarge
	case refusal.Outcome == contract.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == contract.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// retryAfter is when the caller may send the work again.
func retryAfter(refusal *contract.Refusal) time.Duration {
	if refusal.Outcome != contract.OutcomeNotRun {
		return 0
	}
	return leastRetry + rand.N(retrySpread)
}

// line collects what is logged of one request.
type line struct {
	gateway *Gateway
	caller  Caller
	request *ingress.Request
	version uint64
	route   *routing.Route
	urgent  bool
	of      *service.Service // nil before the service is known
	notes   []exchange.Note
}

// refuse logs a request that gets no answer of a target, and returns the reply.
func (l *line) refuse(status int, reason string, retry time.Duration) *ingress.Response {
	l.log(l.gateway.Logger.Warn(), "request_refused", status).Str("reason", reason).Dur("retry_after", retry).
		Msg("request without an answer of a target")
	l.gateway.Metrics.Served(l.routeName(), reason, time.Since(l.request.ReadAt))
	header := http.Header{}
	if retry > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	return &ingress.Response{Status: status, Header: header, Close: l.gateway.Stop.Leaving()}
}

// answered logs a request that a target has answered.
func (l *line) answered(status int) {
	l.log(l.gateway.Answers.Info(), "request_answered", status).Msg("request answered by a target")
	l.gateway.Metrics.Served(l.routeName(), "answered", time.Since(l.request.ReadAt))
}

func (l *line) routeName() string {
	if l.route == nil {
		return ""
	}
	return l.route.Name
}

func (l *line) log(event *zerolog.Event, name string, status int) *zerolog.Event {
	attempts := zerolog.Arr()
	for _, note := range l.notes {
		attempts.Str(describe(note))
	}
	if l.of != nil {
		event = event.Str("service", l.of.Name).Int("targets", len(l.of.View().Candidates)).Int("waiting", l.of.Queue.Len())
	}
	return event.Str("event", name).Str("request", l.caller.RequestID).Str("route", l.routeName()).
		Uint64("config_version", l.version).Array("attempts", attempts).
		Int("status", status).Dur("left", l.caller.Left).Dur("took", time.Since(l.request.ReadAt))
}

// describe gives an attempt in one word for each input: target, result, time at the
// target, expected relative delay and age of the load report behind it.
func describe(n exchange.Note) string {
	age := "none"
	if n.ReportAge >= 0 {
		age = n.ReportAge.Round(100 * time.Microsecond).String()
	}
	return fmt.Sprintf("%s %s took=%s delay=%.2f report_age=%s", n.Target, n.Failure, n.Took.Round(time.Millisecond), n.Delay, age)
}
