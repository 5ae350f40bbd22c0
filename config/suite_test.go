package config_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// sampleConfig returns a valid configuration if queueLimit is not negative. The
// queue limit distinguishes one sample from another.
func sampleConfig(queueLimit int) *config.Configuration {
	return &config.Configuration{
		Deployment: "test", MaxInstances: 7, DirectoryLifetimeMs: 30_000,
		Measuring: config.Measuring{ProbesPerSecond: 2},
		Zones:     []config.Zone{{Name: "az-1", Region: "r", RoundTripMs: 3}, {Name: "az-2", Region: "r", RoundTripMs: 3}},
		Services: []config.Service{{
			Name:    "orders",
			Classes: []config.Class{{Name: "status", Priority: config.PriorityInteractive, Idempotent: true, DeadlineMs: 1000, MaxBodyBytes: 1024}},
			Targets: []config.Target{
				{Name: "orders-1", Address: "127.0.0.1:9001", Zone: "az-1", Slots: 2, Connections: 250},
				{Name: "orders-2", Address: "127.0.0.1:9002", Zone: "az-2", Slots: 2, Connections: 250},
			},
			ColdStart:  config.ColdStart{MaxConcurrent: 1, DurationMs: 5000, Answers: 5},
			QueueLimit: queueLimit, RetryPercent: 10,
		}},
	}
}
