package demo

import (
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/traffic"
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
	// scanBytes is the size of an uploaded scan.
	scanBytes = 128 << 10
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
				traffic.Class("status", config.PriorityInteractive, true),
				traffic.Class("reorder", config.PriorityInteractive, false),
				traffic.Class("scan", config.PriorityUpload, false),
			},
		},
		{
			Name: "depot", Targets: 6, Slots: 4, Connections: 200,
			Mean: serviceTime, Spread: serviceSpread, Seed: seed + 100,
			Cold: config.ColdStart{Bears: 3, DurationMs: int(coldFor.Milliseconds()), Answers: coldAnswers},
			Classes: []config.Class{
				traffic.Class("status", config.PriorityInteractive, true),
				traffic.Class("report", config.PriorityDeferrable, true),
			},
		},
	}
}

// mix puts the same load on both services, which have the same capacity.
func mix() []traffic.Kind {
	return []traffic.Kind{
		{Service: "orders", Class: "status", Idempotent: true, Method: "GET", Weight: 60},
		{Service: "orders", Class: "reorder", Method: "POST", Body: []byte(`{"box":"daily lenses"}`), Weight: 30},
		{Service: "orders", Class: "scan", Method: "PUT", Body: make([]byte, scanBytes), Weight: 10},
		{Service: "depot", Class: "status", Idempotent: true, Method: "GET", Weight: 80},
		{Service: "depot", Class: "report", Idempotent: true, Method: "GET", Weight: 20},
	}
}
