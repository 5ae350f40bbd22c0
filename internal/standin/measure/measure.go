// Package measure measures, on deployments of separate processes, the tail
// latency under faults, the cost of load measurement, and the quality of service
// while an availability zone leaves and returns (docs/design.md, section 1.3).
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/traffic"
	"fulmarhoist.example/service"
)

// Output is the form in which results are printed.
type Output string

// Forms of output.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

// Settings of a measure.
type Settings struct {
	// Bin is the folder with the programs fulmarhoistd and standin.
	Bin  string
	Seed uint64
	// Policies are compared with each other; the first one is the product's.
	Policies []service.PolicyName
	Output   Output
	Out      io.Writer
	Progress io.Writer
}

// SettingError reports a setting that a measure cannot work with.
type SettingError struct{ Name, Value string }

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: %q is unknown", e.Name, e.Value)
}

func (s *Settings) check() error {
	if s.Output != OutputTable && s.Output != OutputJSON {
		return &SettingError{"output", string(s.Output)}
	}
	for _, name := range s.Policies {
		if !name.Known() {
			return &SettingError{"policies", string(name)}
		}
	}
	return nil
}

func (s *Settings) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Progress, format+"\n", args...)
}

// Result is the outcome of a measure.
type Result interface {
	print(out io.Writer) error
}

// runner runs one measure.
type runner func(ctx context.Context, s *Settings) (Result, error)

// Run runs the measures, by name, in order, and prints their results.
func Run(ctx context.Context, s *Settings, names ...string) error {
	if err := s.check(); err != nil {
		return err
	}
	all := map[string]runner{"tail": Tail, "cost": Cost, "zones": Zones}
	results := map[string]any{"seed": s.Seed, "date": time.Now().UTC().Format(time.RFC3339)}
	for _, name := range names {
		measure, known := all[name]
		if !known {
			return &SettingError{"measure", name}
		}
		result, err := measure(ctx, s)
		if err != nil {
			return fmt.Errorf("measure %s: %w", name, err)
		}
		results[name] = result
		if s.Output == OutputTable {
			if err := result.print(s.Out); err != nil {
				return fmt.Errorf("print %s: %w", name, err)
			}
		}
	}
	if s.Output == OutputTable {
		return nil
	}
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(results); err != nil {
		return fmt.Errorf("encode the results: %w", err)
	}
	return nil
}

// deployment is a running fleet with callers.
type deployment struct {
	policy service.PolicyName
	fleet  *fleet.Fleet
	sender *traffic.Sender
	rate   float64 // capacity in requests per second
	dir    string
}

const (
	// warmUp is the length of the load that ends the cold start of the targets,
	// and warmUpShare its share of the capacity.
	warmUp      = 4 * time.Second
	warmUpShare = 0.2
	phaseWarmUp = "warm-up"
	// seedOfTargets keeps the service times of the targets apart from the load.
	seedOfTargets = 1000
	// directoryLifetime is short, because a measure takes seconds.
	directoryLifetime = 2 * time.Second
)

// start starts the deployment and ends the cold start of its targets.
func start(ctx context.Context, s *Settings, plan fleet.Plan, kinds []traffic.Kind) (*deployment, error) {
	dir, err := os.MkdirTemp("", "fulmarhoist-measure-")
	if err != nil {
		return nil, fmt.Errorf("make a folder for the deployment: %w", err)
	}
	d := &deployment{policy: plan.Policy, dir: dir, rate: traffic.Capacity(plan.Services)}
	plan.Bin, plan.Dir, plan.DirectoryLifetime = s.Bin, dir, directoryLifetime
	if d.fleet, err = fleet.Start(ctx, plan); err != nil {
		d.stop()
		return nil, fmt.Errorf("start the deployment: %w", err)
	}
	if err = d.fleet.AwaitSettled(ctx); err != nil {
		d.stop()
		return nil, fmt.Errorf("wait for the instances: %w", err)
	}
	if d.sender, err = traffic.NewSender(d.fleet, kinds); err != nil {
		d.stop()
		return nil, err
	}
	d.sender.Phase = phaseWarmUp
	if _, err := d.sender.SendLoad(ctx, traffic.Load{Rate: warmUpShare * d.rate, Length: warmUp, Seed: s.Seed + 1}); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) stop() {
	if d.sender != nil {
		d.sender.Close()
	}
	if d.fleet != nil {
		d.fleet.Stop()
	}
	_ = os.RemoveAll(d.dir)
}
