package soak

import (
	"os/exec"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = Describe("Checker", func() {
	var c *checker
	var i *instance
	var t *target
	start := time.Now().Add(-time.Minute)
	BeforeEach(func() {
		c = newChecker()
		i = &instance{name: "entry-1", process: &exec.Cmd{}, storePath: &networkPath{}}
		t = &target{id: "t-1", service: "orders", zone: "az-1", startedAt: start, path: &networkPath{}}
	})
	send := func(id string, nonIdempotent bool) *request {
		r := &request{id: id, path: "/get/", content: "c", service: "orders", nonIdempotent: nonIdempotent, instance: i, sentAt: start.Add(10 * time.Second)}
		c.recordSent(r)
		return r
	}
	run := func(id string, after time.Duration) {
		c.recordExecution(&arrival{arrivedAt: start.Add(10*time.Second + after), id: id, target: t, content: "c"})
	}
	arrive := func(id string, after time.Duration) {
		c.recordArrival(&arrival{arrivedAt: start.Add(10*time.Second + after), id: id, target: t})
	}
	rules := func() (all []string) {
		for _, v := range c.violations {
			rule, _, _ := strings.Cut(v, ":")
			all = append(all, rule)
		}
		return all
	}

	// Guards against a rule whose violation the checker misses. compliant must
	// cause no violation, and violating must then cause one of the rule.
	DescribeTable("detects", func(rule string, violating, compliant func()) {
		compliant()
		Expect(rules()).To(BeEmpty())
		violating()
		Expect(rules()).To(ContainElement(rule))
	},
		Entry("a second execution", "TWICE",
			func() { run("b", 0) }, func() { send("a", false); send("b", true); run("a", 0); run("a", 0); run("b", 0) }),
		Entry("an execution after a refusal", "REFUSED",
			func() { run("b", 0) }, func() { c.recordOutcome(send("b", true), &outcome{status: 503}) }),
		Entry("a refusal after an execution", "REFUSED",
			func() { c.recordOutcome(c.requests["b"], &outcome{status: 503}) }, func() { send("b", true); run("b", 0) }),
		Entry("a request that no caller sent", "UNASKED", func() { run("x", 0) }, func() { send("a", false); run("a", 0) }),
		Entry("changed content", "UNASKED", func() { c.requests["a"].content = "other"; run("a", 0) }, func() { send("a", false); run("a", 0) }),
		Entry("a request at a target of another service", "ROUTE", func() { t.service = "archive"; run("a", 0) }, func() { send("a", false); run("a", 0) }),
		Entry("a request to a target that has drained", "DRAIN",
			func() { run("a", drainBound+time.Millisecond) },
			func() { send("a", false); c.drainAckedAt[t] = start.Add(10 * time.Second); run("a", drainBound) }),
		Entry("a request to an evacuated zone", "EVAC",
			func() { run("a", evacuationBound+time.Millisecond) },
			func() {
				send("a", false)
				c.evacuatedAt["az-1"] = start.Add(10 * time.Second)
				run("a", evacuationBound)
			}),
		Entry("a request to a target that said that it leaves", "DRAIN",
			func() { c.requests["a"].sentAt = start.Add(drainBound + time.Millisecond); arrive("a", 0) },
			func() {
				c.recordOutcome(send("b", false), &outcome{status: 200, signature: "t-1.b", body: answerBody("b", "c"), leaving: true})
				c.leavingPassedOn[link{i, "t-1"}] = start
				send("a", false).sentAt = start.Add(drainBound)
				arrive("a", 0)
			}),
		Entry("requests to a target that asked for a pause", "BUDGET",
			func() { arrive("a", 900*time.Millisecond) },
			func() {
				send("a", false)
				c.recordPauseRequest(t, "a", start.Add(10*time.Second), start.Add(11*time.Second))
				for range 5 {
					arrive("a", pauseReaction)
				}
				arrive("a", pauseReaction+time.Millisecond)
				arrive("a", 999*time.Millisecond)
				arrive("a", time.Second)
			}),
		Entry("a request on a removed route", "CONFIG",
			func() {
				c.routeRemovedAt["/get/"] = start.Add(10*time.Second - configBound - time.Millisecond)
				run("a", 0)
			},
			func() {
				send("a", false)
				c.routeRemovedAt["/get/"] = start.Add(10*time.Second - configBound)
				run("a", 0)
			}),
		Entry("too many requests to a cold target", "FAILBACK",
			func() { run("a", time.Millisecond) },
			func() {
				t.startedAt = start.Add(10 * time.Second)
				send("a", false)
				for range int(maxColdPerSecond) {
					run("a", 0)
				}
			}),
		Entry("the answer to another request", "MIXED",
			func() {
				c.recordOutcome(c.requests["a"], &outcome{status: 200, signature: "s", body: answerBody("b", "c")})
			},
			func() {
				c.recordOutcome(send("a", false), &outcome{status: 200, signature: "s", body: answerBody("a", "c")})
			}),
		Entry("status 404 on a fixed route", "DENIED",
			func() { c.recordOutcome(c.requests["a"], &outcome{status: 404}) }, func() { c.recordOutcome(send("a", false), &outcome{status: 502}) }),
		Entry("a request that failed without an answer", "LOST",
			func() {
				c.recordOutcome(c.requests["a"], &outcome{err: &StartError{}, elapsed: time.Second, deadline: 2 * time.Second})
			},
			func() {
				c.recordOutcome(send("a", false), &outcome{err: &StartError{}, elapsed: closeRaceWindow, deadline: time.Second})
			}),
		Entry("an instance that uses too much memory", "MEMORY",
			func() { c.recordUsage(i, maxMemoryMiB+1, 9) }, func() { c.recordUsage(i, maxMemoryMiB, 9) }),
		Entry("a request that goes on crashing targets", "BUDGET",
			func() { c.recordCrash("late", start.Add(10*time.Second)) },
			func() {
				for range 5 {
					send("early", false).sentAt = start
					c.recordCrash("early", start)
				}
				send("late", false)
				for range maxLateCrashes {
					c.recordCrash("late", start.Add(10*time.Second))
				}
			}),
		Entry("an answer after the deadline", "LATE",
			func() {
				c.recordOutcome(c.requests["a"], &outcome{status: 502, elapsed: 3 * time.Second, deadline: time.Second})
			},
			func() {
				c.recordOutcome(send("a", false), &outcome{status: 502, elapsed: 2 * time.Second, deadline: time.Second})
			}),
	)

	// Guards against false violations by an instance that has forgotten what a target
	// said, because it was restarted or frozen.
	It("excuses restarts and freezes since a target said that it leaves or asked for a pause", func() {
		send("a", false)
		c.leavingPassedOn[link{i, "t-1"}] = start
		c.recordPauseRequest(t, "a", start, start.Add(time.Minute))
		for _, disturb := range []func(){
			func() { i.lastTransitionAt = start.Add(time.Second) },
			func() { i.lastTransitionAt, i.faultUntil = time.Time{}, start.Add(time.Second) },
		} {
			disturb()
			for range 2 * maxPausedArrivals {
				arrive("a", 0)
			}
			Expect(rules()).To(BeEmpty())
		}
		i.faultUntil = time.Time{}
		arrive("a", 0)
		Expect(rules()).To(ConsistOf("DRAIN", "BUDGET"))
	})

	// Guards against false violations that an injected fault on the instance or
	// the store explains.
	It("applies no time bounds shortly after faults of the instance or of the store", func() {
		send("a", false)
		c.drainAckedAt[t] = start
		i.faultUntil = start.Add(14 * time.Second)
		run("a", 5*time.Second)
		i.faultUntil = time.Time{}
		c.storeFaultUntil = start.Add(14 * time.Second)
		run("a", 5*time.Second)
		Expect(rules()).To(BeEmpty())
		run("a", 8*time.Second)
		Expect(rules()).To(Equal([]string{"DRAIN"}))
	})
})
