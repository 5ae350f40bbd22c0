package e2e

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/internal/standin/logservice"
	"fulmarhoist.example/internal/standin/testcluster"
)

// inForceLimit is the time after its acceptance in which a configuration is in
// force everywhere (promise P9 at the design scale).
const inForceLimit = 10 * time.Second

// withZoneOut returns the configuration of the fleet with one more zone out.
func withZoneOut(f *testcluster.Cluster, zone string) *config.Configuration {
	next := *f.Config
	next.Zones = append([]config.Zone(nil), f.Config.Zones...)
	for i := range next.Zones {
		next.Zones[i].OutOfService = next.Zones[i].OutOfService || next.Zones[i].Name == zone
	}
	return &next
}

// setLog switches the outage of the log service.
func setLog(ctx context.Context, f *testcluster.Cluster, outage logservice.Outage) {
	GinkgoHelper()
	_, err := f.LogControl.SetFaults(ctx, logservice.Faults{Outage: outage})
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("A configuration (P9)", func() {
	var f *testcluster.Cluster
	var load *traffic

	start := func(ctx SpecContext) {
		f = startFleet(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3, MaxInstances: 4, Services: []testcluster.ServicePlan{busyOrders(6)},
		})
		warmUp(ctx, f)
		load = startTraffic(ctx, f, mix{Rate: 100, Surge: 60, Seed: 9})
		load.keepsGoing(ctx)
	}

	// Guards against two publications on one base that are both in force, each
	// at some instances, or that both seem accepted to their operators.
	It("is one of two that are published at the same time, everywhere", func(ctx SpecContext) {
		start(ctx)
		basis, err := f.Publisher.Current(ctx)
		Expect(err).NotTo(HaveOccurred())
		zones := []string{"az-2", "az-3"}
		results := make([]configlog.Result, len(zones))
		errs := make(chan error, len(zones))
		for i, zone := range zones {
			proposed := config.Publication{ID: "operator-" + zone, Base: basis.State.Version, Config: withZoneOut(f, zone)}
			go func() {
				var err error
				results[i], err = f.Publisher.Publish(ctx, proposed, basis)
				errs <- err
			}()
		}
		for range zones {
			Expect(<-errs).NotTo(HaveOccurred())
		}
		accepted := time.Now()
		winner, loser := 0, 1
		if results[1].Outcome == configlog.OutcomeAccepted {
			winner, loser = 1, 0
		}
		Expect(results[winner].Outcome).To(Equal(configlog.OutcomeAccepted))
		Expect(results[loser].Outcome).To(Equal(configlog.OutcomeRejected))
		Expect(results[loser].Reason).To(Equal(config.ReasonStaleBase))
		Expect(results[loser].Detail).To(ContainSubstring("operator-" + zones[winner]))
		Expect(results[loser].Changes).NotTo(BeEmpty())

		waitForVersion(ctx, f, basis.State.Version+1, newWorkLimit)
		expectQuiet(ctx, load, targetsIn(f, zones[winner]), accepted)
		for _, t := range targetsIn(f, zones[loser]) {
			users := map[string]bool{}
			for _, e := range journalOf(ctx, t).Entries {
				users[e.Instance] = users[e.Instance] || e.Started.After(accepted.Add(newWorkLimit))
			}
			Expect(users).To(HaveLen(len(f.Instances)))
			Expect(users).To(HaveEach(true), "the zone of the rejected publication stays in service at every instance")
		}
		load.expectAllAnswered()
	}, SpecTimeout(2*time.Minute))

	// Guards against an instance without state that serves nothing, or serves by
	// an old configuration, until the log is back; and against instances that
	// do not find back to the log after an outage.
	It("reaches an instance that starts during an outage of the log, and changes soon after it", func(ctx SpecContext) {
		start(ctx)
		Expect(f.Publish(ctx, withZoneOut(f, "az-3"))).To(Succeed())
		waitForVersion(ctx, f, 2, newWorkLimit)
		setLog(ctx, f, logservice.OutageRefuse)
		began := time.Now()
		newcomer, err := f.AddInstance(ctx)
		Expect(err).NotTo(HaveOccurred())
		waitForVersion(ctx, f, 2, 20*time.Second)
		AddReportEntry("newcomer", fmt.Sprintf("configuration in force %v after the start", time.Since(began)))
		Eventually(ctx, func() (runs int) {
			for _, t := range f.Targets {
				for _, e := range journalOf(ctx, t).Entries {
					if e.Instance == newcomer.ID && e.Ran() {
						runs++
					}
				}
			}
			return runs
		}).WithTimeout(30*time.Second).Should(BeNumerically(">=", 10), "the newcomer serves")
		Expect(f.Publish(ctx, withZoneOut(f, "az-2"))).NotTo(Succeed(), "nothing can be accepted during the outage")

		for _, t := range targetsIn(f, "az-3") {
			for _, e := range journalOf(ctx, t).Entries {
				Expect(e.Instance).NotTo(Equal(newcomer.ID), "the newcomer sent to a zone that is out")
			}
		}

		setLog(ctx, f, logservice.OutageNone)
		Expect(f.SetZoneOut(ctx, "az-3", false)).To(Succeed())
		took := waitForVersion(ctx, f, 3, inForceLimit)
		AddReportEntry("after the outage", fmt.Sprintf("in force everywhere after %v", took))
		load.expectAllAnswered()
		expectOnce(ctx, f)
	}, SpecTimeout(2*time.Minute))

	// Guards against a delayed copy of an old publication, whether of the
	// accepted or of the first version, that brings its configuration back.
	It("is not changed by a delayed duplicate of an older one", func(ctx SpecContext) {
		start(ctx)
		Expect(f.SetZoneOut(ctx, "az-2", true)).To(Succeed())
		Expect(f.Publish(ctx, withZoneOut(f, "az-3"))).To(Succeed())
		accepted := time.Now()
		page, err := f.LogClient.Read(ctx, backing.ConfigStream, 0, 100)
		Expect(err).NotTo(HaveOccurred())
		copies := 0
		for _, record := range page.Records {
			if _, ok := configlog.Decode(record.Data).(config.Publication); ok {
				_, err := f.LogClient.Append(ctx, backing.ConfigStream, record.Data)
				Expect(err).NotTo(HaveOccurred())
				copies++
			}
		}
		Expect(copies).To(Equal(3))
		expectQuiet(ctx, load, append(targetsIn(f, "az-2"), targetsIn(f, "az-3")...), accepted)
		Expect(versions(ctx, f)).To(HaveEach(uint64(3)))

		// A publication after the copies shows that all readers are past them.
		Expect(f.SetZoneOut(ctx, "az-2", false)).To(Succeed())
		waitForVersion(ctx, f, 4, newWorkLimit)
		load.expectAllAnswered()
	}, SpecTimeout(2*time.Minute))
})
