// Package gateway handles the requests of callers. It matches the route by host
// and path, runs the request in an exchange, and turns the outcome into a
// response.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
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

// Caller is what the headers of a request say about its caller.
type Caller struct {
	RequestID     string
	TimeLeft      time.Duration // how long the caller waits for the response
	TimeLeftKnown bool          // whether the request states TimeLeft
}

// Protocol parses the request headers of callers. It makes no decisions.
type Protocol interface {
	// ParseCaller reads the headers that describe the caller.
	ParseCaller(r *ingress.Request) Caller
}

// Services finds services by name.
type Services interface {
	Service(name string) *service.Service
}

// Metrics counts the outcomes of requests.
type Metrics interface {
	exchange.Observer
	// CountRequest counts a request of the service by its outcome.
	CountRequest(service string, outcome contract.Outcome)
	// CountResponse counts a response to a caller by route and result.
	CountResponse(route, result string, took time.Duration)
}

// Gateway implements ingress.Handler. All fields are set before the first
// request.
type Gateway struct {
	Instance  string
	Protocol  Protocol
	Services  Services
	Sender    exchange.Sender
	Chooser   exchange.Chooser
	Crashes   *contract.Fingerprints
	Tracer    trace.Tracer
	Metrics   Metrics
	Logger    zerolog.Logger
	AccessLog zerolog.Logger // access log of answered requests; may drop lines under load
	Shutdown  *Shutdown
	Tables    *Tables
}

// Tables holds the current routing table. One goroutine stores tables; any
// goroutine may load the current one, which is nil before the first Store.
type Tables struct {
	atomic.Pointer[routing.Table]
}

const (
	// defaultTimeout is the timeout of a request if neither its caller nor its
	// route sets one.
	defaultTimeout = 30 * time.Second
	// startupRetryAfter is the Retry-After time while the instance has no
	// configuration yet.
	startupRetryAfter = 500 * time.Millisecond
	// minRetryAfter and retryAfterSpread set the Retry-After time of a refused
	// request: about the duration of a request, randomized so that callers do
	// not retry at the same time.
	minRetryAfter    = 60 * time.Millisecond
	retryAfterSpread = 140 * time.Millisecond
	// maxRetryAfter bounds the Retry-After time of a request that cannot be served
	// for longer: its targets have asked only this instance for a pause, and the
	// caller may come back to another one.
	maxRetryAfter = time.Second
	// queueTimeoutDivisor sets how long a request may wait for a target before
	// it is refused: the latency goal of its route divided by this number. A
	// request that waits longer is late in any case, and its caller could
	// instead retry when there is capacity.
	queueTimeoutDivisor = 6
	// longResponseFactor is how many times the average response time nearly all
	// requests of a kind take at most.
	longResponseFactor = 4
	// leavingRetryAfter is the Retry-After time while the instance shuts down:
	// the caller should connect to another instance.
	leavingRetryAfter = 10 * time.Millisecond
)

// Serve implements ingress.Handler.
func (g *Gateway) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	caller := g.Protocol.ParseCaller(r)
	entry := &requestLog{gateway: g, caller: caller, request: r}
	table := g.Tables.Load()
	if table == nil {
		return entry.refuse(http.StatusServiceUnavailable, "no-configuration", startupRetryAfter)
	}
	entry.version = table.Config.Version
	decision, found := table.Match(r.Host, r.URL.Path)
	if !found {
		return entry.refuse(http.StatusNotFound, "no-route", 0)
	}
	entry.route, entry.urgent = decision.Route, decision.Urgent
	svc := g.Services.Service(decision.Service)
	if svc == nil {
		return entry.refuse(http.StatusServiceUnavailable, "no-service", minRetryAfter)
	}
	if now := time.Now(); !g.Shutdown.AcceptsRequest(now, endsBy(now, entry, svc)) {
		return entry.refuse(http.StatusServiceUnavailable, "leaving", leavingRetryAfter)
	}
	return g.run(ctx, entry, svc)
}

// run executes the request in an exchange and returns the response.
func (g *Gateway) run(ctx context.Context, entry *requestLog, svc *service.Service) *ingress.Response {
	route, r := entry.route, entry.request
	x := &exchange.Exchange{
		Instance: g.Instance,
		Contract: contract.New(contract.Terms{
			Service: svc.Name, Class: route.Name, Idempotent: route.Kind.Repeatable(), Deadline: deadlineFor(entry),
			// The targets' protocol carries no retry allowance, so none is set
			// aside for nested calls.
			Depth: contract.MaxDepth, Retries: max(0, route.MaxAttempts-1),
		}),
		Service: svc,
		QueueRequest: service.QueueRequest{
			Rank: service.Rank(min(max(route.Priority, 0), 255)), ExpectedResponseTime: minResponseTime(svc, route), QueueTimeout: route.LatencyGoal / queueTimeoutDivisor,
		},
		Sender:  g.Sender,
		Chooser: g.Chooser,
		Urgent:  entry.urgent,
		Crashes: g.Crashes,
		// A host's paths stay the same when its routes are renamed, split or moved to
		// other services.
		CrashScope: strings.ToLower(r.Host),
		Tracer:     g.Tracer,
		Observer:   g.Metrics,
		Draining:   g.Shutdown.Leaving,
	}
	request := &exchange.Request{
		Method: r.Method, URL: r.URL, Target: r.Target, Header: hop.EndToEndHeaders(r.Header, ""), Body: r.Body, Size: r.Size,
		ID: entry.caller.RequestID,
	}
	request.Header.Set("Host", r.Host)
	request.Header.Del("Content-Length")
	response, refusal := x.Run(ctx, request)
	entry.service, entry.attempts, entry.crashes = svc, x.AttemptRecords(), x.CrashFingerprint()
	if refusal != nil {
		g.Metrics.CountRequest(svc.Name, refusal.Outcome)
		return entry.refuse(statusFor(refusal), string(refusal.Reason), retryAfter(refusal))
	}
	g.Metrics.CountRequest(svc.Name, contract.OutcomeAnswered)
	entry.answered(response.Status)
	return &ingress.Response{
		Status: response.Status, Header: hop.EndToEndHeaders(response.Header, ""), Body: response.Body, Rest: response.Rest,
		Close: g.Shutdown.Leaving(),
	}
}

