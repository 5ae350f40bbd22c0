package config

import (
	"fmt"
	"math"
)

// Limits of a configuration. They leave room above the design scale of 1,000
// servers in 29 services and keep the encoded configuration far below the frame
// limit of 4 MiB between instances.
const (
	MaxZones        = 64
	MaxServices     = 256
	MaxClasses      = 64   // per service
	MaxTargets      = 4096 // over all services
	MaxMaxInstances = 256
	MaxDeadlineMs   = 24 * 60 * 60 * 1000
	MaxBody         = 1 << 30
	MaxRoundTripMs  = 10_000
	MaxProbes       = 1_000
	MaxDeployment   = 200 // bytes
	maxSlots        = 10_000
	maxConnections  = 100_000
	maxQueue        = 1_000_000
	maxColdMs       = 60 * 60 * 1000
	maxColdAnswers  = 100_000
	minLifetimeMs   = 1_000
	maxLifetimeMs   = 10 * 60 * 1000
)

// validator carries what must be known across the sections.
type validator struct {
	Problems
	config    *Configuration
	zones     map[string]struct{}
	targets   Seen
	addresses Seen
}

// Validate returns all problems of a configuration, in the order of its fields.
// It depends on nothing but its argument, so that all instances agree.
func Validate(c *Configuration) []Problem {
	if c == nil {
		return []Problem{{Path: "", Fault: "there is no configuration", Remedy: "generate one from the answers"}}
	}
	v := &validator{config: c, zones: map[string]struct{}{}, targets: Seen{}, addresses: Seen{}}
	v.Text("deployment", c.Deployment, MaxDeployment)
	v.Int("max_instances", int64(c.MaxInstances), Range{1, MaxMaxInstances})
	v.Int("directory_lifetime_ms", int64(c.DirectoryLifetimeMs), Range{minLifetimeMs, maxLifetimeMs})
	v.Float("measuring.probes_per_second", c.Measuring.ProbesPerSecond, MaxProbes)
	v.checkZones()
	v.checkServices()
	return v.Problems
}

func (v *validator) count(path string, n, limit int) {
	if n == 0 {
		v.Add(path, "the list is empty", "list at least one")
	}
	if n > limit {
		v.Add(path, fmt.Sprintf("the list has %d entries", n), fmt.Sprintf("list at most %d", limit))
	}
}

func (v *validator) checkZones() {
	v.count("zones", len(v.config.Zones), MaxZones)
	names := Seen{}
	for i := range v.config.Zones {
		z, path := &v.config.Zones[i], fmt.Sprintf("zones[%d]", i)
		v.Name(path+".name", z.Name)
		names.Once(&v.Problems, path+".name", z.Name)
		v.zones[z.Name] = struct{}{}
		v.Name(path+".region", z.Region)
		v.Float(path+".round_trip_ms", z.RoundTripMs, MaxRoundTripMs)
	}
}

func (v *validator) checkServices() {
	v.count("services", len(v.config.Services), MaxServices)
	names, total := Seen{}, 0
	for i := range v.config.Services {
		s, path := &v.config.Services[i], fmt.Sprintf("services[%d]", i)
		v.Name(path+".name", s.Name)
		names.Once(&v.Problems, path+".name", s.Name)
		v.checkClasses(path+".classes", s.Classes)
		slots := v.checkTargets(path+".targets", s.Targets)
		v.checkColdStart(path+".cold_start", s.ColdStart, slots)
		v.Int(path+".queue_limit", int64(s.QueueLimit), Range{0, maxQueue})
		v.Int(path+".retry_percent", int64(s.RetryPercent), Range{0, 100})
		total += len(s.Targets)
	}
	if total > MaxTargets {
		v.Add("services", fmt.Sprintf("the services have %d targets together", total),
			fmt.Sprintf("list at most %d", MaxTargets))
	}
}

func (v *validator) checkClasses(path string, classes []Class) {
	v.count(path, len(classes), MaxClasses)
	names := Seen{}
	for i := range classes {
		c, at := &classes[i], fmt.Sprintf("%s[%d]", path, i)
		v.Name(at+".name", c.Name)
		names.Once(&v.Problems, at+".name", c.Name)
		if !c.Priority.Known() {
			v.Add(at+".priority", fmt.Sprintf("%q is not a priority", Shorten(string(c.Priority))),
				"use interactive, upload or deferrable")
		}
		v.Int(at+".deadline_ms", int64(c.DeadlineMs), Range{1, MaxDeadlineMs})
		v.Int(at+".max_body_bytes", c.MaxBodyBytes, Range{0, MaxBody})
	}
}

// checkTargets returns the smallest number of slots of the targets.
func (v *validator) checkTargets(path string, targets []Target) int {
	v.count(path, len(targets), MaxTargets)
	smallest := math.MaxInt
	for i := range targets {
		t, at := &targets[i], fmt.Sprintf("%s[%d]", path, i)
		v.Name(at+".name", t.Name)
		v.targets.Once(&v.Problems, at+".name", t.Name)
		v.Address(at+".address", t.Address)
		v.addresses.Once(&v.Problems, at+".address", t.Address)
		if _, found := v.zones[t.Zone]; !found {
			v.Add(at+".zone", fmt.Sprintf("availability zone %q is not listed under zones", Shorten(t.Zone)),
				"add the availability zone or name a listed one")
		}
		v.Int(at+".slots", int64(t.Slots), Range{1, maxSlots})
		v.Int(at+".connections", int64(t.Connections), Range{1, maxConnections})
		if t.Connections >= 1 && t.Connections < v.config.MaxInstances {
			v.Add(at+".connections", fmt.Sprintf("%d connections are fewer than the %d instances that connect",
				t.Connections, v.config.MaxInstances), "allow at least one connection per instance")
		}
		smallest = min(smallest, t.Slots)
	}
	return smallest
}

func (v *validator) checkColdStart(path string, c ColdStart, slots int) {
	v.Int(path+".bears", int64(c.Bears), Range{1, maxSlots})
	if c.Bears > slots && slots >= 1 {
		v.Add(path+".bears", fmt.Sprintf("a cold target cannot bear %d requests with %d slots", c.Bears, slots),
			"use at most the slots of the smallest target")
	}
	v.Int(path+".duration_ms", int64(c.DurationMs), Range{0, maxColdMs})
	v.Int(path+".answers", int64(c.Answers), Range{0, maxColdAnswers})
}

// Known tells whether the priority is one of the constants.
func (p Priority) Known() bool {
	return p == PriorityInteractive || p == PriorityUpload || p == PriorityDeferrable
}
