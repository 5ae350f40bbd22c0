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
	// Guards against reporting a publication as in force before it is.
	It("reports the accepted version once it is in force on all instances", func() {
		env := newTestEnv(3)
		code, out, stderr := env.runCtl("config", "publish", jsonFile(sampleConfig()))
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(out).To(MatchRegexp(`result +accepted as version 1 \(ctl-[0-9a-f]{24}\)`))
		Expect(out).To(MatchRegexp(`in force everywhere +3 instances`))
		Expect(env.state().Config).To(Equal(sampleConfig()))

		code, result := env.runJSON("config", "publish", jsonFile(sampleConfig()))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("outcome", "unchanged"))
		Expect(env.appendCount()).To(Equal(uint64(1)))
	})

	// Guards against overlooking an instance that still has an old version.
	It("lists the instances that have not confirmed", func() {
		env := newTestEnv(3)
		env.publishFirst()
		env.instances[1].stale.Store(true)
		env.instances[2].notServing.Store(true) // not serving, but with the version
		path := jsonFile(sampleWith(setQueueLimit(20)))
		code, out, stderr := env.runCtl("config", "publish", path, "--deadline", "1500ms")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(MatchRegexp(`(?s)accepted as version 2.*NOT CONFIRMED.*\nentry-2 +az-1 +\S+ +0 +still has version 0\n$`))
		Expect(stderr).To(ContainSubstring("1 of 3 instances have not confirmed"))
		Expect(env.state().Version).To(Equal(uint64(2)))

		code, result := env.runJSON("config", "publish", jsonFile(sampleWith(setQueueLimit(30))), "--wait=false")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("version", 3.0))
		Expect(result).NotTo(HaveKey("in_force"))
	})

	// Guards against an exit code that says "nothing was changed" after an
	// accepted change.
	It("does not exit with code 3 after a change was accepted", func() {
		env := newTestEnv(1)
		env.publishFirst()
		env.instanceAddress = closedAddress()
		code, result := env.runJSON("config", "publish", jsonFile(sampleWith(setQueueLimit(20))), "--deadline", "1s")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("outcome", "accepted"))
		Expect(result).To(HaveKeyWithValue("in_force", false))
		Expect(result["wait_error"]).To(ContainSubstring("refused"))
	})

	// Guards against reporting "in force everywhere" without an instance that is
	// unresponsive or that the other instances do not know. An address that
	// refuses connections has no instance and must not delay the command.
	It("reads the directories of all given instances", func() {
		env := newTestEnv(2)
		unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		DeferCleanup(unresponsive.Close)
		unlisted := newTestEnv(3)
		code, result := env.runJSON("config", "publish", jsonFile(sampleConfig()), "--deadline", "2500ms", "--instance", closedAddress(),
			"--instance", unresponsive.Listener.Addr().String(), "--instance", unlisted.instanceAddress)
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result["instances"]).To(HaveLen(4))
		Expect(result["instances"]).To(ContainElement(And(HaveKeyWithValue("id", "entry-3"), HaveKeyWithValue("confirmed", false))))
		Expect(result["instances"]).To(ContainElement(And(HaveKeyWithValue("id", "unknown"),
			HaveKeyWithValue("address", unresponsive.Listener.Addr().String()))))

		code, out, stderr := env.runCtl("config", "publish", jsonFile(sampleWith(setQueueLimit(20))), "--instance", closedAddress())
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(out).To(MatchRegexp(`in force everywhere +2 instances.*\nnote .*refused`))
	})

	// Guards against one operator overwriting what another has just published.
	It("reports the winning version and the conflicting fields after a lost race", func() {
		env := newTestEnv(1)
		env.publishFirst()
		other := func() {
			env.publishChange("other", func(c *config.Configuration) { setQueueLimit(30)(c); c.Zones[0].OutOfService = true })
		}
		env.beforeAppend.Store(&other)
		mine := sampleWith(setQueueLimit(20), func(c *config.Configuration) { c.Zones[1].OutOfService = true })
		code, out, stderr := env.runCtl("config", "publish", jsonFile(mine))
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("rejected: version 2 (other) won"))
		Expect(out).To(MatchRegexp(`clash +services\[orders\]\.queue_limit: 20 here, 30 there\n`))
		Expect(strings.Count(out, "clash ")).To(Equal(1))
		Expect(env.state().ID).To(Equal("other"))
		Expect(env.appendCount()).To(Equal(uint64(3)))
	})

	// Guards against an edited file that reverts a change made since config show.
	It("uses the version in a file from config show as the base", func() {
		env := newTestEnv(1)
		env.publishFirst()
		_, shown, _ := runCtl("config", "show", "--output", "json", "--log-service", env.logURL)
		path := textFile(strings.Replace(shown, `"queue_limit": 10`, `"queue_limit": 20`, 1))
		env.publishChange("other", func(c *config.Configuration) { c.Zones[0].OutOfService = true })
		code, result := env.runJSON("config", "publish", path)
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("outcome", "rejected"))
		Expect(result["winner"]).To(HaveKeyWithValue("version", 2.0))
		Expect(result).NotTo(HaveKey("clashes"))
		Expect(env.appendCount()).To(Equal(uint64(2)))

		code, result = env.runJSON("config", "publish", path, "--base", "2")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("version", 3.0))
		code, _, _ = env.runCtl("config", "publish", path, "--base", "9")
		Expect(code).To(Equal(ctl.ExitUsage))
	})

	// Guards against treating a lost response as a failure, or appending twice.
	It("resolves a lost response by reading the log", func() {
		env := newTestEnv(1)
		env.publishFirst()
		env.setFaults(logservice.Faults{LoseAnswers: 1})
		code, result := env.runJSON("config", "publish", jsonFile(sampleWith(setQueueLimit(20))))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("version", 2.0))
		Expect(env.appendCount()).To(Equal(uint64(2)))

		env.setFaults(logservice.Faults{LoseRequests: 1})
		code, out, stderr := env.runCtl("config", "publish", jsonFile(sampleWith(setQueueLimit(30))), "--deadline", "1s")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(MatchRegexp(`uncertain: its record is not in the log; the publication is ctl-\w+`))
		Expect(stderr).To(ContainSubstring("uncertain"))
		Expect(env.appendCount()).To(Equal(uint64(2)))
	})

	// Guards against reporting an outage after the append as a rejection.
	It("reports the outcome as uncertain if the log fails after the append", func() {
		env := newTestEnv(1)
		env.publishFirst()
		outage := func() { env.setFaults(logservice.Faults{Outage: logservice.OutageRefuse}) }
		env.afterAppend.Store(&outage)
		code, result := env.runJSON("config", "publish", jsonFile(sampleWith(setQueueLimit(20))), "--deadline", "1s")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("outcome", "uncertain"))
		env.setFaults(logservice.Faults{})
		Expect(env.state().Version).To(Equal(uint64(2)))
	})

	// Guards against a change that is stored although the command failed.
	DescribeTable("stores nothing during an outage", func(outage logservice.Outage) {
		env := newTestEnv(1)
		env.publishFirst()
		before := env.appendCount()
		env.setFaults(logservice.Faults{Outage: outage})
		code, out, stderr := env.runCtl("config", "publish", jsonFile(sampleWith(setQueueLimit(20))), "--deadline", "2s")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(out).To(BeEmpty())
		Expect(stderr).To(ContainSubstring("log service"))
		// The outage begins between the read and the append.
		env.setFaults(logservice.Faults{})
		startOutage := func() { env.setFaults(logservice.Faults{Outage: logservice.OutageUnavailable}) }
		env.beforeAppend.Store(&startOutage)
		code, _, stderr = env.runCtl("config", "publish", jsonFile(sampleWith(setQueueLimit(20))), "--deadline", "2s")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(stderr).To(ContainSubstring("nothing was published"))
		env.setFaults(logservice.Faults{})
		Expect(env.appendCount()).To(Equal(before))
	},
		Entry(nil, logservice.OutageRefuse), Entry(nil, logservice.OutageReset), Entry(nil, logservice.OutageUnavailable))

	// Guards against a questionnaire that brings a zone back into service.
	It("generates from a questionnaire and keeps zones out of service", func() {
		env := newTestEnv(1)
		answers := "../../examples/tsenher-lens-gateway-ulaanbaatar.json"
		code, _, stderr := env.runCtl("config", "publish", "--answers", answers)
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		env.publishChange("other", func(c *config.Configuration) { c.Zones[0].OutOfService = true })
		code, out, _ := runCtl("config", "diff", "--answers", answers, "--log-service", env.logURL)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(Equal("no difference to version 2\n"))
		code, result := env.runJSON("config", "publish", "--answers", answers)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("outcome", "unchanged"))
	})

	// Guards against reporting only the first mistake of a file.
	It("reports all mistakes of a file and sends nothing", func() {
		env := newTestEnv(1)
		bad := sampleWith(setQueueLimit(-1), func(c *config.Configuration) { c.Zones[0].Region = "" })
		code, _, stderr := env.runCtl("config", "publish", jsonFile(bad))
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(stderr).To(And(ContainSubstring("services[0].queue_limit"), ContainSubstring("zones[0].region")))
		Expect(env.log.State().Counters).To(BeZero())
	})
})

