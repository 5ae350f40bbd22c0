package capacity

import (
	"fmt"
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/instance"
)

// deploymentSize is the size of a measured deployment.
type deploymentSize struct {
	targets, services, instances int
	links                        int // links of one instance to one target
	answers                      int // responses before a cold target is warm
	address                      func(i int) string
}

const (
	zoneCount      = 5
	slotsPerTarget = 32
)

// configuration returns a configuration with the targets evenly distributed
// over the services and availability zones.
func (s deploymentSize) configuration() *config.Configuration {
	c := &config.Configuration{
		Deployment: "capacity", MaxInstances: max(1, s.instances), DirectoryLifetimeMs: 30_000,
		Measuring: config.Measuring{ProbesPerSecond: 2},
	}
	for z := range zoneCount {
		c.Zones = append(c.Zones, config.Zone{Name: fmt.Sprintf("az-%d", z+1), Region: fmt.Sprintf("region-%d", z%2+1), RoundTripMs: 3})
	}
	for n := range max(1, s.services) {
		c.Services = append(c.Services, config.Service{
			Name: fmt.Sprintf("service-%02d", n+1), QueueLimit: 500, RetryPercent: 10,
			ColdStart: config.ColdStart{MaxConcurrent: slotsPerTarget, DurationMs: 1, Answers: s.answers},
			Classes: []config.Class{
				{Name: "status", Priority: config.PriorityInteractive, Idempotent: true, DeadlineMs: 10_000, MaxBodyBytes: 1 << 20},
				{Name: "reorder", Priority: config.PriorityInteractive, DeadlineMs: 10_000, MaxBodyBytes: 1 << 20},
				{Name: "upload", Priority: config.PriorityUpload, DeadlineMs: 60_000, MaxBodyBytes: 16 << 20},
				{Name: "report", Priority: config.PriorityDeferrable, Idempotent: true, DeadlineMs: 60_000, MaxBodyBytes: 1 << 20},
			},
		})
	}
	for i := range s.targets {
		address := fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250+1)
		if s.address != nil {
			address = s.address(i)
		}
		svc := &c.Services[i%len(c.Services)]
		svc.Targets = append(svc.Targets, config.Target{
			Name: fmt.Sprintf("%s-%04d", svc.Name, i+1), Address: address, Zone: c.Zones[i%zoneCount].Name,
			Slots: slotsPerTarget, Connections: max(1, s.links) * c.MaxInstances,
		})
	}
	return c
}

// testInstance returns the i-th entry instance as its heartbeats describe it.
func testInstance(now time.Time, i int) instance.Instance {
	id := fmt.Sprintf("entry-%d", i)
	return instance.Instance{
		ID: id, Incarnation: 1<<63 + uint64(i), Zone: fmt.Sprintf("az-%d", i%zoneCount+1), Sequence: instance.FirstSequence(now),
		Epoch: 14, ConfigVersion: 300, CallerAddress: fmt.Sprintf("10.1.%d.%d:8001", i/250, i%250+1),
		PeerAddress: fmt.Sprintf("10.1.%d.%d:9001", i/250, i%250+1), State: instance.StateLive,
	}
}
