// Package routing decides which service receives a request. A Table is built from
// one version of the configuration. It is immutable except for the counters that
// split the traffic of a route between services by weight.
//
// The package does no I/O; the caller passes random numbers.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Kind is the kind of requests of a route. It determines whether they may be
// executed more than once.
type Kind uint8

const (
	// KindIdempotent requests may be executed more than once.
	KindIdempotent Kind = iota + 1
	// KindNonIdempotent requests are executed at most once.
	KindNonIdempotent
	// KindUpload requests are executed at most once and have a large body.
	KindUpload
)

// Repeatable reports whether a request may be executed more than once.
func (k Kind) Repeatable() bool { return k == KindIdempotent }

// WeightedService is a service and its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps the requests for a host and a path prefix to one or more services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration // maximum time until the final response; 0 if not configured
	LatencyGoal time.Duration // response time goal: a response within it has its full value
	MaxAttempts int           // maximum number of attempts per request, including the first
	Priority    int           // 0 is the highest; larger values are less urgent
	Services    []WeightedService
}

// Service is the configuration of the targets of one service.
type Service struct {
	Name                  string
	HealthPath            string
	MaxConnections        int           // connections that one target accepts, from all callers together
	ColdDuration          time.Duration // time after its start for which a target is cold
	ColdRequestsPerSecond float64       // requests per second that a cold target can handle
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes int           // maximum size of the request header
	MaxBodyBytes   int64         // maximum size of the request body
	HeaderTimeout  time.Duration // maximum time to read the request header
	IdleTimeout    time.Duration // maximum idle time of a connection between requests
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// ConfigError reports an invalid configuration.
type ConfigError struct {
	Version uint64
	Problem string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("invalid configuration, version %d: %s", e.Version, e.Problem)
}

const (
	// maxWeight bounds the weight of a service, so that sums of weights do not
	// overflow.
	maxWeight = 1_000_000
	// maxRequestsPerSecond bounds the rate that a target can handle while cold, far
	// above any real one.
	maxRequestsPerSecond = 1e6
)

// Validate returns a *ConfigError if a number is out of range, or if a route refers
// to an unknown service, or has no host, prefix, kind or service.
func (c *Config) Validate() error {
	known := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		known[s.Name] = true
		if s.ColdRequestsPerSecond < 0 || s.ColdRequestsPerSecond > maxRequestsPerSecond {
			return &ConfigError{c.Version, fmt.Sprintf("service %q: %g requests per second while cold, expected 0 to %g", s.Name, s.ColdRequestsPerSecond, maxRequestsPerSecond)}
		}
	}
	for _, r := range c.Routes {
		switch {
		case r.Host == "" || !strings.HasPrefix(r.Prefix, "/"):
			return &ConfigError{c.Version, fmt.Sprintf("route %q: expected a host and a prefix that starts with \"/\", got host %q and prefix %q", r.Name, r.Host, r.Prefix)}
		case r.Kind == 0:
			return &ConfigError{c.Version, fmt.Sprintf("route %q: missing or unknown kind", r.Name)}
		case len(r.Services) == 0:
			return &ConfigError{c.Version, fmt.Sprintf("route %q: expected at least one service", r.Name)}
		}
		for _, weighted := range r.Services {
			if !known[weighted.Service] {
				return &ConfigError{c.Version, fmt.Sprintf("route %q: unknown service %q", r.Name, weighted.Service)}
			}
			if weighted.Weight < 0 || weighted.Weight > maxWeight {
				return &ConfigError{c.Version, fmt.Sprintf("route %q: service %q has the weight %d, expected 0 to %d", r.Name, weighted.Service, weighted.Weight, maxWeight)}
			}
		}
	}
	return nil
}

// Table is a routing table that maps requests to services by host and path. It is
// safe for concurrent use.
type Table struct {
	Config         *Config
	hosts          map[string][]*routeEntry // routes by lower-case host, longest prefix first
	lowestPriority map[string]int           // priority of the least urgent route of each service
}

// routeEntry is a route and the state of its weighted round robin.
type routeEntry struct {
	route *Route
	cycle []string      // services in the order in which they receive requests
	next  atomic.Uint64 // position in the cycle, modulo its length
}

// NewTable returns the table of a valid configuration. The random word determines
// where each route with several services starts its cycle, so that instances do not
// all send their first requests to the same service.
func NewTable(config *Config, random uint64) *Table {
	t := &Table{Config: config, hosts: make(map[string][]*routeEntry), lowestPriority: make(map[string]int)}
	for i := range config.Routes {
		route := &config.Routes[i]
		for _, weighted := range route.Services {
			t.lowestPriority[weighted.Service] = max(t.lowestPriority[weighted.Service], route.Priority)
		}
		e := &routeEntry{route: route, cycle: weightedCycle(route.Services)}
		if len(e.cycle) > 1 {
			e.next.Store((random + uint64(i)*0x9e3779b9) % uint64(len(e.cycle)))
		}
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *routeEntry) int {
			return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix))
		})
	}
	return t
}

// Decision is the result of matching a request.
type Decision struct {
	Route   *Route
	Service string
	// Urgent is true if another route of the same service has a lower priority.
	Urgent bool
}

// Match returns the route and the service for a request with the given host and
// path, or false if no route matches. Each successful call advances the weighted
// round robin of the route.
func (t *Table) Match(host, path string) (Decision, bool) {
	for _, e := range t.hosts[strings.ToLower(stripPort(host))] {
		if strings.HasPrefix(path, e.route.Prefix) {
			name := e.nextService()
			return Decision{Route: e.route, Service: name, Urgent: e.route.Priority < t.lowestPriority[name]}, true
		}
	}
	return Decision{}, false
}

// nextService returns the service that receives the next request.
func (e *routeEntry) nextService() string {
	if len(e.cycle) == 1 {
		return e.cycle[0]
	}
	return e.cycle[(e.next.Add(1)-1)%uint64(len(e.cycle))]
}

// stripPort returns a host without its port. An IPv6 address with a port is in
// brackets, which are kept; one without brackets has no port.
func stripPort(host string) string {
	if end := strings.LastIndexByte(host, ']'); end >= 0 && strings.HasPrefix(host[end+1:], ":") {
		return host[:end+1]
	}
	if name, port, found := strings.Cut(host, ":"); found && !strings.Contains(port, ":") {
		return name
	}
	return host
}

// maxCycleLength is the maximum length of a cycle. A longer cycle is cut off, so
// that the split only approximates the weights.
const maxCycleLength = 1000

// weightedCycle returns the order in which the services receive requests. Each
// service appears in proportion to its weight, spread as evenly as possible (smooth
// weighted round robin).
func weightedCycle(services []WeightedService) []string {
	total := 0
	for _, s := range services {
		total += max(0, s.Weight)
	}
	if len(services) == 1 || total == 0 {
		return []string{services[0].Service}
	}
	length := min(total/weightGCD(services), maxCycleLength)
	current := make([]int, len(services))
	cycle := make([]string, 0, length)
	for range length {
		best := 0
		for i := range services {
			current[i] += max(0, services[i].Weight)
			if current[i] > current[best] {
				best = i
			}
		}
		current[best] -= total
		cycle = append(cycle, services[best].Service)
	}
	return cycle
}

// weightGCD returns the greatest common divisor of the weights, at least 1.
func weightGCD(services []WeightedService) int {
	common := 0
	for _, s := range services {
		for a, b := common, max(0, s.Weight); ; a, b = b, a%b {
			if b == 0 {
				common = a
				break
			}
		}
	}
	return max(1, common)
}
