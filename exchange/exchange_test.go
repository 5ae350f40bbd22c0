package exchange_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
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

// alone is the surroundings of the only instance of a deployment.
type alone struct{ discarded atomic.Int32 }

func (*alone) ColdLease(now time.Time, _ *target.Target) time.Time { return now.Add(time.Hour) }
func (*alone) Relinquish(time.Time, *target.Target)                {}
func (*alone) ProvedWarm(*target.Target) bool                      { return false }
func (*alone) Warm(*target.Target)                                 {}
func (*alone) Crashed(*target.Target, []contract.Fingerprint)      {}
func (*alone) Changed(*target.Target)                              {}
func (*alone) Probed(*target.Target)                               {}
func (*alone) Attempt(string, contract.Failure, time.Duration)     {}
func (a *alone) Discarded(string)                                  { a.discarded.Add(1) }

// deployment is a service whose targets are the given addresses.
type deployment struct {
	catalog *service.Catalog
	links   *exchange.Links
	helper  *alone
}

func deploy(addresses ...string) *deployment {
	s := config.Service{
		Name: "orders", QueueLimit: 10, RetryPercent: 10,
		Classes:   []config.Class{{Name: "status", Idempotent: true, DeadlineMs: 10_000}},
		ColdStart: config.ColdStart{Bears: 2},
	}
	for i, address := range addresses {
		s.Targets = append(s.Targets, config.Target{Name: string(rune('a' + i)), Address: address, Zone: "az-1", Slots: 2, Connections: 10})
	}
	d := &deployment{catalog: service.NewCatalog("az-1", service.PolicyShortestExpectedDelay), helper: &alone{}}
	d.links = exchange.NewLinks(d.helper, d.helper, func(*target.Target) {})
	DeferCleanup(d.links.Close)
	d.catalog.Apply(config.State{Version: 1, Config: &config.Configuration{
		MaxInstances: 1, Zones: []config.Zone{{Name: "az-1"}}, Services: []config.Service{s},
	}})
	d.links.Follow(d.catalog.Snapshot())
	return d
}

func (d *deployment) run(ctx context.Context, terms contract.Terms, request *exchange.Request) (*exchange.Response, *contract.Refusal) {
	owner, _ := d.catalog.Snapshot().Service("orders")
	terms.Service, terms.Class = "orders", "status"
	if terms.Deadline.IsZero() {
		terms.Deadline = time.Now().Add(10 * time.Second)
	}
	x := &exchange.Exchange{
		Instance: "entry-1", Contract: contract.New(terms), Service: owner, Links: d.links,
		Crashes: contract.NewFingerprints(), Tracer: noop.NewTracerProvider().Tracer(""), Observer: d.helper,
	}
	return x.Run(ctx, request)
}

func lookup() *exchange.Request {
	return &exchange.Request{Method: http.MethodGet, URL: &url.URL{Path: "/status"}, Header: http.Header{}}
}

func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

var _ = Describe("Exchange", func() {
	// Guards against a slow caller that makes a healthy link look silent, so that
	// its answer is cut.
	It("streams a long answer to a caller that pauses longer than the silence limit", func(ctx SpecContext) {
		long := bytes.Repeat([]byte("scan"), 1<<20)
		d := deploy(serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(long) }))
		terms := contract.Terms{Idempotent: true, Deadline: time.Now().Add(8 * time.Second)}
		response, refusal := d.run(ctx, terms, lookup())
		Expect(refusal).To(BeNil())
		Expect(response.Rest).NotTo(BeNil())
		pause := time.NewTimer(2500 * time.Millisecond) // the silence limit is a quarter of 8 s
		<-pause.C
		rest, err := io.ReadAll(response.Rest)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Rest.Close()).To(Succeed())
		Expect(len(response.Body) + len(rest)).To(Equal(len(long)))
	}, SpecTimeout(time.Minute))

	// Guards against an answer that ends with its connection: a cut one would
	// look whole.
	It("refuses an answer that has neither a length nor chunks", func(ctx SpecContext) {
		d := deploy(serve(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
				_ = conn.Close()
			}
		}))
		_, refusal := d.run(ctx, contract.Terms{Idempotent: true}, lookup())
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Outcome).To(Equal(contract.OutcomeUnknown))
		Expect(d.helper.discarded.Load()).To(BeNumerically(">", 0))
	}, SpecTimeout(time.Minute))

	// Guards against a second run of a request whose answer was lost.
	It("sends a request that must not run twice once, if its answer is lost", func(ctx SpecContext) {
		var requests atomic.Int32
		lose := func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}
		d := deploy(serve(lose), serve(lose))
		_, refusal := d.run(ctx, contract.Terms{Retries: 4}, lookup())
		Expect(refusal.Outcome).To(Equal(contract.OutcomeUnknown))
		Expect(requests.Load()).To(Equal(int32(1)))
	}, SpecTimeout(time.Minute))

	// Guards against a refusal for lack of capacity that hides a free target.
	It("tries another target after a definite refusal", func(ctx SpecContext) {
		shed := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Fulmarhoist-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		free := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
		d := deploy(shed, free)
		for range 5 {
			response, refusal := d.run(ctx, contract.Terms{Retries: 4}, lookup())
			Expect(refusal).To(BeNil())
			Expect(string(response.Body)).To(Equal("ok"))
		}
	}, SpecTimeout(time.Minute))

	// Guards against a request that hangs until its deadline because a target
	// accepts connections and never answers.
	It("moves an idempotent request away from a silent link", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		d := deploy(listener.Addr().String(), serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
		for range 4 {
			begin := time.Now()
			terms := contract.Terms{Idempotent: true, Retries: 4, Deadline: begin.Add(8 * time.Second)}
			response, refusal := d.run(ctx, terms, lookup())
			Expect(refusal).To(BeNil())
			Expect(string(response.Body)).To(Equal("ok"))
			Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
		}
	}, SpecTimeout(time.Minute))
})
