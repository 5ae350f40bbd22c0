package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// Servers of the two services, as in the site tsenher-gw. In each service two
	// steps of scale_in with a share of 0.25 begin together, which is 10 of 22 and 7
	// of 14 servers; a third step takes a quarter of the rest of orders.
	orderServers, clinicServers  = 22, 14
	leavingOrders, leavingClinic = 10, 7
	unannounced                  = 3
	drainTime                    = 2 * time.Second
	leavingOrderInterval         = 10 * time.Millisecond
	leavingOrderWork             = 150 // ms
	exitAfter                    = drainTime + 200*time.Millisecond
	leavingSpread                = 200 * time.Millisecond
	observedTime                 = 8 * time.Second
)

// leavingServers empties servers in two waves. The servers of the first wave report
// that they are draining; those of the second do not, and their entries are removed at
// the moment at which the first wave leaves.
func leavingServers(w *world, trouble bool) ([]string, error) {
	w.publish(7, []string{"orders", "clinic"}, []route{{"/orders/", "non_idempotent", "orders", 3 * time.Second}, {"/scans/", "non_idempotent", "clinic", 3 * time.Second}})
	var mu sync.Mutex
	removedAt := map[*server]time.Time{}
	var breaks []string
	var cut []string // orders that a leaving server was running when it exited
	onArrival := func(s *server, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		at, leaving := removedAt[s]
		if late := time.Since(at); leaving && late > drainTime {
			breaks = append(breaks, fmt.Sprintf("DRAIN: request %s reached server %s %d ms after the store had acknowledged that its entry is removed (bound %d ms)",
				r.Header.Get("X-Fulmarhoist-Request-Id"), s.id, late.Milliseconds(), drainTime.Milliseconds()))
		}
		return false
	}
	var orders, clinic []*server
	for n := range orderServers + clinicServers {
		service := "orders"
		if n >= orderServers {
			service = "clinic"
		}
		s, err := w.addServer(fmt.Sprintf("i-%04x", 0x7f30+n), service, fmt.Sprintf("ub-%c", 'a'+n%3), 100+n)
		if err != nil {
			return nil, err
		}
		s.onArrival = onArrival
		if service == "orders" {
			orders = append(orders, s)
		} else {
			clinic = append(clinic, s)
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
	var pending sync.WaitGroup
	if trouble {
		pending.Go(func() { twoWaves(w, orders, clinic, &mu, removedAt) })
	}
	total, failed := 0, 0
	for end := time.Now().Add(observedTime); time.Now().Before(end); time.Sleep(leavingOrderInterval) {
		n := total
		total++
		pending.Go(func() {
			id := fmt.Sprintf("b%015x", n)
			if status := post(w, w.instances[n%3], fmt.Sprintf("/orders/%d/%d", n, leavingOrderWork), id, "order"); status == 0 || status == http.StatusBadGateway {
				mu.Lock()
				defer mu.Unlock()
				failed++
				cut = append(cut, id)
			}
		})
	}
	pending.Wait()
	w.note("%d orders; %d reached a server later than drain_ms after its removal; %d got 502 or no answer: %v", total, len(breaks), failed, cut)
	return breaks, nil
}

// twoWaves lets the servers of both waves leave.
func twoWaves(w *world, orders, clinic []*server, mu *sync.Mutex, removedAt map[*server]time.Time) {
	first := append(append([]*server{}, orders[:leavingOrders]...), clinic[:leavingClinic]...)
	for _, s := range first {
		s.register("draining")
	}
	w.note("%d of %d servers report that they are draining", len(first), len(orders)+len(clinic))
	time.Sleep(exitAfter)
	// The servers of the first wave leave one after the other within a fifth of a
	// second. An instance reads the first removal at once and the others with its next
	// read, half a second later.
	second := orders[leavingOrders : leavingOrders+unannounced]
	for n, s := range first {
		w.store.Put("keyed.servers", s.id, nil)
		s.stop()
		w.note("server %s has left, and its entry is removed", s.id)
		time.Sleep(leavingSpread / time.Duration(len(first)))
		if n != len(first)/2 {
			continue
		}
		for _, s := range second {
			mu.Lock()
			w.store.Put("keyed.servers", s.id, nil)
			removedAt[s] = time.Now()
			mu.Unlock()
			w.note("the entry of server %s is removed; it never reported that it is draining", s.id)
		}
	}
	time.Sleep(exitAfter)
	for _, s := range second {
		w.note("server %s exits", s.id)
		s.crashed.Store(true)
		s.stop()
	}
}
