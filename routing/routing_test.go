package routing_test

import (
	"errors"
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

func route(host, prefix string, services ...routing.WeightedService) routing.Route {
	return routing.Route{Name: host + prefix, Host: host, Prefix: prefix, Kind: routing.KindNonIdempotent, Services: services}
}

func table(routes ...routing.Route) *routing.Table {
	return routing.NewTable(&routing.Config{Version: 1, Routes: routes}, 7)
}

var _ = Describe("Table", func() {
	// Guards against routing a request by a shorter prefix.
	It("prefers the longest prefix of the host", func() {
		t := table(
			route("a.example", "/x/", routing.WeightedService{Service: "short", Weight: 1}),
			route("a.example", "/x/y/", routing.WeightedService{Service: "long", Weight: 1}),
			route("b.example", "/x/y/z/", routing.WeightedService{Service: "other", Weight: 1}),
		)
		found, ok := t.Match("a.example", "/x/y/z/1")
		Expect(ok).To(BeTrue())
		Expect(found.Service).To(Equal("long"))
		found, ok = t.Match("A.example:8080", "/x/1")
		Expect(ok).To(BeTrue())
		Expect(found.Service).To(Equal("short"))
	})

	// Guards against a route that is not found because the Host header names an IPv6
	// address with a port.
	It("ignores the port of an IPv6 address", func() {
		t := table(route("[::1]", "/", routing.WeightedService{Service: "a", Weight: 1}))
		for _, host := range []string{"[::1]", "[::1]:8080"} {
			_, ok := t.Match(host, "/x")
			Expect(ok).To(BeTrue(), host)
		}
	})

	// Guards against a configuration that ends the process: the sum of such weights
	// overflowed, and a slice of negative capacity was made.
	DescribeTable("rejects numbers that are out of range",
		func(change func(c *routing.Config)) {
			c := &routing.Config{
				Version: 1, Services: []routing.Service{{Name: "a"}, {Name: "b"}},
				Routes: []routing.Route{route("a.example", "/", routing.WeightedService{Service: "a", Weight: 1}, routing.WeightedService{Service: "b", Weight: 1})},
			}
			Expect(c.Validate()).To(Succeed())
			change(c)
			var invalid *routing.ConfigError
			Expect(errors.As(c.Validate(), &invalid)).To(BeTrue())
		},
		Entry("weights", func(c *routing.Config) {
			c.Routes[0].Services[0].Weight, c.Routes[0].Services[1].Weight = math.MaxInt64, math.MaxInt64
		}),
		Entry("negative weight", func(c *routing.Config) { c.Routes[0].Services[0].Weight = -1 }),
		Entry("rate while cold", func(c *routing.Config) { c.Services[0].ColdRequestsPerSecond = 1e300 }),
		Entry("negative rate while cold", func(c *routing.Config) { c.Services[0].ColdRequestsPerSecond = -1 }),
	)

	// Guards against matching a prefix with part of a path segment or with another
	// host.
	It("finds no route for an unknown host or path", func() {
		t := table(route("a.example", "/x/", routing.WeightedService{Service: "short", Weight: 1}))
		for _, request := range [][2]string{{"a.example", "/xy"}, {"a.example", "/x"}, {"c.example", "/x/1"}} {
			_, ok := t.Match(request[0], request[1])
			Expect(ok).To(BeFalse(), "%v", request)
		}
	})

	// Guards against a traffic split that deviates from the weights.
	It("splits requests by weight in each full cycle", func() {
		t := table(route("a.example", "/", routing.WeightedService{Service: "a", Weight: 90}, routing.WeightedService{Service: "b", Weight: 10}))
		counts := map[string]int{}
		for range 200 {
			found, _ := t.Match("a.example", "/1")
			counts[found.Service]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 180, "b": 20}))
	})

	// Guards against sending requests to a service without weight.
	It("sends no requests to a service with weight 0", func() {
		t := table(route("a.example", "/", routing.WeightedService{Service: "a", Weight: 0}, routing.WeightedService{Service: "b", Weight: 5}))
		for range 10 {
			found, _ := t.Match("a.example", "/1")
			Expect(found.Service).To(Equal("b"))
		}
	})
})

var _ = Describe("Validate", func() {
	valid := func() *routing.Config {
		return &routing.Config{
			Version:  3,
			Routes:   []routing.Route{route("a.example", "/x/", routing.WeightedService{Service: "s", Weight: 1})},
			Services: []routing.Service{{Name: "s"}},
		}
	}

	It("accepts a valid configuration", func() { Expect(valid().Validate()).To(Succeed()) })

	// Guards against replacing a valid configuration by an invalid one.
	DescribeTable("rejects an invalid configuration",
		func(invalidate func(*routing.Config)) {
			c := valid()
			invalidate(c)
			var configErr *routing.ConfigError
			Expect(errors.As(c.Validate(), &configErr)).To(BeTrue())
		},
		Entry("unknown service", func(c *routing.Config) { c.Services = nil }),
		Entry("no service", func(c *routing.Config) { c.Routes[0].Services = nil }),
		Entry("unknown kind", func(c *routing.Config) { c.Routes[0].Kind = 0 }),
		Entry("no host", func(c *routing.Config) { c.Routes[0].Host = "" }),
		Entry("relative prefix", func(c *routing.Config) { c.Routes[0].Prefix = "x/" }),
	)
})
