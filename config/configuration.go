// Package config defines the dynamic configuration that all entry instances
// share, its validation, and the state machine that decides which publication
// of the configuration stream is in force.
//
// A Configuration is immutable once it is accepted, so that readers can share
// it without locking.
package config

import "time"

// Configuration holds all operator-defined settings. It is generated from the
// answers to the questionnaire.
type Configuration struct {
	// Deployment is the name of the organisation that uses the deployment, for
	// example a company.
	Deployment string `json:"deployment"`
	// MaxInstances is the largest number of entry instances that run at the
	// same time, including instances that overlap while one replaces another.
	// Limits that all instances share are divided by it.
	MaxInstances int `json:"max_instances"`
	// DirectoryLifetimeMs is how long callers may cache a directory response, in
	// milliseconds.
	DirectoryLifetimeMs int `json:"directory_lifetime_ms"`
	// Measuring limits the cost of measuring the load of targets.
	Measuring Measuring `json:"measuring"`
	// Zones lists the availability zones.
	Zones []Zone `json:"zones"`
	// Services lists the services with their classes and targets.
	Services []Service `json:"services"`
}

// Measuring is the budget for load probes.
type Measuring struct {
	// ProbesPerSecond is the maximum rate of load probes per target, in probes
	// per second, summed over all instances.
	ProbesPerSecond float64 `json:"probes_per_second"`
}

// Zone is one availability zone.
type Zone struct {
	// Name of the availability zone; unique.
	Name string `json:"name"`
	// Region that the availability zone belongs to.
	Region string `json:"region"`
	// True while the zone is taken out of service by an operator.
	OutOfService bool `json:"out"`
	// RoundTripMs is the network round-trip time from any other zone of the
	// region, in milliseconds.
	RoundTripMs float64 `json:"round_trip_ms"`
}

// Service is one service with its request classes and targets.
type Service struct {
	// Name of the service; unique.
	Name string `json:"name"`
	// Classes lists the request classes of the service.
	Classes []Class `json:"classes"`
	// Targets lists the servers of the service.
	Targets []Target `json:"targets"`
	// ColdStart limits the load on a target of this service after it starts.
	ColdStart ColdStart `json:"cold_start"`
	// QueueLimit is the maximum number of requests that wait for a target in one
	// instance.
	QueueLimit int `json:"queue_limit"`
	// RetryPercent is the retry budget, as a percentage of the requests served.
	RetryPercent int `json:"retry_percent"`
}

// Priority decides which classes are served first when capacity is short.
type Priority string

const (
	// PriorityInteractive is served before all other priorities.
	PriorityInteractive Priority = "interactive"
	// PriorityUpload marks requests that are always completed once accepted.
	PriorityUpload Priority = "upload"
	// PriorityDeferrable marks requests that may wait up to the deadline of the
	// class.
	PriorityDeferrable Priority = "deferrable"
)

// Class is a class of requests of a service that share the same limits.
type Class struct {
	// Name of the class; unique within its service.
	Name string `json:"name"`
	// Priority is interactive, upload or deferrable.
	Priority Priority `json:"priority"`
	// Idempotent is false for requests that must never be executed twice.
	Idempotent bool `json:"idempotent"`
	// DeadlineMs is the deadline of requests that set none, and the maximum for
	// those that do, in milliseconds.
	DeadlineMs int `json:"deadline_ms"`
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Deadline returns DeadlineMs as a time.Duration.
func (c Class) Deadline() time.Duration { return time.Duration(c.DeadlineMs) * time.Millisecond }

// Target is one server of a service.
type Target struct {
	// Name of the server; unique across all services.
	Name string `json:"name"`
	// Address of the server as host:port; unique across all services.
	Address string `json:"address"`
	// Zone is the availability zone that the server runs in.
	Zone string `json:"zone"`
	// Slots is the number of requests that the server processes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts from all
	// instances together.
	Connections int `json:"connections"`
	// True while the server is taken out of service by an operator.
	OutOfService bool `json:"out"`
}

// ColdStart limits the load on a server that has just started.
type ColdStart struct {
	// Maximum number of concurrent requests on a cold server, summed over all
	// instances.
	MaxConcurrent int `json:"bears"`
	// DurationMs is the minimum time for which a server stays cold, in
	// milliseconds.
	DurationMs int `json:"duration_ms"`
	// Answers is the number of complete responses that a cold server must return
	// before its limit is raised step by step.
	Answers int `json:"answers"`
}

// Duration returns DurationMs as a time.Duration.
func (c ColdStart) Duration() time.Duration { return time.Duration(c.DurationMs) * time.Millisecond }

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Zone returns the availability zone with the given name.
func (c *Configuration) Zone(name string) (*Zone, bool) {
	for i := range c.Zones {
		if c.Zones[i].Name == name {
			return &c.Zones[i], true
		}
	}
	return nil, false
}

// Class returns the class with the given name.
func (s *Service) Class(name string) (*Class, bool) {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i], true
		}
	}
	return nil, false
}

// State is an accepted configuration with its version. Version 0 is the state
// before the first publication; its Config is nil.
type State struct {
	Version uint64         `json:"version"`
	ID      string         `json:"id"`     // random id of the publication
	Offset  uint64         `json:"offset"` // offset of the publication in the log
	Config  *Configuration `json:"config"`
}
