package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// crash ends the server as the loss of its process does: its connections are reset
// and its address refuses new ones.
func (s *server) crash() {
	s.w.note("server %s crashes", s.id)
	s.crashed.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		reset(c)
	}
}

// restart starts a new lifetime of a crashed server at its address, under a new id.
func (w *world) restart(old *server, id string) (*server, error) {
	l, err := net.Listen("tcp", old.address)
	if err != nil {
		return nil, err
	}
	s := &server{
		w: w, id: id, service: old.service, zone: old.zone, address: old.address, born: time.Now().UnixMilli(), listener: l,
		slots: make(chan struct{}, serverSlots), conns: map[net.Conn]bool{},
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go s.accept(l)
	w.store.Put("keyed.servers", old.id, nil) // its entry has expired
	s.register("ready")
	w.note("server %s is back as %s", old.id, id)
	return s, nil
}

// get sends one request on a new connection. It returns the status, or 0 if the
// connection ended without an answer.
func get(w *world, i *instance, path, id string, deadline time.Duration) int {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		w.note("request %s: no connection to %s: %v", id, i.name, err)
		return 0
	}
	defer func() { _ = conn.Close() }()
	w.note("request %s GET %s sent to %s", id, path, i.name)
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+hostName+"\r\nX-Fulmarhoist-Request-Id: "+id+
		"\r\nX-Fulmarhoist-Deadline-Ms: "+strconv.FormatInt(deadline.Milliseconds(), 10)+"\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.note("request %s: no answer: %v", id, err)
		return 0
	}
	body, err := io.ReadAll(response.Body)
	w.note("request %s: answered %d, signature %q, %d bytes, %v", id, response.StatusCode, response.Header.Get("X-Fulmarhoist-Server-Signature"), len(body), err)
	return response.StatusCode
}

const (
	firstRoute = "/status/"
	addedRoute = "/reports/"
	// crashServers is the number of servers, of which two (0.143) crash; the default
	// share of srv_crash is 0.15.
	crashServers = 14
	crashTime    = 4500 * time.Millisecond
	steadyCount  = 40
	maxTries     = 10
)

// crashBlocksRoute crashes two servers while they run the only two requests on a
// route, and then counts how both routes are served in the steady state.
func crashBlocksRoute(w *world, trouble bool) ([]string, error) {
	first := route{firstRoute, "idempotent", "orders", 3 * time.Second}
	w.publish(7, []string{"orders"}, []route{first})
	for n := range crashServers {
		if _, err := w.addServer(fmt.Sprintf("i-%04x", 0x7f30+n), "orders", fmt.Sprintf("ub-%c", 'a'+n%3), 100+n); err != nil {
			return nil, err
		}
	}
	for n := range 3 {
		if _, err := w.addInstance(1+n, fmt.Sprintf("ub-%c", 'a'+n)); err != nil {
			return nil, err
		}
	}
	for _, i := range w.instances {
		if err := i.awaitReady(); err != nil {
			return nil, err
		}
	}
	w.publish(8, []string{"orders"}, []route{first, {addedRoute, "idempotent", "orders", 3 * time.Second}})
	time.Sleep(4 * time.Second)
	w.note("steady state before the crash")
	before := countServed(w, 'c')

	// Two consumers have one request each on the added route.
	var crashed []*server
	for try := 0; len(crashed) != 2; try++ {
		if try == maxTries {
			return nil, fmt.Errorf("%w: the two requests never ran on two servers", errNotRun)
		}
		crashed = nil
		done := make(chan int, 2)
		for n := range 2 {
			go func() {
				done <- get(w, w.instances[0], addedRoute+"monthly/400", fmt.Sprintf("a%d%014x", try, n), 3*time.Second)
			}()
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(150 * time.Millisecond)
		for _, s := range w.servers {
			if len(s.slots) > 0 {
				crashed = append(crashed, s)
			}
		}
		if trouble && len(crashed) == 2 {
			for _, s := range crashed {
				s.crash()
			}
		}
		<-done
		<-done
	}
	if !trouble {
		crashed = nil
	}
	time.Sleep(crashTime)
	for n, s := range crashed {
		if _, err := w.restart(s, fmt.Sprintf("i-%04x", 0x8a00+n)); err != nil {
			return nil, fmt.Errorf("%w: %v", errNotRun, err)
		}
	}
	time.Sleep(6 * time.Second) // touch_ms and the cold time of the servers
	w.note("steady state after the crash")
	after := countServed(w, 'd')
	w.note("served before the crash: %d and %d of %d; after it: %d and %d of %d (first route, added route)",
		before[0], before[1], steadyCount, after[0], after[1], steadyCount)
	if 4*after[1] < after[0] {
		return []string{fmt.Sprintf("CONFIG: in the steady state %d of %d requests on the first route were served, and %d of %d on the route that was added later",
			after[0], steadyCount, after[1], steadyCount)}, nil
	}
	return nil, nil
}

// countServed sends requests on both routes to all instances in turn and returns
// how many of each were served.
func countServed(w *world, prefix rune) (served [2]int) {
	paths := []string{firstRoute + "monthly/20", addedRoute + "monthly/400"}
	var counts [2]atomic.Int32
	var pending sync.WaitGroup
	for n := range steadyCount {
		for r, path := range paths {
			pending.Go(func() {
				if get(w, w.instances[n%len(w.instances)], path, fmt.Sprintf("%c%d%014x", prefix, r, n), 3*time.Second) == http.StatusOK {
					counts[r].Add(1)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	pending.Wait()
	return [2]int{int(counts[0].Load()), int(counts[1].Load())}
}
