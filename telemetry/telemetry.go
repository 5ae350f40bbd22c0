// Package telemetry creates the logger, the metrics and the tracer of a
// process.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"fulmarhoist.example/contract"
)

// LevelError reports an unknown log level.
type LevelError struct {
	Level string
}

func (e *LevelError) Error() string { return fmt.Sprintf("unknown log level %q", e.Level) }

// NewLogger returns a logger that writes JSON lines from the given level on.
// Log calls add a stable event name in the field "event".
func NewLogger(w io.Writer, level, instance string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), &LevelError{level}
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("instance", instance).Logger(), nil
}

// Metrics holds the metrics of one instance. It implements exchange.Observer
// and is safe for concurrent use.
type Metrics struct {
	set      *metrics.Set
	services sync.Map // service name to *serviceMetrics
}

type serviceMetrics struct {
	outcomes       [8]*metrics.Counter // requests by contract.Outcome
	failures       [8]*metrics.Counter // attempts by contract.Failure; index 0 counts answered attempts
	discarded      *metrics.Counter    // truncated, invalid or misdirected responses
	attemptSeconds *metrics.Histogram  // answered attempts
}

// NewMetrics returns an empty Metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Gauge registers a gauge whose value read returns whenever the metrics are
// written.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// Counter returns the counter with the given name, creating it if necessary.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Write writes all metrics and those of the process in the Prometheus text
// format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// forService returns the metrics of a service, creating them if necessary.
func (m *Metrics) forService(service string) *serviceMetrics {
	if found, ok := m.services.Load(service); ok {
		return found.(*serviceMetrics)
	}
	created := &serviceMetrics{
		discarded:      m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarhoist_answers_discarded_total{service=%q}`, service)),
		attemptSeconds: m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarhoist_attempt_seconds{service=%q}`, service)),
	}
	for o := contract.OutcomePending; o <= contract.OutcomeCrashesTargets; o++ {
		created.outcomes[o] = m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarhoist_requests_total{service=%q,outcome=%q}`, service, o))
	}
	for i := range contract.NumFailures {
		result := contract.Failure(i).String()
		created.failures[i] = m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarhoist_attempts_total{service=%q,result=%q}`, service, result))
	}
	found, _ := m.services.LoadOrStore(service, created)
	return found.(*serviceMetrics)
}

// Attempt implements exchange.Observer. It counts an attempt by its result;
// failure is 0 for an answered attempt, whose duration it records too.
func (m *Metrics) Attempt(service string, failure contract.Failure, duration time.Duration) {
	s := m.forService(service)
	s.failures[failure].Inc()
	if failure == 0 {
		s.attemptSeconds.Update(duration.Seconds())
	}
}

// Discarded implements exchange.Observer. It counts a response that is
// truncated, invalid, or belongs to another attempt.
func (m *Metrics) Discarded(service string) { m.forService(service).discarded.Inc() }

// CountRequest counts a completed request by its outcome.
func (m *Metrics) CountRequest(service string, outcome contract.Outcome) {
	m.forService(service).outcomes[outcome].Inc()
}

// CountResponse counts a response to a caller by route and result, and records
// the time from when the request was read to the response.
func (m *Metrics) CountResponse(route, result string, duration time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarhoist_served_total{route=%q,result=%q}`, route, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarhoist_served_seconds{route=%q}`, route)).Update(duration.Seconds())
}
