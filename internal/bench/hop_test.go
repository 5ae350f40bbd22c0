package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/config"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/daemon"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/httpapi"
	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/telemetry"
)

const (
	// slots lets a chain hold one at each level and leaves room at the end.
	slots    = 32
	deadline = 10 * time.Second
	// chainDepth is the deepest chain of calls of docs/design.md, section 1.6.
	chainDepth = 10
)

// alone is the surroundings of the only instance of a deployment: a lease has
// nobody else to be agreed with, and there is no peer to tell anything.
type alone struct{}

func (alone) ColdLease(now time.Time, _ *target.Target, _ uint32) time.Time {
	return now.Add(time.Hour)
}
func (alone) Relinquish(time.Time, *target.Target, uint32) {}
func (alone) ProvedWarm(*target.Target) bool               { return false }
func (alone) AnnounceWarm(*target.Target)                  {}

func (alone) Crashed(*target.Target, []contract.Fingerprint) {}
func (alone) StateChanged(*target.Target)                    {}
func (alone) Probed(*target.Target)                          {}

func (alone) Isolated() bool { return false }
func (alone) Leaving() bool  { return false }

// directory names the one instance.
type directory struct {
	address string
	ledger  *contract.Ledger
}

func (d *directory) Directory(now time.Time, _ string) any {
	return daemon.DirectoryBody{Version: 1, LifetimeMs: time.Hour.Milliseconds(), Instances: []daemon.DirectoryInstance{
		{ID: "entry-1", Zone: "az-1", Address: d.address, Ticket: d.ledger.Ticket(now).String()},
	}}
}

// hop is a caller, an entry instance made of the product's own objects, and
// targets, all in this process and connected over loopback.
type hop struct {
	client *caller.Client
	direct *http.Client
	plain  string       // address of a target without service time
	nested string       // address of a target that calls itself through the instance
	visits atomic.Int64 // requests to nested
}

// newHop serves two services: plain, a stand-in target, and nested, a target
// that calls its own service until the chain is as deep as its path says.
func newHop() *hop {
	h := &hop{direct: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: slots}}}
	DeferCleanup(h.direct.CloseIdleConnections)
	server, err := targetserver.Start(targetserver.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Service: "plain", Slots: slots, Queue: slots})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	h.plain = server.Address()
	h.nested = serve(&http.Server{Handler: http.HandlerFunc(h.serveNested), ReadHeaderTimeout: time.Minute})

	ledger := contract.NewLedger("entry-1", 1, time.Now())
	catalog := service.NewCatalog("az-1", service.PolicyShortestExpectedDelay)
	links := exchange.NewLinks(alone{}, alone{}, func(*target.Target) {})
	DeferCleanup(links.Close)
	Expect(catalog.Apply(config.State{Version: 1, ID: "bench", Config: h.configuration()})).To(BeTrue())
	links.Follow(catalog.Snapshot())
	places := &directory{ledger: ledger}
	front := &httpapi.Front{
		Instance: "entry-1", Catalog: catalog, Ledger: ledger, Links: links, Crashes: contract.NewFingerprints(),
		Directory: places, Standing: alone{}, Tracer: noop.NewTracerProvider().Tracer("bench"), Metrics: telemetry.NewMetrics(),
	}
	places.address = serve(httpapi.NewServer(front.Handler()))
	h.client, err = caller.New(caller.Options{Instances: []string{places.address}, Zone: "az-1", Deadline: deadline})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(h.client.Close)
	h.awaitWarm(catalog)
	return h
}

func (h *hop) configuration() *config.Configuration {
	of := func(name, address string) config.Service {
		return config.Service{
			Name: name, QueueLimit: 100, RetryPercent: 10,
			ColdStart: config.ColdStart{MaxConcurrent: slots, DurationMs: 1, Answers: 1},
			Classes: []config.Class{
				{Name: "status", Priority: config.PriorityInteractive, Idempotent: true, DeadlineMs: int(deadline.Milliseconds()), MaxBodyBytes: 1 << 20},
				{Name: "reorder", Priority: config.PriorityInteractive, DeadlineMs: int(deadline.Milliseconds()), MaxBodyBytes: 1 << 20},
			},
			Targets: []config.Target{{Name: name + "-1", Address: address, Zone: "az-1", Slots: slots, Connections: 4 * slots}},
		}
	}
	return &config.Configuration{
		Deployment: "bench", MaxInstances: 1, DirectoryLifetimeMs: int(time.Hour.Milliseconds()),
		Zones:    []config.Zone{{Name: "az-1", Region: "region-1"}},
		Services: []config.Service{of("plain", h.plain), of("nested", h.nested)},
	}
}

