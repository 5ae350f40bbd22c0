package config_test

import (
	"fmt"
	"time"

	"fulmarhoist.example/config"
)

// If two publications have the same base version, every reader of the log
// accepts the one with the lower offset.
func ExampleStateMachine() {
	machine := config.NewStateMachine()
	verdicts := machine.Consume(time.Unix(0, 0), config.Batch{End: 2, Entries: []config.Entry{
		{Offset: 0, Record: config.Publication{ID: "first", Config: exampleConfiguration()}},
		{Offset: 1, Record: config.Publication{ID: "second", Config: exampleConfiguration()}},
	}})
	for _, verdict := range verdicts {
		fmt.Printf("%d %s %q\n", verdict.Offset, verdict.Kind, verdict.Reason)
	}
	state, _ := machine.InForce()
	fmt.Println("in force: version", state.Version, "of", state.ID)
	// Output:
	// 0 accepted ""
	// 1 rejected "stale-base"
	// in force: version 1 of first
}

func exampleConfiguration() *config.Configuration {
	return &config.Configuration{
		Deployment: "example", MaxInstances: 3, DirectoryLifetimeMs: 30_000,
		Zones: []config.Zone{{Name: "az-1", Region: "region-1"}},
		Services: []config.Service{{
			Name: "orders", QueueLimit: 100, RetryPercent: 10,
			Classes:   []config.Class{{Name: "status", Priority: config.PriorityInteractive, Idempotent: true, DeadlineMs: 2000, MaxBodyBytes: 1 << 20}},
			Targets:   []config.Target{{Name: "orders-1", Address: "127.0.0.1:7001", Zone: "az-1", Slots: 2, Connections: 250}},
			ColdStart: config.ColdStart{MaxConcurrent: 1, DurationMs: 2000, Answers: 5},
		}},
	}
}
