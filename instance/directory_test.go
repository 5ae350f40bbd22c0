package instance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/target"
)

var _ = Describe("Directory", func() {
	const lifetime = 30 * time.Second
	var roster *instance.Roster
	var directory instance.Directory

	applyHeartbeat := func(id, zone string, leaving bool) {
		roster.ApplyHeartbeat(startTime, instance.Heartbeat{From: instance.Instance{
			ID: id, Incarnation: 5, Sequence: 10, Zone: zone, Epoch: 3, Leaving: leaving,
			CallerAddress: "c-" + id, PeerAddress: "p-" + id,
		}})
	}
	BeforeEach(func() {
		roster = instance.NewRoster(startTime, instance.Instance{ID: "entry-0", Incarnation: 4, Zone: "az-0", CallerAddress: "c-entry-0"})
		directory = instance.Directory{Roster: roster}
	})
	names := func(zone string) []string {
		var ids []string
		for _, a := range directory.Respond(zone, lifetime, 1).Instances {
			ids = append(ids, a.ID)
		}
		return ids
	}

	// Guards against all callers of a zone using the same instance. With 6,000
	// callers and 3 instances, each instance should come first for 2,000
	// callers; a difference of 10% is 5 standard deviations.
	It("spreads callers evenly over the instances of their zone", func() {
		for i := 1; i < 7; i++ {
			applyHeartbeat(fmt.Sprintf("entry-%d", i), fmt.Sprintf("az-%d", i%2), false)
		}
		first, second := map[string]int{}, map[string]int{}
		rng := rand.New(rand.NewPCG(1, 2))
		for range 6000 {
			response := directory.Respond("az-1", lifetime, rng.Uint64())
			Expect(response.Instances).To(HaveLen(7))
			for i, a := range response.Instances {
				Expect(a.Zone == "az-1").To(Equal(i < 3))
			}
			first[response.Instances[0].ID]++
			second[response.Instances[3].ID]++
		}
		Expect(first).To(HaveLen(3))
		Expect(second).To(HaveLen(4))
		for _, count := range first {
			Expect(count).To(BeNumerically("~", 2000, 200))
		}
		for _, count := range second {
			Expect(count).To(BeNumerically("~", 1500, 150))
		}
	})

	// Guards against handing out a ticket with another incarnation or epoch than
	// the instance last announced.
	It("returns the ticket that the instance last announced", func() {
		applyHeartbeat("entry-1", "az-1", false)
		Expect(directory.Respond("az-1", lifetime, 0).Instances[0].Ticket).To(Equal(
			contract.Ticket{Instance: "entry-1", Incarnation: 5, Epoch: 3}))
	})

	// Guards against callers choosing an instance that is about to stop, and
	// against an empty response that leaves callers without any instance.
	It("omits leaving and suspected instances but is never empty", func() {
		applyHeartbeat("entry-1", "az-1", true)
		Expect(names("az-1")).To(Equal([]string{"entry-0"}))
		applyHeartbeat("entry-2", "az-1", false)
		roster.UpdateSelf(startTime, instance.LocalState{Leaving: true})
		Expect(names("az-1")).To(Equal([]string{"entry-2"}))
		for at := time.Duration(0); at <= 2*time.Second; at += instance.HeartbeatInterval {
			roster.Tick(startTime.Add(at))
		}
		Expect(names("az-1")).To(Equal([]string{"entry-0"}))
	})
})

var _ = Describe("Isolation", func() {
	// Guards against an instance that is cut off and keeps sending requests
	// under an outdated configuration, and against a deployment of one instance
	// that refuses all work.
	It("is isolated 5 s after the last contact, unless it never had a peer", func() {
		isolation := instance.NewIsolation(startTime)
		at := func(d time.Duration) time.Time { return startTime.Add(d) }
		isolation.RecordLogRead(at(time.Second))
		Expect(isolation.Isolated(at(time.Hour))).To(BeFalse(), "a single instance is never isolated")
		isolation.RecordPeerMessage(at(time.Hour))
		isolation.RecordLogRead(at(time.Hour - time.Second))
		Expect(isolation.Isolated(at(time.Hour + 4999*time.Millisecond))).To(BeFalse())
		Expect(isolation.Isolated(at(time.Hour + 5*time.Second))).To(BeTrue())
		isolation.RecordLogRead(at(time.Hour + 6*time.Second))
		Expect(isolation.Isolated(at(time.Hour + 7*time.Second))).To(BeFalse())
	})
})

var _ = Describe("Loads", func() {
	var table *instance.Table
	BeforeEach(func() {
		var names []string
		for i := range 35 {
			names = append(names, fmt.Sprintf("target-%02d", i))
		}
		table = instance.NewTable(9, names)
	})

	// Guards against targets that are never reported because a heartbeat carries
	// only MaxLoads loads, and against counts that remain after the load or the
	// peer is gone.
	It("receives all changed loads of a peer within 1.5 s and expires them when the peer is gone", func() {
		var reporter instance.Reporter
		loads := instance.NewLoads(table)
		own := make([]instance.Load, 35)
		now := startTime
		exchange := func(rounds int) {
			for range rounds {
				now = now.Add(instance.HeartbeatInterval)
				report := reporter.Next(now, table, own)
				Expect(len(report)).To(BeNumerically("<=", instance.MaxLoads))
				loads.ApplyHeartbeat(now, instance.Heartbeat{From: instance.Instance{ID: "entry-2", ConfigVersion: 9}, Loads: report})
				loads.Tick(now)
			}
		}
		for i := range own {
			own[i] = instance.Load{InFlight: uint16(i + 1), State: target.StateWarm}
		}
		exchange(3)
		for i, name := range table.Names() {
			Expect(loads.Sums().Targets[name].InFlight).To(Equal(i + 1))
		}
		exchange(40)
		Expect(loads.Sums().Targets).To(HaveLen(35), "unchanged loads are refreshed before they expire")
		clear(own)
		own[3].State = target.StateLeaving
		exchange(3)
		Expect(loads.Sums().Targets).To(Equal(map[string]instance.PeerLoad{"target-03": {Leaving: 1}}))
		loads.ApplyHeartbeat(now, instance.Heartbeat{From: instance.Instance{ID: "entry-3", ConfigVersion: 8}, Loads: []instance.Load{{Target: 1, InFlight: 9}}})
		Expect(loads.Sums().Reporters).To(Equal(1), "loads of another configuration version are ignored")
		loads.Tick(now.Add(10 * time.Second))
		Expect(loads.Sums().Reporters).To(BeZero())
	})
})
