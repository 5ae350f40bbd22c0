package config_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
)

var _ = Describe("Validate", func() {
	It("accepts a complete configuration", func() {
		Expect(config.Validate(sampleConfig(1))).To(BeEmpty())
	})

	// Guards against a validation that stops at the first problem, so that an
	// operator can correct only one problem per attempt.
	It("reports every problem at once, in the same order each time", func() {
		c := sampleConfig(1)
		c.Deployment = "bad\x00text"
		c.Measuring.ProbesPerSecond = math.NaN()
		c.Zones[1].Name = "az-1"
		c.Services[0].Classes[0].Priority = "urgent"
		c.Services[0].Targets[1].Zone = "az-9"
		c.Services[0].Targets[1].Address = "127.0.0.1"
		c.Services[0].Targets[1].Connections = 6
		c.Services[0].ColdStart.MaxConcurrent = 3
		var paths []string
		for _, p := range config.Validate(c) {
			paths = append(paths, p.Path)
			Expect(p.Fault).NotTo(BeEmpty())
			Expect(p.Remedy).NotTo(BeEmpty())
		}
		Expect(paths).To(Equal([]string{
			"deployment", "measuring.probes_per_second", "zones[1].name", "services[0].classes[0].priority",
			"services[0].targets[1].address", "services[0].targets[1].zone", "services[0].targets[1].connections",
			"services[0].cold_start.bears",
		}))
		Expect(config.Validate(c)).To(Equal(config.Validate(c)))
	})

	It("reports problems of an empty and of a missing configuration", func() {
		Expect(config.Validate(nil)).To(HaveLen(1))
		Expect(len(config.Validate(&config.Configuration{}))).To(BeNumerically(">=", 5))
	})

	DescribeTable("checks addresses", func(address string, valid bool) {
		Expect(config.ValidAddress(address)).To(Equal(valid))
	},
		Entry(nil, "127.0.0.1:80", true), Entry(nil, "[::1]:80", true), Entry(nil, "host-1.example:65535", true),
		Entry(nil, "::1:80", false), Entry(nil, "[::1:80", false), Entry(nil, "[]:80", false), Entry(nil, ":80", false),
		Entry(nil, "h:0", false), Entry(nil, "h:65536", false), Entry(nil, "h:+80", false), Entry(nil, "a b:80", false),
	)
})

var _ = Describe("Diff", func() {
	It("identifies list entries by name, so that paths stay the same when others are added or removed", func() {
		a, b := sampleConfig(1), sampleConfig(2)
		b.Services[0].Targets = append([]config.Target{{Name: "orders-0", Address: "127.0.0.1:9000"}}, b.Services[0].Targets[1])
		b.Services[0].Targets[1].OutOfService = true
		b.Zones[0], b.Zones[1] = b.Zones[1], b.Zones[0]
		Expect(config.Diff(a, b)).To(Equal([]config.Change{
			{Path: "zones", Kind: config.Reordered},
			{Path: "services[orders].targets[orders-1]", Kind: config.Removed},
			{Path: "services[orders].targets[orders-2].out", Kind: config.Changed, Old: "false", New: "true"},
			{Path: "services[orders].targets[orders-0]", Kind: config.Added},
			{Path: "services[orders].queue_limit", Kind: config.Changed, Old: "1", New: "2"},
		}))
		Expect(config.Diff(a, a.Clone())).To(BeEmpty())
		Expect(config.Diff(nil, a)).NotTo(BeEmpty())
	})

	// Guards against a configuration generated from amended answers that puts a
	// zone back in service.
	It("keeps zones and targets out of service", func() {
		a, b := sampleConfig(1), sampleConfig(2)
		a.Zones[1].OutOfService, a.Services[0].Targets[0].OutOfService = true, true
		result := config.PreserveOutOfService(a, b)
		Expect(result.Zones[1].OutOfService).To(BeTrue())
		Expect(result.Services[0].Targets[0].OutOfService).To(BeTrue())
		Expect(b.Zones[1].OutOfService).To(BeFalse())
	})
})
