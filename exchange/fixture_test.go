package exchange_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"fulmarhoist.example/config"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

// noopEvents implements link.Lessor and link.Events and does nothing.
type noopEvents struct{}

func (noopEvents) ColdLease(time.Time, *target.Target, uint32) time.Time { return time.Time{} }
func (noopEvents) Relinquish(time.Time, *target.Target, uint32)          {}
func (noopEvents) ProvedWarm(*target.Target) bool                        { return false }
func (noopEvents) AnnounceWarm(*target.Target)                           {}
func (noopEvents) Crashed(*target.Target, []contract.Fingerprint)        {}
func (noopEvents) StateChanged(*target.Target)                           {}
func (noopEvents) Probed(*target.Target)                                 {}

// observer counts the discarded responses.
type observer struct{ discarded atomic.Int32 }

func (*observer) Attempt(string, contract.Failure, time.Duration) {}
func (o *observer) Discarded(string)                              { o.discarded.Add(1) }

// fixture is a service with the links to its targets.
type fixture struct {
	observer observer
	catalog  *service.Catalog
	links    *exchange.Links
	config   config.Configuration
	version  uint64
}

// newFixture returns a fixture whose only target serves the handler.
func newFixture(slots int, handler http.HandlerFunc) *fixture {
	return newFixtureAt(slots, serve(handler))
}

// serve starts a server with the handler and returns its address.
func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// newFixtureAt returns a fixture with targets at the given addresses. A cold
// target may get as many requests as it has slots, so that no lease is needed.
func newFixtureAt(slots int, addresses ...string) *fixture {
	s := config.Service{
		Name: "orders", QueueLimit: 10, RetryPercent: 10,
		ColdStart: config.ColdStart{MaxConcurrent: slots, DurationMs: 3_600_000, Answers: 1},
	}
	for i, address := range addresses {
		s.Targets = append(s.Targets, config.Target{
			Name: fmt.Sprintf("orders-%d", i+1), Address: address, Zone: "az-1", Slots: slots, Connections: slots,
		})
	}
	f := &fixture{
		catalog: service.NewCatalog("az-1", service.PolicyShortestExpectedDelay),
		links:   exchange.NewLinks(noopEvents{}, noopEvents{}, func(*target.Target) {}),
		config:  config.Configuration{MaxInstances: 1, Zones: []config.Zone{{Name: "az-1"}}, Services: []config.Service{s}},
	}
	DeferCleanup(f.links.Close)
	f.apply(func(*config.Configuration) {})
	Eventually(func() int { return f.target().Limit() }).Should(Equal(slots))
	return f
}

// apply applies a changed copy of the configuration.
func (f *fixture) apply(change func(*config.Configuration)) {
	next := f.config
	next.Services = append([]config.Service(nil), f.config.Services...)
	change(&next)
	f.config = next
	f.version++
	f.catalog.Apply(config.State{Version: f.version, Config: &next})
	f.links.Follow(f.catalog.Snapshot())
}

func (f *fixture) target() *target.Target { return f.catalog.Snapshot().Target("orders-1") }

func (f *fixture) exchange(terms contract.Terms) *exchange.Exchange {
	found, _ := f.catalog.Snapshot().Service("orders")
	terms.Service, terms.Class = "orders", "class"
	return &exchange.Exchange{
		Instance: "entry-1", Contract: contract.New(terms), Service: found, Sender: f.links,
		Crashes: contract.NewFingerprints(), Tracer: noop.NewTracerProvider().Tracer(""), Observer: &f.observer,
	}
}

func get(path string) *exchange.Request {
	return &exchange.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Header: http.Header{}}
}

func nonIdempotentTerms(limit time.Duration) contract.Terms {
	return contract.Terms{Key: contract.Key{Name: "1"}, Deadline: time.Now().Add(limit)}
}

func idempotentTerms(limit time.Duration) contract.Terms {
	return contract.Terms{Idempotent: true, Deadline: time.Now().Add(limit), Retries: 4}
}

func (f *fixture) queued() int {
	found, _ := f.catalog.Snapshot().Service("orders")
	return found.Queue.Len()
}
