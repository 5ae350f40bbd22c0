package demo

import (
	"bytes"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/traffic"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// executedEntry returns the journal entry of a request that ran for 10 ms.
func executedEntry(path string, arrived float64) targetserver.Entry {
	return targetserver.Entry{
		Path: path, Arrived: at(arrived), Started: at(arrived), Ended: at(arrived + 0.01), Outcome: targetserver.OutcomeAnswered,
	}
}

// conformingRun returns the evidence of a run that keeps all promises. It has
// two targets; zone az-2 is out of service from second 5 to second 10.
func conformingRun() *Evidence {
	group := func(name string) loadgen.Group {
		return loadgen.Group{Name: name, Counts: loadgen.Counts{Outcomes: map[string]int{traffic.OutcomeAnswered: 2}}}
	}
	return &Evidence{
		Kinds: []traffic.RequestKind{{Service: "orders", Class: "status", Idempotent: true}, {Service: "orders", Class: "reorder"}},
		Requests: []traffic.RequestRecord{
			{Path: "/s/1", Kind: 0, Outcome: traffic.OutcomeAnswered},
			{Path: "/s/2", Kind: 0, Outcome: traffic.OutcomeAnswered},
			{Path: "/r/1", Kind: 1, Outcome: traffic.OutcomeAnswered},
			{Path: "/r/2", Kind: 1, Outcome: traffic.OutcomeAnswered},
			{Path: "/r/3", Kind: 1, Outcome: traffic.OutcomeNotRun},
		},
		Load: &loadgen.Report{Classes: []loadgen.Group{group("orders/status"), group("orders/reorder")}},
		Targets: traffic.Records{
			{Name: "orders-1", Zone: "az-1", Journal: targetserver.Journal{
				Entries: []targetserver.Entry{executedEntry("/s/1", 9), executedEntry("/r/1", 9)},
			}},
			{Name: "orders-2", Zone: "az-2", Journal: targetserver.Journal{
				Entries: []targetserver.Entry{
					executedEntry("/s/2", 4), executedEntry("/r/2", 11),
					{Path: "/r/3", Arrived: at(4), Outcome: targetserver.OutcomeShed},
				},
			}},
		},
		Zone:   traffic.Outage{Zone: "az-2", RemovedAt: at(5), ReturnedAt: at(10)},
		Probes: ProbeUsage{Before: make(traffic.Records, 2), Window: 10 * time.Second, Instances: 3, BudgetPerSecond: 2},
	}
}

func entries(e *Evidence, target int) *[]targetserver.Entry {
	return &e.Targets[target].Journal.Entries
}

var _ = Describe("Report", func() {
	// Guards against a report that finds a broken promise in a run that kept
	// all.
	It("accepts a run that kept all promises", func() {
		report := NewResult(conformingRun())
		Expect(report.Verdict()).To(Succeed())
		var out bytes.Buffer
		Expect(report.Print(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("orders/reorder"))
		Expect(out.String()).NotTo(ContainSubstring("BROKEN"))
	})

	// Guards against a broken promise that the report does not count.
	DescribeTable("detects a broken promise", func(text string, breakPromise func(*Evidence)) {
		e := conformingRun()
		breakPromise(e)
		report := NewResult(e)
		var broken *BrokenError
		Expect(errors.As(report.Verdict(), &broken)).To(BeTrue())
		Expect(broken.Promises).To(HaveLen(1))
		Expect(broken.Promises[0].Text).To(ContainSubstring(text))
		var out bytes.Buffer
		Expect(report.Print(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("BROKEN"))
	},
		Entry("a non-idempotent request that ran on two targets", "more than once", func(e *Evidence) {
			*entries(e, 0) = append(*entries(e, 0), executedEntry("/r/2", 12))
		}),
		Entry("a refused request that ran", "refused as not run", func(e *Evidence) {
			*entries(e, 0) = append(*entries(e, 0), executedEntry("/r/3", 9))
		}),
		Entry("the answer to another request", "another request", func(e *Evidence) { e.Requests[0].AnswerMismatch = true }),
		Entry("a request that ran in the zone later than 3 s after it was taken out", "reached az-2", func(e *Evidence) {
			*entries(e, 1) = append(*entries(e, 1), executedEntry("/s/9", 8.001))
		}),
		Entry("a request that was shed in the zone later than 3 s after it was taken out", "reached az-2", func(e *Evidence) {
			*entries(e, 1) = append(*entries(e, 1), targetserver.Entry{Path: "/s/9", Arrived: at(9), Outcome: targetserver.OutcomeShed})
		}),
		Entry("a request that was canceled while it ran", "cut at a target", func(e *Evidence) {
			(*entries(e, 0))[0].Outcome = targetserver.OutcomeCanceled
		}),
		Entry("a request that never ended", "cut at a target", func(e *Evidence) { (*entries(e, 0))[0].Outcome = "" }),
		Entry("a truncated answer", "cut at a caller", func(e *Evidence) { e.Requests[0].BrokenAnswer = true }),
		Entry("an overload of a cold target", "overloads", func(e *Evidence) { e.Targets[0].Journal.Counters.OverloadsWhileCold = 1 }),
		Entry("more load probes than the budget and the bursts allow", "load probes", func(e *Evidence) { e.Targets[1].Journal.Counters.LoadProbes = 24 }),
		Entry("a journal that dropped entries", "dropped", func(e *Evidence) { e.Targets[1].Journal.Dropped = 1 }),
	)

	// Guards against limits that are off by one or applied to the wrong side.
	DescribeTable("allows", func(change func(*Evidence)) {
		e := conformingRun()
		change(e)
		Expect(NewResult(e).Verdict()).To(Succeed())
	},
		Entry("a request in the zone within 3 s after it was taken out", func(e *Evidence) {
			*entries(e, 1) = append(*entries(e, 1), executedEntry("/s/9", 7.999))
		}),
		Entry("as many load probes as the budget and the bursts allow", func(e *Evidence) { e.Targets[1].Journal.Counters.LoadProbes = 23 }),
		Entry("an idempotent request that ran twice", func(e *Evidence) {
			*entries(e, 0) = append(*entries(e, 0), executedEntry("/s/2", 9))
		}),
	)

	// Guards against a run that passes although the scenario did not happen.
	DescribeTable("finds a run inconclusive without", func(text string, remove func(*Evidence)) {
		e := conformingRun()
		remove(e)
		var inconclusive *InconclusiveError
		Expect(errors.As(NewResult(e).Verdict(), &inconclusive)).To(BeTrue())
		Expect(inconclusive.Missing).To(ConsistOf(ContainSubstring(text)))
	},
		Entry("answered requests of each kind", "orders/status", func(e *Evidence) { e.Load.Classes[0].Outcomes = nil }),
		Entry("requests in the zone before it was taken out", "before", func(e *Evidence) { *entries(e, 1) = (*entries(e, 1))[1:2] }),
		Entry("requests in the zone after it was brought back", "after", func(e *Evidence) { *entries(e, 1) = (*entries(e, 1))[:1] }),
	)
})
