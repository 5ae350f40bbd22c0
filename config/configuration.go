// Package config holds the dynamic configuration that is in force on all entry
// instances, its validation, and the rule that orders publications.
//
// A Configuration is immutable after it was accepted; readers share it.
package config

import "time"

// Configuration is everything that operators decide. It is generated from the
// answers to the questionnaire.
type Configuration struct {
	// Deployment names the user of the product, for example a company.
	Deployment string `json:"deployment"`
	// MaxInstances is the largest number of entry instances that run at the
	// same time, including replacements that overlap. Shares are divided by it.
	MaxInstances int `json:"max_instances"`
	// DirectoryLifetimeMs is how long callers keep a directory answer, in
	// milliseconds.
	DirectoryLifetimeMs int `json:"directory_lifetime_ms"`
	// Measuring bounds what measuring load on targets may cost.
	Measuring Measuring `json:"measuring"`
	// Zones lists the availability zones.
	Zones []Zone `json:"zones"`
	// Services lists the services with their classes and targets.
	Services []Service `json:"services"`
}

// Measuring is the budget for load probes.
type Measuring struct {
	// ProbesPerSecond is the limit per target, over all instances together.
	ProbesPerSecond float64 `json:"probes_per_second"`
}

// Zone is one availability zone.
type Zone struct {
	// Name of the availability zone, unique.
	Name string `json:"name"`
	// Region that the availability zone belongs to.
	Region string `json:"region"`
	// Out is true while operators have taken the zone out of service.
	Out bool `json:"out"`
	// RoundTripMs is the round trip from any other zone of the region, in
	// milliseconds.
	RoundTripMs float64 `json:"round_trip_ms"`
}

// Service is one service with its targets.
type Service struct {
	// Name of the service, unique.
	Name string `json:"name"`
	// Classes lists the kinds of requests.
	Classes []Class `json:"classes"`
	// Targets lists the servers.
	Targets []Target `json:"targets"`
	// ColdStart is what a target of this service bears after it started.
	ColdStart ColdStart `json:"cold_start"`
	// QueueLimit bounds the requests that wait for a target in one instance.
	QueueLimit int `json:"queue_limit"`
	// RetryPercent is the retry budget, in percent of the requests served.
	RetryPercent int `json:"retry_percent"`
}

// Priority orders classes where capacity is short.
type Priority string

const (
	// PriorityInteractive serves before all others.
	PriorityInteractive Priority = "interactive"
	// PriorityUpload is kept and finished once accepted.
	PriorityUpload Priority = "upload"
	// PriorityDeferrable may wait, up to the class's deadline.
	PriorityDeferrable Priority = "deferrable"
)

// Class is one kind of request of a service.
type Class struct {
	// Name of the class, unique in its service.
	Name string `json:"name"`
	// Priority is interactive, upload or deferrable.
	Priority Priority `json:"priority"`
	// Idempotent is false for requests that must never run twice.
	Idempotent bool `json:"idempotent"`
	// DeadlineMs applies where a request names no deadline, and caps it; in
	// milliseconds.
	DeadlineMs int `json:"deadline_ms"`
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Deadline is DeadlineMs as a duration.
func (c Class) Deadline() time.Duration { return time.Duration(c.DeadlineMs) * time.Millisecond }

// Target is one server of a service.
type Target struct {
	// Name of the server, unique among all services.
	Name string `json:"name"`
	// Address of the server, host:port, unique among all services.
	Address string `json:"address"`
	// Zone is the availability zone that the server runs in.
	Zone string `json:"zone"`
	// Slots is how many requests the server works on at the same time.
	Slots int `json:"slots"`
	// Connections is how many connections the server accepts from all
	// instances together.
	Connections int `json:"connections"`
	// Out is true while operators have taken the server out of service.
	Out bool `json:"out"`
}

// ColdStart is what a server bears after it started.
type ColdStart struct {
	// Bears is the number of requests at the same time, over all instances.
	Bears int `json:"bears"`
	// DurationMs is how long a server stays cold at least, in milliseconds.
	DurationMs int `json:"duration_ms"`
	// Answers is the number of whole answers before the ramp starts.
	Answers int `json:"answers"`
}

// Duration is DurationMs as a duration.
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

// State is a configuration with its place in the order of publications.
// Version 0 is the state before the first publication, with a nil Config.
type State struct {
	Version uint64         `json:"version"`
	ID      string         `json:"id"`     // random id of the publication
	Offset  uint64         `json:"offset"` // offset of the publication in the log
	Config  *Configuration `json:"config"`
}
