// Package demo starts a deployment of stand-ins and entry instances, sends load
// while an availability zone is taken out of service and brought back, and
// checks the promises against what callers and the journals of the targets
// recorded.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"fulmarhoist.example/internal/standin/testcluster"
	"fulmarhoist.example/internal/standin/traffic"
)

const (
	// warmUpDuration and warmUpLoadFraction describe the load that warms the
	// targets up. The load is a fraction of the capacity of warm targets; it is
	// low because cold targets of orders handle only half as many requests at
	// once.
	warmUpDuration     = 5 * time.Second
	warmUpLoadFraction = 0.2

	// loadDuration and loadFraction describe the load of the run itself.
	loadDuration = 15 * time.Second
	loadFraction = 0.5

	// zoneOutAfter and zoneBackAfter are the times, from the start of the load,
	// at which outageZone is taken out of service and brought back.
	zoneOutAfter  = 5 * time.Second
	zoneBackAfter = 10 * time.Second
	outageZone    = "az-2"

	// Phases of the load; the paths of requests contain them.
	phaseWarmUp = "warm-up"
	phaseRun    = "run"
)

// Settings configure a demo.
type Settings struct {
	// Bin is the directory with the programs fulmarhoistd and standin.
	Bin       string
	Instances int
	Seed      uint64    // of the load and the service times
	Out       io.Writer // gets the progress and the report
}

// scenario is a demo in progress.
type scenario struct {
	settings Settings
	cluster  *testcluster.Cluster
	sender   *traffic.Sender
	outage   traffic.Outage
}

// Run runs the scenario and prints the report. It returns a BrokenError if a
// promise was broken, and an InconclusiveError if a part of the scenario did
// not happen. All processes that it started have ended when it returns.
func Run(ctx context.Context, settings Settings) error {
	dir, err := os.MkdirTemp("", "fulmarhoist-demo-")
	if err != nil {
		return fmt.Errorf("create a directory for the demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	plans := servicePlans(settings.Seed)
	s := &scenario{settings: settings}
	s.printf("Starting %d targets, %d entry instances, the log service and the instance list.", targetCount(plans), settings.Instances)
	s.cluster, err = testcluster.Start(ctx, testcluster.Plan{
		Bin: settings.Bin, Dir: dir, Zones: zones, Instances: settings.Instances,
		Services: plans, DirectoryLifetime: directoryLifetime,
	})
	if err != nil {
		return fmt.Errorf("start the deployment: %w", err)
	}
	defer s.cluster.Stop()
	s.sender, err = traffic.NewSender(s.cluster, requestMix())
	if err != nil {
		return err
	}
	defer s.sender.Close()
	evidence, err := s.observe(ctx, traffic.Capacity(plans))
	if err != nil {
		return err
	}
	result := NewResult(evidence)
	if err := result.Print(settings.Out); err != nil {
		return err
	}
	return result.Verdict()
}

func targetCount(plans []testcluster.ServicePlan) int {
	count := 0
	for _, plan := range plans {
		count += plan.Targets
	}
	return count
}

// printf prints a line of progress.
func (s *scenario) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.settings.Out, format+"\n", args...)
}

// observe warms the targets up, sends the load while the zone is taken out and
// brought back, and collects what callers and targets recorded.
func (s *scenario) observe(ctx context.Context, capacity float64) (*Evidence, error) {
	s.printf("Warming up for %v at %.0f requests/s.", warmUpDuration, warmUpLoadFraction*capacity)
	s.sender.Phase = phaseWarmUp
	if _, err := s.sender.SendLoad(ctx, traffic.Load{Rate: warmUpLoadFraction * capacity, Duration: warmUpDuration, Seed: s.settings.Seed + 1}); err != nil {
		return nil, err
	}
	windowStart := time.Now()
	before, err := traffic.ReadRecords(ctx, s.cluster)
	if err != nil {
		return nil, err
	}
	s.printf("Sending %.0f requests/s, %.0f%% of the capacity, for %v, seed %d.", loadFraction*capacity, 100*loadFraction, loadDuration, s.settings.Seed)
	s.sender.Phase = phaseRun
	run := traffic.Load{Rate: loadFraction * capacity, Duration: loadDuration, Seed: s.settings.Seed}
	load, err := s.sender.SendLoadWhile(ctx, run, s.takeZoneOutAndBack)
	if err != nil {
		return nil, err
	}
	after, err := traffic.ReadRecords(ctx, s.cluster)
	if err != nil {
		return nil, err
	}
	return &Evidence{
		Kinds: s.sender.Kinds, Requests: s.sender.Requests(), Load: load, Targets: after, Zone: s.outage,
		Probes: ProbeUsage{
			Before: before, Window: time.Since(windowStart), Instances: s.settings.Instances,
			BudgetPerSecond: s.cluster.Config.Measuring.ProbesPerSecond,
		},
	}, nil
}

// takeZoneOutAndBack takes the zone out of service and brings it back. Its
// servers restart just before they return, as after maintenance, so they are
// cold.
func (s *scenario) takeZoneOutAndBack(ctx context.Context) error {
	start := time.Now()
	if err := traffic.WaitUntil(ctx, start.Add(zoneOutAfter)); err != nil {
		return err
	}
	if err := s.cluster.SetZoneOutOfService(ctx, outageZone, true); err != nil {
		return fmt.Errorf("take %s out of service: %w", outageZone, err)
	}
	s.outage = traffic.Outage{Zone: outageZone, RemovedAt: time.Now()}
	s.printf("%5.1f s  %s taken out of service.", time.Since(start).Seconds(), outageZone)
	if err := traffic.WaitUntil(ctx, start.Add(zoneBackAfter)); err != nil {
		return err
	}
	s.outage.ReturnedAt = time.Now()
	if err := s.cluster.RestartZone(ctx, outageZone); err != nil {
		return fmt.Errorf("restart the servers of %s: %w", outageZone, err)
	}
	if err := s.cluster.SetZoneOutOfService(ctx, outageZone, false); err != nil {
		return fmt.Errorf("bring %s back into service: %w", outageZone, err)
	}
	s.printf("%5.1f s  %s brought back; its servers have restarted and are cold.", time.Since(start).Seconds(), outageZone)
	return nil
}
