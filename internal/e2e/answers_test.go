package e2e

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/testcluster"
)

// setFaults sets the same faults at all targets.
func setFaults(ctx context.Context, cluster *testcluster.Cluster, faults targetserver.Faults) {
	for _, t := range cluster.Targets {
		_, err := t.Control.SetFaults(ctx, faults)
		Expect(err).NotTo(HaveOccurred())
	}
}

var _ = Describe("An answer", func() {
	var cluster *testcluster.Cluster
	var wire *wireClient

	BeforeEach(func(ctx SpecContext) {
		cluster = startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1"}, Instances: 2, Services: []testcluster.ServicePlan{orders(4)},
		})
		wire = newWireClient()
		waitUntilServing(ctx, cluster, wire)
	}, NodeTimeout(time.Minute))

	// status requests a path that contains the number; the target echoes the
	// path.
	status := func(ctx context.Context, number int, query string) wireResponse {
		return wire.send(ctx, wireRequest{
			address: cluster.Instances[number%2].CallerAddress, class: "status", path: fmt.Sprintf("/status/%d%s", number, query),
		})
	}

	// Guards against passing on an answer that belongs to another request.
	It("never belongs to another request, even if targets mix up their answers", func(ctx SpecContext) {
		setFaults(ctx, cluster, targetserver.Faults{MismatchedAnswers: 10})
		for number := range 200 {
			got := status(ctx, number, "")
			if got.outcome == "answered" {
				Expect(got.body).To(ContainSubstring(fmt.Sprintf("/status/%d\"", number)))
			}
		}
		metrics := httpGet(ctx, "http://"+cluster.Instances[0].CallerAddress+"/metrics")
		Expect(metrics).To(MatchRegexp(`fulmarhoist_answers_discarded_total\{service="orders"\} [1-9]`))
	}, SpecTimeout(time.Minute))

	// Guards against a truncated body that looks complete, both for answers that
	// are checked before they are passed on and for long ones that are streamed.
	It("never looks complete if the target truncated it", func(ctx SpecContext) {
		setFaults(ctx, cluster, targetserver.Faults{TruncateAnswers: 10})
		intact := 0
		for number := range 100 {
			pad := 100
			if number%2 == 1 {
				pad = 300_000
			}
			got := status(ctx, number, fmt.Sprintf("?pad=%d", pad))
			if got.err == nil && got.outcome == "answered" {
				intact++
				Expect(len(got.body)).To(BeNumerically(">=", pad))
				Expect(strings.TrimSpace(got.body)).To(HaveSuffix("}"))
			}
		}
		Expect(intact).To(BeNumerically(">=", 50))
	}, SpecTimeout(time.Minute))

	// Guards against connections that stop responding while new ones work:
	// requests would hang until their deadline of 10 s.
	It("arrives although all open connections have stopped responding", func(ctx SpecContext) {
		for _, t := range cluster.Targets {
			_, err := t.Control.Silence(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		for number := range 20 {
			start := time.Now()
			Expect(status(ctx, number, "").outcome).To(Equal("answered"))
			Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		}
	}, SpecTimeout(2*time.Minute))
})

var _ = Describe("A request that crashes targets", func() {
	// Guards against a request that its caller repeats and that crashes one
	// target after another.
	It("crashes at most two, over all instances, and is then refused", func(ctx SpecContext) {
		cluster := startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1"}, Instances: 3, MaxInstances: 4, Services: []testcluster.ServicePlan{orders(6)},
		})
		wire := newWireClient()
		waitUntilServing(ctx, cluster, wire)
		setFaults(ctx, cluster, targetserver.Faults{CrashOnPath: "poison"})
		var outcomes []string
		for number := range 12 {
			got := wire.send(ctx, wireRequest{address: cluster.Instances[number%3].CallerAddress, class: "status", path: "/poison"})
			outcomes = append(outcomes, got.outcome)
		}
		countCrashes := func() int {
			count := 0
			for _, e := range journalEntries(ctx, cluster) {
				if e.Outcome == targetserver.OutcomeCrashed && strings.Contains(e.Path, "poison") {
					count++
				}
			}
			return count
		}
		Expect(countCrashes()).To(BeNumerically("<=", 2), fmt.Sprint(outcomes))
		Expect(outcomes[len(outcomes)-1]).To(Equal("crashes-targets"), fmt.Sprint(outcomes))
		Expect(wire.send(ctx, wireRequest{address: cluster.Instances[0].CallerAddress, class: "status", path: "/status/1"}).outcome).To(Equal("answered"))

		added, err := cluster.AddInstance(ctx)
		Expect(err).NotTo(HaveOccurred())
		waitUntilServing(ctx, cluster, wire)
		Expect(wire.send(ctx, wireRequest{address: added.CallerAddress, class: "status", path: "/poison"}).outcome).To(Equal("crashes-targets"))
		Expect(countCrashes()).To(BeNumerically("<=", 2))
	}, SpecTimeout(time.Minute))
})
