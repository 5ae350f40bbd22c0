package loadgen_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/loadgen"
)

var classes = []loadgen.Class{{Name: "status", Weight: 3}, {Name: "reorder", Weight: 1}}

var _ = Describe("Schedule", func() {
	// Guards against a run that cannot be reproduced.
	It("is the same for the same seed", func() {
		first, same := loadgen.NewSchedule(100, loadgen.Poisson, classes, 7), loadgen.NewSchedule(100, loadgen.Poisson, classes, 7)
		other := loadgen.NewSchedule(100, loadgen.Poisson, classes, 8)
		differs := false
		for range 1000 {
			request := first.Next()
			Expect(same.Next()).To(Equal(request))
			differs = differs || other.Next() != request
		}
		Expect(differs).To(BeTrue())
	})

	// Guards against a rate or class weights other than the requested ones.
	DescribeTable("keeps the rate and the class weights", func(arrival loadgen.Arrival) {
		schedule := loadgen.NewSchedule(1000, arrival, classes, 1)
		counts := make([]int, len(classes))
		var last loadgen.ScheduledRequest
		for range 100_000 {
			request := schedule.Next()
			Expect(request.Due).To(BeNumerically(">=", last.Due))
			counts[request.Class]++
			last = request
		}
		Expect(last.Due.Seconds()).To(BeNumerically("~", 100, 2))
		Expect(counts[0]).To(BeNumerically("~", 75_000, 1000))
	}, Entry("poisson", loadgen.Poisson), Entry("even", loadgen.Even))
})

