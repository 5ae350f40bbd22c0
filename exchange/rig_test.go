package exchange_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"fulmarhoist.example/config"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/telemetry"
)

// quiet is a lessor and an observer of links that does nothing.
type quiet struct{}

func (quiet) ColdLease(time.Time, *target.Target) time.Time  { return time.Time{} }
func (quiet) Relinquish(time.Time, *target.Target)           {}
func (quiet) ProvedWarm(*target.Target) bool                 { return false }
func (quiet) Warm(*target.Target)                            {}
func (quiet) Crashed(*target.Target, []contract.Fingerprint) {}
func (quiet) Changed(*target.Target)                         {}
func (quiet) Probed(*target.Target)                          {}

// rig is one target with the links to it.
type rig struct {
	catalog *service.Catalog
	links   *exchange.Links
	config  config.Configuration
	version uint64
}

// newRig serves the handler as a target that bears one request for each slot
// from its start, so that no lease is needed.
func newRig(slots int, handler http.HandlerFunc) *rig {
	server := httptest.NewServer(handler)
	DeferCleanup(server.CloseClientConnections)
	r := &rig{
		catalog: service.NewCatalog("az-1", service.PolicyShortestExpectedDelay),
		links:   exchange.NewLinks(quiet{}, quiet{}, func(*target.Target) {}),
		config: config.Configuration{
			MaxInstances: 1, Zones: []config.Zone{{Name: "az-1"}},
			Services: []config.Service{{
				Name: "orders", QueueLimit: 10, RetryPercent: 10,
				ColdStart: config.ColdStart{Bears: slots, DurationMs: 3_600_000, Answers: 1},
				Targets: []config.Target{{
					Name: "orders-1", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "az-1", Slots: slots, Connections: slots,
				}},
			}},
		},
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
		Instance: "entry-1", Contract: contract.New(terms), Service: found, Links: r.links,
		Crashes: contract.NewFingerprints(), Tracer: noop.NewTracerProvider().Tracer(""), Observer: telemetry.NewMetrics(),
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
