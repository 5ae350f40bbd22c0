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

// received is one copy of a request as a fake instance saw it.
type received struct {
	instance string
	key      string
	at       time.Time
	header   http.Header
}

// handler answers the nth copy (from 0) that a fake instance receives.
type handler func(w http.ResponseWriter, r *http.Request, n int)

// cell is a set of fake instances with one directory.
type cell struct {
	mu        sync.Mutex
	listed    []map[string]any
	lifetime  int64
	fail      bool
	asked     int
	copies    []received
	instances []*httptest.Server
}

func newCell() *cell { return &cell{lifetime: 30_000} }

// add starts an instance; the first is in the caller's availability zone and
// the others are not, so that the first is tried first.
func (c *cell) add(handle handler) *httptest.Server {
	id := fmt.Sprintf("entry-%d", len(c.instances)+1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fulmarhoist/v1/directory" {
			c.directory(w)
			return
		}
		c.mu.Lock()
		n := 0
		for _, copied := range c.copies {
			if copied.instance == id {
				n++
			}
		}
		c.copies = append(c.copies, received{id, r.Header.Get("Fulmarhoist-Request-Key"), time.Now(), r.Header.Clone()})
		c.mu.Unlock()
		w.Header().Set("Fulmarhoist-Instance", id)
		handle(w, r, n)
	}))
	c.instances = append(c.instances, server)
	c.list(id, fmt.Sprintf("az-%d", len(c.instances)), server.Listener.Addr().String())
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

func (c *cell) list(id, zone, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = append(c.listed, map[string]any{
		"id": id, "zone": zone, "address": address, "ticket": id + ".00000000000000aa.1",
	})
}

func (c *cell) directory(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if c.fail {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	Expect(json.NewEncoder(w).Encode(map[string]any{
		"version": c.asked, "lifetime_ms": c.lifetime, "instances": c.listed,
	})).To(Succeed())
}

func (c *cell) change(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *cell) seen() []received {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]received(nil), c.copies...)
}

func (c *cell) directoryCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}

// client returns a client in the zone of the first instance.
func (c *cell) client(change func(*caller.Options)) *caller.Client {
	options := caller.Options{Zone: "az-1"}
	for _, server := range c.instances {
		options.Instances = append(options.Instances, server.Listener.Addr().String())
	}
	if change != nil {
		change(&options)
	}
	client, err := caller.New(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

func answered(w http.ResponseWriter, body string) {
	w.Header().Set("Fulmarhoist-Outcome", "answered")
	w.Header().Set("Fulmarhoist-Attempts", "1")
	_, _ = fmt.Fprint(w, body)
}

// outcome answers without an answer of a target.
func outcome(w http.ResponseWriter, status int, fields map[string]any) {
	w.Header().Set("Fulmarhoist-Outcome", fields["outcome"].(string))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

// hangUp closes the connection without an answer.
func hangUp(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func once() caller.Request {
	return caller.Request{
		Service: "orders", Class: "reorder", Method: http.MethodPost, Path: "/reorder",
		Body: []byte(`{"boxes":1}`), Deadline: 10 * time.Second,
	}
}

func idempotent() caller.Request {
	return caller.Request{Service: "orders", Class: "status", Idempotent: true, Path: "/status", Deadline: 10 * time.Second}
}
