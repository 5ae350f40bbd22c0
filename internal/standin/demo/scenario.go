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

	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/targetserver"
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

	maxOutstanding = 4000
	giveUpAfter    = time.Second
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
	sender   *sender
	zone     ZoneOutage
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
	s.sender, err = newSender(s.fleet, mix())
	if err != nil {
		return err
	}
	defer s.sender.close()
	evidence, err := s.observe(ctx, capacity(plans))
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
	s.sender.phase = phaseWarmUp
	if _, err := s.load(ctx, warmUpShare*capacity, warmUp, s.settings.Seed+1); err != nil {
		return nil, err
	}
	began := time.Now()
	before, err := s.journals(ctx)
	if err != nil {
		return nil, err
	}
	s.say("Sending %.0f requests/s, %.0f%% of the capacity, for %v, seed %d.", loadShare*capacity, 100*loadShare, duration, s.settings.Seed)
	s.sender.phase = phaseRun
	load, err := s.loadWithOutage(ctx, loadShare*capacity)
	if err != nil {
		return nil, err
	}
	after, err := s.journals(ctx)
	if err != nil {
		return nil, err
	}
	return &Evidence{
		Kinds: s.sender.kinds, Works: s.sender.works(), Load: load, Targets: after, Zone: s.zone,
		Probes: Probes{
			Before: before, Window: time.Since(began), Instances: s.settings.Instances,
			Budget: s.fleet.Config.Measuring.ProbesPerSecond,
		},
	}, nil
}

// InterruptedError reports a demo that was ended before the load was complete.
type InterruptedError struct{ Cause error }

func (e *InterruptedError) Error() string { return fmt.Sprintf("interrupted: %v", e.Cause) }

func (e *InterruptedError) Unwrap() error { return e.Cause }

func (s *scenario) load(ctx context.Context, rate float64, length time.Duration, seed uint64) (*loadgen.Report, error) {
	waiter, err := loadgen.NewKernelWaiter()
	if err != nil {
		return nil, fmt.Errorf("open a timer for the load: %w", err)
	}
	defer waiter.Close()
	report, err := loadgen.Run(ctx, loadgen.Settings{
		Rate: rate, Duration: length, Arrival: loadgen.Poisson, Seed: seed, Classes: loadClasses(s.sender.kinds),
		MaxOutstanding: maxOutstanding, GiveUpAfter: giveUpAfter, Waiter: waiter,
	}, s.sender)
	if err != nil {
		return nil, fmt.Errorf("send the load: %w", err)
	}
	if report.Interrupted {
		return nil, &InterruptedError{context.Cause(ctx)}
	}
	return report, nil
}

// loadWithOutage sends the load while another goroutine acts as the operator.
// An operator's command that fails ends the load.
func (s *scenario) loadWithOutage(ctx context.Context, rate float64) (*loadgen.Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := s.operate(ctx, time.Now()); err != nil {
			cancel(err)
		}
	}()
	report, err := s.load(ctx, rate, duration, s.settings.Seed)
	<-ended
	if err == nil && ctx.Err() != nil {
		err = &InterruptedError{context.Cause(ctx)}
	}
	return report, err
}

// operate takes the zone out and brings it back. Its servers restart before they
// return, as after maintenance, so they are cold.
func (s *scenario) operate(ctx context.Context, start time.Time) error {
	if err := waitUntil(ctx, start.Add(outAfter)); err != nil {
		return err
	}
	if err := s.fleet.SetZoneOut(ctx, zoneOut, true); err != nil {
		return fmt.Errorf("take %s out of service: %w", zoneOut, err)
	}
	s.zone = ZoneOutage{Name: zoneOut, Accepted: time.Now()}
	s.say("%5.1f s  %s taken out of service.", time.Since(start).Seconds(), zoneOut)
	if err := waitUntil(ctx, start.Add(backAfter)); err != nil {
		return err
	}
	s.zone.Back = time.Now()
	for _, t := range s.fleet.Targets {
		if t.Zone != zoneOut {
			continue
		}
		if _, err := t.Control.Restart(ctx); err != nil {
			return fmt.Errorf("restart %s: %w", t.Name, err)
		}
	}
	if err := s.fleet.SetZoneOut(ctx, zoneOut, false); err != nil {
		return fmt.Errorf("bring %s back: %w", zoneOut, err)
	}
	s.say("%5.1f s  %s brought back; its servers have restarted and are cold.", time.Since(start).Seconds(), zoneOut)
	return nil
}

func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the operator's next command: %w", context.Cause(ctx))
	}
}

// TargetRecord is the journal of one target.
type TargetRecord struct {
	Name, Zone string
	Journal    targetserver.Journal
}

func (s *scenario) journals(ctx context.Context) ([]TargetRecord, error) {
	records := make([]TargetRecord, 0, len(s.fleet.Targets))
	for _, t := range s.fleet.Targets {
		journal, err := t.Control.Journal(ctx)
		if err != nil {
			return nil, fmt.Errorf("read the journal of %s: %w", t.Name, err)
		}
		records = append(records, TargetRecord{Name: t.Name, Zone: t.Zone, Journal: journal})
	}
	return records, nil
}
