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
	// slots is the number of slots of a target. A chain of calls occupies one
	// slot at each level, and some must remain free.
	slots    = 32
	deadline = 10 * time.Second
	// chainDepth is the depth of the deepest chain of calls in docs/design.md,
	// section 1.6.
	chainDepth = 10
)

// singleInstance implements the interfaces to the peers for the only instance
// of a deployment: it grants every lease, as there is no other instance to
// agree with, and notifies nobody.
type singleInstance struct{}

func (singleInstance) ColdLease(now time.Time, _ *target.Target, _ uint32) time.Time {
	return now.Add(time.Hour)
}
func (singleInstance) Relinquish(time.Time, *target.Target, uint32) {}
func (singleInstance) ProvedWarm(*target.Target) bool               { return false }
func (singleInstance) AnnounceWarm(*target.Target)                  {}

func (singleInstance) Crashed(*target.Target, []contract.Fingerprint) {}
func (singleInstance) StateChanged(*target.Target)                    {}
func (singleInstance) Probed(*target.Target)                          {}

func (singleInstance) Isolated() bool { return false }
func (singleInstance) Leaving() bool  { return false }

// directory is a directory of one instance.
type directory struct {
	address string
	ledger  *contract.Ledger
}

func (d *directory) Directory(now time.Time, _ string) any {
	return daemon.DirectoryBody{Version: 1, LifetimeMs: time.Hour.Milliseconds(), Instances: []daemon.DirectoryInstance{
		{ID: "entry-1", Zone: "az-1", Address: d.address, Ticket: d.ledger.Ticket(now).String()},
	}}
}

// testbed is a caller, an entry instance and targets, all in this process and
// connected over loopback. The instance is assembled from the objects that the
// product uses.
type testbed struct {
	client         *caller.Client
	directClient   *http.Client
	plainAddress   string       // address of a target without service time
	nestedAddress  string       // address of a target that calls itself through the instance
	nestedRequests atomic.Int64 // requests to the nested target
}

// newTestbed starts a testbed with two services: plain, with a stand-in target,
// and nested, with a target that calls its own service until the chain is as
// deep as the path says.
func newTestbed() *testbed {
	bed := &testbed{directClient: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: slots}}}
	DeferCleanup(bed.directClient.CloseIdleConnections)
	server, err := targetserver.Start(targetserver.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Service: "plain", Slots: slots, Queue: slots})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	bed.plainAddress = server.Address()
	bed.nestedAddress = serve(&http.Server{Handler: http.HandlerFunc(bed.serveNested), ReadHeaderTimeout: time.Minute})

	ledger := contract.NewLedger("entry-1", 1, time.Now())
	catalog := service.NewCatalog("az-1", service.PolicyShortestExpectedDelay)
	links := exchange.NewLinks(singleInstance{}, singleInstance{}, func(*target.Target) {})
	DeferCleanup(links.Close)
	Expect(catalog.Apply(config.State{Version: 1, ID: "bench", Config: bed.configuration()})).To(BeTrue())
	links.Follow(catalog.Snapshot())
	dir := &directory{ledger: ledger}
	front := &httpapi.Front{
		Instance: "entry-1", Catalog: catalog, Ledger: ledger, Links: links, Crashes: contract.NewFingerprints(),
		Directory: dir, Status: singleInstance{}, Tracer: noop.NewTracerProvider().Tracer("bench"), Metrics: telemetry.NewMetrics(),
	}
	dir.address = serve(httpapi.NewServer(front.Handler()))
	bed.client, err = caller.New(caller.Options{Instances: []string{dir.address}, Zone: "az-1", Deadline: deadline})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(bed.client.Close)
	bed.waitUntilWarm(catalog)
	return bed
}

func (bed *testbed) configuration() *config.Configuration {
	newService := func(name, address string) config.Service {
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
		Services: []config.Service{newService("plain", bed.plainAddress), newService("nested", bed.nestedAddress)},
	}
}

