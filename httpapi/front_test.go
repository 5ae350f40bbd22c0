package httpapi_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"fulmarhoist.example/config"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/httpapi"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/telemetry"
)

// stubHooks implements the interfaces that the specs do not examine; all
// methods do nothing and return zero values.
type stubHooks struct{}

func (stubHooks) ColdLease(time.Time, *target.Target, uint32) time.Time { return time.Time{} }
func (stubHooks) Relinquish(time.Time, *target.Target, uint32)          {}
func (stubHooks) ProvedWarm(*target.Target) bool                        { return false }
func (stubHooks) AnnounceWarm(*target.Target)                           {}
func (stubHooks) Crashed(*target.Target, []contract.Fingerprint)        {}
func (stubHooks) StateChanged(*target.Target)                           {}
func (stubHooks) Probed(*target.Target)                                 {}
func (stubHooks) Isolated() bool                                        { return false }
func (stubHooks) Leaving() bool                                         { return false }

// newFront returns a Front with one target, which is served by the handler.
func newFront(handler http.HandlerFunc) *httpapi.Front {
	server := httptest.NewServer(handler)
	DeferCleanup(server.CloseClientConnections)
	catalog := service.NewCatalog("az-1", service.PolicyShortestExpectedDelay)
	catalog.Apply(config.State{Version: 1, Config: &config.Configuration{
		MaxInstances: 1, Zones: []config.Zone{{Name: "az-1"}},
		Services: []config.Service{{
			Name: "orders", QueueLimit: 10, RetryPercent: 10,
			ColdStart: config.ColdStart{MaxConcurrent: 4, DurationMs: 3_600_000, Answers: 1},
			Classes:   []config.Class{{Name: "reorder", Priority: config.PriorityInteractive, DeadlineMs: 5000, MaxBodyBytes: 1 << 20}},
			Targets:   []config.Target{{Name: "orders-1", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "az-1", Slots: 4, Connections: 4}},
		}},
	}})
	links := exchange.NewLinks(stubHooks{}, stubHooks{}, func(*target.Target) {})
	DeferCleanup(links.Close)
	links.Follow(catalog.Snapshot())
	return &httpapi.Front{
		Instance: "entry-1", Catalog: catalog, Ledger: contract.NewLedger("entry-1", 1, time.Now()), Links: links,
		Crashes: contract.NewFingerprints(), Status: stubHooks{}, Tracer: noop.NewTracerProvider().Tracer(""), Metrics: telemetry.NewMetrics(),
	}
}

const requestKey = "entry-1.0000000000000001.0/reorder-1"

// reorder returns a request with a key.
func reorder(ctx context.Context, method, path string, body io.Reader) *http.Request {
	request := httptest.NewRequestWithContext(ctx, method, path, body)
	request.Header.Set("Fulmarhoist-Service", "orders")
	request.Header.Set("Fulmarhoist-Class", "reorder")
	request.Header.Set("Fulmarhoist-Request-Key", requestKey)
	return request
}

// failingBody is a request body of which every read calls the function and
// fails.
type failingBody func() error

func (b failingBody) Read([]byte) (int, error) { return 0, b() }

