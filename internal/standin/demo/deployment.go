package demo

import (
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/standin/testcluster"
	"fulmarhoist.example/internal/standin/traffic"
)

const (
	// meanServiceTime gives the 18 targets a capacity of 2,400 requests per
	// second. Half of that leaves most of a small machine idle.
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
func servicePlans(seed uint64) []testcluster.ServicePlan {
	return []testcluster.ServicePlan{
		{
			Name: "orders", Targets: 12, Slots: 2, Connections: 250,
			MeanServiceTime: meanServiceTime, ServiceTimeStdDev: serviceTimeStdDev, Seed: seed,
			ColdStart: config.ColdStart{MaxConcurrent: 1, DurationMs: int(coldDuration.Milliseconds()), Answers: coldMinAnswers},
			Classes: []config.Class{
				traffic.NewClass("status", config.PriorityInteractive, true),
				traffic.NewClass("reorder", config.PriorityInteractive, false),
				traffic.NewClass("scan", config.PriorityUpload, false),
			},
		},
		{
			Name: "depot", Targets: 6, Slots: 4, Connections: 200,
			MeanServiceTime: meanServiceTime, ServiceTimeStdDev: serviceTimeStdDev, Seed: seed + 100,
			ColdStart: config.ColdStart{MaxConcurrent: 3, DurationMs: int(coldDuration.Milliseconds()), Answers: coldMinAnswers},
			Classes: []config.Class{
				traffic.NewClass("status", config.PriorityInteractive, true),
				traffic.NewClass("report", config.PriorityDeferrable, true),
			},
		},
	}
}

// requestMix returns the kinds of request. Their weights put the same load on
// both services, which have the same capacity.
func requestMix() []traffic.RequestKind {
	return []traffic.RequestKind{
		{Service: "orders", Class: "status", Idempotent: true, Method: "GET", Weight: 60},
		{Service: "orders", Class: "reorder", Method: "POST", Body: []byte(`{"box":"daily lenses"}`), Weight: 30},
		{Service: "orders", Class: "scan", Method: "PUT", Body: make([]byte, scanBytes), Weight: 10},
		{Service: "depot", Class: "status", Idempotent: true, Method: "GET", Weight: 80},
		{Service: "depot", Class: "report", Idempotent: true, Method: "GET", Weight: 20},
	}
}
