// Package traffic sends load to a deployment of stand-ins and reads what callers
// and targets recorded. The demo and the measures use it.
package traffic

import (
	"time"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/fleet"
)

const (
	// Deadline of every class; it is well above the longest wait for a target.
	Deadline = 5 * time.Second
	maxBody  = 1 << 20
)

// Class describes a class for a configuration.
func Class(name string, priority config.Priority, idempotent bool) config.Class {
	return config.Class{
		Name: name, Priority: priority, Idempotent: idempotent,
		DeadlineMs: int(Deadline.Milliseconds()), MaxBodyBytes: maxBody,
	}
}

// Kind is one kind of request in the load.
type Kind struct {
	Service, Class string
	Idempotent     bool
	Method         string
	Body           []byte
	Weight         float64
}

// Name is the service and the class.
func (k *Kind) Name() string { return k.Service + "/" + k.Class }

// request makes the work with this path.
func (k *Kind) request(path string) caller.Request {
	return caller.Request{
		Service: k.Service, Class: k.Class, Idempotent: k.Idempotent,
		Method: k.Method, Path: path, Body: k.Body, Deadline: Deadline,
	}
}

func loadClasses(kinds []Kind) []loadgen.Class {
	classes := make([]loadgen.Class, 0, len(kinds))
	for i := range kinds {
		classes = append(classes, loadgen.Class{Name: kinds[i].Name(), Weight: kinds[i].Weight})
	}
	return classes
}

// Capacity is the number of requests per second that all targets can serve.
func Capacity(plans []fleet.ServicePlan) float64 {
	sum := 0.0
	for _, plan := range plans {
		sum += float64(plan.Targets*plan.Slots) / plan.Mean.Seconds()
	}
	return sum
}
