package ctl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/backinghttp"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/internal/ctl"
	"fulmarhoist.example/internal/standin/logservice"
)

// world is a log service and the instances that follow it.
type world struct {
	log       *logservice.Service
	front     string // URL of a proxy before the log service
	instances []*entry
	directory string
	// beforeAppend runs once, before the next append passes the proxy.
	beforeAppend atomic.Pointer[func()]
	// afterAppend runs once, after the next append.
	afterAppend atomic.Pointer[func()]
}

// entry is a stand-in for an entry instance. Unless it is deaf, it has the
// version that the log gives at the time of the health call.
type entry struct {
	address string
	deaf    atomic.Bool
	down    atomic.Bool
	metrics atomic.Pointer[string]
}

func newWorld(instances int) *world {
	GinkgoHelper()
	w := &world{}
	var err error
	w.log, err = logservice.Start(logservice.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.log.Close)
	w.front = w.proxy()
	for n := range instances {
		w.instances = append(w.instances, w.entry(n))
	}
	return w
}

func (w *world) proxy() string {
	target, err := url.Parse("http://" + w.log.Address())
	Expect(err).NotTo(HaveOccurred())
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			if hook := w.beforeAppend.Swap(nil); hook != nil {
				(*hook)()
			}
		}
		proxy.ServeHTTP(out, r)
		if r.Method == http.MethodPost {
			if hook := w.afterAppend.Swap(nil); hook != nil {
				(*hook)()
			}
		}
	}))
	DeferCleanup(server.Close)
	return server.URL
}

func (w *world) entry(n int) *entry {
	e := &entry{}
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/fulmarhoist/v1/directory":
			type listed map[string]any
			var list []listed
			for n, i := range w.instances {
				id := fmt.Sprintf("entry-%d", n+1)
				list = append(list, listed{"id": id, "zone": "az-1", "address": i.address, "ticket": id + ".aa.1"})
			}
			_ = json.NewEncoder(out).Encode(map[string]any{"version": 1, "lifetime_ms": 30000, "instances": list})
		case "/fulmarhoist/v1/health":
			version := uint64(0)
			if !e.deaf.Load() {
				version = w.state().Version
			}
			if e.down.Load() {
				out.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = fmt.Fprintf(out, `{"instance":"entry-%d","config_version":%d,"leaving":false,"isolated":%t}`, n+1, version, e.down.Load())
		case "/metrics":
			if text := e.metrics.Load(); text != nil {
				_, _ = fmt.Fprint(out, *text)
			}
		}
	}))
	DeferCleanup(server.Close)
	e.address = server.Listener.Addr().String()
	w.directory = e.address
	return e
}

func (w *world) publisher() (*configlog.Publisher, func()) {
	client, err := backinghttp.NewLogClient("http://"+w.log.Address(), backinghttp.Settings{})
	Expect(err).NotTo(HaveOccurred())
	return configlog.NewPublisher(client, configlog.Options{}), client.Close
}

// state reads the state in force past the proxy.
func (w *world) state() config.State {
	publisher, done := w.publisher()
	defer done()
	snapshot, err := publisher.Current(context.Background())
	if err != nil || snapshot == nil {
		return config.State{}
	}
	return snapshot.State
}

// amend publishes another operator's change past the proxy.
func (w *world) amend(id string, change func(*config.Configuration)) {
	GinkgoHelper()
	publisher, done := w.publisher()
	defer done()
	state, next := w.state(), sample()
	if state.Config != nil {
		next = state.Config.Clone()
	}
	change(next)
	result, err := publisher.Publish(context.Background(), config.Publication{ID: id, Base: state.Version, Config: next}, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Outcome).To(Equal(configlog.OutcomeAccepted))
}

func (w *world) begin() { w.amend("first", func(*config.Configuration) {}) }

func (w *world) faults(f logservice.Faults) {
	GinkgoHelper()
	Expect(w.log.SetFaults(f)).To(Succeed())
}

// appends counts the records of the configuration stream.
func (w *world) appends() uint64 { return w.log.State().Streams[string(backing.ConfigStream)].Next }

// run adds the flags of the log service and the instances.
func (w *world) run(arguments ...string) (ctl.ExitCode, string, string) {
	arguments = append(arguments, "--log-service", w.front)
	if len(w.instances) > 0 {
		arguments = append(arguments, "--instance", w.directory)
	}
	return tool(arguments...)
}

// result runs a command that prints a publication's result as JSON.
func (w *world) result(arguments ...string) (ctl.ExitCode, map[string]any) {
	GinkgoHelper()
	code, out, problems := w.run(append(arguments, "--output", "json")...)
	var result map[string]any
	Expect(json.Unmarshal([]byte(out), &result)).To(Succeed(), out+problems)
	return code, result
}

// sample has 3 zones with 2 targets of 2 slots each in one service.
func sample() *config.Configuration {
	c := &config.Configuration{
		Deployment: "sample", MaxInstances: 7, DirectoryLifetimeMs: 30_000,
		Services: []config.Service{{
			Name:      "orders",
			Classes:   []config.Class{{Name: "status", Priority: config.PriorityInteractive, Idempotent: true, DeadlineMs: 1000}},
			ColdStart: config.ColdStart{MaxConcurrent: 1, DurationMs: 5000}, QueueLimit: 10, RetryPercent: 10,
		}},
	}
	for n := range 6 {
		zone := fmt.Sprintf("az-%d", n/2+1)
		if n%2 == 0 {
			c.Zones = append(c.Zones, config.Zone{Name: zone, Region: "r", RoundTripMs: 3})
		}
		c.Services[0].Targets = append(c.Services[0].Targets, config.Target{
			Name: fmt.Sprintf("orders-%d", n+1), Address: fmt.Sprintf("127.0.0.1:%d", 9001+n), Zone: zone, Slots: 2, Connections: 250,
		})
	}
	return c
}

// file writes a value as JSON.
func file(value any) string {
	GinkgoHelper()
	data, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return textFile(string(data))
}

func textFile(text string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "file.json")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func queue(limit int) func(*config.Configuration) {
	return func(c *config.Configuration) { c.Services[0].QueueLimit = limit }
}

// with returns the sample with changes.
func with(changes ...func(*config.Configuration)) *config.Configuration {
	c := sample()
	for _, change := range changes {
		change(c)
	}
	return c
}