var _ = Describe("config", func() {
	// Guards against listing a rejected publication as accepted.
	It("lists publications with their verdicts, and compares files", func() {
		env := newTestEnv(0)
		code, _, stderr := env.runCtl("config", "show")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("no configuration has been accepted yet"))
		env.publishFirst()
		other := func() { env.publishChange("other", setQueueLimit(30)) }
		env.beforeAppend.Store(&other)
		_, _, _ = env.runCtl("config", "publish", jsonFile(sampleWith(setQueueLimit(20))), "--wait=false")

		code, out, _ := env.runCtl("config", "history")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`0 +first +0 +accepted +1 `))
		Expect(out).To(MatchRegexp(`1 +other +1 +accepted +2 +1 +services\[orders\]\.queue_limit: 10 -> 30`))
		Expect(out).To(MatchRegexp(`2 +ctl-\w+ +1 +rejected +2 +1 +it is based on version 1`))
		_, out, _ = env.runCtl("config", "history", "--output", "json", "--limit", "1")
		var list struct{ Publications []map[string]any }
		Expect(json.Unmarshal([]byte(out), &list)).To(Succeed())
		Expect(list.Publications).To(ConsistOf(HaveKeyWithValue("reason", "stale-base")))

		code, out, _ = env.runCtl("config", "diff", jsonFile(sampleConfig()))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`changed +services\[orders\]\.queue_limit +30 +10`))
		code, out, _ = env.runCtl("config", "show")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`version +2\n`))
		Expect(out).To(MatchRegexp(`az-1 +r +in +2 +2 +4\n`))
	})

	// Guards against a wrong verdict on a publication whose predecessors were
	// dropped from the log.
	It("gives no verdict on publications whose history was dropped", func() {
		env := newTestEnv(0)
		var err error
		env.log, err = logservice.Start(logservice.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", MaxRecords: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(env.log.Close)
		env.logURL = env.startProxy()
		env.publishFirst()
		snapshot := env.state()
		Expect(snapshot.Version).To(Equal(uint64(1)))
		_, _, _ = env.runCtl("config", "publish", jsonFile(sampleWith(setQueueLimit(20))), "--wait=false", "--deadline", "1s")
		code, out, _ := env.runCtl("config", "history")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`1 +ctl-\w+ +1 +not-judged`))
		code, _, stderr := env.runCtl("config", "show")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("no checkpoint"))
	})

	DescribeTable("usage", func(args ...string) {
		code, _, stderr := runCtl(args...)
		Expect(code).To(Equal(ctl.ExitUsage), stderr)
	},
		Entry("no subcommand", "config"),
		Entry("unknown subcommand", "config", "publsh"),
		Entry("no file", "config", "publish", "--log-service", "http://127.0.0.1:1", "--wait=false"),
		Entry("no log service", "config", "show"),
		Entry("malformed log service", "config", "show", "--log-service", "x"),
		Entry("zero deadline", "config", "show", "--log-service", "http://127.0.0.1:1", "--deadline", "0s"),
		Entry("negative limit", "config", "history", "--log-service", "http://127.0.0.1:1", "--limit", "-1"),
		Entry("missing file", "config", "diff", "/nonexistent", "--log-service", "http://127.0.0.1:1"),
	)

	It("requires an instance to wait for", func() {
		env := newTestEnv(0)
		code, _, stderr := env.runCtl("config", "publish", jsonFile(sampleConfig()))
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(stderr).To(ContainSubstring("--wait=false"))
	})
})
