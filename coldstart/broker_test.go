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

// post keeps what was sent, and calls released before a release goes out.
type post struct {
	asks     []coldstart.Ask
	released func()
	releases int
}

func (p *post) SendColdAsk(_ lease.Holder, ask coldstart.Ask) { p.asks = append(p.asks, ask) }

func (p *post) SendColdRelease(lease.Holder, coldstart.Release) {
	p.releases++
	p.released()
}

type noTargets struct{ t *target.Target }

func (n noTargets) ByName(string) (*target.Target, *link.Set) { return n.t, nil }
func (noTargets) MaxRun(string) time.Duration                 { return time.Second }

var _ = Describe("Broker", func() {
	var (
		p      *post
		t      *target.Target
		broker *coldstart.Broker
		now    time.Time
		peer   = lease.Holder{Instance: "entry-2", Incarnation: 2}
	)

	// lead gets the lease on a cold target that bears one request.
	BeforeEach(func() {
		p, now = &post{}, time.Unix(1000, 0)
		t = target.New(target.Spec{Name: "orders-1", Slots: 2, Links: 2})
		p.released = func() {
			permit, admitted := t.Admit(now)
			Expect(admitted && permit.MaySend(now)).To(BeFalse(), "work may start after the release")
		}
		members := &coldstart.Members{Ready: true, Peers: []lease.Holder{peer}}
		broker = coldstart.NewBroker(lease.Holder{Instance: "entry-1", Incarnation: 1}, p, noTargets{t},
			func() *coldstart.Members { return members })
		broker.ColdLease(now, t, 1)
		round := p.asks[len(p.asks)-1].Round
		broker.OnAnswer(now, peer, coldstart.Answer{Target: "orders-1", Round: round, Reply: lease.ReplyGranted})
		until := broker.ColdLease(now, t, 1)
		Expect(until).To(BeTemporally(">", now))
		t.Lease(until)
		Expect(t.Transition(1, target.StateCold, 1)).To(BeTrue())
	})

	// Guards against a request that starts between the release of the lease and
	// the moment at which this instance stops to admit: the next holder sends as
	// much as the cold target bears.
	It("admits nothing any more when it gives the lease up", func() {
		broker.Relinquish(now, t, 1)
		Expect(p.releases).To(Equal(1))
	})

	It("admits nothing any more when a peer refuses to renew the lease", func() {
		now = now.Add(lease.RenewInterval)
		broker.ColdLease(now, t, 1)
		round := p.asks[len(p.asks)-1].Round
		broker.OnAnswer(now, peer, coldstart.Answer{Target: "orders-1", Round: round, Reply: lease.ReplyRefused})
		Expect(broker.ColdLease(now, t, 1).IsZero()).To(BeTrue())
		Expect(p.releases).To(Equal(1))
	})

	// Guards against a release while a request of this instance still runs.
	It("keeps the consent of its peers until its last request has ended", func() {
		permit, admitted := t.Admit(now)
		Expect(admitted).To(BeTrue())
		broker.Relinquish(now, t, 1)
		Expect(p.releases).To(BeZero())
		permit.Release()
		broker.Relinquish(now, t, 1)
		Expect(p.releases).To(Equal(1))
	})
})
