package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	giveUpServers = 24
	quickRequests = 60
	longRequests  = 40
	// longWork is long compared with the quick requests on the route, and far below
	// the time budget and the route's timeout of 3 s.
	longWork = 1500
)

// givenUpInStop sends long requests on a route whose requests are mostly quick, and
// stops their instance by SIGTERM while servers are at work on them.
func givenUpInStop(w *world, trouble bool) ([]string, error) {
	w.publish(7, []string{"orders"}, []route{{"/status/", "idempotent", "orders", 3 * time.Second}})
	for n := range giveUpServers {
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
	time.Sleep(4 * time.Second)
	stopped := w.instances[0]
	for n := range quickRequests {
		get(w, stopped, "/status/20", fmt.Sprintf("8%015x", n), 3*time.Second)
	}
	var pending sync.WaitGroup
	statuses := make([]int, longRequests)
	for n := range longRequests {
		pending.Go(func() {
			statuses[n] = get(w, stopped, fmt.Sprintf("/status/%d/%d", n, longWork), fmt.Sprintf("9%015x", n), 3*time.Second)
		})
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	pending.Wait()
	var breaks []string
	for n, status := range statuses {
		id := fmt.Sprintf("9%015x", n)
		if status == http.StatusBadGateway && w.runCount(id) > 0 {
			breaks = append(breaks, fmt.Sprintf("LOST: request %s was broken off while its server was at work and answered 502", id))
		}
	}
	w.note("%d of %d requests were broken off at a server at work and answered 502", len(breaks), longRequests)
	if !trouble {
		return nil, nil // the rule is one of planned stops
	}
	return breaks, nil
}
