// Package questionnaire defines the answers that a team gives about its services,
// validates them, and generates the configuration from them.
//
// The same answers always give the same configuration.
package questionnaire

// Answers is the completed questionnaire. Every field is required unless its
// description says that it is optional.
type Answers struct {
	// Title is the name of the deployment, in any language; at most 200 bytes
	// of UTF-8 text.
	Title string `json:"title"`
	// MaxInstances is the largest number of entry instances that run at the
	// same time, including instances that overlap while one replaces another.
	// Limits that all instances share are divided by it.
	MaxInstances int `json:"max_instances"`
	// DirectoryLifetimeMs is how long callers may cache the addresses of entry
	// instances, in milliseconds. Optional; 30000 if left out. A planned stop
	// of an instance takes at least as long.
	DirectoryLifetimeMs *int `json:"directory_lifetime_ms,omitempty"`
	// ProbesPerSecond is the maximum rate of load probes per server, in probes
	// per second, summed over all entry instances; 0 disables probes.
	ProbesPerSecond float64 `json:"probes_per_second"`
	// Zones lists the availability zones.
	Zones []Zone `json:"zones"`
	// Services lists the services.
	Services []Service `json:"services"`
}

// Zone is one availability zone.
type Zone struct {
	// Name of the availability zone; unique.
	Name string `json:"name"`
	// Region that the availability zone belongs to.
	Region string `json:"region"`
	// RoundTripMs is the network round-trip time between this availability zone
	// and the others of its region, in milliseconds.
	RoundTripMs float64 `json:"round_trip_ms"`
}

// Service is one service with its servers and request classes.
type Service struct {
	// Name of the service; unique.
	Name string `json:"name"`
	// Slots is the number of requests that one server processes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that one server accepts from all
	// entry instances together.
	Connections int `json:"connections"`
	// Groups describes numbered servers, one group per availability zone and
	// address pattern. Optional if servers are listed.
	Groups []Group `json:"groups,omitempty"`
	// Servers lists servers individually. Optional if there are groups.
	Servers []Server `json:"servers,omitempty"`
	// ColdStart limits the load on a server after it starts.
	ColdStart ColdStart `json:"cold_start"`
	// Classes lists the request classes of the service.
	Classes []Class `json:"classes"`
	// QueueLimit is the maximum number of requests that wait for a server in
	// one entry instance; 0 disables queueing. Optional; if left out, four times
	// the slots of all servers of the service.
	QueueLimit *int `json:"queue_limit,omitempty"`
	// RetryPercent is the retry budget, as a percentage of the requests; 0
	// disables retries. Optional; 10 if left out.
	RetryPercent *int `json:"retry_percent,omitempty"`
}

// Group is a set of numbered servers in one availability zone.
type Group struct {
	// Zone is the availability zone that the servers run in.
	Zone string `json:"zone"`
	// Count is the number of servers.
	Count int `json:"count"`
	// AddressPattern is the host:port of the servers, with {n} in place of the
	// number of the server, for example 10.1.0.{n}:8080.
	AddressPattern string `json:"address_pattern"`
	// First is the number of the first server; the others are numbered
	// consecutively. Optional; 1 if left out.
	First *int `json:"first,omitempty"`
}

// Server is a server that is listed individually.
type Server struct {
	// Name of the server; unique across all services.
	Name string `json:"name"`
	// Zone is the availability zone that the server runs in.
	Zone string `json:"zone"`
	// Address of the server as host:port.
	Address string `json:"address"`
}

// ColdStart limits the load on a server that has just started.
type ColdStart struct {
	// MaxConcurrent is the maximum number of concurrent requests on a cold
	// server, summed over all entry instances.
	MaxConcurrent int `json:"bears"`
	// DurationMs is the minimum time for which a server stays cold, in
	// milliseconds.
	DurationMs int `json:"for_ms"`
	// Answers is the number of complete responses that a cold server must
	// return before its limit is raised step by step. Optional; 5 if left out.
	Answers *int `json:"answers,omitempty"`
}

// Repeat says whether a request may be executed more than once.
type Repeat string

const (
	// RepeatNever marks requests that must not be executed twice.
	RepeatNever Repeat = "never"
	// RepeatIdempotent marks requests that may be executed any number of times.
	RepeatIdempotent Repeat = "idempotent"
)

// Class is a class of requests of a service that share the same limits.
type Class struct {
	// Name of the class; unique within its service.
	Name string `json:"name"`
	// Repeat is never if a request must not be executed twice, for example
	// because it transfers money, or idempotent if it may be executed any number
	// of times.
	Repeat Repeat `json:"repeat" jsonschema:"enum=never,enum=idempotent"`
	// Priority is interactive, upload or deferrable. Optional; if left out, it
	// is upload if upload is true, else deferrable if may_wait is true, else
	// interactive.
	Priority string `json:"priority,omitempty" jsonschema:"enum=interactive,enum=upload,enum=deferrable"`
	// DeadlineMs is the deadline of requests that set none, and the maximum for
	// those that do, in milliseconds.
	DeadlineMs int `json:"deadline_ms"`
	// MayWait is true if a request may wait up to its deadline while others are
	// served first. Optional; false if left out.
	MayWait bool `json:"may_wait,omitempty"`
	// Upload is true if a request carries a long upload that is always completed
	// once accepted. Optional; false if left out.
	Upload bool `json:"upload,omitempty"`
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}
