// Package routing decides which service a request goes to. A Table is made from
// one version of the configuration and is immutable but for the counters that
// keep the shares of a split route.
//
// The package does no I/O; randomness comes from the caller.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindOnce requests run at most once.
	KindOnce
	// KindUpload requests run at most once and carry a large body.
	KindUpload
)

// Repeatable tells whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == KindIdempotent }

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Timeout  time.Duration // longest time until a final answer; 0 if unlimited
	Aim      time.Duration // time within which an answer has its full worth
	Attempts int           // most targets that one request may be sent to
	Priority int           // 0 is the most urgent
	Shares   []Share
}

// Service is what the configuration says about the targets of one service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // accepted by one target from all callers together
	ColdFor        time.Duration // how long a target is cold after its start
	ColdPerSecond  float64       // requests that a cold target bears
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// ConfigError reports a configuration that cannot be put in force.
type ConfigError struct {
	Version uint64
	Problem string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration %d: %s", e.Version, e.Problem)
}

// Validate returns a *ConfigError if a route names an unknown service, or has no
// prefix, kind or service.
func (c *Config) Validate() error {
	known := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		known[s.Name] = true
	}
	for _, r := range c.Routes {
		switch {
		case r.Host == "" || !strings.HasPrefix(r.Prefix, "/"):
			return &ConfigError{c.Version, fmt.Sprintf("route %q has no host or no prefix", r.Name)}
		case r.Kind == 0:
			return &ConfigError{c.Version, fmt.Sprintf("route %q has an unknown kind", r.Name)}
		case len(r.Shares) == 0:
			return &ConfigError{c.Version, fmt.Sprintf("route %q names no service", r.Name)}
		}
		for _, share := range r.Shares {
			if !known[share.Service] {
				return &ConfigError{c.Version, fmt.Sprintf("route %q names the unknown service %q", r.Name, share.Service)}
			}
		}
	}
	return nil
}

// Table finds the route of a request. It is safe for concurrent use.
type Table struct {
	Config *Config
	hosts  map[string][]*entry // longest prefix first
	least  map[string]int      // priority of the least urgent route of each service
}

// entry is a route with the place in its cycle of shares.
type entry struct {
	route *Route
	cycle []string // services in the order in which requests go to them
	next  atomic.Uint64
}

// NewTable returns the table of a valid configuration. The random word sets the
// place in the cycle at which each split route begins, so that instances do not
// send their first requests to the same service.
func NewTable(config *Config, random uint64) *Table {
	t := &Table{Config: config, hosts: make(map[string][]*entry), least: make(map[string]int)}
	for i := range config.Routes {
		route := &config.Routes[i]
		for _, share := range route.Shares {
			t.least[share.Service] = max(t.least[share.Service], route.Priority)
		}
		e := &entry{route: route, cycle: cycleOf(route.Shares)}
		if len(e.cycle) > 1 {
			e.next.Store((random + uint64(i)*0x9e3779b9) % uint64(len(e.cycle)))
		}
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *entry) int {
			return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix))
		})
	}
	return t
}

// Decision is where a request goes.
type Decision struct {
	Route   *Route
	Service string
	// Urgent is true if the service has requests that are less urgent.
	Urgent bool
}

// Match returns the decision for the next request of a host and path, or false if
// no route matches. Each call takes one place in the route's cycle of shares.
func (t *Table) Match(host, path string) (Decision, bool) {
	for _, e := range t.hosts[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, e.route.Prefix) {
			name := e.take()
			return Decision{Route: e.route, Service: name, Urgent: e.route.Priority < t.least[name]}, true
		}
	}
	return Decision{}, false
}

func (e *entry) take() string {
	if len(e.cycle) == 1 {
		return e.cycle[0]
	}
	return e.cycle[(e.next.Add(1)-1)%uint64(len(e.cycle))]
}

func withoutPort(host string) string {
	if name, port, found := strings.Cut(host, ":"); found && !strings.Contains(port, ":") {
		return name
	}
	return host
}

// maxCycle bounds the length of a cycle; weights are scaled to fit.
const maxCycle = 1000

// cycleOf spreads the services over a cycle in proportion to their weights, each
// service as evenly as possible (smooth weighted round robin).
func cycleOf(shares []Share) []string {
	total := 0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	if len(shares) == 1 || total == 0 {
		return []string{shares[0].Service}
	}
	length := min(total/divisor(shares), maxCycle)
	current := make([]int, len(shares))
	cycle := make([]string, 0, length)
	for range length {
		best := 0
		for i := range shares {
			current[i] += max(0, shares[i].Weight)
			if current[i] > current[best] {
				best = i
			}
		}
		current[best] -= total
		cycle = append(cycle, shares[best].Service)
	}
	return cycle
}

// divisor returns the greatest common divisor of the weights.
func divisor(shares []Share) int {
	common := 0
	for _, s := range shares {
		for a, b := common, max(0, s.Weight); ; a, b = b, a%b {
			if b == 0 {
				common = a
				break
			}
		}
	}
	return max(1, common)
}
