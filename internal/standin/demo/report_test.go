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

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func ran(path string, arrived float64) targetserver.Entry {
	return targetserver.Entry{
		Path: path, Arrived: at(arrived), Started: at(arrived), Ended: at(arrived + 0.01), Outcome: targetserver.OutcomeAnswered,
	}
}

// goodRun has two targets; the zone az-2 is out from second 5 to second 10.
func goodRun() *Evidence {
	group := func(name string) loadgen.Group {
		return loadgen.Group{Name: name, Counts: loadgen.Counts{Outcomes: map[string]int{traffic.OutcomeAnswered: 2}}}
	}
	return &Evidence{
		Kinds: []traffic.Kind{{Service: "orders", Class: "status", Idempotent: true}, {Service: "orders", Class: "reorder"}},
		Works: []traffic.Work{
			{Path: "/s/1", Kind: 0, Outcome: traffic.OutcomeAnswered},
			{Path: "/s/2", Kind: 0, Outcome: traffic.OutcomeAnswered},
			{Path: "/r/1", Kind: 1, Outcome: traffic.OutcomeAnswered},
			{Path: "/r/2", Kind: 1, Outcome: traffic.OutcomeAnswered},
			{Path: "/r/3", Kind: 1, Outcome: traffic.OutcomeNotRun},
		},
		Load: &loadgen.Report{Classes: []loadgen.Group{group("orders/status"), group("orders/reorder")}},
		Targets: traffic.Records{
			{Name: "orders-1", Zone: "az-1", Journal: targetserver.Journal{
				Entries: []targetserver.Entry{ran("/s/1", 9), ran("/r/1", 9)},
			}},
			{Name: "orders-2", Zone: "az-2", Journal: targetserver.Journal{
				Entries: []targetserver.Entry{
					ran("/s/2", 4), ran("/r/2", 11),
					{Path: "/r/3", Arrived: at(4), Outcome: targetserver.OutcomeShed},
				},
			}},
		},
		Zone:   traffic.Outage{Zone: "az-2", Accepted: at(5), Back: at(10)},
		Probes: Probes{Before: make(traffic.Records, 2), Window: 10 * time.Second, Instances: 3, Budget: 2},
	}
}

func entries(e *Evidence, target int) *[]targetserver.Entry {
	return &e.Targets[target].Journal.Entries
}

var _ = Describe("Report", func() {
	// Guards against a report that blames a good run.
	It("accepts a run that kept all promises", func() {
		report := NewResult(goodRun())
		Expect(report.Verdict()).To(Succeed())
		var out bytes.Buffer
		Expect(report.Print(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("orders/reorder"))
		Expect(out.String()).NotTo(ContainSubstring("BROKEN"))
	})

	// Guards against a promise whose break is not counted.
	DescribeTable("finds a broken promise", func(text string, spoil func(*Evidence)) {
		e := goodRun()
		spoil(e)
		report := NewResult(e)
		var broken *BrokenError
		Expect(errors.As(report.Verdict(), &broken)).To(BeTrue())
		Expect(broken.Promises).To(HaveLen(1))
		Expect(broken.Promises[0].Text).To(ContainSubstring(text))
		var out bytes.Buffer
		Expect(report.Print(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("BROKEN"))
	},
		Entry("the same work on two targets", "more than once", func(e *Evidence) {
			*entries(e, 0) = append(*entries(e, 0), ran("/r/2", 12))
		}),
		Entry("a refused work that ran", "refused as not run", func(e *Evidence) {
			*entries(e, 0) = append(*entries(e, 0), ran("/r/3", 9))
		}),
		Entry("an answer of another request", "another request", func(e *Evidence) { e.Works[0].Foreign = true }),
		Entry("work in the zone after 3 s", "reached az-2", func(e *Evidence) {
			*entries(e, 1) = append(*entries(e, 1), ran("/s/9", 8.001))
		}),
		Entry("a refused request in the zone after 3 s", "reached az-2", func(e *Evidence) {
			*entries(e, 1) = append(*entries(e, 1), targetserver.Entry{Path: "/s/9", Arrived: at(9), Outcome: targetserver.OutcomeShed})
		}),
		Entry("work that was canceled while it ran", "cut at a target", func(e *Evidence) {
			(*entries(e, 0))[0].Outcome = targetserver.OutcomeCanceled
		}),
		Entry("work that never ended", "cut at a target", func(e *Evidence) { (*entries(e, 0))[0].Outcome = "" }),
		Entry("an answer that broke off", "cut at a caller", func(e *Evidence) { e.Works[0].Cut = true }),
		Entry("a cold overload", "overloads", func(e *Evidence) { e.Targets[0].Journal.Counters.OverloadsWhileCold = 1 }),
		Entry("too many probes", "load probes", func(e *Evidence) { e.Targets[1].Journal.Counters.LoadProbes = 24 }),
		Entry("a journal that is not complete", "dropped", func(e *Evidence) { e.Targets[1].Journal.Dropped = 1 }),
	)

	// Guards against limits that are off by one or by the wrong side.
	DescribeTable("allows", func(allow func(*Evidence)) {
		e := goodRun()
		allow(e)
		Expect(NewResult(e).Verdict()).To(Succeed())
	},
		Entry("work in the zone within 3 s", func(e *Evidence) {
			*entries(e, 1) = append(*entries(e, 1), ran("/s/9", 7.999))
		}),
		Entry("probes within the budget and the bursts", func(e *Evidence) { e.Targets[1].Journal.Counters.LoadProbes = 23 }),
		Entry("idempotent work that ran again", func(e *Evidence) {
			*entries(e, 0) = append(*entries(e, 0), ran("/s/2", 9))
		}),
	)

	// Guards against a run that passes because nothing happened in it.
	DescribeTable("rejects a run without", func(text string, remove func(*Evidence)) {
		e := goodRun()
		remove(e)
		var unproved *UnprovedError
		Expect(errors.As(NewResult(e).Verdict(), &unproved)).To(BeTrue())
		Expect(unproved.Missing).To(ConsistOf(ContainSubstring(text)))
	},
		Entry("answers", "orders/status", func(e *Evidence) { e.Load.Classes[0].Outcomes = nil }),
		Entry("work in the zone before", "before", func(e *Evidence) { *entries(e, 1) = (*entries(e, 1))[1:2] }),
		Entry("work in the zone after", "after", func(e *Evidence) { *entries(e, 1) = (*entries(e, 1))[:1] }),
	)
})
