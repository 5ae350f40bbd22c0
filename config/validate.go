package config

import (
	"fmt"
	"math"
)

// Limits of a configuration. They leave headroom above the design scale of
// 1,000 servers in 29 services, and keep the encoded configuration far below
// 4 MiB, the maximum size of a frame between instances.
const (
	MaxZones               = 64
	MaxServices            = 256
	MaxClasses             = 64   // per service
	MaxTargets             = 4096 // over all services
	MaxInstances           = 256
	MaxDeadlineMs          = 24 * 60 * 60 * 1000
	MaxBodyBytes           = 1 << 30
	MaxRoundTripMs         = 10_000
	MaxProbesPerSecond     = 1_000
	MaxDeploymentBytes     = 200
	maxSlots               = 10_000
	maxConnections         = 100_000
	maxQueueLimit          = 1_000_000
	maxColdStartMs         = 60 * 60 * 1000
	maxColdStartAnswers    = 100_000
	minDirectoryLifetimeMs = 1_000
	maxDirectoryLifetimeMs = 10 * 60 * 1000
)

// validator holds the state that is shared by the checks of all sections.
type validator struct {
	Problems
	config    *Configuration
	zones     map[string]struct{}
	targets   UniqueValues
	addresses UniqueValues
}

// Validate returns all problems of a configuration in the order of its fields.
// The result depends on nothing but the argument, so that all instances agree.
func Validate(c *Configuration) []Problem {
	if c == nil {
		return []Problem{{Path: "", Fault: "the configuration is missing", Remedy: "generate one from the answers"}}
	}
	v := &validator{config: c, zones: map[string]struct{}{}, targets: UniqueValues{}, addresses: UniqueValues{}}
	v.CheckText("deployment", c.Deployment, MaxDeploymentBytes)
	v.CheckInt("max_instances", int64(c.MaxInstances), Range{1, MaxInstances})
	v.CheckInt("directory_lifetime_ms", int64(c.DirectoryLifetimeMs), Range{minDirectoryLifetimeMs, maxDirectoryLifetimeMs})
	v.CheckFloat("measuring.probes_per_second", c.Measuring.ProbesPerSecond, MaxProbesPerSecond)
	v.checkZones()
	v.checkServices()
	return v.Problems
}

func (v *validator) checkLength(path string, n, limit int) {
	if n == 0 {
		v.Add(path, "the list is empty", "list at least one entry")
	}
	if n > limit {
		v.Add(path, fmt.Sprintf("the list has %d entries", n), fmt.Sprintf("list at most %d entries", limit))
	}
}

func (v *validator) checkZones() {
	v.checkLength("zones", len(v.config.Zones), MaxZones)
	names := UniqueValues{}
	for i := range v.config.Zones {
		z, path := &v.config.Zones[i], fmt.Sprintf("zones[%d]", i)
		v.CheckName(path+".name", z.Name)
		names.Check(&v.Problems, path+".name", z.Name)
		v.zones[z.Name] = struct{}{}
		v.CheckName(path+".region", z.Region)
		v.CheckFloat(path+".round_trip_ms", z.RoundTripMs, MaxRoundTripMs)
	}
}

func (v *validator) checkServices() {
	v.checkLength("services", len(v.config.Services), MaxServices)
	names, total := UniqueValues{}, 0
	for i := range v.config.Services {
		s, path := &v.config.Services[i], fmt.Sprintf("services[%d]", i)
		v.CheckName(path+".name", s.Name)
		names.Check(&v.Problems, path+".name", s.Name)
		v.checkClasses(path+".classes", s.Classes)
		minSlots := v.checkTargets(path+".targets", s.Targets)
		v.checkColdStart(path+".cold_start", s.ColdStart, minSlots)
		v.CheckInt(path+".queue_limit", int64(s.QueueLimit), Range{0, maxQueueLimit})
		v.CheckInt(path+".retry_percent", int64(s.RetryPercent), Range{0, 100})
		total += len(s.Targets)
	}
	if total > MaxTargets {
		v.Add("services", fmt.Sprintf("the services have %d targets in total", total),
			fmt.Sprintf("list at most %d targets", MaxTargets))
	}
}

func (v *validator) checkClasses(path string, classes []Class) {
	v.checkLength(path, len(classes), MaxClasses)
	names := UniqueValues{}
	for i := range classes {
		c, at := &classes[i], fmt.Sprintf("%s[%d]", path, i)
		v.CheckName(at+".name", c.Name)
		names.Check(&v.Problems, at+".name", c.Name)
		if !c.Priority.Valid() {
			v.Add(at+".priority", fmt.Sprintf("%q is not a priority", Shorten(string(c.Priority))),
				"use interactive, upload or deferrable")
		}
		v.CheckInt(at+".deadline_ms", int64(c.DeadlineMs), Range{1, MaxDeadlineMs})
		v.CheckInt(at+".max_body_bytes", c.MaxBodyBytes, Range{0, MaxBodyBytes})
	}
}

// checkTargets returns the number of slots of the target that has the fewest.
func (v *validator) checkTargets(path string, targets []Target) int {
	v.checkLength(path, len(targets), MaxTargets)
	minSlots := math.MaxInt
	for i := range targets {
		t, at := &targets[i], fmt.Sprintf("%s[%d]", path, i)
		v.CheckName(at+".name", t.Name)
		v.targets.Check(&v.Problems, at+".name", t.Name)
		v.CheckAddress(at+".address", t.Address)
		v.addresses.Check(&v.Problems, at+".address", t.Address)
		if _, found := v.zones[t.Zone]; !found {
			v.Add(at+".zone", fmt.Sprintf("availability zone %q is not listed under zones", Shorten(t.Zone)),
				"add the availability zone or name a listed one")
		}
		v.CheckInt(at+".slots", int64(t.Slots), Range{1, maxSlots})
		v.CheckInt(at+".connections", int64(t.Connections), Range{1, maxConnections})
		if t.Connections >= 1 && t.Connections < v.config.MaxInstances {
			v.Add(at+".connections", fmt.Sprintf("%d connections are fewer than the maximum of %d instances",
				t.Connections, v.config.MaxInstances), "allow at least one connection per instance")
		}
		minSlots = min(minSlots, t.Slots)
	}
	return minSlots
}

func (v *validator) checkColdStart(path string, c ColdStart, minSlots int) {
	v.CheckInt(path+".bears", int64(c.MaxConcurrent), Range{1, maxSlots})
	if c.MaxConcurrent > minSlots && minSlots >= 1 {
		v.Add(path+".bears", fmt.Sprintf("a cold target cannot process %d requests concurrently with %d slots", c.MaxConcurrent, minSlots),
			"use at most the number of slots of the smallest target")
	}
	v.CheckInt(path+".duration_ms", int64(c.DurationMs), Range{0, maxColdStartMs})
	v.CheckInt(path+".answers", int64(c.Answers), Range{0, maxColdStartAnswers})
}

// Valid reports whether the priority is one of the constants.
func (p Priority) Valid() bool {
	return p == PriorityInteractive || p == PriorityUpload || p == PriorityDeferrable
}
