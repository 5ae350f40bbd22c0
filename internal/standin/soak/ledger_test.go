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

var _ = Describe("Ledger", func() {
	var l *ledger
	var i *instance
	var t *target
	began := time.Now().Add(-time.Minute)
	BeforeEach(func() {
		l = newLedger()
		i = &instance{name: "entry-1", process: &exec.Cmd{}, store: &faultyRoute{}}
		t = &target{id: "t-1", service: "orders", zone: "az-1", born: began}
	})
	send := func(id string, once bool) *request {
		r := &request{id: id, path: "/get/", content: "c", service: "orders", once: once, instance: i, sent: began.Add(10 * time.Second)}
		l.sends(r)
		return r
	}
	run := func(id string, after time.Duration) {
		l.ran(&arrival{at: began.Add(10*time.Second + after), id: id, target: t, content: "c"})
	}
	rules := func() (all []string) {
		for _, v := range l.violations {
			rule, _, _ := strings.Cut(v, ":")
			all = append(all, rule)
		}
		return all
	}

	// Each entry guards against a rule that the soak would not notice to be broken.
	DescribeTable("notices", func(rule string, broken, kept func()) {
		kept()
		Expect(rules()).To(BeEmpty())
		broken()
		Expect(rules()).To(ContainElement(rule))
	},
		Entry("a second run", "TWICE",
			func() { run("b", 0) }, func() { send("a", false); send("b", true); run("a", 0); run("a", 0); run("b", 0) }),
		Entry("a run after a refusal", "REFUSED",
			func() { run("b", 0) }, func() { l.ended(send("b", true), &outcome{status: 503}) }),
		Entry("a refusal after a run", "REFUSED",
			func() { l.ended(l.requests["b"], &outcome{status: 503}) }, func() { send("b", true); run("b", 0) }),
		Entry("a request that nobody sent", "UNASKED", func() { run("x", 0) }, func() { send("a", false); run("a", 0) }),
		Entry("changed content", "UNASKED", func() { l.requests["a"].content = "other"; run("a", 0) }, func() { send("a", false); run("a", 0) }),
		Entry("another service", "ROUTE", func() { t.service = "archive"; run("a", 0) }, func() { send("a", false); run("a", 0) }),
		Entry("a target that left", "DRAIN",
			func() { run("a", drainBound+time.Millisecond) },
			func() { send("a", false); l.leftAt[t] = began.Add(10 * time.Second); run("a", drainBound) }),
		Entry("an evacuated zone", "EVAC",
			func() { run("a", evacuateBound+time.Millisecond) },
			func() { send("a", false); l.evacuated["az-1"] = began.Add(10 * time.Second); run("a", evacuateBound) }),
		Entry("a removed route", "CONFIG",
			func() { l.removed["/get/"] = began.Add(10*time.Second - configBound - time.Millisecond); run("a", 0) },
			func() { send("a", false); l.removed["/get/"] = began.Add(10*time.Second - configBound); run("a", 0) }),
		Entry("a cold target with too much work", "FAILBACK",
			func() { run("a", time.Millisecond) },
			func() {
				t.born = began.Add(10 * time.Second)
				send("a", false)
				for range int(coldPerSecond) {
					run("a", 0)
				}
			}),
		Entry("an answer of another request", "MIXED",
			func() { l.ended(l.requests["a"], &outcome{status: 200, signature: "s", body: answerTo("b", "c")}) },
			func() { l.ended(send("a", false), &outcome{status: 200, signature: "s", body: answerTo("a", "c")}) }),
		Entry("a refusal of a route that is there", "DENIED",
			func() { l.ended(l.requests["a"], &outcome{status: 404}) }, func() { l.ended(send("a", false), &outcome{status: 502}) }),
		Entry("a cut request", "LOST",
			func() {
				l.ended(l.requests["a"], &outcome{err: &StartError{}, took: time.Second, wanted: 2 * time.Second})
			},
			func() { l.ended(send("a", false), &outcome{err: &StartError{}, took: lossSlack, wanted: time.Second}) }),
		Entry("an answer that does not come", "LATE",
			func() { l.ended(l.requests["a"], &outcome{status: 502, took: 3 * time.Second, wanted: time.Second}) },
			func() { l.ended(send("a", false), &outcome{status: 502, took: 2 * time.Second, wanted: time.Second}) }),
	)

	// Guards against findings that are effects of a fault on the instance itself.
	It("excuses an instance that was disturbed, and a time in which the store was", func() {
		send("a", false)
		l.leftAt[t] = began
		i.disturbedUntil = began.Add(14 * time.Second)
		run("a", 5*time.Second)
		i.disturbedUntil = time.Time{}
		l.storeDisturbedUntil = began.Add(14 * time.Second)
		run("a", 5*time.Second)
		Expect(rules()).To(BeEmpty())
		run("a", 8*time.Second)
		Expect(rules()).To(Equal([]string{"DRAIN"}))
	})
})
