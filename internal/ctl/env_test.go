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

// testEnv is a log service and the instances that follow its configuration.
type testEnv struct {
	log             *logservice.Service
	logURL          string // URL of a proxy in front of the log service
	instances       []*fakeEntry
	instanceAddress string // address of the last instance, passed to --instance
	// beforeAppend runs once, before the proxy forwards the next append.
	beforeAppend atomic.Pointer[func()]
	// afterAppend runs once, after the proxy has forwarded the next append.
	afterAppend atomic.Pointer[func()]
}

// fakeEntry is a stand-in for an entry instance. Unless it is stale, it reports
// the version in force in the log at the time of the health check.
type fakeEntry struct {
	address    string
	stale      atomic.Bool
	notServing atomic.Bool
	metrics    atomic.Pointer[string]
}

func newTestEnv(instances int) *testEnv {
	GinkgoHelper()
	env := &testEnv{}
	var err error
	env.log, err = logservice.Start(logservice.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(env.log.Close)
	env.logURL = env.startProxy()
	for n := range instances {
		env.instances = append(env.instances, env.startEntry(n))
	}
	return env
}

func (env *testEnv) startProxy() string {
	target, err := url.Parse("http://" + env.log.Address())
	Expect(err).NotTo(HaveOccurred())
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			if hook := env.beforeAppend.Swap(nil); hook != nil {
				(*hook)()
			}
		}
		proxy.ServeHTTP(rw, r)
		if r.Method == http.MethodPost {
			if hook := env.afterAppend.Swap(nil); hook != nil {
				(*hook)()
			}
		}
	}))
	DeferCleanup(server.Close)
	return server.URL
}

func (env *testEnv) startEntry(n int) *fakeEntry {
	e := &fakeEntry{}
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/fulmarhoist/v1/directory":
			type listed map[string]any
			var list []listed
			for n, i := range env.instances {
				id := fmt.Sprintf("entry-%d", n+1)
				list = append(list, listed{"id": id, "zone": "az-1", "address": i.address, "ticket": id + ".aa.1"})
			}
			_ = json.NewEncoder(rw).Encode(map[string]any{"version": 1, "lifetime_ms": 30000, "instances": list})
		case "/fulmarhoist/v1/health":
			version := uint64(0)
			if !e.stale.Load() {
				version = env.state().Version
			}
			if e.notServing.Load() {
				rw.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = fmt.Fprintf(rw, `{"instance":"entry-%d","config_version":%d,"leaving":false,"isolated":%t}`, n+1, version, e.notServing.Load())
		case "/metrics":
			if text := e.metrics.Load(); text != nil {
				_, _ = fmt.Fprint(rw, *text)
			}
		}
	}))
	DeferCleanup(server.Close)
	e.address = server.Listener.Addr().String()
	env.instanceAddress = e.address
	return e
}

func (env *testEnv) publisher() (*configlog.Publisher, func()) {
	client, err := backinghttp.NewLogClient("http://"+env.log.Address(), backinghttp.Settings{})
	Expect(err).NotTo(HaveOccurred())
	return configlog.NewPublisher(client, configlog.Options{}), client.Close
}

// state reads the state in force, bypassing the proxy.
func (env *testEnv) state() config.State {
	publisher, closeClient := env.publisher()
	defer closeClient()
	snapshot, err := publisher.Current(context.Background())
	if err != nil || snapshot == nil {
		return config.State{}
	}
	return snapshot.State
}

// publishChange publishes a change of another operator, bypassing the proxy.
func (env *testEnv) publishChange(id string, change func(*config.Configuration)) {
	GinkgoHelper()
	publisher, closeClient := env.publisher()
	defer closeClient()
	state, next := env.state(), sampleConfig()
	if state.Config != nil {
		next = state.Config.Clone()
	}
	change(next)
	result, err := publisher.Publish(context.Background(), config.Publication{ID: id, Base: state.Version, Config: next}, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Outcome).To(Equal(configlog.OutcomeAccepted))
}

func (env *testEnv) publishFirst() { env.publishChange("first", func(*config.Configuration) {}) }

func (env *testEnv) setFaults(f logservice.Faults) {
	GinkgoHelper()
	Expect(env.log.SetFaults(f)).To(Succeed())
}

// appendCount returns the number of records in the configuration stream.
func (env *testEnv) appendCount() uint64 {
	return env.log.State().Streams[string(backing.ConfigStream)].Next
}

// runCtl runs fulmarhoistctl with the flags for the log service and the
// instances added.
func (env *testEnv) runCtl(args ...string) (ctl.ExitCode, string, string) {
	args = append(args, "--log-service", env.logURL)
	if len(env.instances) > 0 {
		args = append(args, "--instance", env.instanceAddress)
	}
	return runCtl(args...)
}

// runJSON runs a command and decodes its JSON output.
func (env *testEnv) runJSON(args ...string) (ctl.ExitCode, map[string]any) {
	GinkgoHelper()
	code, out, stderr := env.runCtl(append(args, "--output", "json")...)
	var result map[string]any
	Expect(json.Unmarshal([]byte(out), &result)).To(Succeed(), out+stderr)
	return code, result
}

// sampleConfig returns a configuration with one service in 3 zones, each with 2
// targets of 2 slots.
func sampleConfig() *config.Configuration {
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

// jsonFile writes a value as JSON to a temporary file and returns its path.
func jsonFile(value any) string {
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

func setQueueLimit(limit int) func(*config.Configuration) {
	return func(c *config.Configuration) { c.Services[0].QueueLimit = limit }
}

// sampleWith returns the sample configuration with changes applied.
func sampleWith(changes ...func(*config.Configuration)) *config.Configuration {
	c := sampleConfig()
	for _, change := range changes {
		change(c)
	}
	return c
}