// minResponseTime returns how much time a queued request must have left to be
// sent to a target.
func minResponseTime(svc *service.Service, route *routing.Route) time.Duration {
	average, _ := svc.ResponseTimes.Average(route.Name)
	return average / 2 // roughly half of the requests take less than the average
}

// deadlineFor returns the time by which the caller must have a final response.
func deadlineFor(entry *requestLog) time.Time {
	timeout := defaultTimeout
	if entry.route.Timeout > 0 {
		timeout = entry.route.Timeout
	}
	if entry.caller.TimeLeftKnown {
		timeout = min(timeout, entry.caller.TimeLeft)
	}
	return entry.request.ReadAt.Add(timeout)
}

// endsBy returns the time by which a request that begins now will have ended: its
// deadline or, if its caller may send it again, the time by which nearly all of its
// kind have ended.
func endsBy(now time.Time, entry *requestLog, svc *service.Service) time.Time {
	deadline := deadlineFor(entry)
	average, known := svc.ResponseTimes.Average(entry.route.Name)
	if !entry.route.Kind.Repeatable() || !known {
		return deadline
	}
	likely := now.Add(longResponseFactor * average)
	if likely.Before(deadline) {
		return likely
	}
	return deadline
}

// statusFor returns the HTTP status of a request that got no response from a
// target. Status 503 means that the request did not run and never will.
func statusFor(refusal *contract.Refusal) int {
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

// retryAfter returns the Retry-After time of a refused request, or 0 if the
// request may have run. It is random, so that callers do not return together.
func retryAfter(refusal *contract.Refusal) time.Duration {
	if refusal.Outcome != contract.OutcomeNotRun {
		return 0
	}
	return min(max(minRetryAfter, refusal.RetryAfter), maxRetryAfter) + rand.N(retryAfterSpread)
}

// requestLog collects the log fields of one request.
type requestLog struct {
	gateway  *Gateway
	caller   Caller
	request  *ingress.Request
	version  uint64
	route    *routing.Route
	urgent   bool
	service  *service.Service // nil until the service is known
	attempts []exchange.AttemptRecord
	crashes  string // fingerprint of a request refused because it crashes targets; "" for others
}

// refuse logs and counts a request that gets no response from a target, and
// returns the response to the caller.
func (l *requestLog) refuse(status int, reason string, retryAfter time.Duration) *ingress.Response {
	l.log(l.gateway.Logger.Warn(), "request_refused", status).Str("reason", reason).Dur("retry_after", retryAfter).
		Msg("request got no response from a target")
	l.gateway.Metrics.CountResponse(l.routeName(), reason, time.Since(l.request.ReadAt))
	header := http.Header{}
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return &ingress.Response{Status: status, Header: header, Close: l.gateway.Shutdown.Leaving()}
}

// answered logs and counts a request to which a target has responded.
func (l *requestLog) answered(status int) {
	l.log(l.gateway.AccessLog.Info(), "request_answered", status).Msg("request answered by target")
	l.gateway.Metrics.CountResponse(l.routeName(), "answered", time.Since(l.request.ReadAt))
}

func (l *requestLog) routeName() string {
	if l.route == nil {
		return ""
	}
	return l.route.Name
}

// log adds the fields of the request to a log event.
func (l *requestLog) log(event *zerolog.Event, name string, status int) *zerolog.Event {
	attempts := zerolog.Arr()
	for _, record := range l.attempts {
		attempts.Str(describeAttempt(record))
	}
	if l.service != nil {
		event = event.Str("service", l.service.Name).Int("targets", len(l.service.View().Candidates)).Int("waiting", l.service.Queue.Len())
	}
	if l.crashes != "" {
		event = event.Str("fingerprint", l.crashes)
	}
	return event.Str("event", name).Str("request", l.caller.RequestID).Str("route", l.routeName()).
		Uint64("config_version", l.version).Array("attempts", attempts).
		Int("status", status).Dur("left", l.caller.TimeLeft).Dur("took", time.Since(l.request.ReadAt))
}

// describeAttempt formats an attempt as one word per item: target, result, time
// at the target, expected relative delay, and age of the load report behind it.
func describeAttempt(r exchange.AttemptRecord) string {
	age := "none"
	if r.ReportAge >= 0 {
		age = r.ReportAge.Round(100 * time.Microsecond).String()
	}
	return fmt.Sprintf("%s %s took=%s delay=%.2f report_age=%s", r.Target, r.Failure, r.Took.Round(time.Millisecond), r.Delay, age)
}