// waitUntilWarm sends requests until the targets are warm, so that queueing for
// cold targets is not measured.
func (bed *testbed) waitUntilWarm(catalog *service.Catalog) {
	for _, name := range []string{"plain", "nested"} {
		Eventually(func(g Gomega) {
			g.Expect(bed.sendThroughInstance(name, "status", "/0")).To(Succeed())
			state, _ := catalog.Snapshot().Target(name + "-1").State()
			g.Expect(state).To(Equal(target.StateWarm))
		}).WithTimeout(20 * time.Second).WithPolling(time.Millisecond).Should(Succeed())
	}
}

// serve runs an HTTP server on a free loopback port and returns its address.
func serve(server *http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

// UnexpectedStatusError reports a response with a status other than 200.
type UnexpectedStatusError struct{ Status int }

func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("got status %d, want 200", e.Status)
}

// sendThroughInstance sends one request through the instance.
func (bed *testbed) sendThroughInstance(service, class, path string) error {
	response, err := bed.client.Do(context.Background(), caller.Request{Service: service, Class: class, Idempotent: class == "status", Path: path})
	if err != nil {
		return fmt.Errorf("send through the instance: %w", err)
	}
	if response.Status != http.StatusOK {
		return &UnexpectedStatusError{response.Status}
	}
	return nil
}

// sendDirect sends one request directly to a target with net/http.
func (bed *testbed) sendDirect(address, path string) error {
	return bed.get(context.Background(), address, path)
}

func (bed *testbed) get(ctx context.Context, address, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("create a direct request: %w", err)
	}
	response, err := bed.directClient.Do(request)
	if err != nil {
		return fmt.Errorf("send a direct request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return fmt.Errorf("read the response to a direct request: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return &UnexpectedStatusError{response.StatusCode}
	}
	return nil
}

// serveNested handles a request to the nested target. If the depth in the path
// is above 0, it calls the nested target with the depth less one, through the
// instance if the request came through it.
func (bed *testbed) serveNested(w http.ResponseWriter, r *http.Request) {
	bed.nestedRequests.Add(1)
	depth, err := strconv.Atoi(r.URL.Path[1:])
	if err == nil && depth > 0 {
		err = bed.callNextLevel(r, "/"+strconv.Itoa(depth-1))
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

// callNextLevel calls the nested target as part of the request served.
func (bed *testbed) callNextLevel(served *http.Request, path string) error {
	if served.Header.Get("Fulmarhoist-Attempt-Id") == "" {
		return bed.get(served.Context(), bed.nestedAddress, path)
	}
	request := caller.Request{Service: "nested", Class: "status", Idempotent: true, Path: path}
	request.InheritFrom(served.Header)
	response, err := bed.client.Do(served.Context(), request)
	if err != nil {
		return fmt.Errorf("call the next level: %w", err)
	}
	if response.Status != http.StatusOK {
		return &UnexpectedStatusError{response.Status}
	}
	return nil
}

var _ = Describe("The measured paths", func() {
	// Guards against measurements of requests that were rejected or answered
	// before they reached the target.
	It("reach the target directly, through the instance, and in a chain", func() {
		bed := newTestbed()
		Expect(bed.sendDirect(bed.plainAddress, "/a")).To(Succeed())
		Expect(bed.sendThroughInstance("plain", "status", "/a")).To(Succeed())
		Expect(bed.sendThroughInstance("plain", "reorder", "/a")).To(Succeed())
		last := "/" + strconv.Itoa(chainDepth-1)
		before := bed.nestedRequests.Load()
		Expect(bed.sendDirect(bed.nestedAddress, last)).To(Succeed())
		Expect(bed.nestedRequests.Load() - before).To(BeNumerically("==", chainDepth))
		Expect(bed.sendThroughInstance("nested", "status", last)).To(Succeed())
		Expect(bed.nestedRequests.Load() - before).To(BeNumerically("==", 2*chainDepth))
	})
})
