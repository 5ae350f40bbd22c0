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
	// Guards against a run that cannot be repeated.
	It("is the same for the same seed", func() {
		one, same := loadgen.NewSchedule(100, loadgen.Poisson, classes, 7), loadgen.NewSchedule(100, loadgen.Poisson, classes, 7)
		other := loadgen.NewSchedule(100, loadgen.Poisson, classes, 8)
		differs := false
		for range 1000 {
			shot := one.Next()
			Expect(same.Next()).To(Equal(shot))
			differs = differs || other.Next() != shot
		}
		Expect(differs).To(BeTrue())
	})

	// Guards against a rate or a mix other than the one asked for.
	DescribeTable("keeps rate and mix", func(arrival loadgen.Arrival) {
		schedule := loadgen.NewSchedule(1000, arrival, classes, 1)
		counts := make([]int, len(classes))
		var last loadgen.Shot
		for range 100_000 {
			shot := schedule.Next()
			Expect(shot.Due).To(BeNumerically(">=", last.Due))
			counts[shot.Class]++
			last = shot
		}
		Expect(last.Due.Seconds()).To(BeNumerically("~", 100, 2))
		Expect(counts[0]).To(BeNumerically("~", 75_000, 1000))
	}, Entry("poisson", loadgen.Poisson), Entry("even", loadgen.Even))
})

