package e2e

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/standin/testcluster"
)

// orders returns the plan of a small service with three classes: idempotent,
// non-idempotent, and uploads of large bodies.
func orders(targets int) testcluster.ServicePlan {
	return testcluster.ServicePlan{
		Name: "orders", Targets: targets, Slots: 2, Connections: 250,
		MeanServiceTime: 5 * time.Millisecond, ServiceTimeStdDev: 2 * time.Millisecond, Seed: 1,
		ColdStart: config.ColdStart{MaxConcurrent: 1, DurationMs: 500, Answers: 3},
		Classes: []config.Class{
			{Name: "status", Priority: config.PriorityInteractive, Idempotent: true, DeadlineMs: 10_000, MaxBodyBytes: 1 << 20},
			{Name: "reorder", Priority: config.PriorityInteractive, DeadlineMs: 10_000, MaxBodyBytes: 1 << 20},
			{Name: "scan", Priority: config.PriorityUpload, DeadlineMs: 20_000, MaxBodyBytes: 64 << 20},
		},
	}
}

// startCluster starts a cluster that is stopped at the end of the spec. If the
// spec fails, the logs of the instances are printed.
func startCluster(ctx context.Context, plan testcluster.Plan) *testcluster.Cluster {
	plan.Bin, plan.Dir = binDir, GinkgoT().TempDir()
	if plan.DirectoryLifetime == 0 {
		plan.DirectoryLifetime = time.Second
	}
	cluster, err := testcluster.Start(ctx, plan)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cluster.Stop)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, i := range cluster.Instances {
				data, _ := os.ReadFile(plan.Dir + "/" + i.ID + ".log")
				GinkgoWriter.Printf("log of %s:\n%s\n", i.ID, data)
			}
		}
	})
	return cluster
}

func newCaller(cluster *testcluster.Cluster) *caller.Client {
	var addresses []string
	for _, i := range cluster.Instances {
		addresses = append(addresses, i.CallerAddress)
	}
	client, err := caller.New(caller.Options{Instances: addresses, Zone: cluster.Plan.Zones[0], Deadline: 10 * time.Second})
	Expect(err).NotTo(HaveOccurred())
	return client
}

// span holds the fields of an exported span that the specs use.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// readSpans returns the spans in the given files; files that do not exist are
// skipped.
func readSpans(paths ...string) []span {
	var spans []span
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			var s span
			if json.Unmarshal(scanner.Bytes(), &s) == nil {
				spans = append(spans, s)
			}
		}
		_ = file.Close()
	}
	return spans
}

var _ = Describe("One request through separate processes", func() {
	// Guards against a request path that changes the answer, loses the trace, or
	// counts requests wrongly.
	It("is answered unchanged, traced at every hop and counted", func(ctx SpecContext) {
		cluster := startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1"}, Instances: 1, Services: []testcluster.ServicePlan{orders(2)}, RecordSpans: true,
		})
		client := newCaller(cluster)
		body := []byte(`{"box":"daily lenses","count":2}`)
		const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
		response, err := client.Do(ctx, caller.Request{
			Service: "orders", Class: "reorder", Method: http.MethodPost, Path: "/orders/17?store=darkhan",
			Header: http.Header{"Traceparent": {"00-" + trace + "-00f067aa0ba902b7-01"}}, Body: body,
		})
		Expect(err).NotTo(HaveOccurred())
		digest := sha256.Sum256(body)
		Expect(response.Status).To(Equal(http.StatusOK))
		Expect(string(response.Body)).To(ContainSubstring(hex.EncodeToString(digest[:])))
		journal, err := cluster.Targets[0].Control.Journal(ctx)
		Expect(err).NotTo(HaveOccurred())
		other, err := cluster.Targets[1].Control.Journal(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(journal.Counters.Executions + other.Counters.Executions).To(BeNumerically("==", 1))

		metrics := httpGet(ctx, "http://"+cluster.Instances[0].CallerAddress+"/metrics")
		Expect(metrics).To(ContainSubstring(`fulmarhoist_requests_total{service="orders",outcome="answered"} 1`))
		Expect(metrics).To(ContainSubstring(`fulmarhoist_attempts_total{service="orders",result="answered"} 1`))

		Expect(cluster.Instances[0].Terminate()).To(Succeed())
		Expect(cluster.Instances[0].Wait(ctx)).To(Succeed())
		var names []string
		for _, s := range readSpans(cluster.Instances[0].SpansFile) {
			if s.SpanContext.TraceID == trace {
				names = append(names, s.Name)
			}
		}
		Expect(names).To(ContainElements("receive", "attempt"))
	}, SpecTimeout(time.Minute))
})

var _ = Describe("A forwarded request", func() {
	// Guards against a hop between instances that loses the trace or exports no
	// span.
	It("has one span per hop in one trace", func(ctx SpecContext) {
		cluster := startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1"}, Instances: 2, Services: []testcluster.ServicePlan{orders(2)}, RecordSpans: true,
		})
		wire := newWireClient()
		waitUntilServing(ctx, cluster, wire)
		const trace = "0af7651916cd43dd8448eb211c80319c"
		got := wire.send(ctx, wireRequest{
			address: cluster.Instances[1].CallerAddress, class: "reorder", path: "/orders/4",
			key: latestTicket(ctx, cluster.Instances[1], cluster.Instances[0]) + "/traced", trace: "00-" + trace + "-b7ad6b7169203331-01",
		})
		Expect(got.outcome).To(Equal("answered"), got.body)
		var spans []span
		for _, i := range cluster.Instances {
			Expect(i.Terminate()).To(Succeed())
			Expect(i.Wait(ctx)).To(Succeed())
			spans = append(spans, readSpans(i.SpansFile)...)
		}
		ids := map[string]string{"b7ad6b7169203331": "caller"}
		parents := map[string]string{}
		for _, s := range spans {
			if s.SpanContext.TraceID == trace {
				ids[s.SpanContext.SpanID] = s.Name
				parents[s.Name] = s.Parent.SpanID
			}
		}
		Expect(parents).To(HaveLen(4))
		Expect(ids[parents["receive"]]).To(Equal("caller"))
		Expect(ids[parents["forward"]]).To(Equal("receive"))
		Expect(ids[parents["receive-forwarded"]]).To(Equal("forward"))
		Expect(ids[parents["attempt"]]).To(Equal("receive-forwarded"))
	}, SpecTimeout(time.Minute))
})

var _ = Describe("Several instances", func() {
	// Guards against instances that together overload a cold target, which can
	// take only one request at a time, and against keyed requests that are not
	// answered.
	It("share cold targets and serve a key at its owner", func(ctx SpecContext) {
		cluster := startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3, Services: []testcluster.ServicePlan{orders(6)},
		})
		client := newCaller(cluster)
		for i := range 60 {
			request := caller.Request{Service: "orders", Class: "status", Idempotent: true, Path: "/status/1"}
			if i%2 == 1 {
				request = caller.Request{Service: "orders", Class: "reorder", Method: http.MethodPost, Path: "/orders/1"}
			}
			response, err := client.Do(ctx, request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(http.StatusOK))
		}
		for _, t := range cluster.Targets {
			journal, err := t.Control.Journal(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(journal.Counters.OverloadsWhileCold).To(BeZero(), t.Name)
		}
	}, SpecTimeout(time.Minute))
})

// httpGet returns the body at a URL without surrounding white space.
func httpGet(ctx context.Context, url string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return strings.TrimSpace(string(data))
}
