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

func setFaults(ctx context.Context, f *testcluster.Cluster, faults targetserver.Faults) {
	for _, t := range f.Targets {
		_, err := t.Control.SetFaults(ctx, faults)
		Expect(err).NotTo(HaveOccurred())
	}
}

var _ = Describe("An answer", func() {
	var f *testcluster.Cluster
	var w *wire

	BeforeEach(func(ctx SpecContext) {
		f = startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1"}, Instances: 2, Services: []testcluster.ServicePlan{orders(4)},
		})
		w = newWire()
		warm(ctx, f, w)
	}, NodeTimeout(time.Minute))

	// status asks for a path of its own, which the target echoes.
	status := func(ctx context.Context, number int, query string) reply {
		return w.send(ctx, wireRequest{
			address: f.Instances[number%2].CallerAddress, class: "status", path: fmt.Sprintf("/status/%d%s", number, query),
		})
	}

	// Guards against an answer that belongs to another request and is passed on.
	It("is never another request's, when targets cross answers", func(ctx SpecContext) {
		setFaults(ctx, f, targetserver.Faults{MismatchedAnswers: 10})
		for number := range 200 {
			got := status(ctx, number, "")
			if got.outcome == "answered" {
				Expect(got.body).To(ContainSubstring(fmt.Sprintf("/status/%d\"", number)))
			}
		}
		page := get(ctx, "http://"+f.Instances[0].CallerAddress+"/metrics")
		Expect(page).To(MatchRegexp(`fulmarhoist_answers_discarded_total\{service="orders"\} [1-9]`))
	}, SpecTimeout(time.Minute))

	// Guards against a short body that looks whole, both for answers that are
	// checked before they are passed on and for long ones that are streamed.
	It("never looks whole when the target cut it", func(ctx SpecContext) {
		setFaults(ctx, f, targetserver.Faults{TruncateAnswers: 10})
		whole := 0
		for number := range 100 {
			pad := 100
			if number%2 == 1 {
				pad = 300_000
			}
			got := status(ctx, number, fmt.Sprintf("?pad=%d", pad))
			if got.err == nil && got.outcome == "answered" {
				whole++
				Expect(len(got.body)).To(BeNumerically(">=", pad))
				Expect(strings.TrimSpace(got.body)).To(HaveSuffix("}"))
			}
		}
		Expect(whole).To(BeNumerically(">=", 50))
	}, SpecTimeout(time.Minute))

	// Guards against connections that never answer again while new ones work:
	// requests would hang until their deadline of 10 s.
	It("comes although all open connections went silent", func(ctx SpecContext) {
		for _, t := range f.Targets {
			_, err := t.Control.Silence(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		for number := range 20 {
			begin := time.Now()
			Expect(status(ctx, number, "").outcome).To(Equal("answered"))
			Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
		}
	}, SpecTimeout(2*time.Minute))
})

var _ = Describe("A request that crashes targets", func() {
	// Guards against one request, sent again by its caller, that takes down one
	// server after the other.
	It("takes down two at most, over all instances, and is refused then", func(ctx SpecContext) {
		f := startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1"}, Instances: 3, MaxInstances: 4, Services: []testcluster.ServicePlan{orders(6)},
		})
		w := newWire()
		warm(ctx, f, w)
		setFaults(ctx, f, targetserver.Faults{CrashOnPath: "poison"})
		var outcomes []string
		for number := range 12 {
			got := w.send(ctx, wireRequest{address: f.Instances[number%3].CallerAddress, class: "status", path: "/poison"})
			outcomes = append(outcomes, got.outcome)
		}
		crashed := func() int {
			count := 0
			for _, e := range entries(ctx, f) {
				if e.Outcome == targetserver.OutcomeCrashed && strings.Contains(e.Path, "poison") {
					count++
				}
			}
			return count
		}
		Expect(crashed()).To(BeNumerically("<=", 2), fmt.Sprint(outcomes))
		Expect(outcomes[len(outcomes)-1]).To(Equal("crashes-targets"), fmt.Sprint(outcomes))
		Expect(w.send(ctx, wireRequest{address: f.Instances[0].CallerAddress, class: "status", path: "/status/1"}).outcome).To(Equal("answered"))

		newcomer, err := f.AddInstance(ctx)
		Expect(err).NotTo(HaveOccurred())
		warm(ctx, f, w)
		Expect(w.send(ctx, wireRequest{address: newcomer.CallerAddress, class: "status", path: "/poison"}).outcome).To(Equal("crashes-targets"))
		Expect(crashed()).To(BeNumerically("<=", 2))
	}, SpecTimeout(time.Minute))
})
