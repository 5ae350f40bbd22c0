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

// inForceTimeout is the time within which an accepted configuration must be in
// force on all instances (guarantee P9 at the design scale).
const inForceTimeout = 10 * time.Second

// withZoneOutOfService returns the configuration of the cluster with one more
// zone out of service.
func withZoneOutOfService(cluster *testcluster.Cluster, zone string) *config.Configuration {
	next := *cluster.Config
	next.Zones = append([]config.Zone(nil), cluster.Config.Zones...)
	for i := range next.Zones {
		next.Zones[i].OutOfService = next.Zones[i].OutOfService || next.Zones[i].Name == zone
	}
	return &next
}

// setLogOutage starts or ends an outage of the log service.
func setLogOutage(ctx context.Context, cluster *testcluster.Cluster, outage logservice.Outage) {
	GinkgoHelper()
	_, err := cluster.LogControl.SetFaults(ctx, logservice.Faults{Outage: outage})
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("A configuration (P9)", func() {
	var cluster *testcluster.Cluster
	var load *traffic

	startUnderLoad := func(ctx SpecContext) {
		cluster = startCluster(ctx, testcluster.Plan{
			Zones: []string{"az-1", "az-2", "az-3"}, Instances: 3, MaxInstances: 4, Services: []testcluster.ServicePlan{slowOrders(6)},
		})
		warmUpTargets(ctx, cluster)
		load = startTraffic(ctx, cluster, trafficMix{Rate: 100, Surge: 60, Seed: 9})
		load.waitForProgress(ctx)
	}

	// Guards against two publications with the same base that are both in force,
	// each on some instances, or that are both reported as accepted.
	It("is the same on all instances if two are published concurrently", func(ctx SpecContext) {
		startUnderLoad(ctx)
		snapshot, err := cluster.Publisher.Current(ctx)
		Expect(err).NotTo(HaveOccurred())
		zones := []string{"az-2", "az-3"}
		results := make([]configlog.Result, len(zones))
		errs := make(chan error, len(zones))
		for i, zone := range zones {
			proposed := config.Publication{ID: "operator-" + zone, Base: snapshot.State.Version, Config: withZoneOutOfService(cluster, zone)}
			go func() {
				var err error
				results[i], err = cluster.Publisher.Publish(ctx, proposed, snapshot)
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

		waitForVersion(ctx, cluster, snapshot.State.Version+1, newWorkLimit)
		expectNoNewWork(ctx, load, targetsIn(cluster, zones[winner]), accepted)
		for _, t := range targetsIn(cluster, zones[loser]) {
			users := map[string]bool{}
			for _, e := range fetchJournal(ctx, t).Entries {
				users[e.Instance] = users[e.Instance] || e.Started.After(accepted.Add(newWorkLimit))
			}
			Expect(users).To(HaveLen(len(cluster.Instances)))
			Expect(users).To(HaveEach(true), "the zone of the rejected publication must stay in service at every instance")
		}
		load.expectAllAnswered()
	}, SpecTimeout(2*time.Minute))

	// Guards against an instance without state that does not serve, or uses an
	// old configuration, until the log is available again; and against
	// instances that do not resume reading the log after an outage.
	It("reaches an instance that starts during an outage of the log, and can change again after it", func(ctx SpecContext) {
		startUnderLoad(ctx)
		Expect(cluster.Publish(ctx, withZoneOutOfService(cluster, "az-3"))).To(Succeed())
		waitForVersion(ctx, cluster, 2, newWorkLimit)
		setLogOutage(ctx, cluster, logservice.OutageRefuse)
		start := time.Now()
		added, err := cluster.AddInstance(ctx)
		Expect(err).NotTo(HaveOccurred())
		waitForVersion(ctx, cluster, 2, 20*time.Second)
		AddReportEntry("new instance", fmt.Sprintf("configuration in force %v after the start", time.Since(start)))
		Eventually(ctx, func() (runs int) {
			for _, t := range cluster.Targets {
				for _, e := range fetchJournal(ctx, t).Entries {
					if e.Instance == added.ID && e.Executed() {
						runs++
					}
				}
			}
			return runs
		}).WithTimeout(30*time.Second).Should(BeNumerically(">=", 10), "the new instance must serve requests")
		Expect(cluster.Publish(ctx, withZoneOutOfService(cluster, "az-2"))).NotTo(Succeed(), "nothing must be accepted during the outage")

		for _, t := range targetsIn(cluster, "az-3") {
			for _, e := range fetchJournal(ctx, t).Entries {
				Expect(e.Instance).NotTo(Equal(added.ID), "the new instance sent a request to a zone that is out of service")
			}
		}

		setLogOutage(ctx, cluster, logservice.OutageNone)
		Expect(cluster.SetZoneOutOfService(ctx, "az-3", false)).To(Succeed())
		took := waitForVersion(ctx, cluster, 3, inForceTimeout)
		AddReportEntry("after the outage", fmt.Sprintf("in force everywhere after %v", took))
		load.expectAllAnswered()
		expectAtMostOnce(ctx, cluster)
	}, SpecTimeout(2*time.Minute))

	// Guards against a delayed duplicate of an earlier publication, of the
	// accepted or of the first version, that restores its configuration.
	It("is not replaced by a delayed duplicate of an older one", func(ctx SpecContext) {
		startUnderLoad(ctx)
		Expect(cluster.SetZoneOutOfService(ctx, "az-2", true)).To(Succeed())
		Expect(cluster.Publish(ctx, withZoneOutOfService(cluster, "az-3"))).To(Succeed())
		accepted := time.Now()
		page, err := cluster.LogClient.Read(ctx, backing.ConfigStream, 0, 100)
		Expect(err).NotTo(HaveOccurred())
		copies := 0
		for _, record := range page.Records {
			if _, ok := configlog.Decode(record.Data).(config.Publication); ok {
				_, err := cluster.LogClient.Append(ctx, backing.ConfigStream, record.Data)
				Expect(err).NotTo(HaveOccurred())
				copies++
			}
		}
		Expect(copies).To(Equal(3))
		expectNoNewWork(ctx, load, append(targetsIn(cluster, "az-2"), targetsIn(cluster, "az-3")...), accepted)
		Expect(configVersions(ctx, cluster)).To(HaveEach(uint64(3)))

		// A publication after the copies shows that all readers have read them.
		Expect(cluster.SetZoneOutOfService(ctx, "az-2", false)).To(Succeed())
		waitForVersion(ctx, cluster, 4, newWorkLimit)
		load.expectAllAnswered()
	}, SpecTimeout(2*time.Minute))
})