var _ = Describe("Run", func() {
	settings := func() loadgen.Settings {
		return loadgen.Settings{
			Rate: 100, Duration: 10 * time.Second, Arrival: loadgen.Even, Seed: 1, Classes: classes,
			MaxOutstanding: 1000, GiveUpAfter: time.Hour,
		}
	}
	answered := loadgen.Answer{Outcome: loadgen.OutcomeAnswered, Status: 200}

	// virtual runs the load in virtual time.
	virtual := func(s loadgen.Settings, ctx context.Context, send loadgen.SenderFunc, check func(g Gomega, r *loadgen.Report)) {
		synctest.Test(suiteT, func(t *testing.T) {
			report, err := loadgen.Run(ctx, s, send)
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			check(g, report)
		})
	}

	// Guards against coordinated omission: a stall of the answers must not delay
	// the requests that are due during it.
	It("sends on time while answers are slow", func() {
		start := time.Time{}
		var inTime atomic.Int32
		send := func(_ context.Context, shot loadgen.Shot) loadgen.Answer {
			if shot.Number == 0 {
				start = time.Now()
			} else if time.Since(start) == shot.Due {
				inTime.Add(1)
			}
			if shot.Due >= 5*time.Second && shot.Due < 6*time.Second {
				time.Sleep(2 * time.Second) // virtual; the stalled server
			}
			return answered
		}
		virtual(settings(), context.Background(), send, func(g Gomega, r *loadgen.Report) {
			g.Expect(inTime.Load()).To(Equal(int32(999)))
			g.Expect(r.Total.Outcomes).To(Equal(map[string]int{"answered": 1000}))
			g.Expect(r.Total.Late).To(BeZero())
			g.Expect(r.Total.Latency.MaxUS).To(BeNumerically("~", 2e6, 2e4))
			g.Expect(r.Seconds).To(HaveLen(10))
			g.Expect(r.Seconds[4].P99US).To(BeNumerically("<", 1000))
			g.Expect(r.Seconds[5].P99US).To(BeNumerically("~", 2e6, 2e4))
			g.Expect(r.Seconds[6].P99US).To(BeNumerically("<", 1000))
		})
	})

	// Guards against a latency that leaves out the time a request waited for a
	// free slot, and against a bound that is not kept.
	It("bounds the requests in flight and counts the wait", func() {
		s := settings()
		s.MaxOutstanding = 5
		s.Duration = time.Second
		var flying, most atomic.Int32
		send := func(context.Context, loadgen.Shot) loadgen.Answer {
			if now := flying.Add(1); now > most.Load() {
				most.Store(now)
			}
			time.Sleep(100 * time.Millisecond) // virtual; half of the rate can be served
			flying.Add(-1)
			return answered
		}
		virtual(s, context.Background(), send, func(g Gomega, r *loadgen.Report) {
			g.Expect(most.Load()).To(Equal(int32(5)))
			g.Expect(r.Total.Late).To(Equal(95))
			g.Expect(r.Total.NotStarted).To(BeZero())
			// The last of 100 requests is due at 0.99 s and ends at 2.0 s.
			g.Expect(r.Total.Latency.MaxUS).To(BeNumerically("~", 1.05e6, 5e4))
		})
	})

	// Guards against requests that vanish from the report.
	It("counts requests that could not be started", func() {
		s := settings()
		s.MaxOutstanding, s.Duration, s.GiveUpAfter = 1, time.Second, 50*time.Millisecond
		send := func(context.Context, loadgen.Shot) loadgen.Answer {
			time.Sleep(10 * time.Second) // virtual
			return loadgen.Answer{Outcome: "unknown"}
		}
		virtual(s, context.Background(), send, func(g Gomega, r *loadgen.Report) {
			g.Expect(r.Total.Scheduled).To(Equal(100))
			g.Expect(r.Total.NotStarted).To(Equal(99))
			g.Expect(r.Total.Outcomes).To(Equal(map[string]int{"unknown": 1}))
			g.Expect(r.Total.Latency.Count).To(BeZero())
			g.Expect(r.BadShare()).To(BeNumerically("~", 1))
		})
	})

	// Guards against an interrupt that loses the requests in flight.
	It("ends early with a report of what was sent", func() {
		ctx, cancel := context.WithCancel(context.Background())
		send := func(ctx context.Context, shot loadgen.Shot) loadgen.Answer {
			if shot.Number == 50 {
				cancel()
			}
			time.Sleep(time.Second) // virtual
			Expect(ctx.Err()).NotTo(HaveOccurred())
			return answered
		}
		virtual(settings(), ctx, send, func(g Gomega, r *loadgen.Report) {
			g.Expect(r.Interrupted).To(BeTrue())
			g.Expect(r.Total.Scheduled).To(Equal(51))
			g.Expect(r.Total.Outcomes["answered"]).To(Equal(51))
		})
	})

	// Guards against classes, statuses or seconds that are mixed up, and against
	// changed names of fields that scripts read.
	It("reports per class, per second and in stable JSON", func() {
		send := func(_ context.Context, shot loadgen.Shot) loadgen.Answer {
			if shot.Class == 1 {
				return loadgen.Answer{Outcome: "not-run", Status: 0}
			}
			return answered
		}
		virtual(settings(), context.Background(), send, func(g Gomega, r *loadgen.Report) {
			g.Expect(r.Classes[0].Outcomes).To(HaveLen(1))
			g.Expect(r.Classes[0].Statuses).To(HaveKeyWithValue(200, r.Classes[0].Scheduled))
			g.Expect(r.Classes[1].Outcomes).To(Equal(map[string]int{"not-run": r.Classes[1].Scheduled}))
			sum := 0
			for _, second := range r.Seconds {
				sum += second.Outcomes["not-run"]
			}
			g.Expect(sum).To(Equal(r.Classes[1].Scheduled))
			text, err := json.Marshal(r)
			g.Expect(err).NotTo(HaveOccurred())
			for _, field := range []string{"seed", "rate", "not_started", "late", "p50_us", "p99_us", "p99_9_us", "max_us", "seconds", "outcomes"} {
				g.Expect(string(text)).To(ContainSubstring(`"` + field + `":`))
			}
		})
	})

	// Guards against a run with settings that make no sense.
	It("reports all wrong settings at once", func() {
		_, err := loadgen.Run(context.Background(), loadgen.Settings{Classes: []loadgen.Class{{}}}, nil)
		for _, field := range []string{"rate", "duration", "arrival", "max outstanding", "classes[0].weight"} {
			Expect(err).To(MatchError(ContainSubstring(field)))
		}
	})
})
