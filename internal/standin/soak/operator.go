package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fulmarhoist.example/internal/standin/keyedstore"
)

// route is one route of the configuration.
type route struct {
	prefix, service string
	once            bool
}

// fixedRoutes are there all the time.
var fixedRoutes = []route{
	{"/get/", "orders", false}, {"/once/", "orders", true}, {"/list/", "archive", false}, {"/store/", "archive", true},
}

const (
	// addedShare is the part of requests on routes that were added or removed.
	addedShare = 0.1
	// routeTimeout is longer than any caller waits.
	routeTimeout = 4 * time.Second
)

// addedRoute is a route that the operator added.
type addedRoute struct {
	route
	at time.Time // when the store acknowledged it
}

// operator changes the configuration and takes zones out of service. It is safe
// for concurrent use.
type operator struct {
	store  *keyedstore.Store
	ledger *ledger

	mu      sync.Mutex
	version int
	names   int
	added   []addedRoute
	gone    []addedRoute
}

// pick returns a route for a request, and when it was added if it was.
func (o *operator) pick(random *rand.Rand, plain bool) (route, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !plain && random.Float64() < addedShare {
		if n := len(o.added); n > 0 && random.IntN(2) == 0 {
			picked := o.added[random.IntN(n)]
			return picked.route, picked.at
		}
		if n := len(o.gone); n > 0 {
			picked := o.gone[random.IntN(n)]
			return picked.route, picked.at
		}
	}
	return fixedRoutes[random.IntN(len(fixedRoutes))], time.Time{}
}

// publish writes the configuration. The caller holds the mutex.
func (o *operator) publish() {
	o.version++
	routes := []any{}
	add := func(r route) {
		kind := "idempotent"
		if r.once {
			kind = "non_idempotent"
		}
		routes = append(routes, map[string]any{
			"name": r.prefix, "host": hostName, "path_prefix": r.prefix, "kind": kind, "timeout_ms": routeTimeout.Milliseconds(),
			"target_latency_ms": 300, "priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	for _, r := range fixedRoutes {
		add(r)
	}
	for _, r := range o.added {
		add(r.route)
	}
	service := func(name string) any {
		return map[string]any{
			"name": name, "health_path": "/health", "max_conns": 200, "warmup_s": coldTime.Seconds(), "warmup_per_s": coldRate,
		}
	}
	o.store.Put("keyed.op", "config", map[string]any{
		"version": o.version, "routes": routes, "services": []any{service("orders"), service("archive")},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 8 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// begin writes the first configuration.
func (o *operator) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.publish()
}

// change adds a route, or removes the oldest of those that were added.
func (o *operator) change(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.added) > 0 && random.IntN(2) == 0 {
		oldest := o.added[0]
		o.added = o.added[1:]
		o.gone = append(o.gone, oldest)
		o.publish()
		o.ledger.change(func() { o.ledger.removed[oldest.prefix] = time.Now() })
		return "route " + oldest.prefix + " removed"
	}
	o.names++
	next := addedRoute{route: route{prefix: fmt.Sprintf("/n%d/", o.names), service: "orders"}}
	o.added = append(o.added, next)
	o.publish()
	o.added[len(o.added)-1].at = time.Now()
	return "route " + next.prefix + " added"
}

// evacuate takes a zone out of service for a time. Its targets are cold afterwards
// by the instances' own account.
func (o *operator) evacuate(zone string, length time.Duration) {
	o.store.Put("keyed.op", "evacuate/"+zone, map[string]any{"zone": zone})
	o.ledger.change(func() { o.ledger.evacuated[zone] = time.Now() })
	pause(length)
	o.ledger.change(func() { delete(o.ledger.evacuated, zone) })
	o.store.Put("keyed.op", "evacuate/"+zone, nil)
}
