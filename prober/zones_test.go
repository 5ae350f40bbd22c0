package prober_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/exchange"
	"fulmarhoist.example/prober"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/targetconn"
	"fulmarhoist.example/zone"
)

// virtualServer answers health requests over a pipe, after a fixed time.
type virtualServer struct {
	slowdown float64
	delay    time.Duration // from a health request to its response
}

func (s *virtualServer) serve(conn net.Conn, name string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		time.Sleep(s.delay)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSlowdown: %g\r\nContent-Length: 0\r\n\r\n", name, s.slowdown); err != nil {
			return
		}
	}
}

// chooser chooses among virtual servers.
type chooser struct {
	prober  *prober.Prober
	service *service.Service
}

// choose returns the name of the server chosen for a request with a body of the
// given size, or "" if there is none.
func (c *chooser) choose(size int64) string {
	permit, ok := c.prober.Choose(context.Background(), c.service, exchange.Criteria{Size: size})
	if !ok {
		return ""
	}
	defer permit.Release()
	return permit.Target.Spec.Name
}

// serve sets the servers of this zone and of another one, by name.
func (c *chooser) serve(near, far map[string]*virtualServer) {
	targets := func(servers map[string]*virtualServer) (all []*target.Target) {
		for name := range servers {
			all = append(all, target.NewWarm(target.Spec{Name: name, Address: name, Slots: 2, Links: 3}, 3))
		}
		return all
	}
	c.service.Replace(service.NewView(1, []*zone.Zone{{Targets: targets(near)}, {RoundTrip: time.Millisecond, Targets: targets(far)}}))
}

// inVirtualTime runs body with a chooser among the given servers, which is called
// by their names.
func inVirtualTime(t *testing.T, servers map[string]*virtualServer, body func(c *chooser)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		pools := targetconn.NewPools(targetconn.PoolOptions{Dial: func(_ context.Context, address string) (net.Conn, error) {
			if servers[address] == nil {
				return nil, io.ErrClosedPipe
			}
			client, server := net.Pipe()
			go servers[address].serve(server, address)
			return client, nil
		}})
		body(&chooser{
			prober: &prober.Prober{
				Pools: pools, Protocol: protocol{}, HealthPath: func(string) string { return "/health" }, Interval: func() time.Duration { return 0 },
			},
			service: service.New("orders", 10, 10, service.LeastInFlight{}),
		})
		time.Sleep(time.Second) // probes in progress end
		pools.Retain(nil)
	})
}

// Guards against cross-zone traffic that saves no time, and against staying in a
// zone whose servers are all slow.
func TestChoosesServerInAnotherZoneOnlyIfItSavesEnoughTime(t *testing.T) {
	near, far, slow := &virtualServer{slowdown: 1.5}, &virtualServer{slowdown: 1, delay: time.Millisecond}, &virtualServer{slowdown: 5}
	inVirtualTime(t, map[string]*virtualServer{"a": near, "b": far, "c": slow}, func(c *chooser) {
		c.serve(map[string]*virtualServer{"a": near}, map[string]*virtualServer{"b": far})
		for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
			Expect(c.choose(0)).To(Equal("a"))
		}
		c.serve(map[string]*virtualServer{"c": slow}, map[string]*virtualServer{"b": far})
		Expect(c.choose(0)).To(Equal("b"))
		Expect(c.choose(1<<20)).To(Equal("c"), "a large body stays in its zone")
	})
}

// Guards against waiting for a server whose health response takes longer than a
// request can wait: it may be hanging.
func TestChoosesServerInAnotherZoneIfTheNearOneRespondsLate(t *testing.T) {
	near, far := &virtualServer{slowdown: 1.5, delay: 20 * time.Millisecond}, &virtualServer{slowdown: 1, delay: time.Millisecond}
	inVirtualTime(t, map[string]*virtualServer{"a": near, "b": far}, func(c *chooser) {
		c.serve(map[string]*virtualServer{"a": near}, map[string]*virtualServer{"b": far})
		began := time.Now()
		Expect(c.choose(0)).To(Equal("b"))
		Expect(time.Since(began)).To(BeNumerically("<=", 12*time.Millisecond))
	})
}
