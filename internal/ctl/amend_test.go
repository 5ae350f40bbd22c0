package ctl_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/ctl"
	"fulmarhoist.example/internal/standin/logservice"
)

// setLoad makes each instance report the given load of the service orders, and
// the metrics of another service and of another name, which must be ignored.
func (env *testEnv) setLoad(inFlight, waiting int) {
	for _, i := range env.instances {
		text := fmt.Sprintf("fulmarhoist_in_flight{service=\"clinic\"} 70\nfulmarhoist_in_flight{service=\"orders\"} %d\n"+
			"fulmarhoist_waiting{service=\"orders\"} %d\nfulmarhoist_waiting_total{service=\"orders\"} 500\n", inFlight, waiting)
		i.metrics.Store(&text)
	}
}

// outOfService returns the zones and targets that are out of service.
func (env *testEnv) outOfService() (names []string) {
	c := env.state().Config
	for _, z := range c.Zones {
		if z.OutOfService {
			names = append(names, z.Name)
		}
	}
	for _, t := range c.Services[0].Targets {
		if t.OutOfService {
			names = append(names, t.Name)
		}
	}
	return names
}

func setZoneOutOfService(n int) func(*config.Configuration) {
	return func(c *config.Configuration) { c.Zones[n].OutOfService = true }
}

