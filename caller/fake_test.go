package caller_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/caller"
)

// receivedCopy is one copy of a request that a fake instance has received.
type receivedCopy struct {
	instance string
	key      string
	at       time.Time
	header   http.Header
}

// copyHandler responds to the nth copy (from 0) that a fake instance receives.
type copyHandler func(w http.ResponseWriter, r *http.Request, n int)

// fakeCluster is a set of fake instances that serve the same directory.
type fakeCluster struct {
	mu                    sync.Mutex
	listed                []map[string]any // instances in the directory
	lifetimeMs            int64            // lifetime of the directory in ms
	failDirectory         bool             // respond to directory requests with status 503
	directoryRequestCount int              // directory requests received; also the version
	copies                []receivedCopy
	instances             []*httptest.Server
}

func newFakeCluster() *fakeCluster { return &fakeCluster{lifetimeMs: 30_000} }

// addInstance starts an instance and lists it in the directory. Only the first
// one is in the availability zone of the caller, so that it is tried first.
func (c *fakeCluster) addInstance(handle copyHandler) *httptest.Server {
	id := fmt.Sprintf("entry-%d", len(c.instances)+1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fulmarhoist/v1/directory" {
			c.serveDirectory(w)
			return
		}
		c.mu.Lock()
		n := 0
		for _, received := range c.copies {
			if received.instance == id {
				n++
			}
		}
		c.copies = append(c.copies, receivedCopy{id, r.Header.Get("Fulmarhoist-Request-Key"), time.Now(), r.Header.Clone()})
		c.mu.Unlock()
		w.Header().Set("Fulmarhoist-Instance", id)
		handle(w, r, n)
	}))
	c.instances = append(c.instances, server)
	c.listInstance(id, fmt.Sprintf("az-%d", len(c.instances)), server.Listener.Addr().String())
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// listInstance adds an instance to the directory.
func (c *fakeCluster) listInstance(id, zone, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = append(c.listed, map[string]any{
		"id": id, "zone": zone, "address": address, "ticket": id + ".00000000000000aa.1",
	})
}

// serveDirectory responds to a directory request.
func (c *fakeCluster) serveDirectory(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directoryRequestCount++
	if c.failDirectory {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	Expect(json.NewEncoder(w).Encode(map[string]any{
		"version": c.directoryRequestCount, "lifetime_ms": c.lifetimeMs, "instances": c.listed,
	})).To(Succeed())
}

// update changes fields while it holds the lock.
func (c *fakeCluster) update(apply func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apply()
}

// receivedCopies returns the copies that all instances have received, in order.
func (c *fakeCluster) receivedCopies() []receivedCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]receivedCopy(nil), c.copies...)
}

// directoryRequests returns the number of directory requests received.
func (c *fakeCluster) directoryRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directoryRequestCount
}

// client returns a client in the zone of the first instance. A non-nil
// configure adjusts its options.
func (c *fakeCluster) client(configure func(*caller.Options)) *caller.Client {
	options := caller.Options{Zone: "az-1"}
	for _, server := range c.instances {
		options.Instances = append(options.Instances, server.Listener.Addr().String())
	}
	if configure != nil {
		configure(&options)
	}
	client, err := caller.New(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

// writeAnswered writes the response of a target.
func writeAnswered(w http.ResponseWriter, body string) {
	w.Header().Set("Fulmarhoist-Outcome", "answered")
	w.Header().Set("Fulmarhoist-Attempts", "1")
	_, _ = fmt.Fprint(w, body)
}

// writeOutcome writes an outcome other than "answered".
func writeOutcome(w http.ResponseWriter, status int, fields map[string]any) {
	w.Header().Set("Fulmarhoist-Outcome", fields["outcome"].(string))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

// abortConnection closes the connection without completing the response.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// nonIdempotentRequest returns a request that must not be executed twice.
func nonIdempotentRequest() caller.Request {
	return caller.Request{
		Service: "orders", Class: "reorder", Method: http.MethodPost, Path: "/reorder",
		Body: []byte(`{"boxes":1}`), Deadline: 10 * time.Second,
	}
}

func idempotentRequest() caller.Request {
	return caller.Request{Service: "orders", Class: "status", Idempotent: true, Path: "/status", Deadline: 10 * time.Second}
}
