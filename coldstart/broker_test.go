package coldstart_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/link"
	"fulmarhoist.example/target"
)

// recordingSender records the messages sent. It calls onRelease for each
// release.
type recordingSender struct {
	requests  []coldstart.LeaseRequest
	onRelease func()
	releases  int
}

func (s *recordingSender) SendLeaseRequest(_ lease.Participant, request coldstart.LeaseRequest) {
	s.requests = append(s.requests, request)
}

func (s *recordingSender) SendLeaseRelease(lease.Participant, coldstart.LeaseRelease) {
	s.releases++
	s.onRelease()
}

// singleTarget implements coldstart.Targets with one target that has no links.
type singleTarget struct{ t *target.Target }

func (s singleTarget) ByName(string) (*target.Target, *link.Set) { return s.t, nil }
func (singleTarget) MaxRun(string) time.Duration                 { return time.Second }

var _ = Describe("Broker", func() {
	var (
		sender *recordingSender
		t      *target.Target
		broker *coldstart.Broker
		now    time.Time
		peer   = lease.Participant{Instance: "entry-2", Incarnation: 2}
	)

	// The broker acquires the lease on a cold target that handles one concurrent
	// request.
	BeforeEach(func() {
		sender, now = &recordingSender{}, time.Unix(1000, 0)
		t = target.New(target.Spec{Name: "orders-1", Slots: 2, Links: 2})
		sender.onRelease = func() {
			permit, admitted := t.Admit(now)
			Expect(admitted && permit.MaySend(now)).To(BeFalse(), "a request may start after the release")
		}
		members := &coldstart.Members{Ready: true, Peers: []lease.Participant{peer}}
		broker = coldstart.NewBroker(lease.Participant{Instance: "entry-1", Incarnation: 1}, sender, singleTarget{t},
			func() *coldstart.Members { return members })
		broker.ColdLease(now, t, 1)
		round := sender.requests[len(sender.requests)-1].Round
		broker.HandleLeaseReply(now, peer, coldstart.LeaseReply{Target: "orders-1", Round: round, Reply: lease.ReplyGranted})
		until := broker.ColdLease(now, t, 1)
		Expect(until).To(BeTemporally(">", now))
		t.Lease(until)
		Expect(t.Transition(1, target.StateCold, 1)).To(BeTrue())
	})

	// Guards against a request that starts after the release of the lease, because
	// this instance stops admitting only later. The next holder may then already
	// send as many requests as the cold target can handle.
	It("stops admitting before it releases a lease that it no longer needs", func() {
		broker.Relinquish(now, t, 1)
		Expect(sender.releases).To(Equal(1))
	})

	It("stops admitting before it releases a lease that a peer refuses to renew", func() {
		now = now.Add(lease.RenewInterval)
		broker.ColdLease(now, t, 1)
		round := sender.requests[len(sender.requests)-1].Round
		broker.HandleLeaseReply(now, peer, coldstart.LeaseReply{Target: "orders-1", Round: round, Reply: lease.ReplyRefused})
		Expect(broker.ColdLease(now, t, 1).IsZero()).To(BeTrue())
		Expect(sender.releases).To(Equal(1))
	})

	// Guards against a release while a request of this instance is in flight.
	It("does not release the lease until its last request has ended", func() {
		permit, admitted := t.Admit(now)
		Expect(admitted).To(BeTrue())
		broker.Relinquish(now, t, 1)
		Expect(sender.releases).To(BeZero())
		permit.Release()
		broker.Relinquish(now, t, 1)
		Expect(sender.releases).To(Equal(1))
	})
})
