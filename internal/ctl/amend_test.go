package ctl_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/ctl"
	"fulmarhoist.example/internal/standin/logservice"
)

// carrying lets each instance report its load of service orders.
func (w *world) carrying(inFlight, waiting int) {
	for _, i := range w.instances {
		text := fmt.Sprintf("fulmarhoist_in_flight{service=\"clinic\"} 70\nfulmarhoist_in_flight{service=\"orders\"} %d\n"+
			"fulmarhoist_waiting{service=\"orders\"} %d\nfulmarhoist_waiting_total{service=\"orders\"} 500\n", inFlight, waiting)
		i.metrics.Store(&text)
	}
}

func (w *world) out() (names []string) {
	c := w.state().Config
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

func zoneOut(n int) func(*config.Configuration) {
	return func(c *config.Configuration) { c.Zones[n].OutOfService = true }
}

var _ = Describe("zone and target", func() {
	// Guards against a zone that is shown as out while instances still use it.
	It("go out and come back", func() {
		w := newWorld(2)
		w.begin()
		w.carrying(3, 1) // 8 requests, as many as the 8 slots that remain
		code, out, problems := w.run("zone", "out", "az-2")
		Expect(code).To(Equal(ctl.ExitOK), problems)
		Expect(out).To(MatchRegexp(`(?s)8 requests \(6 in flight, 2 waiting\), 8 of 12 slots remain\n.*accepted as version 2.*` +
			`zones\[az-2\]\.out: false -> true.*in force everywhere +2 instances`))
		Expect(w.out()).To(ConsistOf("az-2"))
		_, out, _ = tool("zone", "list", "--log-service", w.front)
		Expect(out).To(MatchRegexp(`az-2 +r +out +2 +0 +0\n`))
		_, out, _ = tool("target", "list", "--log-service", w.front, "--service", "orders")
		Expect(out).To(MatchRegexp(`orders +orders-3 +az-2 +127\.0\.0\.1:9003 +2 +zone-out\n`))

		code, result := w.result("zone", "out", "az-2")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(result).To(HaveKeyWithValue("outcome", "unchanged"))
		code, _, problems = w.run("zone", "in", "az-2")
		Expect(code).To(Equal(ctl.ExitOK), problems)
		Expect(w.out()).To(BeEmpty())

		w.carrying(0, 0)
		code, _, problems = w.run("target", "out", "orders-1", "--service", "orders")
		Expect(code).To(Equal(ctl.ExitOK), problems)
		Expect(w.out()).To(ConsistOf("orders-1"))
		code, _, problems = w.run("target", "in", "orders-1")
		Expect(code).To(Equal(ctl.ExitOK), problems)
		Expect(w.out()).To(BeEmpty())
	})

	// Guards against an operator who overloads the rest.
	It("are refused if the rest cannot bear today's load", func() {
		w := newWorld(2)
		w.begin()
		w.carrying(4, 1)
		code, out, problems := w.run("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("refused: the rest of service orders has 8 slots for 10 requests, 2 too few"))
		Expect(out).To(ContainSubstring("2 slots are missing"))
		code, result := w.result("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("outcome", "refused"))
		Expect(result["load"]).To(ConsistOf(HaveKeyWithValue("missing_slots", 2.0)))
		Expect(w.appends()).To(Equal(uint64(1)))

		code, _, problems = w.run("target", "out", "orders-1")
		Expect(code).To(Equal(ctl.ExitOK), problems) // 10 slots for 10 requests
		code, _, problems = w.run("target", "out", "orders-2")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("8 slots for 10 requests"))
		code, _, problems = w.run("target", "out", "orders-2", "--force")
		Expect(code).To(Equal(ctl.ExitOK), problems)
		Expect(w.out()).To(ConsistOf("orders-1", "orders-2"))
	})

	// Guards against the last zone going out while the load is unknown.
	It("say where the load is unknown, and never leave a service empty", func() {
		w := newWorld(2)
		w.begin()
		w.carrying(2, 0)
		w.instances[1].metrics.Store(nil)
		code, out, _ := w.run("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("the load at entry-2 is unknown"))
		w.instances[0].metrics.Store(nil)
		code, _, _ = w.run("zone", "out", "az-2")
		Expect(code).To(Equal(ctl.ExitOK))
		code, _, problems := w.run("zone", "out", "az-3")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("no target of service orders would be left"))
		Expect(w.out()).To(ConsistOf("az-1", "az-2"))
	})

	// Guards against an amendment that is lost to, or undoes, another one.
	It("are made again after another operator's unrelated change", func() {
		w := newWorld(1)
		w.begin()
		other := func() { w.amend("other", queue(30)) }
		w.beforeAppend.Store(&other)
		code, out, problems := w.run("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitOK), problems)
		Expect(out).To(ContainSubstring("accepted as version 3"))
		Expect(out).To(ContainSubstring("made again on top of it"))
		Expect(w.out()).To(ConsistOf("az-1"))
		Expect(w.state().Config.Services[0].QueueLimit).To(Equal(30))
	})

	// Guards against two zones that go out at once and overload the third.
	It("check the load again on top of another operator's change", func() {
		w := newWorld(1)
		w.begin()
		w.carrying(6, 0)
		other := func() { w.amend("other", zoneOut(1)) }
		w.beforeAppend.Store(&other)
		code, _, problems := w.run("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("4 slots for 6 requests"))
		Expect(w.out()).To(ConsistOf("az-2"))
	})

	// Guards against a tool that overrules an operator who changed the same.
	It("are not made again after a change of the same server", func() {
		w := newWorld(1)
		w.begin()
		other := func() {
			w.amend("other", func(c *config.Configuration) { c.Services[0].Targets = c.Services[0].Targets[1:] })
		}
		w.beforeAppend.Store(&other)
		code, out, problems := w.run("target", "out", "orders-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("version 2 (other) won"))
		Expect(out).To(MatchRegexp(`clash +services\[orders\]\.targets\[orders-1\]\.out: true here, removed there`))
	})

	// Guards against an endless race.
	It("are made again only once", func() {
		w := newWorld(1)
		w.begin()
		second := func() { w.amend("second", queue(31)) }
		first := func() { w.amend("other", queue(30)); w.beforeAppend.Store(&second) }
		w.beforeAppend.Store(&first)
		code, result := w.result("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(result).To(HaveKeyWithValue("attempts", 2.0))
		Expect(result["winner"]).To(HaveKeyWithValue("id", "second"))
		Expect(w.out()).To(BeEmpty())
	})

	// Guards against a change that is half made during an outage.
	It("change nothing while the log service or all instances are unreachable", func() {
		w := newWorld(1)
		w.begin()
		w.faults(logservice.Faults{Outage: logservice.OutageUnavailable})
		code, _, problems := w.run("zone", "out", "az-1")
		Expect(code).To(Equal(ctl.ExitUnreachable), problems)
		w.faults(logservice.Faults{})
		w.directory = closedAddress()
		code, _, problems = w.run("zone", "out", "az-1", "--wait=false")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(problems).To(ContainSubstring("--force"))
		Expect(w.appends()).To(Equal(uint64(1)))
	})

	DescribeTable("usage", func(arguments ...string) {
		w := newWorld(1)
		w.begin()
		code, _, problems := w.run(arguments...)
		Expect(code).To(Equal(ctl.ExitUsage), problems)
		Expect(w.appends()).To(Equal(uint64(1)))
	},
		Entry("unknown zone", "zone", "out", "az-9"), Entry("no zone", "zone", "out"),
		Entry("unknown target", "target", "in", "orders-9"),
		Entry("unknown service", "target", "in", "orders-1", "--service", "x"),
		Entry("force where nothing is checked", "zone", "in", "az-1", "--force"),
	)

	It("need an instance to measure the load", func() {
		w := newWorld(0)
		w.begin()
		code, _, problems := w.run("zone", "out", "az-1", "--wait=false")
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(problems).To(ContainSubstring("--force"))
	})
})
