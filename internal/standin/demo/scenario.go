// Package demo starts a deployment of stand-ins and entry instances, sends load
// while an availability zone is taken out of service and brought back, and
// counts in the targets' journals whether the promises were kept.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/traffic"
)

const (
	// warmUp is the length of the load that ends the cold start of the targets,
	// and warmUpShare its share of the capacity: cold targets of orders bear
	// half of what warm ones do.
	warmUp      = 5 * time.Second
	warmUpShare = 0.2

	duration  = 15 * time.Second
	loadShare = 0.5

	outAfter  = 5 * time.Second
	backAfter = 10 * time.Second
	zoneOut   = "az-2"

	phaseWarmUp = "warm-up"
	phaseRun    = "run"
)

// Settings of a demo.
type Settings struct {
	// Bin is the folder with the programs fulmarhoistd and standin.
	Bin       string
	Instances int
	Seed      uint64
	Out       io.Writer
}

// scenario is a running demo.
type scenario struct {
	settings Settings
	fleet    *fleet.Fleet
	sender   *traffic.Sender
	zone     traffic.Outage
}

// Run runs the scenario, prints the report and returns a BrokenError if a
// promise was broken. Everything that was started has ended when it returns.
func Run(ctx context.Context, settings Settings) error {
	dir, err := os.MkdirTemp("", "fulmarhoist-demo-")
	if err != nil {
		return fmt.Errorf("make a folder for the demo: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	plans := services(settings.Seed)
	s := &scenario{settings: settings}
	s.say("Starting %d targets, %d entry instances, the log service and the instance list.", targetCount(plans), settings.Instances)
	s.fleet, err = fleet.Start(ctx, fleet.Plan{
		Bin: settings.Bin, Dir: dir, Zones: zones, Instances: settings.Instances,
		Services: plans, DirectoryLifetime: directoryLifetime,
	})
	if err != nil {
		return fmt.Errorf("start the deployment: %w", err)
	}
	defer s.fleet.Stop()
	s.sender, err = traffic.NewSender(s.fleet, mix())
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

func targetCount(plans []fleet.ServicePlan) int {
	count := 0
	for _, plan := range plans {
		count += plan.Targets
	}
	return count
}

func (s *scenario) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.settings.Out, format+"\n", args...)
}

// observe sends the load and collects what callers and targets recorded.
func (s *scenario) observe(ctx context.Context, capacity float64) (*Evidence, error) {
	s.say("Warming up for %v at %.0f requests/s.", warmUp, warmUpShare*capacity)
	s.sender.Phase = phaseWarmUp
	if _, err := s.sender.SendLoad(ctx, traffic.Load{Rate: warmUpShare * capacity, Length: warmUp, Seed: s.settings.Seed + 1}); err != nil {
		return nil, err
	}
	began := time.Now()
	before, err := traffic.ReadRecords(ctx, s.fleet)
	if err != nil {
		return nil, err
	}
	s.say("Sending %.0f requests/s, %.0f%% of the capacity, for %v, seed %d.", loadShare*capacity, 100*loadShare, duration, s.settings.Seed)
	s.sender.Phase = phaseRun
	run := traffic.Load{Rate: loadShare * capacity, Length: duration, Seed: s.settings.Seed}
	load, err := s.sender.SendLoadWhile(ctx, run, s.operate)
	if err != nil {
		return nil, err
	}
	after, err := traffic.ReadRecords(ctx, s.fleet)
	if err != nil {
		return nil, err
	}
	return &Evidence{
		Kinds: s.sender.Kinds, Works: s.sender.Works(), Load: load, Targets: after, Zone: s.zone,
		Probes: Probes{
			Before: before, Window: time.Since(began), Instances: s.settings.Instances,
			Budget: s.fleet.Config.Measuring.ProbesPerSecond,
		},
	}, nil
}

// operate takes the zone out and brings it back. Its servers restart before they
// return, as after maintenance, so they are cold.
func (s *scenario) operate(ctx context.Context) error {
	start := time.Now()
	if err := traffic.WaitUntil(ctx, start.Add(outAfter)); err != nil {
		return err
	}
	if err := s.fleet.SetZoneOut(ctx, zoneOut, true); err != nil {
		return fmt.Errorf("take %s out of service: %w", zoneOut, err)
	}
	s.zone = traffic.Outage{Zone: zoneOut, Accepted: time.Now()}
	s.say("%5.1f s  %s taken out of service.", time.Since(start).Seconds(), zoneOut)
	if err := traffic.WaitUntil(ctx, start.Add(backAfter)); err != nil {
		return err
	}
	s.zone.Back = time.Now()
	if err := s.fleet.RestartZone(ctx, zoneOut); err != nil {
		return fmt.Errorf("bring %s back: %w", zoneOut, err)
	}
	if err := s.fleet.SetZoneOut(ctx, zoneOut, false); err != nil {
		return fmt.Errorf("bring %s back: %w", zoneOut, err)
	}
	s.say("%5.1f s  %s brought back; its servers have restarted and are cold.", time.Since(start).Seconds(), zoneOut)
	return nil
}
