// Package telemetry makes the logger, the metrics and the tracer of a process.
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

// NewLogger returns a logger that writes JSON lines. Each line has a stable
// event name in the field "event".
func NewLogger(w io.Writer, level, instance string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), &LevelError{level}
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("instance", instance).Logger(), nil
}

// Metrics holds the metrics of one instance. It implements exchange.Observer and
// is safe for concurrent use.
type Metrics struct {
	set      *metrics.Set
	services sync.Map // service name to *serviceMetrics
}

type serviceMetrics struct {
	outcomes  [8]*metrics.Counter // by contract.Outcome
	failures  [8]*metrics.Counter // by contract.Failure; 0 counts answers
	discarded *metrics.Counter
	attempt   *metrics.Histogram
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Gauge registers a metric that is read when the page is written.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// Counter returns the counter with the given name.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Write writes all metrics as Prometheus text.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) of(service string) *serviceMetrics {
	if found, ok := m.services.Load(service); ok {
		return found.(*serviceMetrics)
	}
	s := &serviceMetrics{
		discarded: m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarhoist_answers_discarded_total{service=%q}`, service)),
		attempt:   m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarhoist_attempt_seconds{service=%q}`, service)),
	}
	for o := contract.OutcomePending; o <= contract.OutcomeCrashesTargets; o++ {
		s.outcomes[o] = m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarhoist_requests_total{service=%q,outcome=%q}`, service, o))
	}
	for i := range contract.NumFailures {
		result := contract.Failure(i).String()
		s.failures[i] = m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarhoist_attempts_total{service=%q,result=%q}`, service, result))
	}
	found, _ := m.services.LoadOrStore(service, s)
	return found.(*serviceMetrics)
}

// Attempt implements exchange.Observer.
func (m *Metrics) Attempt(service string, failure contract.Failure, took time.Duration) {
	s := m.of(service)
	s.failures[failure].Inc()
	if failure == 0 {
		s.attempt.Update(took.Seconds())
	}
}

// Discarded implements exchange.Observer.
func (m *Metrics) Discarded(service string) { m.of(service).discarded.Inc() }

// Settled counts a request by its outcome.
func (m *Metrics) Settled(service string, outcome contract.Outcome) {
	m.of(service).outcomes[outcome].Inc()
}

// Served counts an answer to a caller by route and result, with the time from the
// end of the request to the answer.
func (m *Metrics) Served(route, result string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarhoist_served_total{route=%q,result=%q}`, route, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarhoist_served_seconds{route=%q}`, route)).Update(took.Seconds())
}
