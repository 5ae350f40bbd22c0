package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/peerwire"
	"fulmarhoist.example/service"
)

var _ = Describe("inbound", func() {
	// Guards against two holders of the lease on a cold target: a late heartbeat
	// of a peer's previous process must not revoke the consent that was given to
	// its new process.
	It("keeps the consent of a new incarnation when a late heartbeat of the old one arrives", func() {
		now := time.Unix(1000, 0)
		self := lease.Participant{Instance: "entry-1", Incarnation: 9}
		broker := coldstart.NewBroker(self, nil, &catalogTargets{catalog: service.NewCatalog("az-1", service.PolicyShortestExpectedDelay)},
			func() *coldstart.Members { return &coldstart.Members{} })
		h := &inbound{&cluster{
			deps: clusterDeps{
				Self: self, Broker: broker, Status: &instanceStatus{isolation: instance.NewIsolation(now)},
				Roster: instance.NewRoster(now, instance.Instance{ID: "entry-1", Incarnation: 9}),
			},
			loads: instance.NewLoads(instance.NewTable(0, nil)),
		}}
		receiveHeartbeat := func(incarnation, sequence uint64) {
			from := instance.Instance{ID: "entry-2", Incarnation: incarnation, Sequence: sequence}
			h.applyHeartbeat(now, peerwire.Identity{ID: "entry-2", Incarnation: incarnation}, instance.Heartbeat{From: from})
		}
		requestLease := func(from string, incarnation uint64) lease.Reply {
			return broker.HandleLeaseRequest(now, lease.Participant{Instance: from, Incarnation: incarnation}, coldstart.LeaseRequest{Target: "orders-1", Round: 1})
		}
		receiveHeartbeat(1, 10)
		Expect(requestLease("entry-2", 1)).To(Equal(lease.ReplyGranted))
		receiveHeartbeat(2, 20)
		Expect(requestLease("entry-2", 2)).To(Equal(lease.ReplyGranted), "the previous process has ended")
		receiveHeartbeat(1, 11)
		Expect(requestLease("entry-3", 3)).To(Equal(lease.ReplyRefused))
	})
})
