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
	prefix, service string // path prefix, and service that it routes to
	nonIdempotent   bool
}

// fixedRoutes are never removed.
var fixedRoutes = []route{
	{"/get/", "orders", false}, {"/once/", "orders", true}, {"/list/", "archive", false}, {"/store/", "archive", true},
}

const (
	// addedRouteFraction is the fraction of requests on routes that the operator
	// has added or removed, once there are any of both.
	addedRouteFraction = 0.1
	// routeTimeout is longer than any deadline that a caller sends.
	routeTimeout = 4 * time.Second
)

// addedRoute is a route that the operator added while the soak ran.
type addedRoute struct {
	route
	ackedAt time.Time // when the store acknowledged it
}

// operator publishes changes of the configuration and evacuates zones. It is
// safe for concurrent use.
type operator struct {
	store   *keyedstore.Store
	checker *checker

	mu       sync.Mutex
	version  int // of the configuration published last
	prefixes int // number of path prefixes used so far
	added    []addedRoute
	removed  []addedRoute
}

// pickRoute returns a random route for a request, and the time at which the
// store acknowledged it, which is zero for a fixed route. If fixedOnly is true,
// it picks from the fixed routes only.
func (o *operator) pickRoute(rng *rand.Rand, fixedOnly bool) (route, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !fixedOnly && rng.Float64() < addedRouteFraction {
		if n := len(o.added); n > 0 && rng.IntN(2) == 0 {
			picked := o.added[rng.IntN(n)]
			return picked.route, picked.ackedAt
		}
		if n := len(o.removed); n > 0 {
			picked := o.removed[rng.IntN(n)]
			return picked.route, picked.ackedAt
		}
	}
	return fixedRoutes[rng.IntN(len(fixedRoutes))], time.Time{}
}

// publish writes the configuration to the store. The caller holds the mutex.
func (o *operator) publish() {
	o.version++
	routes := []any{}
	add := func(r route) {
		kind := "idempotent"
		if r.nonIdempotent {
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
			"name": name, "health_path": "/health", "max_conns": 200, "warmup_s": coldDuration.Seconds(), "warmup_per_s": coldPerSecond,
		}
	}
	o.store.Put("keyed.op", "config", map[string]any{
		"version": o.version, "routes": routes, "services": []any{service("orders"), service("archive")},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 8 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// publishInitial writes the first configuration to the store.
func (o *operator) publishInitial() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.publish()
}

// changeRoutes adds a route, or removes the oldest of the added ones.
func (o *operator) changeRoutes(rng *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.added) > 0 && rng.IntN(2) == 0 {
		oldest := o.added[0]
		o.added = o.added[1:]
		o.removed = append(o.removed, oldest)
		o.publish()
		o.checker.withLock(func() { o.checker.routeRemovedAt[oldest.prefix] = time.Now() })
		return "route " + oldest.prefix + " removed"
	}
	o.prefixes++
	next := addedRoute{route: route{prefix: fmt.Sprintf("/n%d/", o.prefixes), service: "orders"}}
	o.added = append(o.added, next)
	o.publish()
	o.added[len(o.added)-1].ackedAt = time.Now()
	return "route " + next.prefix + " added"
}

// evacuate takes a zone out of service for the given duration. Afterwards the
// instances treat its targets as cold, although these have not restarted.
func (o *operator) evacuate(zone string, duration time.Duration) {
	o.store.Put("keyed.op", "evacuate/"+zone, map[string]any{"zone": zone})
	o.checker.withLock(func() { o.checker.evacuatedAt[zone] = time.Now() })
	sleep(duration)
	o.checker.withLock(func() { delete(o.checker.evacuatedAt, zone) })
	o.store.Put("keyed.op", "evacuate/"+zone, nil)
}
