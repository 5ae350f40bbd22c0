package measure

import (
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/service"
)

var _ = Describe("Measure", func() {
	// Guards against ratios between rows of different parts or classes.
	It("compares the first policy with the others in the same part and class", func() {
		rows := []Row{
			{Policy: "sed", Part: "normal", Class: "a", P99: 10},
			{Policy: "sed", Part: "normal", Class: "b", P99: 30},
			{Policy: "rr", Part: "normal", Class: "b", P99: 60},
			{Policy: "rr", Part: "normal", Class: "a", P99: 40},
			{Policy: "rr", Part: "one-slow", Class: "a", P99: 1},
		}
		Expect(ratios(rows, []service.PolicyName{"sed", "rr"})).To(Equal([]Ratio{
			{"normal", "a", "rr", 0.25}, {"normal", "b", "rr", 0.5},
		}))
	})

	// Guards against wait time at the server that is attributed to the load
	// balancer.
	It("splits a latency into service time, wait at the server, and the rest", func() {
		at := time.Unix(1_000_000, 0)
		entry := &targetserver.Entry{
			Path: "/orders/status/normal/1", Arrived: at, Started: at.Add(5 * time.Millisecond),
			Ended: at.Add(25 * time.Millisecond), Outcome: targetserver.OutcomeAnswered,
		}
		p := &attemptTimes{attemptsPerServer: map[string]int{}}
		p.add("orders-1", entry, map[string]time.Duration{entry.Path: 27 * time.Millisecond})
		p.add("orders-2", &targetserver.Entry{Path: "/x", Outcome: targetserver.OutcomeShed}, nil)
		Expect(p.breakdown("normal", "sed")).To(Equal(LatencyBreakdown{
			Part: "normal", Policy: "sed", ServiceP99: 20, WaitP50: 5, WaitP90: 5, WaitP99: 5,
			BalancerP50: 2, BalancerP99: 2, LeastPerServer: 1, MostPerServer: 1, Attempts: 2,
		}))
	})

	// Guards against an invalid flag that is reported only after minutes of
	// measuring.
	It("rejects unknown policies, output formats and measurements before it starts anything", func() {
		expectSettingError := func(s Settings, names ...string) {
			s.Out, s.Progress = io.Discard, io.Discard
			Expect(Run(GinkgoT().Context(), &s, names...)).To(BeAssignableToTypeOf(&SettingError{}))
		}
		expectSettingError(Settings{Output: "xml"})
		expectSettingError(Settings{Output: OutputJSON, Policies: []service.PolicyName{"best"}})
		expectSettingError(Settings{Output: OutputJSON}, "speed")
	})
})
