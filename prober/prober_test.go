package prober_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

// protocol reads the health answers of the servers below.
type protocol struct{}

func (protocol) Health(response *http.Response) prober.Health {
	slowdown, _ := strconv.ParseFloat(response.Header.Get("Slowdown"), 64)
	running, _ := strconv.Atoi(response.Header.Get("Running"))
	cold, _ := strconv.Atoi(response.Header.Get("Cold-Ms"))
	return prober.Health{
		Target: response.Header.Get("Name"), ColdLeft: time.Duration(cold) * time.Millisecond, ColdTold: true,
		Load: &target.Report{Running: running, Slots: 2, Slowdown: slowdown},
	}
}

// server answers health questions.
type server struct {
	name, slowdown, running, coldMs string
	asked                           atomic.Int32
}

func (s *server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.asked.Add(1)
	w.Header().Set("Name", s.name)
	w.Header().Set("Slowdown", s.slowdown)
	w.Header().Set("Running", s.running)
	w.Header().Set("Cold-Ms", s.coldMs)
}

func (s *server) target(name string) *target.Target {
	server := httptest.NewServer(s)
	DeferCleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return target.NewWarm(target.Spec{Name: name, Address: address, Slots: 2, Links: 3}, 3)
}

var _ = Describe("Prober", func() {
	var s *prober.Prober
	var of *service.Service

	BeforeEach(func() {
		pools := targetconn.NewPools()
		DeferCleanup(func() { pools.Retain(nil) })
		s = &prober.Prober{Pools: pools, Protocol: protocol{}, HealthPath: func(string) string { return "/health" }, Interval: func() time.Duration { return 0 }}
		of = service.New("orders", 10, 10, service.LeastInFlight{})
	})
	serve := func(near, far []*target.Target) {
		of.Replace(service.NewView(1, []*zone.Zone{{Targets: near}, {RoundTrip: time.Millisecond, Targets: far}}))
	}
	choose := func(size int64) string {
		permit, ok := s.Choose(context.Background(), of, exchange.Criteria{Size: size})
		if !ok {
			return ""
		}
		defer permit.Release()
		return permit.Target.Spec.Name
	}

	// Guards against a request to a server whose machine is slow at this moment.
	It("chooses the server that is quickest now", func() {
		slow, quick := &server{name: "a", slowdown: "5"}, &server{name: "b", slowdown: "1"}
		serve([]*target.Target{slow.target("a"), quick.target("b")}, nil)
		Eventually(func() string { return choose(0) }).Should(Equal("b"))
		Consistently(func() string { return choose(0) }, "100ms").Should(Equal("b"))
	})

	// Guards against a question for each of many requests that come together.
	It("asks a server once while its report is new", func() {
		one := &server{name: "a", slowdown: "1"}
		t := one.target("a")
		serve([]*target.Target{t}, nil)
		t.Observe(time.Now(), target.Report{Slots: 2, Slowdown: 1})
		Expect(choose(0)).To(Equal("a"))
		Expect(one.asked.Load()).To(BeZero())
	})

	// Guards against more questions than the platform allows for a server.
	It("asks a server no more often than its interval allows, and still chooses", func() {
		one := &server{name: "a", slowdown: "1"}
		serve([]*target.Target{one.target("a")}, nil)
		s.Interval = func() time.Duration { return time.Hour }
		for range 5 {
			Expect(choose(0)).To(Equal("a"))
			time.Sleep(10 * time.Millisecond) // a report is as good as new for 8 ms
		}
		Expect(one.asked.Load()).To(Equal(int32(1)))
	})

	// Guards against traffic between zones that saves no time, and against a zone
	// whose own servers are all slow.
	It("takes a server of another zone only if it is worth the traffic", func() {
		near, far := &server{name: "a", slowdown: "1.5"}, &server{name: "b", slowdown: "1"}
		serve([]*target.Target{near.target("a")}, []*target.Target{far.target("b")})
		Consistently(func() string { return choose(0) }, "50ms").Should(Equal("a"))
		slow := &server{name: "c", slowdown: "5"}
		serve([]*target.Target{slow.target("c")}, []*target.Target{far.target("b")})
		Eventually(func() string { return choose(0) }).Should(Equal("b"))
		Eventually(func() string { return choose(1 << 20) }).Should(Equal("c"), "a large body stays")
	})

	// Guards against full load for a server that says it is cold, and against a pace
	// that goes on after it says that it is not.
	It("takes over what a server says of being cold", func() {
		cold := &server{name: "a", slowdown: "1", coldMs: "5000"}
		t := cold.target("a")
		t.SetPace(time.Hour)
		serve([]*target.Target{t}, nil)
		Eventually(func() bool { choose(0); return t.Cool(time.Now()) }).Should(BeTrue())
		t.Warmed()
		Expect(t.Cool(time.Now())).To(BeFalse())
	})

	// Guards against requests to the address of a server that another one has now.
	It("gives nothing to a server when another process answers", func() {
		other := &server{name: "z", slowdown: "1"}
		serve([]*target.Target{other.target("a")}, nil)
		Eventually(func() string { return choose(0) }).Should(BeEmpty())
	})
})
