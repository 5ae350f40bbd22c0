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

// quiet is a lessor and an observer of links that does nothing.
type quiet struct{}

func (quiet) ColdLease(time.Time, *target.Target, uint32) time.Time { return time.Time{} }
func (quiet) Relinquish(time.Time, *target.Target, uint32)          {}
func (quiet) ProvedWarm(*target.Target) bool                        { return false }
func (quiet) Warm(*target.Target)                                   {}
func (quiet) Crashed(*target.Target, []contract.Fingerprint)        {}
func (quiet) Changed(*target.Target)                                {}
func (quiet) Probed(*target.Target)                                 {}

// observer counts the answers that were discarded.
type observer struct{ discarded atomic.Int32 }

func (*observer) Attempt(string, contract.Failure, time.Duration) {}
func (o *observer) Discarded(string)                              { o.discarded.Add(1) }

// rig is a service with the links to its targets.
type rig struct {
	observer observer
	catalog  *service.Catalog
	links    *exchange.Links
	config   config.Configuration
	version  uint64
}

// newRig serves the handler as the only target.
func newRig(slots int, handler http.HandlerFunc) *rig { return newRigAt(slots, serve(handler)) }

// serve runs the handler at an address of its own.
func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// newRigAt has targets at the given addresses, each of which bears one request
// for each slot from its start, so that no lease is needed.
func newRigAt(slots int, addresses ...string) *rig {
	s := config.Service{
		Name: "orders", QueueLimit: 10, RetryPercent: 10,
		ColdStart: config.ColdStart{Bears: slots, DurationMs: 3_600_000, Answers: 1},
	}
	for i, address := range addresses {
		s.Targets = append(s.Targets, config.Target{
			Name: fmt.Sprintf("orders-%d", i+1), Address: address, Zone: "az-1", Slots: slots, Connections: slots,
		})
	}
	r := &rig{
		catalog: service.NewCatalog("az-1", service.PolicyShortestExpectedDelay),
		links:   exchange.NewLinks(quiet{}, quiet{}, func(*target.Target) {}),
		config:  config.Configuration{MaxInstances: 1, Zones: []config.Zone{{Name: "az-1"}}, Services: []config.Service{s}},
	}
	DeferCleanup(r.links.Close)
	r.apply(func(*config.Configuration) {})
	Eventually(func() int { return r.target().Limit() }).Should(Equal(slots))
	return r
}

// apply puts a changed copy of the configuration in force.
func (r *rig) apply(change func(*config.Configuration)) {
	next := r.config
	next.Services = append([]config.Service(nil), r.config.Services...)
	change(&next)
	r.config = next
	r.version++
	r.catalog.Apply(config.State{Version: r.version, Config: &next})
	r.links.Follow(r.catalog.Snapshot())
}

func (r *rig) target() *target.Target { return r.catalog.Snapshot().Target("orders-1") }

func (r *rig) exchange(terms contract.Terms) *exchange.Exchange {
	found, _ := r.catalog.Snapshot().Service("orders")
	terms.Service, terms.Class = "orders", "class"
	return &exchange.Exchange{
		Instance: "entry-1", Contract: contract.New(terms), Service: found, Sender: r.links,
		Crashes: contract.NewFingerprints(), Tracer: noop.NewTracerProvider().Tracer(""), Observer: &r.observer,
	}
}

func get(path string) *exchange.Request {
	return &exchange.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Header: http.Header{}}
}

func once(limit time.Duration) contract.Terms {
	return contract.Terms{Key: contract.Key{Name: "1"}, Deadline: time.Now().Add(limit)}
}

func repeatable(limit time.Duration) contract.Terms {
	return contract.Terms{Idempotent: true, Deadline: time.Now().Add(limit), Retries: 4}
}

func (r *rig) queued() int {
	found, _ := r.catalog.Snapshot().Service("orders")
	return found.Queue.Len()
}
