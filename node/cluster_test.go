package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/keyedstore"
	"fulmarhoist.example/node"
	"fulmarhoist.example/platform"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

// backend is a fake target that speaks the platform's server protocol.
type backend struct {
	id                  string
	server              *httptest.Server
	executionsByRequest sync.Map // executions, as *atomic.Int32, by request id
	executionsByPath    sync.Map // executions, as *atomic.Int32, by path
	executions          atomic.Int32
	// onRequest is called while a request is executed; it returns false to abort
	// the connection without a response.
	onRequest atomic.Pointer[func(r *http.Request) bool]
	shed      atomic.Bool
	arrivals  atomic.Int32 // requests and health requests
	// respond is called for each request and health request before anything else;
	// it returns true if it has written the response.
	respond atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
}

func newBackend(id string) *backend {
	b := &backend{id: id}
	b.server = httptest.NewServer(b)
	DeferCleanup(b.server.Close)
	return b
}

func (b *backend) address() string { return strings.TrimPrefix(b.server.URL, "http://") }

func (b *backend) setRespond(hook func(w http.ResponseWriter, r *http.Request) bool) {
	b.respond.Store(&hook)
}

func (b *backend) setOnRequest(hook func(r *http.Request) bool) { b.onRequest.Store(&hook) }

// ServeHTTP implements the platform's server protocol.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.arrivals.Add(1)
	h := w.Header()
	h.Set("X-Fulmarhoist-Server-Load", "0,0,2,100")
	h.Set("X-Fulmarhoist-Instance-Id", b.id)
	if hook := b.respond.Load(); hook != nil && (*hook)(w, r) {
		return
	}
	if r.URL.Path == "/health" {
		h.Set("X-Fulmarhoist-Warmup-Ms", "0")
		return
	}
	id := r.Header.Get("X-Fulmarhoist-Request-Id")
	h.Set("X-Fulmarhoist-Request-Id", id)
	if expected := r.Header.Get("X-Fulmarhoist-Expected-Instance"); expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.shed.Load() {
		h.Set("X-Fulmarhoist-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(r.Body)
	increment(&b.executionsByRequest, id)
	increment(&b.executionsByPath, r.URL.Path)
	b.executions.Add(1)
	if hook := b.onRequest.Load(); hook != nil && !(*hook)(r) {
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Fulmarhoist-Server-Signature", "signed."+b.id)
	_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.RequestURI, len(body))
}

// cluster is a fake store that targets and entry instances use.
type cluster struct {
	store         *keyedstore.Store
	address       string // of the store
	version       int    // of the newest configuration
	lastRequestID atomic.Int64
	logs          io.Writer // log output of instances that are started
	crashPort     string    // port at which all instances accept reports of crashes
	retryExtra    float64   // retries of all instances together that need no requests
}

func newCluster() *cluster {
	c := &cluster{store: keyedstore.New(), logs: GinkgoWriter, crashPort: portOf(freeAddress("127.0.0.1")), retryExtra: 64}
	server := httptest.NewServer(c.store.Handler())
	DeferCleanup(server.Close)
	DeferCleanup(server.CloseClientConnections)
	c.address = strings.TrimPrefix(server.URL, "http://")
	return c
}

// configure publishes a configuration with an idempotent route /get/, a
// non-idempotent route /once/, and further idempotent routes with the given
// path prefixes.
func (c *cluster) configure(further ...string) {
	c.version++
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": prefix, "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 2000,
			"target_latency_ms": 300, "priority": 1, "service": "orders", "max_attempts": 2,
		}
	}
	routes := []any{route("/get/", "idempotent"), route("/once/", "non_idempotent")}
	for _, prefix := range further {
		routes = append(routes, route(prefix, "idempotent"))
	}
	c.store.Put("keyed.op", "config", map[string]any{
		"version": c.version, "routes": routes,
		"services": []any{map[string]any{
			"name": "orders", "health_path": "/health", "max_conns": 100, "warmup_s": 0.5, "warmup_per_s": 50,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 8 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// register writes the entry of a target to the store.
func (c *cluster) register(b *backend, state string, sequence int) {
	c.store.Put("keyed.servers", b.id, map[string]any{
		"address": b.address(), "born": 1790000000000,
		"info":   map[string]any{"service": "orders", "version": "v1", "zone": "az-1", "slots": 2},
		"status": map[string]any{"state": state, "seq": sequence, "warmup_left_ms": 0},
	})
}

// instance is a running entry instance.
type instance struct {
	settings *node.Settings
	stop     context.CancelFunc
	reload   chan os.Signal
	done     chan struct{}
}

// start runs an entry instance on a loopback address that ends with the given
// number.
func (c *cluster) start(number int) *instance {
	// The port of the metrics is fixed, so concurrent test processes must use
	// different addresses.
	pid := os.Getpid()
	address := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%200, 1+pid%250, number)
	free := freeAddresses(address, 4, c.crashPort)
	s := &node.Settings{
		Instance: fmt.Sprintf("entry-%d", number), Zone: "az-1", HostIP: address, MaxOpenFiles: 1000,
		CallerAddress: free[0], ReadyAddress: free[1], DirectoryAddress: free[2], StoreAddress: c.address,
		MinTTL: time.Second, PeerPort: portOf(free[3]), CrashPort: c.crashPort,
		Bounds: node.Bounds{
			Grace: 2 * time.Second, DirectoryTTL: 5 * time.Second, RetryRatio: 0.2, RetryExtra: c.retryExtra, ColdOvershoot: 1, ColdSlack: 5,
		},
	}
	p := platform.New(s)
	p.LoadSettings = func() (*node.Settings, error) { return s, nil }
	n, err := node.New(s, p, c.logs)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{settings: s, stop: cancel, reload: make(chan os.Signal, 1), done: make(chan struct{})}
	go func() {
		defer GinkgoRecover()
		defer close(i.done)
		Expect(n.Run(ctx, i.reload)).To(Succeed())
	}()
	DeferCleanup(func() { cancel(); Eventually(i.done, "5s").Should(BeClosed()) })
	Eventually(func() error {
		conn, err := net.Dial("tcp", s.CallerAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).Should(Succeed())
	return i
}

// freeAddress returns host:port with a port that is free at the moment.
func freeAddress(host string) string { return freeAddresses(host, 1)[0] }

// freeAddresses returns several addresses with different free ports, none of which is
// excluded.
func freeAddresses(host string, count int, excluded ...string) (addresses []string) {
	for len(addresses) < count {
		listener, err := net.Listen("tcp", host+":0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }() // only then, so that the ports differ
		if address := listener.Addr().String(); !slices.Contains(excluded, portOf(address)) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func portOf(address string) string {
	_, port, err := net.SplitHostPort(address)
	Expect(err).NotTo(HaveOccurred())
	return port
}

// ready returns the status of the readiness check, or 0 if there was no
// response.
func (i *instance) ready() int {
	response, err := http.Get("http://" + i.settings.ReadyAddress + "/v1/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// addresses returns the addresses that the directory lists for a caller in a
// zone.
func (i *instance) addresses(zone string) []string {
	response, err := http.Get("http://" + i.settings.DirectoryAddress + "/v1/resolve?name=a.example&region=r&zone=" + zone)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var resolved struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	_ = json.NewDecoder(response.Body).Decode(&resolved)
	return resolved.Addresses
}

// reply is the outcome of a request as the caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	id     string // of the request
	err    error
}

// send sends a request on a new connection.
func (c *cluster) send(ctx context.Context, i *instance, method, path, body string) reply {
	return c.sendAndRead(ctx, i, method, path, body, io.ReadAll)
}

// sendAndDiscard is like send, but keeps nothing of the response body.
func (c *cluster) sendAndDiscard(ctx context.Context, i *instance, method, path, body string) reply {
	return c.sendAndRead(ctx, i, method, path, body, func(r io.Reader) ([]byte, error) {
		_, err := io.Copy(io.Discard, r)
		return nil, err
	})
}

// sendAndRead sends a request on a new connection and reads the body of the response
// with the function.
func (c *cluster) sendAndRead(ctx context.Context, i *instance, method, path, body string, read func(io.Reader) ([]byte, error)) reply {
	id := fmt.Sprintf("%016x", c.lastRequestID.Add(1))
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+i.settings.CallerAddress+path, strings.NewReader(body))
	request.Host = "a.example"
	request.Header.Set("X-Fulmarhoist-Request-Id", id)
	request.Header.Set("X-Fulmarhoist-Deadline-Ms", "1500")
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err, id: id}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := read(response.Body)
	return reply{response.StatusCode, response.Header, string(data), id, err}
}

// executionsOf returns how many times the backend executed a request.
func (b *backend) executionsOf(id string) int { return countOf(&b.executionsByRequest, id) }

// executionsOfPath returns how many requests with the given path the backend
// executed.
func (b *backend) executionsOfPath(path string) int { return countOf(&b.executionsByPath, path) }

// increment increments the count of a key in a map of *atomic.Int32.
func increment(counts *sync.Map, key string) {
	count, _ := counts.LoadOrStore(key, &atomic.Int32{})
	count.(*atomic.Int32).Add(1)
}

// countOf returns the count of a key in a map of *atomic.Int32.
func countOf(counts *sync.Map, key string) int {
	count, found := counts.Load(key)
	if !found {
		return 0
	}
	return int(count.(*atomic.Int32).Load())
}
