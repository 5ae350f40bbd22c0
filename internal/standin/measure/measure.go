// Package measure measures, on deployments of separate processes, the tail
// latency under faults, the cost of load probes, and the quality of service
// while an availability zone is taken out of service and brought back
// (docs/design.md, section 1.3).
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"fulmarhoist.example/internal/standin/testcluster"
	"fulmarhoist.example/internal/standin/traffic"
	"fulmarhoist.example/service"
)

// Output is the format in which results are printed.
type Output string

// Output formats.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

// Settings configure the measurements.
type Settings struct {
	// Bin is the directory with the programs fulmarhoistd and standin.
	Bin  string
	Seed uint64 // of the load, the service times and the faults
	// Policies are the load-balancing policies to measure. The first one, that
	// of the product, is compared with each of the others.
	Policies []service.PolicyName
	Output   Output
	Out      io.Writer // gets the results
	Progress io.Writer // gets a line for each step
}

// SettingError reports a setting with an unknown value.
type SettingError struct{ Name, Value string }

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: unknown value %q", e.Name, e.Value)
}

// validate returns a SettingError for an unknown output format or policy.
func (s *Settings) validate() error {
	if s.Output != OutputTable && s.Output != OutputJSON {
		return &SettingError{"output", string(s.Output)}
	}
	for _, name := range s.Policies {
		if !name.Valid() {
			return &SettingError{"policies", string(name)}
		}
	}
	return nil
}

// progressf prints a line of progress.
func (s *Settings) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Progress, format+"\n", args...)
}

// Result is the outcome of a measurement.
type Result interface {
	print(out io.Writer) error
}

// runner performs one measurement.
type runner func(ctx context.Context, s *Settings) (Result, error)

// Run performs the named measurements in order and prints their results. The
// names are tail, cost and zones.
func Run(ctx context.Context, s *Settings, names ...string) error {
	if err := s.validate(); err != nil {
		return err
	}
	runners := map[string]runner{"tail": Tail, "cost": Cost, "zones": Zones}
	results := map[string]any{"seed": s.Seed, "date": time.Now().UTC().Format(time.RFC3339)}
	for _, name := range names {
		measure, known := runners[name]
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

// deployment is a running cluster and the sender of its load.
type deployment struct {
	policy   service.PolicyName
	cluster  *testcluster.Cluster
	sender   *traffic.Sender
	capacity float64 // in requests per second
	dir      string
}

const (
	// warmUpDuration and warmUpLoadFraction describe the load that warms the
	// targets up, as a fraction of the capacity.
	warmUpDuration     = 4 * time.Second
	warmUpLoadFraction = 0.2
	// phaseWarmUp is a part of the paths of requests in the warm-up.
	phaseWarmUp = "warm-up"
	// targetSeedOffset keeps the random service times of the targets
	// independent of the random load.
	targetSeedOffset = 1000
	// directoryLifetime is short because a measurement takes only seconds.
	directoryLifetime = 2 * time.Second
)

// startDeployment starts a deployment and warms its targets up.
func startDeployment(ctx context.Context, s *Settings, plan testcluster.Plan, kinds []traffic.RequestKind) (*deployment, error) {
	dir, err := os.MkdirTemp("", "fulmarhoist-measure-")
	if err != nil {
		return nil, fmt.Errorf("create a directory for the deployment: %w", err)
	}
	d := &deployment{policy: plan.Policy, dir: dir, capacity: traffic.Capacity(plan.Services)}
	plan.Bin, plan.Dir, plan.DirectoryLifetime = s.Bin, dir, directoryLifetime
	if d.cluster, err = testcluster.Start(ctx, plan); err != nil {
		d.stop()
		return nil, fmt.Errorf("start the deployment: %w", err)
	}
	if err = d.cluster.AwaitSettled(ctx); err != nil {
		d.stop()
		return nil, fmt.Errorf("wait until the instances are settled: %w", err)
	}
	if d.sender, err = traffic.NewSender(d.cluster, kinds); err != nil {
		d.stop()
		return nil, err
	}
	d.sender.Phase = phaseWarmUp
	if _, err := d.sender.SendLoad(ctx, traffic.Load{Rate: warmUpLoadFraction * d.capacity, Duration: warmUpDuration, Seed: s.Seed + 1}); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// stop stops what was started and removes the directory of the deployment.
func (d *deployment) stop() {
	if d.sender != nil {
		d.sender.Close()
	}
	if d.cluster != nil {
		d.cluster.Stop()
	}
	_ = os.RemoveAll(d.dir)
}
