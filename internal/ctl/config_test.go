package ctl_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/ctl"
	"fulmarhoist.example/internal/standin/logservice"
)

var _ = Describe("config publish", func() {
	// Guards against a publication that is reported before it is in force.
	It("reports the accepted version and that it is in force everywhere", func() {
		w := newWorld(3)
		code, out, problems := w.run("config", "publish", file(sample()))
		Expect(code).To(Equal(ctl.ExitOK), problems)
		Expect(out).To(MatchRegexp(`result +accepted as version 1 \(ctl-[0-9a-f]{24}\)`))
		Expect(out).To(MatchRegexp(`in force everywhere +3 instances`))
		Expect(w.state().Config).To(Equal(sample()))

		code, result := w.result("config", "publish", file(sample()))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("outcome", "unchanged"))
		Expect(w.appends()).To(Equal(uint64(1)))
	})

	// Guards against an instance with an old version that goes unnoticed.
	It("lists the instances that have not confirmed", func() {
		w := newWorld(3)
		w.begin()
		w.instances[1].deaf.Store(true)
		w.instances[2].down.Store(true) // not serving, but with the version
		path := file(with(queue(20)))
		code, out, problems := w.run("config", "publish", path, "--deadline", "1500ms")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(MatchRegexp(`(?s)accepted as version 2.*NOT CONFIRMED.*\nentry-2 +az-1 +\S+ +0 +still has version 0\n$`))
		Expect(problems).To(ContainSubstring("1 of 3 instances have not confirmed"))
		Expect(w.state().Version).To(Equal(uint64(2)))

		code, result := w.result("config", "publish", file(with(queue(30))), "--wait=false")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("version", 3.0))
		Expect(result).NotTo(HaveKey("in_force"))
	})

	// Guards against an accepted change that looks like "nothing was changed".
	It("does not give exit code 3 once a change was accepted", func() {
		w := newWorld(1)
		w.begin()
		w.directory = closedAddress()
		code, result := w.result("config", "publish", file(with(queue(20))), "--deadline", "1s")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("outcome", "accepted"))
		Expect(result).To(HaveKeyWithValue("in_force", false))
		Expect(result["wait_error"]).To(ContainSubstring("refused"))
	})

	// Guards against "everywhere" without an instance that the others do not
	// know, or that is frozen, while an address without an instance is no reason
	// to wait.
	It("asks the directories of all given instances", func() {
		w := newWorld(2)
		frozen := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		DeferCleanup(frozen.Close)
		apart := newWorld(3)
		code, result := w.result("config", "publish", file(sample()), "--deadline", "2500ms", "--instance", closedAddress(),
			"--instance", frozen.Listener.Addr().String(), "--instance", apart.directory)
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result["instances"]).To(HaveLen(4))
		Expect(result["instances"]).To(ContainElement(And(HaveKeyWithValue("id", "entry-3"), HaveKeyWithValue("confirmed", false))))
		Expect(result["instances"]).To(ContainElement(And(HaveKeyWithValue("id", "unknown"),
			HaveKeyWithValue("address", frozen.Listener.Addr().String()))))

		code, out, problems := w.run("config", "publish", file(with(queue(20))), "--instance", closedAddress())
		Expect(code).To(Equal(ctl.ExitOK), problems)
		Expect(out).To(MatchRegexp(`in force everywhere +2 instances.*\nnote .*refused`))
	})

	// Guards against one operator who overwrites what another just published.
	It("tells the loser of a race which version won and which fields clash", func() {
		w := newWorld(1)
		w.begin()
		other := func() {
			w.amend("other", func(c *config.Configuration) { queue(30)(c); c.Zones[0].OutOfService = true })
		}
		w.beforeAppend.Store(&other)
		mine := with(queue(20), func(c *config.Configuration) { c.Zones[1].OutOfService = true })
		code, out, problems := w.run("config", "publish", file(mine))
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("rejected: version 2 (other) won"))
		Expect(out).To(MatchRegexp(`clash +services\[orders\]\.queue_limit: 20 here, 30 there\n`))
		Expect(strings.Count(out, "clash ")).To(Equal(1))
		Expect(w.state().ID).To(Equal("other"))
		Expect(w.appends()).To(Equal(uint64(3)))
	})

	// Guards against an edited file that undoes a change made since it was shown.
	It("bases an edited file from config show on the version shown", func() {
		w := newWorld(1)
		w.begin()
		_, shown, _ := tool("config", "show", "--output", "json", "--log-service", w.front)
		path := textFile(strings.Replace(shown, `"queue_limit": 10`, `"queue_limit": 20`, 1))
		w.amend("other", func(c *config.Configuration) { c.Zones[0].OutOfService = true })
		code, result := w.result("config", "publish", path)
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("outcome", "rejected"))
		Expect(result["winner"]).To(HaveKeyWithValue("version", 2.0))
		Expect(result).NotTo(HaveKey("clashes"))
		Expect(w.appends()).To(Equal(uint64(2)))

		code, result = w.result("config", "publish", path, "--base", "2")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("version", 3.0))
		code, _, _ = w.run("config", "publish", path, "--base", "9")
		Expect(code).To(Equal(ctl.ExitUsage))
	})

	// Guards against a lost answer that is taken for a failure or sent twice.
	It("settles a lost answer by reading back", func() {
		w := newWorld(1)
		w.begin()
		w.faults(logservice.Faults{LoseAnswers: 1})
		code, result := w.result("config", "publish", file(with(queue(20))))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("version", 2.0))
		Expect(w.appends()).To(Equal(uint64(2)))

		w.faults(logservice.Faults{LoseRequests: 1})
		code, out, problems := w.run("config", "publish", file(with(queue(30))), "--deadline", "1s")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(MatchRegexp(`uncertain: its record is not in the log; the publication is ctl-\w+`))
		Expect(problems).To(ContainSubstring("uncertain"))
		Expect(w.appends()).To(Equal(uint64(2)))
	})

	// Guards against an outage after the append that is reported as a refusal.
	It("says that it is uncertain when the log goes down after the append", func() {
		w := newWorld(1)
		w.begin()
		outage := func() { w.faults(logservice.Faults{Outage: logservice.OutageRefuse}) }
		w.afterAppend.Store(&outage)
		code, result := w.result("config", "publish", file(with(queue(20))), "--deadline", "1s")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("outcome", "uncertain"))
		w.faults(logservice.Faults{})
		Expect(w.state().Version).To(Equal(uint64(2)))
	})

	// Guards against a change that is half accepted during an outage.
	DescribeTable("stores nothing during an outage", func(outage logservice.Outage) {
		w := newWorld(1)
		w.begin()
		before := w.appends()
		w.faults(logservice.Faults{Outage: outage})
		code, out, problems := w.run("config", "publish", file(with(queue(20))), "--deadline", "2s")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(out).To(BeEmpty())
		Expect(problems).To(ContainSubstring("log service"))
		// The outage begins between the read and the append.
		w.faults(logservice.Faults{})
		begin := func() { w.faults(logservice.Faults{Outage: logservice.OutageUnavailable}) }
		w.beforeAppend.Store(&begin)
		code, _, problems = w.run("config", "publish", file(with(queue(20))), "--deadline", "2s")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(problems).To(ContainSubstring("nothing was published"))
		w.faults(logservice.Faults{})
		Expect(w.appends()).To(Equal(before))
	},
		Entry(nil, logservice.OutageRefuse), Entry(nil, logservice.OutageReset), Entry(nil, logservice.OutageUnavailable))

	// Guards against answers that put a zone back in service.
	It("generates from answers and keeps what is out of service", func() {
		w := newWorld(1)
		answers := "../../examples/tsenher-lens-gateway-ulaanbaatar.json"
		code, _, problems := w.run("config", "publish", "--answers", answers)
		Expect(code).To(Equal(ctl.ExitOK), problems)
		w.amend("other", func(c *config.Configuration) { c.Zones[0].OutOfService = true })
		code, out, _ := tool("config", "diff", "--answers", answers, "--log-service", w.front)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(Equal("no difference to version 2\n"))
		code, result := w.result("config", "publish", "--answers", answers)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("outcome", "unchanged"))
	})

	// Guards against a file whose mistakes come to light one by one.
	It("reports all mistakes of a file and sends nothing", func() {
		w := newWorld(1)
		bad := with(queue(-1), func(c *config.Configuration) { c.Zones[0].Region = "" })
		code, _, problems := w.run("config", "publish", file(bad))
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(problems).To(And(ContainSubstring("services[0].queue_limit"), ContainSubstring("zones[0].region")))
		Expect(w.log.State().Counters).To(BeZero())
	})
})