var _ = Describe("Front", func() {
	send := func(f *httpapi.Front, request *http.Request) *http.Response {
		recorder := httptest.NewRecorder()
		f.Handler().ServeHTTP(recorder, request)
		return recorder.Result()
	}

	// Guards against a second execution, or a wrong outcome, for a copy that
	// arrives after the caller of the first one has disconnected.
	It("runs a request with a key to its end although its caller has disconnected", func(ctx SpecContext) {
		var runs atomic.Int32
		block := make(chan struct{})
		f := newFront(func(w http.ResponseWriter, _ *http.Request) { runs.Add(1); <-block; _, _ = fmt.Fprint(w, "done") })
		callerCtx, disconnect := context.WithCancel(ctx)
		go send(f, reorder(callerCtx, http.MethodPost, "/orders", strings.NewReader("{}")))
		Eventually(runs.Load).Should(Equal(int32(1)))
		disconnect()
		close(block)
		got := send(f, reorder(ctx, http.MethodPost, "/orders", strings.NewReader("{}")))
		Expect(got.Header).To(HaveKeyWithValue("Fulmarhoist-Replayed", []string{"1"}))
		Expect(io.ReadAll(got.Body)).To(Equal([]byte("done")))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	// Guards against executing a copy after the first one was refused because
	// its body could not be read: the outcome "not-run" is final for a key.
	It("records the refusal of a request whose body could not be read", func(ctx SpecContext) {
		var runs atomic.Int32
		f := newFront(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		got := send(f, reorder(ctx, http.MethodPost, "/orders", failingBody(func() error { return io.ErrUnexpectedEOF })))
		Expect(got.Header.Get("Fulmarhoist-Outcome")).To(Equal("not-run"))
		got = send(f, reorder(ctx, http.MethodPost, "/orders", strings.NewReader("{}")))
		Expect(got.Header.Get("Fulmarhoist-Outcome")).To(Equal("not-run"))
		Expect(runs.Load()).To(BeZero())
	})

	// Guards against "not-run" for a key that another instance owns and may
	// have executed, and against executing a copy with a key of this instance
	// after "not-run" was reported for it.
	It("reports not-run before the first configuration only for its own keys", func(ctx SpecContext) {
		var runs atomic.Int32
		f := newFront(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		configured := f.Catalog
		f.Catalog = service.NewCatalog("az-1", service.PolicyShortestExpectedDelay)
		notOwned := reorder(ctx, http.MethodPost, "/orders", strings.NewReader("{}"))
		notOwned.Header.Set("Fulmarhoist-Request-Key", "entry-2.0000000000000002.0/reorder-1")
		Expect(send(f, notOwned).Header.Get("Fulmarhoist-Outcome")).To(Equal("unknown"))
		Expect(send(f, reorder(ctx, http.MethodPost, "/orders", strings.NewReader("{}"))).Header.Get("Fulmarhoist-Outcome")).To(Equal("not-run"))
		f.Catalog = configured
		Expect(send(f, reorder(ctx, http.MethodPost, "/orders", strings.NewReader("{}"))).Header.Get("Fulmarhoist-Outcome")).To(Equal("not-run"))
		Expect(runs.Load()).To(BeZero())
	})

	// Guards against copies that wait until their deadline for an outcome that
	// is never recorded.
	It("records an outcome if reading the body of a request panics", func(ctx SpecContext) {
		f := newFront(func(http.ResponseWriter, *http.Request) {})
		Expect(func() {
			send(f, reorder(ctx, http.MethodPost, "/orders", failingBody(func() error { panic(http.ErrAbortHandler) })))
		}).To(Panic())
		began := time.Now()
		got := send(f, reorder(ctx, http.MethodPost, "/orders", strings.NewReader("{}")))
		Expect(got.Header.Get("Fulmarhoist-Outcome")).To(Equal("unknown"))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	// Guards against forwarding that changes the path of a request.
	It("preserves the path of a forwarded request", func(ctx SpecContext) {
		paths := make(chan string, 1)
		f := newFront(func(_ http.ResponseWriter, r *http.Request) { paths <- r.RequestURI })
		answer := f.ServeForwarded(ctx, http.MethodPost, "//orders/1?x=1", reorder(ctx, http.MethodPost, "/", nil).Header, nil)
		Expect(answer.Refusal).To(BeNil())
		Expect(paths).To(Receive(Equal("//orders/1?x=1")))
	})

	// Guards against a tunnel to a target, which has no complete response.
	It("refuses CONNECT", func(ctx SpecContext) {
		f := newFront(func(http.ResponseWriter, *http.Request) { Fail("the request was sent to the target") })
		got := send(f, reorder(ctx, http.MethodConnect, "/orders", nil))
		Expect(got.StatusCode).To(Equal(http.StatusBadRequest))
	})

	// Guards against a panic, and a link that is never released, for a status
	// that cannot be forwarded.
	It("does not forward a response without a final status", func(ctx SpecContext) {
		f := newFront(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			_, _ = fmt.Fprint(conn, "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n")
		})
		got := send(f, reorder(ctx, http.MethodPost, "/orders", nil))
		Expect(got.Header.Get("Fulmarhoist-Outcome")).To(Equal("unknown"))
	})
})
