// Package traffic sends load to a cluster of stand-ins and evaluates what
// callers and targets recorded. The demo and the measurements use it.
package traffic

import (
	"time"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/testcluster"
)

const (
	// Deadline is the deadline of the requests of every class. It is well above
	// the longest wait for a target.
	Deadline = 5 * time.Second
	// maxBodyBytes bounds the request body in every class.
	maxBodyBytes = 1 << 20
)

// NewClass returns the configuration of a class.
func NewClass(name string, priority config.Priority, idempotent bool) config.Class {
	return config.Class{
		Name: name, Priority: priority, Idempotent: idempotent,
		DeadlineMs: int(Deadline.Milliseconds()), MaxBodyBytes: maxBodyBytes,
	}
}

// RequestKind is one kind of request in the load. Weight is its share of the
// requests, relative to the other kinds.
type RequestKind struct {
	Service, Class string
	Idempotent     bool
	Method         string
	Body           []byte
	Weight         float64
}

// Name returns the service and the class, separated by a slash.
func (k *RequestKind) Name() string { return k.Service + "/" + k.Class }

// request returns a request of this kind with the given path.
func (k *RequestKind) request(path string) caller.Request {
	return caller.Request{
		Service: k.Service, Class: k.Class, Idempotent: k.Idempotent,
		Method: k.Method, Path: path, Body: k.Body, Deadline: Deadline,
	}
}

// loadClasses returns the kinds as the load generator expects them.
func loadClasses(kinds []RequestKind) []loadgen.Class {
	classes := make([]loadgen.Class, 0, len(kinds))
	for i := range kinds {
		classes = append(classes, loadgen.Class{Name: kinds[i].Name(), Weight: kinds[i].Weight})
	}
	return classes
}

// Capacity returns the number of requests per second that all targets together
// can serve.
func Capacity(plans []testcluster.ServicePlan) float64 {
	requestsPerSecond := 0.0
	for _, plan := range plans {
		requestsPerSecond += float64(plan.Targets*plan.Slots) / plan.MeanServiceTime.Seconds()
	}
	return requestsPerSecond
}
