package demo

import (
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/traffic"
)

const (
	// meanServiceTime gives the 18 targets a capacity of 2,400 requests per second.
	// Half of that leaves most of a small machine idle.
	meanServiceTime   = 20 * time.Millisecond
	serviceTimeStdDev = 8 * time.Millisecond
	// coldDuration and coldMinAnswers are small enough for restarted targets to
	// become warm before the load ends.
	coldDuration   = 1500 * time.Millisecond
	coldMinAnswers = 5
	// scanBytes is the body size of an uploaded scan.
	scanBytes = 128 << 10
	// directoryLifetime is short because the demo takes only seconds.
	directoryLifetime = 2 * time.Second
)

var zones = []string{"az-1", "az-2", "az-3"}

// servicePlans returns services of the size that a small user has. A cold
// target of orders handles less than one request at once per instance, so the
// instances have to agree on which of them sends.
func servicePlans(seed uint64) []fleet.ServicePlan {
	return []fleet.ServicePlan{
		{
			Name: "orders", Targets: 12, Slots: 2, Connections: 250,
			Mean: meanServiceTime, Spread: serviceTimeStdDev, Seed: seed,
			Cold: config.ColdStart{Bears: 1, DurationMs: int(coldDuration.Milliseconds()), Answers: coldMinAnswers},
			Classes: []config.Class{
				traffic.Class("status", config.PriorityInteractive, true),
				traffic.Class("reorder", config.PriorityInteractive, false),
				traffic.Class("scan", config.PriorityUpload, false),
			},
		},
		{
			Name: "depot", Targets: 6, Slots: 4, Connections: 200,
			Mean: meanServiceTime, Spread: serviceTimeStdDev, Seed: seed + 100,
			Cold: config.ColdStart{Bears: 3, DurationMs: int(coldDuration.Milliseconds()), Answers: coldMinAnswers},
			Classes: []config.Class{
				traffic.Class("status", config.PriorityInteractive, true),
				traffic.Class("report", config.PriorityDeferrable, true),
			},
		},
	}
}

// requestMix returns the kinds of request. Their weights put the same load on
// both services, which have the same capacity.
func requestMix() []traffic.Kind {
	return []traffic.Kind{
		{Service: "orders", Class: "status", Idempotent: true, Method: "GET", Weight: 60},
		{Service: "orders", Class: "reorder", Method: "POST", Body: []byte(`{"box":"daily lenses"}`), Weight: 30},
		{Service: "orders", Class: "scan", Method: "PUT", Body: make([]byte, scanBytes), Weight: 10},
		{Service: "depot", Class: "status", Idempotent: true, Method: "GET", Weight: 80},
		{Service: "depot", Class: "report", Idempotent: true, Method: "GET", Weight: 20},
	}
}
