package demo

import (
	"time"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/fleet"
)

const (
	// serviceTime gives 18 targets a capacity of 2,400 requests per second, so
	// that half of it leaves most of a small machine idle.
	serviceTime   = 20 * time.Millisecond
	serviceSpread = 8 * time.Millisecond
	// coldFor and coldAnswers let targets that return become warm before the
	// load ends.
	coldFor     = 1500 * time.Millisecond
	coldAnswers = 5
	// deadline of every class; it is well above the longest wait for a target.
	deadline = 5 * time.Second
	// scanBytes is the size of an uploaded scan.
	scanBytes = 128 << 10
	maxBody   = 1 << 20
	// directoryLifetime is short, because the demo takes seconds.
	directoryLifetime = 2 * time.Second
)

var zones = []string{"az-1", "az-2", "az-3"}

// services are of the sizes of a small user. A cold target of orders bears less
// than one request per instance, so instances have to agree on who sends.
func services(seed uint64) []fleet.ServicePlan {
	return []fleet.ServicePlan{
		{
			Name: "orders", Targets: 12, Slots: 2, Connections: 250,
			Mean: serviceTime, Spread: serviceSpread, Seed: seed,
			Cold: config.ColdStart{Bears: 1, DurationMs: int(coldFor.Milliseconds()), Answers: coldAnswers},
			Classes: []config.Class{
				class("status", config.PriorityInteractive, true),
				class("reorder", config.PriorityInteractive, false),
				class("scan", config.PriorityUpload, false),
			},
		},
		{
			Name: "depot", Targets: 6, Slots: 4, Connections: 200,
			Mean: serviceTime, Spread: serviceSpread, Seed: seed + 100,
			Cold: config.ColdStart{Bears: 3, DurationMs: int(coldFor.Milliseconds()), Answers: coldAnswers},
			Classes: []config.Class{
				class("status", config.PriorityInteractive, true),
				class("report", config.PriorityDeferrable, true),
			},
		},
	}
}

func class(name string, priority config.Priority, idempotent bool) config.Class {
	return config.Class{
		Name: name, Priority: priority, Idempotent: idempotent,
		DeadlineMs: int(deadline.Milliseconds()), MaxBodyBytes: maxBody,
	}
}

// kind is one kind of request in the load.
type kind struct {
	service, class string
	idempotent     bool
	method         string
	body           []byte
	weight         float64
}

func (k *kind) name() string { return k.service + "/" + k.class }

// request makes the work with this path.
func (k *kind) request(path string) caller.Request {
	return caller.Request{
		Service: k.service, Class: k.class, Idempotent: k.idempotent,
		Method: k.method, Path: path, Body: k.body, Deadline: deadline,
	}
}

// mix puts the same load on both services, which have the same capacity.
func mix() []kind {
	return []kind{
		{service: "orders", class: "status", idempotent: true, method: "GET", weight: 60},
		{service: "orders", class: "reorder", method: "POST", body: []byte(`{"box":"daily lenses"}`), weight: 30},
		{service: "orders", class: "scan", method: "PUT", body: make([]byte, scanBytes), weight: 10},
		{service: "depot", class: "status", idempotent: true, method: "GET", weight: 80},
		{service: "depot", class: "report", idempotent: true, method: "GET", weight: 20},
	}
}

func loadClasses(kinds []kind) []loadgen.Class {
	classes := make([]loadgen.Class, 0, len(kinds))
	for i := range kinds {
		classes = append(classes, loadgen.Class{Name: kinds[i].name(), Weight: kinds[i].weight})
	}
	return classes
}

// capacity is the number of requests per second that all targets can serve.
func capacity(plans []fleet.ServicePlan) float64 {
	sum := 0.0
	for _, plan := range plans {
		sum += float64(plan.Targets*plan.Slots) / plan.Mean.Seconds()
	}
	return sum
}
