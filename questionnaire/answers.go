// Package questionnaire holds what a team answers about its services, and
// generates the configuration from it.
//
// The same answers always give the same configuration.
package questionnaire

// Answers is the answered questionnaire. Every field is required unless its
// description says that it is optional.
type Answers struct {
	// Title names the deployment, in any language; at most 200 bytes of UTF-8
	// text.
	Title string `json:"title"`
	// MaxInstances is the largest number of entry instances that ever run at
	// the same time, including replacements that overlap. Shares of limits are
	// divided by it.
	MaxInstances int `json:"max_instances"`
	// DirectoryLifetimeMs is how long callers keep the addresses of entry
	// instances, in milliseconds. Optional; 30000 if left out. A planned stop
	// of an instance takes at least as long.
	DirectoryLifetimeMs *int `json:"directory_lifetime_ms,omitempty"`
	// ProbesPerSecond is how many load probes each server may get per second,
	// from all entry instances together; 0 turns probes off.
	ProbesPerSecond float64 `json:"probes_per_second"`
	// Zones lists the availability zones.
	Zones []Zone `json:"zones"`
	// Services lists the services.
	Services []Service `json:"services"`
}

// Zone is one availability zone.
type Zone struct {
	// Name of the availability zone, unique.
	Name string `json:"name"`
	// Region that the availability zone belongs to.
	Region string `json:"region"`
	// RoundTripMs is the network round trip between this availability zone and
	// the others of its region, in milliseconds.
	RoundTripMs float64 `json:"round_trip_ms"`
}

// Service is one service with its servers and its kinds of requests.
type Service struct {
	// Name of the service, unique.
	Name string `json:"name"`
	// Slots is how many requests one server works on at the same time.
	Slots int `json:"slots"`
	// Connections is how many connections one server accepts, from all entry
	// instances together.
	Connections int `json:"connections"`
	// Groups describe servers by their number per availability zone. Optional
	// if servers are listed.
	Groups []Group `json:"groups,omitempty"`
	// Servers lists servers one by one. Optional if there are groups.
	Servers []Server `json:"servers,omitempty"`
	// ColdStart is what a server bears after it started.
	ColdStart ColdStart `json:"cold_start"`
	// Classes lists the kinds of requests.
	Classes []Class `json:"classes"`
	// QueueLimit bounds the requests that wait in one entry instance; with 0
	// none waits. Optional; if left out, four times the slots of all servers of the service.
	QueueLimit *int `json:"queue_limit,omitempty"`
	// RetryPercent bounds retries, in percent of the requests; 0 turns them off.
	// Optional; 10 if left out.
	RetryPercent *int `json:"retry_percent,omitempty"`
}

// Group is a number of servers in one availability zone.
type Group struct {
	// Zone that the servers run in.
	Zone string `json:"zone"`
	// Count of the servers.
	Count int `json:"count"`
	// AddressPattern is the host:port of the servers, with {n} in place of the
	// number that differs, for example 10.1.0.{n}:8080.
	AddressPattern string `json:"address_pattern"`
	// First is the number of the first server; the others follow. Optional; 1
	// if left out.
	First *int `json:"first,omitempty"`
}

// Server is one listed server.
type Server struct {
	// Name of the server, unique among all services.
	Name string `json:"name"`
	// Zone that the server runs in.
	Zone string `json:"zone"`
	// Address of the server, host:port.
	Address string `json:"address"`
}

// ColdStart is what a server bears after it started.
type ColdStart struct {
	// Bears is how many requests a cold server can work on at the same time.
	Bears int `json:"bears"`
	// ForMs is how long a server stays cold at least, in milliseconds.
	ForMs int `json:"for_ms"`
	// Answers is how many complete answers a cold server gives before it gets
	// more. Optional; 5 if left out.
	Answers *int `json:"answers,omitempty"`
}

// Repeat tells whether a request may run more than once.
type Repeat string

const (
	// RepeatNever is for requests that must not run twice.
	RepeatNever Repeat = "never"
	// RepeatIdempotent is for requests that may run any number of times.
	RepeatIdempotent Repeat = "idempotent"
)

// Class is one kind of request.
type Class struct {
	// Name of the class, unique in its service.
	Name string `json:"name"`
	// Repeat is never if a request must not run twice, for example because it
	// moves money, or idempotent if it may run any number of times.
	Repeat Repeat `json:"repeat" jsonschema:"enum=never,enum=idempotent"`
	// Priority is interactive, upload or deferrable. Optional; if left out it
	// follows from upload and may_wait: upload for uploads, deferrable for
	// requests that may wait, interactive for all others.
	Priority string `json:"priority,omitempty" jsonschema:"enum=interactive,enum=upload,enum=deferrable"`
	// DeadlineMs is how long a caller waits at most, in milliseconds.
	DeadlineMs int `json:"deadline_ms"`
	// MayWait is true if a request need not be answered at once. Optional;
	// false if left out.
	MayWait bool `json:"may_wait,omitempty"`
	// Upload is true if a request carries a long upload that is kept and
	// finished once it was accepted. Optional; false if left out.
	Upload bool `json:"upload,omitempty"`
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}
