package crashshare_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/crashshare"
	"fulmarhoist.example/fleet"
)

func TestCrashshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashshare")
}

// deployment is a number of instances in three zones that know each other.
type deployment struct {
	port    string
	members []fleet.Member
	sent    atomic.Int64 // messages that were delivered, without queries
}

// peer is one running instance of a deployment.
type peer struct {
	*crashshare.Sharer
	member fleet.Member
	roster *fleet.Roster
	stop   context.CancelFunc
}

func newDeployment(size int) *deployment {
	d := &deployment{port: freePort()}
	pid := os.Getpid()
	for i := range size {
		address := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%200, 1+pid%250, 1+i)
		d.members = append(d.members, fleet.Member{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("az-%d", i%3), Relay: net.JoinHostPort(address, "1")})
	}
	return d
}

func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	return port
}

// start starts the instance with the given index.
func (d *deployment) start(index int) *peer {
	GinkgoHelper()
	p := &peer{member: d.members[index], roster: fleet.NewRoster(d.members[index])}
	p.Sharer = crashshare.New(crashshare.Options{
		Roster: p.roster, Port: d.port, Logger: zerolog.New(io.Discard), CountDropped: func() {},
		CountSent: func(kind string, delivered bool) {
			if delivered && kind != "query" {
				d.sent.Add(1)
			}
		},
	})
	host, _, err := net.SplitHostPort(p.member.Relay)
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", net.JoinHostPort(host, d.port))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	var wg sync.WaitGroup
	wg.Go(func() { p.Serve(ctx, listener) })
	wg.Go(func() { p.Run(ctx) })
	DeferCleanup(func() { cancel(); wg.Wait() })
	p.roster.Replace(time.Now(), d.members)
	return p
}

// startAll starts all instances.
func (d *deployment) startAll() (peers []*peer) {
	GinkgoHelper()
	for i := range d.members {
		peers = append(peers, d.start(i))
	}
	return peers
}

var crashing = contract.NewFingerprint("orders", "reorder", "POST", "/crashing", nil)

// refusing returns how many of the instances refuse the crashing request.
func refusing(peers []*peer) (count int) {
	for _, p := range peers {
		if p.Fingerprints().Refused(time.Now(), crashing) {
			count++
		}
	}
	return count
}

// collectors returns the names of the instances that collect reports on the crashing
// request.
func collectors(p *peer) (names []string) {
	for _, m := range p.roster.Collectors(string(crashing[:])) {
		names = append(names, m.Name)
	}
	return names
}

var _ = Describe("Sharer", func() {
	// Guards against a request that takes down one target through each instance: no
	// instance sees two crashes itself.
	It("makes all instances refuse a request after one crash each at two of them", func() {
		peers := newDeployment(20).startAll()
		peers[4].Fingerprints().Crashed(time.Now(), "t1", crashing)
		peers[11].Fingerprints().Crashed(time.Now(), "t2", crashing)
		Eventually(func() int { return refusing(peers) }, "1s", "10ms").Should(Equal(len(peers)))
	})

	// Guards against instances that are not told because collectors have ended or are
	// cut off.
	It("tells all instances while one collector is left", func() {
		d := newDeployment(12)
		peers := d.startAll()
		lost := collectors(peers[0])[:2]
		var left []*peer
		for _, p := range peers {
			if p.member.Name == lost[0] || p.member.Name == lost[1] {
				p.stop()
			} else {
				left = append(left, p)
			}
		}
		left[0].Fingerprints().Crashed(time.Now(), "t1", crashing)
		left[1].Fingerprints().Crashed(time.Now(), "t2", crashing)
		Eventually(func() int { return refusing(left) }, "1s", "10ms").Should(Equal(len(left)))
	})

	// Guards against crashes that are lost because an instance that knows of the
	// first one is itself the collector.
	It("counts the crashes of the collectors themselves", func() {
		peers := newDeployment(6).startAll()
		for number, name := range collectors(peers[0])[:2] {
			for _, p := range peers {
				if p.member.Name == name {
					p.Fingerprints().Crashed(time.Now(), fmt.Sprint("t", number), crashing)
				}
			}
		}
		Eventually(func() int { return refusing(peers) }, "1s", "10ms").Should(Equal(len(peers)))
	})

	// Guards against a common request that all instances refuse for 20 minutes because
	// it was running on two targets of a zone that failed.
	It("makes all instances accept a request again that one of them got answered", func() {
		peers := newDeployment(9).startAll()
		peers[0].Fingerprints().Crashed(time.Now(), "t1", crashing)
		peers[1].Fingerprints().Crashed(time.Now(), "t2", crashing)
		Eventually(func() int { return refusing(peers) }, "1s", "10ms").Should(Equal(len(peers)))
		peers[5].Fingerprints().RecordResponse(crashing)
		Eventually(func() int { return refusing(peers) }, "1s", "10ms").Should(BeZero())
		Consistently(func() int { return refusing(peers) }, "2500ms", "100ms").Should(BeZero(), "queries bring nothing back")
	})

	// Guards against an instance that takes down two more targets after its restart,
	// because it has forgotten the crashes.
	It("tells an instance that has just started of refused requests", func() {
		d := newDeployment(8)
		var peers []*peer
		for i := range 7 {
			peers = append(peers, d.start(i))
		}
		peers[0].Fingerprints().Crashed(time.Now(), "t1", crashing)
		peers[1].Fingerprints().Crashed(time.Now(), "t2", crashing)
		Eventually(func() int { return refusing(peers) }, "1s", "10ms").Should(Equal(len(peers)))
		late := d.start(7)
		Eventually(func() bool { return late.Fingerprints().Refused(time.Now(), crashing) }, "1s", "10ms").Should(BeTrue())
	})

	// Guards against a storm of messages in a large deployment when many targets fail:
	// a crash that is the only one of its fingerprint concerns few instances.
	It("sends a message to each collector at most, and none to the others, for a single crash", func() {
		d := newDeployment(30)
		peers := d.startAll()
		peers[3].Fingerprints().Crashed(time.Now(), "t1", crashing)
		Eventually(d.sent.Load, "1s").Should(BeNumerically(">=", 2))
		Consistently(d.sent.Load, "500ms").Should(BeNumerically("<=", 3))
	})

	// Guards against requests that wait because reports of crashes cannot be sent.
	It("never blocks who records a crash", func() {
		var dropped atomic.Int64
		s := crashshare.New(crashshare.Options{
			Roster: fleet.NewRoster(fleet.Member{Name: "a"}), Port: "1", Logger: zerolog.New(io.Discard),
			CountSent: func(string, bool) {}, CountDropped: func() { dropped.Add(1) },
		})
		for i := range 3000 {
			s.Fingerprints().Crashed(time.Now(), fmt.Sprint("t", i), crashing)
		}
		Expect(dropped.Load()).To(BeNumerically(">", 0))
		Expect(s.Fingerprints().Refused(time.Now(), crashing)).To(BeTrue())
	})
})