var _ = Describe("Run", func() {
	settings := func() loadgen.Settings {
		return loadgen.Settings{
			Rate: 100, Duration: 10 * time.Second, Arrival: loadgen.Even, Seed: 1, Classes: classes,
			MaxOutstanding: 1000, StartTimeout: time.Hour,
		}
	}
	answered := loadgen.Answer{Outcome: loadgen.OutcomeAnswered, Status: 200}

	// runVirtual runs the load in virtual time and checks the report.
	runVirtual := func(s loadgen.Settings, ctx context.Context, send loadgen.SenderFunc, check func(g Gomega, r *loadgen.Report)) {
		synctest.Test(suiteT, func(t *testing.T) {
			report, err := loadgen.Run(ctx, s, send)
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			check(g, report)
		})
	}

	// Guards against coordinated omission: while responses stall, requests that
	// are due must not be delayed.
	It("sends on time while responses are slow", func() {
		start := time.Time{}
		var onTime atomic.Int32
		send := func(_ context.Context, request loadgen.ScheduledRequest) loadgen.Answer {
			if request.Number == 0 {
				start = time.Now()
			} else if time.Since(start) == request.Due {
				onTime.Add(1)
			}
			if request.Due >= 5*time.Second && request.Due < 6*time.Second {
				time.Sleep(2 * time.Second) // virtual time; the server stalls
			}
			return answered
		}
		runVirtual(settings(), context.Background(), send, func(g Gomega, r *loadgen.Report) {
			g.Expect(onTime.Load()).To(Equal(int32(999)))
			g.Expect(r.Total.Outcomes).To(Equal(map[string]int{"answered": 1000}))
			g.Expect(r.Total.Late).To(BeZero())
			g.Expect(r.Total.Latency.MaxUS).To(BeNumerically("~", 2e6, 2e4))
			g.Expect(r.Seconds).To(HaveLen(10))
			g.Expect(r.Seconds[4].P99US).To(BeNumerically("<", 1000))
			g.Expect(r.Seconds[5].P99US).To(BeNumerically("~", 2e6, 2e4))
			g.Expect(r.Seconds[6].P99US).To(BeNumerically("<", 1000))
		})
	})

	// Guards against a latency without the time that a request waited for a free
	// slot, and against more requests in flight than the maximum.
	It("limits the requests in flight and includes the wait in the latency", func() {
		s := settings()
		s.MaxOutstanding = 5
		s.Duration = time.Second
		var inFlight, maxInFlight atomic.Int32
		send := func(context.Context, loadgen.ScheduledRequest) loadgen.Answer {
			if now := inFlight.Add(1); now > maxInFlight.Load() {
				maxInFlight.Store(now)
			}
			time.Sleep(100 * time.Millisecond) // virtual time; only half of the rate can be served
			inFlight.Add(-1)
			return answered
		}
		runVirtual(s, context.Background(), send, func(g Gomega, r *loadgen.Report) {
			g.Expect(maxInFlight.Load()).To(Equal(int32(5)))
			g.Expect(r.Total.Late).To(Equal(95))
			g.Expect(r.Total.NotStarted).To(BeZero())
			// The last of 100 requests is due at 0.99 s and ends at 2.0 s.
			g.Expect(r.Total.Latency.MaxUS).To(BeNumerically("~", 1.05e6, 5e4))
		})
	})

	// Guards against requests that are missing from the report.
	It("counts requests that could not be started", func() {
		s := settings()
		s.MaxOutstanding, s.Duration, s.StartTimeout = 1, time.Second, 50*time.Millisecond
		send := func(context.Context, loadgen.ScheduledRequest) loadgen.Answer {
			time.Sleep(10 * time.Second) // virtual time
			return loadgen.Answer{Outcome: "unknown"}
		}
		runVirtual(s, context.Background(), send, func(g Gomega, r *loadgen.Report) {
			g.Expect(r.Total.Scheduled).To(Equal(100))
			g.Expect(r.Total.NotStarted).To(Equal(99))
			g.Expect(r.Total.Outcomes).To(Equal(map[string]int{"unknown": 1}))
			g.Expect(r.Total.Latency.Count).To(BeZero())
			g.Expect(r.FailureRatio()).To(BeNumerically("~", 1))
		})
	})

	// Guards against an interrupted run that loses the requests in flight.
	It("ends early with a report of the requests sent so far", func() {
		ctx, cancel := context.WithCancel(context.Background())
		send := func(ctx context.Context, request loadgen.ScheduledRequest) loadgen.Answer {
			if request.Number == 50 {
				cancel()
			}
			time.Sleep(time.Second) // virtual time
			Expect(ctx.Err()).NotTo(HaveOccurred())
			return answered
		}
		runVirtual(settings(), ctx, send, func(g Gomega, r *loadgen.Report) {
			g.Expect(r.Interrupted).To(BeTrue())
			g.Expect(r.Total.Scheduled).To(Equal(51))
			g.Expect(r.Total.Outcomes["answered"]).To(Equal(51))
		})
	})

	// Guards against counts in the wrong class, status or second, and against
	// renamed JSON fields, which scripts read.
	It("reports per class and per second, in stable JSON", func() {
		send := func(_ context.Context, request loadgen.ScheduledRequest) loadgen.Answer {
			if request.Class == 1 {
				return loadgen.Answer{Outcome: "not-run", Status: 0}
			}
			return answered
		}
		runVirtual(settings(), context.Background(), send, func(g Gomega, r *loadgen.Report) {
			g.Expect(r.Classes[0].Outcomes).To(HaveLen(1))
			g.Expect(r.Classes[0].Statuses).To(HaveKeyWithValue(200, r.Classes[0].Scheduled))
			g.Expect(r.Classes[1].Outcomes).To(Equal(map[string]int{"not-run": r.Classes[1].Scheduled}))
			notRun := 0
			for _, second := range r.Seconds {
				notRun += second.Outcomes["not-run"]
			}
			g.Expect(notRun).To(Equal(r.Classes[1].Scheduled))
			encoded, err := json.Marshal(r)
			g.Expect(err).NotTo(HaveOccurred())
			for _, field := range []string{"seed", "rate", "not_started", "late", "p50_us", "p99_us", "p99_9_us", "max_us", "seconds", "outcomes"} {
				g.Expect(string(encoded)).To(ContainSubstring(`"` + field + `":`))
			}
		})
	})

	// Guards against a run with invalid settings.
	It("reports all invalid settings at once", func() {
		_, err := loadgen.Run(context.Background(), loadgen.Settings{Classes: []loadgen.Class{{}}}, nil)
		for _, field := range []string{"rate", "duration", "arrival", "max outstanding", "classes[0].weight"} {
			Expect(err).To(MatchError(ContainSubstring(field)))
		}
	})
})