var _ = Describe("config", func() {
	// Guards against a rejected publication that the list shows as accepted.
	It("lists publications with their verdicts, and compares files", func() {
		w := newWorld(0)
		code, _, problems := w.run("config", "show")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("no configuration has been accepted yet"))
		w.begin()
		other := func() { w.amend("other", queue(30)) }
		w.beforeAppend.Store(&other)
		_, _, _ = w.run("config", "publish", file(with(queue(20))), "--wait=false")

		code, out, _ := w.run("config", "history")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`0 +first +0 +accepted +1 `))
		Expect(out).To(MatchRegexp(`1 +other +1 +accepted +2 +1 +services\[orders\]\.queue_limit: 10 -> 30`))
		Expect(out).To(MatchRegexp(`2 +ctl-\w+ +1 +rejected +2 +1 +it is based on version 1`))
		_, out, _ = w.run("config", "history", "--output", "json", "--limit", "1")
		var list struct{ Publications []map[string]any }
		Expect(json.Unmarshal([]byte(out), &list)).To(Succeed())
		Expect(list.Publications).To(ConsistOf(HaveKeyWithValue("reason", "stale-base")))

		code, out, _ = w.run("config", "diff", file(sample()))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`changed +services\[orders\]\.queue_limit +30 +10`))
		code, out, _ = w.run("config", "show")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`version +2\n`))
		Expect(out).To(MatchRegexp(`az-1 +r +in +2 +2 +4\n`))
	})

	// Guards against a verdict that is made up for records that were dropped.
	It("does not judge publications whose history was dropped", func() {
		w := newWorld(0)
		var err error
		w.log, err = logservice.Start(logservice.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", MaxRecords: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(w.log.Close)
		w.front = w.proxy()
		w.begin()
		snapshot := w.state()
		Expect(snapshot.Version).To(Equal(uint64(1)))
		_, _, _ = w.run("config", "publish", file(with(queue(20))), "--wait=false", "--deadline", "1s")
		code, out, _ := w.run("config", "history")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`1 +ctl-\w+ +1 +not-judged`))
		code, _, problems := w.run("config", "show")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("no checkpoint"))
	})

	DescribeTable("usage", func(arguments ...string) {
		code, _, problems := tool(arguments...)
		Expect(code).To(Equal(ctl.ExitUsage), problems)
	},
		Entry("no subcommand", "config"),
		Entry("unknown subcommand", "config", "publsh"),
		Entry("no file", "config", "publish", "--log-service", "http://127.0.0.1:1", "--wait=false"),
		Entry("no log service", "config", "show"),
		Entry("malformed log service", "config", "show", "--log-service", "x"),
		Entry("no deadline", "config", "show", "--log-service", "http://127.0.0.1:1", "--deadline", "0s"),
		Entry("negative limit", "config", "history", "--log-service", "http://127.0.0.1:1", "--limit", "-1"),
		Entry("missing file", "config", "diff", "/nonexistent", "--log-service", "http://127.0.0.1:1"),
	)

	It("needs an instance to wait", func() {
		w := newWorld(0)
		code, _, problems := w.run("config", "publish", file(sample()))
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(problems).To(ContainSubstring("--wait=false"))
	})
})
