package prober_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/exchange"
	"fulmarhoist.example/prober"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/targetconn"
	"fulmarhoist.example/zone"
)

func TestProber(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prober")
}

// protocol parses the health responses of server.
type protocol struct{}

func (protocol) Health(response *http.Response) prober.Health {
	slowdown, _ := strconv.ParseFloat(response.Header.Get("Slowdown"), 64)
	running, _ := strconv.Atoi(response.Header.Get("Running"))
	cold, _ := strconv.Atoi(response.Header.Get("Cold-Ms"))
	return prober.Health{
		Declined: response.Header.Get("Declined") != "",
		Target:   response.Header.Get("Name"), ColdRemaining: time.Duration(cold) * time.Millisecond, HasColdRemaining: true,
		Load: &target.Report{Running: running, Slots: 2, Slowdown: slowdown},
	}
}

// server is a target that responds to probes.
type server struct {
	name, slowdown, running, coldMs string
	declines                        bool
	probes                          atomic.Int32
	connections                     sync.Map // by address of the instance's end
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.probes.Add(1)
	s.connections.Store(r.RemoteAddr, true)
	w.Header().Set("Name", s.name)
	w.Header().Set("Slowdown", s.slowdown)
	w.Header().Set("Running", s.running)
	w.Header().Set("Cold-Ms", s.coldMs)
	if s.declines {
		w.Header().Set("Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// target starts the server and returns it as a warm target with the given name.
func (s *server) target(name string) *target.Target {
	server := httptest.NewServer(s)
	DeferCleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return target.NewWarm(target.Spec{Name: name, Address: address, Slots: 2, Links: 3}, 3)
}

var _ = Describe("Prober", func() {
	var p *prober.Prober
	var svc *service.Service

	BeforeEach(func() {
		pools := targetconn.NewPools(targetconn.PoolOptions{})
		DeferCleanup(func() { pools.Retain(nil) })
		p = &prober.Prober{Pools: pools, Protocol: protocol{}, HealthPath: func(string) string { return "/health" }, Interval: func() time.Duration { return 0 }}
		svc = service.New("orders", 10, 10, service.LeastInFlight{})
	})
	serve := func(near, far []*target.Target) {
		svc.Replace(service.NewView(1, []*zone.Zone{{Targets: near}, {RoundTrip: time.Millisecond, Targets: far}}))
	}
	choose := func(size int64) string {
		permit, ok := p.Choose(context.Background(), svc, exchange.Criteria{Size: size})
		if !ok {
			return ""
		}
		defer permit.Release()
		return permit.Target.Spec.Name
	}

	// Guards against sending a request to a server whose machine is currently
	// slow.
	It("chooses the server that is currently fastest", func() {
		slow, quick := &server{name: "a", slowdown: "5"}, &server{name: "b", slowdown: "1"}
		serve([]*target.Target{slow.target("a"), quick.target("b")}, nil)
		Eventually(func() string { return choose(0) }).Should(Equal("b"))
		Consistently(func() string { return choose(0) }, "100ms").Should(Equal("b"))
	})

	// Guards against one probe per request when many requests come together.
	It("does not probe a server whose load report is new", func() {
		one := &server{name: "a", slowdown: "1"}
		t := one.target("a")
		serve([]*target.Target{t}, nil)
		t.Observe(time.Now(), target.Report{Slots: 2, Slowdown: 1})
		Expect(choose(0)).To(Equal("a"))
		Expect(one.probes.Load()).To(BeZero())
	})

	// Guards against a refusal of a health question that is written again and taken for
	// the refusal of a request on the same connection.
	It("uses a connection only once if the target declines health questions on it", func() {
		one := &server{name: "a", slowdown: "1", declines: true}
		serve([]*target.Target{one.target("a")}, nil)
		Eventually(func() int32 { choose(0); return one.probes.Load() }, "3s").Should(BeNumerically(">=", 3))
		connections := 0
		one.connections.Range(func(any, any) bool { connections++; return true })
		Expect(connections).To(BeEquivalentTo(one.probes.Load()))
	})

	// Guards against more probes than the platform allows.
	It("probes no more often than the interval allows and still chooses a target", func() {
		one := &server{name: "a", slowdown: "1"}
		serve([]*target.Target{one.target("a")}, nil)
		p.Interval = func() time.Duration { return time.Hour }
		for range 5 {
			Expect(choose(0)).To(Equal("a"))
			time.Sleep(10 * time.Millisecond) // a load report is current for 8 ms
		}
		Expect(one.probes.Load()).To(Equal(int32(1)))
	})

	// Guards against full load on a server that reports that it is cold, and
	// against pacing that continues after it no longer does.
	It("follows the cold-start state that a server reports", func() {
		cold := &server{name: "a", slowdown: "1", coldMs: "5000"}
		t := cold.target("a")
		t.SetPacingInterval(time.Hour)
		serve([]*target.Target{t}, nil)
		Eventually(func() bool { choose(0); return t.ServerCold(time.Now()) }).Should(BeTrue())
		t.MarkServerWarm()
		Expect(t.ServerCold(time.Now())).To(BeFalse())
	})

	// Guards against sending requests to an address that another process now
	// uses.
	It("does not choose a server whose address another process responds from", func() {
		other := &server{name: "z", slowdown: "1"}
		serve([]*target.Target{other.target("a")}, nil)
		Eventually(func() string { return choose(0) }).Should(BeEmpty())
	})
})
