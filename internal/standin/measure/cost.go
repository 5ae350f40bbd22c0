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

	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/traffic"
)

const (
	costShare  = 0.5
	costLength = 10 * time.Second
	// restartEvery gives a cold start a second during the second part.
	restartEvery = time.Second
	probeTimeout = 2 * time.Second
)

// CostResult is the cost of load measurement over all instances.
type CostResult struct {
	Targets   int `json:"targets"`
	Instances int `json:"instances"`
	// Budget is in probes per second and target, over all instances.
	Budget float64 `json:"budget_per_target"`
	// ProbeBytes is the size of a probe: its request and its answer, without the
	// headers of TCP and IP.
	ProbeBytes int        `json:"probe_bytes"`
	Parts      []CostPart `json:"parts"`
}

// CostPart is the cost in one part of the load.
type CostPart struct {
	Part       string  `json:"part"`
	Seconds    float64 `json:"seconds"`
	Requests   int     `json:"requests"`
	ColdStarts int     `json:"cold_starts"`
	Probes     int64   `json:"probes"`
	// PerSecond and BytesPerSecond are over all targets; MostPerTarget is the
	// number of probes of the target that got the most, and Allowed what the
	// budget allows a target in that time, with the burst of one per instance.
	PerSecond      float64 `json:"probes_per_second"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	MostPerTarget  int64   `json:"most_per_target"`
	Allowed        float64 `json:"allowed_per_target"`
	OfBudget       float64 `json:"share_of_budget"`
}

// Cost measures probes in steady state and while targets start cold.
func Cost(ctx context.Context, s *Settings) (Result, error) {
	d, err := start(ctx, s, ordersPlan(s, s.Policies[0]), ordersMix())
	if err != nil {
		return nil, err
	}
	defer d.stop()
	result := &CostResult{Targets: tailTargets, Instances: tailInstances, Budget: d.fleet.Config.Measuring.ProbesPerSecond}
	steady := func(context.Context) error { return nil }
	restarts := 0
	coldStarts := func(ctx context.Context) error {
		began := time.Now()
		for at := restartEvery; at < costLength; at += restartEvery {
			if err := traffic.WaitUntil(ctx, began.Add(at)); err != nil {
				return err
			}
			t := d.fleet.Targets[restarts%len(d.fleet.Targets)]
			restarts++
			if _, err := t.Control.Restart(ctx); err != nil {
				return fmt.Errorf("restart %s: %w", t.Name, err)
			}
		}
		return nil
	}
	for _, part := range []struct {
		name    string
		operate func(context.Context) error
	}{{"steady", steady}, {"cold-starts", coldStarts}} {
		s.say("cost: %s", part.name)
		d.sender.Phase = part.name
		cost, err := d.costOf(ctx, s.Seed, part.operate)
		if err != nil {
			return nil, fmt.Errorf("load %s: %w", part.name, err)
		}
		cost.Part, cost.ColdStarts = part.name, restarts
		result.Parts = append(result.Parts, *cost)
	}
	if result.ProbeBytes, err = probeBytes(ctx, d.fleet.Targets[0]); err != nil {
		return nil, err
	}
	for i := range result.Parts {
		part := &result.Parts[i]
		part.BytesPerSecond = part.PerSecond * float64(result.ProbeBytes)
		part.OfBudget = part.PerSecond / (result.Budget * float64(result.Targets))
	}
	return result, nil
}

func (d *deployment) probes(ctx context.Context) ([]int64, error) {
	counts := make([]int64, 0, len(d.fleet.Targets))
	for _, t := range d.fleet.Targets {
		state, err := t.Control.State(ctx)
		if err != nil {
			return nil, fmt.Errorf("read the state of %s: %w", t.Name, err)
		}
		counts = append(counts, state.Counters.LoadProbes)
	}
	return counts, nil
}

func (d *deployment) costOf(ctx context.Context, seed uint64, operate func(context.Context) error) (*CostPart, error) {
	began := time.Now()
	before, err := d.probes(ctx)
	if err != nil {
		return nil, err
	}
	report, err := d.sender.SendLoadWhile(ctx, traffic.Load{Rate: costShare * d.rate, Length: costLength, Seed: seed}, operate)
	if err != nil {
		return nil, err
	}
	after, err := d.probes(ctx)
	if err != nil {
		return nil, err
	}
	length := time.Since(began).Seconds()
	cost := &CostPart{Seconds: length, Requests: report.Total.Scheduled}
	for i := range after {
		cost.Probes += after[i] - before[i]
		cost.MostPerTarget = max(cost.MostPerTarget, after[i]-before[i])
	}
	cost.PerSecond = float64(cost.Probes) / length
	cost.Allowed = d.fleet.Config.Measuring.ProbesPerSecond*length + float64(len(d.fleet.Instances))
	return cost, nil
}

// probeBytes sends one probe as an instance does and counts its bytes.
func probeBytes(ctx context.Context, t *fleet.Target) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/fulmarhoist-load", http.NoBody)
	if err != nil {
		return 0, fmt.Errorf("make a probe: %w", err)
	}
	sent, err := httputil.DumpRequestOut(request, true)
	if err != nil {
		return 0, fmt.Errorf("encode a probe: %w", err)
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return 0, fmt.Errorf("connect to %s: %w", t.Name, err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return 0, fmt.Errorf("limit the probe of %s: %w", t.Name, err)
	}
	if _, err := conn.Write(sent); err != nil {
		return 0, fmt.Errorf("probe %s: %w", t.Name, err)
	}
	reader := bufio.NewReader(conn)
	received := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0, fmt.Errorf("read the probe's answer of %s: %w", t.Name, err)
		}
		received += len(line)
		if line == "\r\n" {
			return len(sent) + received, nil
		}
	}
}

func (r *CostResult) print(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "\n%d targets, %d instances, budget %.2f probes/s per target over all instances, %d bytes per probe\n",
		r.Targets, r.Instances, r.Budget, r.ProbeBytes)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "PART\tSECONDS\tREQUESTS\tCOLD STARTS\tPROBES\tPROBES/S\tBYTES/S\tMOST PER TARGET\tALLOWED PER TARGET\tOF BUDGET\t")
	for _, p := range r.Parts {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%d\t%.2f\t%.0f\t%d\t%.1f\t%.1f%%\t\n", p.Part, p.Seconds, p.Requests, p.ColdStarts,
			p.Probes, p.PerSecond, p.BytesPerSecond, p.MostPerTarget, p.Allowed, 100*p.OfBudget)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the cost: %w", err)
	}
	return nil
}