var _ = Describe("zone and target", func() {
	// Guards against showing a zone as out of service while instances still use
	// it.
	It("are taken out of service and brought back", func() {
		env := newTestEnv(2)
		env.publishFirst()
		env.setLoad(3, 1) // 8 requests, as many as the 8 slots that remain
		code, out, stderr := env.runCtl("zone", "out", "az-2")
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(out).To(MatchRegexp(`(?s)8 requests \(6 in flight, 2 waiting\), 8 of 12 slots remain\n.*accepted as version 2.*` +
			`zones\[az-2\]\.out: false -> true.*in force everywhere +2 instances`))
		Expect(env.outOfService()).To(ConsistOf("az-2"))
		_, out, _ = runCtl("zone", "list", "--log-service", env.logURL)
		Expect(out).To(MatchRegexp(`az-2 +r +out +2 +0 +0\n`))
		_, out, _ = runCtl("target", "list", "--log-service", env.logURL, "--service", "orders")
		Expect(out).To(MatchRegexp(`orders +orders-3 +az-2 +127\.0\.0\.1:9003 +2 +zone-out\n`))

		code, result := env.runJSON("zone", "out", "az-2")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("outcome", "unchanged"))
		code, _, stderr = env.runCtl("zone", "in", "az-2")
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(env.outOfService()).To(BeEmpty())

		env.setLoad(0, 0)
		code, _, stderr = env.runCtl("target", "out", "orders-1", "--service", "orders")
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(env.outOfService()).To(ConsistOf("orders-1"))
		code, _, stderr = env.runCtl("target", "in", "orders-1")
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(env.outOfService()).To(BeEmpty())
	})

	// Guards against overloading the remaining targets.
	It("are not taken out if the remaining targets cannot carry the current load", func() {
		env := newTestEnv(2)
		env.publishFirst()
		env.setLoad(4, 1)
		code, out, stderr := env.runCtl("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("refused: the rest of service orders has 8 slots for 10 requests, 2 too few"))
		Expect(out).To(ContainSubstring("2 slots are missing"))
		code, result := env.runJSON("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("outcome", "refused"))
		Expect(result["load"]).To(ConsistOf(HaveKeyWithValue("missing_slots", 2.0)))
		Expect(env.appendCount()).To(Equal(uint64(1)))

		code, _, stderr = env.runCtl("target", "out", "orders-1")
		Expect(code).To(Equal(ctl.ExitOK), stderr) // 10 slots for 10 requests
		code, _, stderr = env.runCtl("target", "out", "orders-2")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("8 slots for 10 requests"))
		code, _, stderr = env.runCtl("target", "out", "orders-2", "--force")
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(env.outOfService()).To(ConsistOf("orders-1", "orders-2"))
	})

	// Guards against taking the last zone out of service while the load is
	// unknown.
	It("name instances with unknown load, and never leave a service without targets", func() {
		env := newTestEnv(2)
		env.publishFirst()
		env.setLoad(2, 0)
		env.instances[1].metrics.Store(nil)
		code, out, _ := env.runCtl("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("the load at entry-2 is unknown"))
		env.instances[0].metrics.Store(nil)
		code, _, _ = env.runCtl("zone", "out", "az-2")
		Expect(code).To(Equal(ctl.ExitOK))
		code, _, stderr := env.runCtl("zone", "out", "az-3")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("no target of service orders would be left"))
		Expect(env.outOfService()).To(ConsistOf("az-1", "az-2"))
	})

	// Guards against a change that is lost to, or reverts, a concurrent one.
	It("are retried after another operator's unrelated change", func() {
		env := newTestEnv(1)
		env.publishFirst()
		other := func() { env.publishChange("other", setQueueLimit(30)) }
		env.beforeAppend.Store(&other)
		code, out, stderr := env.runCtl("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		Expect(out).To(ContainSubstring("accepted as version 3"))
		Expect(out).To(ContainSubstring("made again on top of it"))
		Expect(env.outOfService()).To(ConsistOf("az-1"))
		Expect(env.state().Config.Services[0].QueueLimit).To(Equal(30))
	})

	// Guards against two zones taken out concurrently so that the third is
	// overloaded.
	It("have the capacity checked again before the retry", func() {
		env := newTestEnv(1)
		env.publishFirst()
		env.setLoad(6, 0)
		other := func() { env.publishChange("other", setZoneOutOfService(1)) }
		env.beforeAppend.Store(&other)
		code, _, stderr := env.runCtl("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("4 slots for 6 requests"))
		Expect(env.outOfService()).To(ConsistOf("az-2"))
	})

	// Guards against overriding another operator's change to the same target.
	It("are not retried after a change to the same target", func() {
		env := newTestEnv(1)
		env.publishFirst()
		other := func() {
			env.publishChange("other", func(c *config.Configuration) { c.Services[0].Targets = c.Services[0].Targets[1:] })
		}
		env.beforeAppend.Store(&other)
		code, out, stderr := env.runCtl("target", "out", "orders-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("version 2 (other) won"))
		Expect(out).To(MatchRegexp(`clash +services\[orders\]\.targets\[orders-1\]\.out: true here, removed there`))
	})

	// Guards against endless retries.
	It("are retried only once", func() {
		env := newTestEnv(1)
		env.publishFirst()
		second := func() { env.publishChange("second", setQueueLimit(31)) }
		first := func() { env.publishChange("other", setQueueLimit(30)); env.beforeAppend.Store(&second) }
		env.beforeAppend.Store(&first)
		code, result := env.runJSON("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("attempts", 2.0))
		Expect(result["winner"]).To(HaveKeyWithValue("id", "second"))
		Expect(env.outOfService()).To(BeEmpty())
	})

	// Guards against a partial change during an outage.
	It("are not changed while the log service or all instances are unreachable", func() {
		env := newTestEnv(1)
		env.publishFirst()
		env.setFaults(logservice.Faults{Outage: logservice.OutageUnavailable})
		code, _, stderr := env.runCtl("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitUnreachable), stderr)
		env.setFaults(logservice.Faults{})
		env.instanceAddress = closedAddress()
		code, _, stderr = env.runCtl("zone", "out", "az-1", "--wait=false")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(stderr).To(ContainSubstring("--force"))
		Expect(env.appendCount()).To(Equal(uint64(1)))
	})

	DescribeTable("usage", func(args ...string) {
		env := newTestEnv(1)
		env.publishFirst()
		code, _, stderr := env.runCtl(args...)
		Expect(code).To(Equal(ctl.ExitUsage), stderr)
		Expect(env.appendCount()).To(Equal(uint64(1)))
	},
		Entry("unknown zone", "zone", "out", "az-9"), Entry("no zone", "zone", "out"),
		Entry("unknown target", "target", "in", "orders-9"),
		Entry("unknown service", "target", "in", "orders-1", "--service", "x"),
		Entry("--force with a command that checks nothing", "zone", "in", "az-1", "--force"),
	)

	It("require an instance to measure the load", func() {
		env := newTestEnv(0)
		env.publishFirst()
		code, _, stderr := env.runCtl("zone", "out", "az-1", "--wait=false")
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(stderr).To(ContainSubstring("--force"))
	})
})
