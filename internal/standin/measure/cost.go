package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"text/tabwriter"
	"time"

	"fulmarhoist.example/internal/standin/testcluster"
	"fulmarhoist.example/internal/standin/traffic"
)

const (
	// costLoadFraction is the load as a fraction of the capacity, and
	// costDuration the length of each of the two parts.
	costLoadFraction = 0.5
	costDuration     = 10 * time.Second
	// restartInterval is the time between two restarts of targets in the second
	// part.
	restartInterval = time.Second
	// probeTimeout bounds the probe that probeBytes sends.
	probeTimeout = 2 * time.Second
)

// CostResult is the cost of load probes, over all instances.
type CostResult struct {
	Targets   int `json:"targets"`
	Instances int `json:"instances"`
	// BudgetPerTarget is the budget in probes per second and target, over all
	// instances.
	BudgetPerTarget float64 `json:"budget_per_target"`
	// ProbeBytes is the size of a probe, request and response, without the
	// headers of TCP and IP.
	ProbeBytes int        `json:"probe_bytes"`
	Parts      []CostPart `json:"parts"`
}

// CostPart is the cost in one part of the measurement.
type CostPart struct {
	Part       string  `json:"part"`
	Seconds    float64 `json:"seconds"`
	Requests   int     `json:"requests"`
	ColdStarts int     `json:"cold_starts"`
	Probes     int64   `json:"probes"`
	// ProbesPerSecond and BytesPerSecond are sums over all targets.
	ProbesPerSecond float64 `json:"probes_per_second"`
	BytesPerSecond  float64 `json:"bytes_per_second"`
	// MostPerTarget is the number of probes to the target that got the most.
	MostPerTarget int64 `json:"most_per_target"`
	// AllowedPerTarget is the number of probes that the budget allows a target
	// in the measured time, with a burst of one per instance.
	AllowedPerTarget float64 `json:"allowed_per_target"`
	// BudgetShare is the used fraction of the budget of all targets.
	BudgetShare float64 `json:"share_of_budget"`
}

// Cost measures the load probes in steady state and while targets start cold.
func Cost(ctx context.Context, s *Settings) (Result, error) {
	d, err := startDeployment(ctx, s, ordersPlan(s, s.Policies[0]), ordersMix())
	if err != nil {
		return nil, err
	}
	defer d.stop()
	result := &CostResult{Targets: tailTargets, Instances: tailInstances, BudgetPerTarget: d.cluster.Config.Measuring.ProbesPerSecond}
	noOperation := func(context.Context) error { return nil }
	restarts := 0
	restartTargets := func(ctx context.Context) error {
		start := time.Now()
		for at := restartInterval; at < costDuration; at += restartInterval {
			if err := traffic.WaitUntil(ctx, start.Add(at)); err != nil {
				return err
			}
			t := d.cluster.Targets[restarts%len(d.cluster.Targets)]
			restarts++
			if _, err := t.Control.Restart(ctx); err != nil {
				return fmt.Errorf("restart target %s: %w", t.Name, err)
			}
		}
		return nil
	}
	for _, part := range []struct {
		name    string
		operate func(context.Context) error
	}{{"steady", noOperation}, {"cold-starts", restartTargets}} {
		s.progressf("cost: %s", part.name)
		d.sender.Phase = part.name
		cost, err := d.measureCost(ctx, s.Seed, part.operate)
		if err != nil {
			return nil, fmt.Errorf("send the load of part %s: %w", part.name, err)
		}
		cost.Part, cost.ColdStarts = part.name, restarts
		result.Parts = append(result.Parts, *cost)
	}
	if result.ProbeBytes, err = probeBytes(ctx, d.cluster.Targets[0]); err != nil {
		return nil, err
	}
	for i := range result.Parts {
		part := &result.Parts[i]
		part.BytesPerSecond = part.ProbesPerSecond * float64(result.ProbeBytes)
		part.BudgetShare = part.ProbesPerSecond / (result.BudgetPerTarget * float64(result.Targets))
	}
	return result, nil
}

// probeCounts returns the number of load probes that each target has received.
func (d *deployment) probeCounts(ctx context.Context) ([]int64, error) {
	counts := make([]int64, 0, len(d.cluster.Targets))
	for _, t := range d.cluster.Targets {
		state, err := t.Control.State(ctx)
		if err != nil {
			return nil, fmt.Errorf("read the state of target %s: %w", t.Name, err)
		}
		counts = append(counts, state.Counters.LoadProbes)
	}
	return counts, nil
}

// measureCost sends the load while operate runs, and counts the load probes. It
// leaves the fields empty that Cost fills in.
func (d *deployment) measureCost(ctx context.Context, seed uint64, operate func(context.Context) error) (*CostPart, error) {
	start := time.Now()
	before, err := d.probeCounts(ctx)
	if err != nil {
		return nil, err
	}
	report, err := d.sender.SendLoadWhile(ctx, traffic.Load{Rate: costLoadFraction * d.capacity, Duration: costDuration, Seed: seed}, operate)
	if err != nil {
		return nil, err
	}
	after, err := d.probeCounts(ctx)
	if err != nil {
		return nil, err
	}
	elapsedSeconds := time.Since(start).Seconds()
	cost := &CostPart{Seconds: elapsedSeconds, Requests: report.Total.Scheduled}
	for i := range after {
		cost.Probes += after[i] - before[i]
		cost.MostPerTarget = max(cost.MostPerTarget, after[i]-before[i])
	}
	cost.ProbesPerSecond = float64(cost.Probes) / elapsedSeconds
	cost.AllowedPerTarget = d.cluster.Config.Measuring.ProbesPerSecond*elapsedSeconds + float64(len(d.cluster.Instances))
	return cost, nil
}

// probeBytes sends one load probe as an instance does, and returns the number
// of bytes sent and received.
func probeBytes(ctx context.Context, t *testcluster.Target) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/fulmarhoist-load", http.NoBody)
	if err != nil {
		return 0, fmt.Errorf("create a load probe: %w", err)
	}
	sent, err := httputil.DumpRequestOut(request, true)
	if err != nil {
		return 0, fmt.Errorf("encode a load probe: %w", err)
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return 0, fmt.Errorf("connect to target %s: %w", t.Name, err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return 0, fmt.Errorf("set the deadline of the load probe of %s: %w", t.Name, err)
	}
	if _, err := conn.Write(sent); err != nil {
		return 0, fmt.Errorf("send a load probe to %s: %w", t.Name, err)
	}
	reader := bufio.NewReader(conn)
	received := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0, fmt.Errorf("read the response of %s to a load probe: %w", t.Name, err)
		}
		received += len(line)
		if line == "\r\n" {
			return len(sent) + received, nil
		}
	}
}

func (r *CostResult) print(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "\n%d targets, %d instances, budget %.2f probes/s per target over all instances, %d bytes per probe\n",
		r.Targets, r.Instances, r.BudgetPerTarget, r.ProbeBytes)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "PART\tSECONDS\tREQUESTS\tCOLD STARTS\tPROBES\tPROBES/S\tBYTES/S\tMOST PER TARGET\tALLOWED PER TARGET\tOF BUDGET\t")
	for _, p := range r.Parts {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%d\t%.2f\t%.0f\t%d\t%.1f\t%.1f%%\t\n", p.Part, p.Seconds, p.Requests, p.ColdStarts,
			p.Probes, p.ProbesPerSecond, p.BytesPerSecond, p.MostPerTarget, p.AllowedPerTarget, 100*p.BudgetShare)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the cost: %w", err)
	}
	return nil
}