// awaitWarm sends requests until the targets are out of cold start, so that
// queueing at cold targets is not measured.
func (h *hop) awaitWarm(catalog *service.Catalog) {
	for _, name := range []string{"plain", "nested"} {
		Eventually(func(g Gomega) {
			g.Expect(h.through(name, "status", "/0")).To(Succeed())
			state, _ := catalog.Snapshot().Target(name + "-1").State()
			g.Expect(state).To(Equal(target.StateWarm))
		}).WithTimeout(20 * time.Second).WithPolling(time.Millisecond).Should(Succeed())
	}
}

func serve(server *http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

// UnexpectedStatusError reports an answer that is not the measured one.
type UnexpectedStatusError struct{ Status int }

func (e *UnexpectedStatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// through sends one request through the instance.
func (h *hop) through(service, class, path string) error {
	response, err := h.client.Do(context.Background(), caller.Request{Service: service, Class: class, Idempotent: class == "status", Path: path})
	if err != nil {
		return fmt.Errorf("send through the instance: %w", err)
	}
	if response.Status != http.StatusOK {
		return &UnexpectedStatusError{response.Status}
	}
	return nil
}

// straight sends one request to a target with net/http alone.
func (h *hop) straight(address, path string) error {
	return h.get(context.Background(), address, path)
}

func (h *hop) get(ctx context.Context, address, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("make a direct request: %w", err)
	}
	response, err := h.direct.Do(request)
	if err != nil {
		return fmt.Errorf("send a direct request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return fmt.Errorf("read a direct answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return &UnexpectedStatusError{response.StatusCode}
	}
	return nil
}

// serveNested calls itself with the depth of its path less one, through the
// instance if the request came through it.
func (h *hop) serveNested(w http.ResponseWriter, r *http.Request) {
	h.visits.Add(1)
	depth, err := strconv.Atoi(r.URL.Path[1:])
	if err == nil && depth > 0 {
		err = h.call(r, "/"+strconv.Itoa(depth-1))
	}
	if id := r.Header.Get("Fulmarhoist-Attempt-Id"); id != "" {
		w.Header().Set("Fulmarhoist-Attempt-Id", id)
		w.Header().Set("Fulmarhoist-Boot-Id", "nested")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "done")
}

func (h *hop) call(served *http.Request, path string) error {
	if served.Header.Get("Fulmarhoist-Attempt-Id") == "" {
		return h.get(served.Context(), h.nested, path)
	}
	request := caller.Request{Service: "nested", Class: "status", Idempotent: true, Path: path}
	request.Within(served.Header)
	response, err := h.client.Do(served.Context(), request)
	if err != nil {
		return fmt.Errorf("call the next level: %w", err)
	}
	if response.Status != http.StatusOK {
		return &UnexpectedStatusError{response.Status}
	}
	return nil
}

var _ = Describe("The measured paths", func() {
	// Guards against figures of requests that were refused or answered early.
	It("reach the target directly, through the instance, and in a chain", func() {
		h := newHop()
		Expect(h.straight(h.plain, "/a")).To(Succeed())
		Expect(h.through("plain", "status", "/a")).To(Succeed())
		Expect(h.through("plain", "reorder", "/a")).To(Succeed())
		last := "/" + strconv.Itoa(chainDepth-1)
		before := h.visits.Load()
		Expect(h.straight(h.nested, last)).To(Succeed())
		Expect(h.visits.Load() - before).To(BeNumerically("==", chainDepth))
		Expect(h.through("nested", "status", last)).To(Succeed())
		Expect(h.visits.Load() - before).To(BeNumerically("==", 2*chainDepth))
	})
})
