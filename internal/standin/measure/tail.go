package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/standin/testcluster"
	"fulmarhoist.example/internal/standin/traffic"
	"fulmarhoist.example/service"
)

const (
	// Size of the deployment, and the load as a fraction of its capacity for the
	// given duration per scenario and policy.
	tailTargets      = 12
	tailSlots        = 2
	tailInstances    = 3
	tailLoadFraction = 0.6
	tailDuration     = 6 * time.Second
	// loadReportLag is the age of the load values that the load endpoints
	// report.
	loadReportLag = 300 * time.Millisecond

	meanServiceTime   = 20 * time.Millisecond
	serviceTimeStdDev = 8 * time.Millisecond
	coldDuration      = 1500 * time.Millisecond
	coldMinAnswers    = 5
	scanBytes         = 128 << 10 // body size of the largest requests
)

// TailResult holds the latencies per scenario, class and policy.
type TailResult struct {
	Targets    int                `json:"targets"`
	Slots      int                `json:"slots"` // per target
	Instances  int                `json:"instances"`
	Load       float64            `json:"load"` // fraction of the capacity of all targets
	Rows       []Row              `json:"rows"`
	Ratios     []Ratio            `json:"ratios"`
	Breakdowns []LatencyBreakdown `json:"causes"`
}

// Ratio compares the p99 of the first policy with that of another one.
type Ratio struct {
	Part  string  `json:"part"`
	Class string  `json:"class"`
	To    string  `json:"to"`
	P99   float64 `json:"p99"` // p99 of the first policy divided by that of the other
}

// ordersPlan returns a deployment with one service of the size that a small
// user has.
func ordersPlan(s *Settings, policy service.PolicyName) testcluster.Plan {
	return testcluster.Plan{
		Zones: []string{"az-1", "az-2", "az-3"}, Instances: tailInstances, Policy: policy,
		Services: []testcluster.ServicePlan{{
			Name: "orders", Targets: tailTargets, Slots: tailSlots, Connections: 250,
			MeanServiceTime: meanServiceTime, ServiceTimeStdDev: serviceTimeStdDev, Seed: s.Seed + targetSeedOffset, LoadReportAge: loadReportLag,
			ColdStart: config.ColdStart{MaxConcurrent: 1, DurationMs: int(coldDuration.Milliseconds()), Answers: coldMinAnswers},
			Classes: []config.Class{
				traffic.NewClass("status", config.PriorityInteractive, true),
				traffic.NewClass("reorder", config.PriorityInteractive, false),
				traffic.NewClass("scan", config.PriorityUpload, false),
			},
		}},
	}
}

// ordersMix returns the kinds of request for ordersPlan.
func ordersMix() []traffic.RequestKind {
	return []traffic.RequestKind{
		{Service: "orders", Class: "status", Idempotent: true, Method: "GET", Weight: 60},
		{Service: "orders", Class: "reorder", Method: "POST", Body: []byte(`{"box":"daily lenses"}`), Weight: 30},
		{Service: "orders", Class: "scan", Method: "PUT", Body: make([]byte, scanBytes), Weight: 10},
	}
}

// Tail measures latencies in all scenarios. The deployments of all policies run
// at the same time and get their load one after the other, scenario by
// scenario, so that a change in the other load of the test machine does not
// affect just one policy.
func Tail(ctx context.Context, s *Settings) (Result, error) {
	deployments := make([]*deployment, len(s.Policies))
	defer func() {
		for _, d := range deployments {
			if d != nil {
				d.stop()
			}
		}
	}()
	failures := make([]error, len(s.Policies))
	var wg sync.WaitGroup
	for i, policy := range s.Policies {
		wg.Go(func() { deployments[i], failures[i] = startDeployment(ctx, s, ordersPlan(s, policy), ordersMix()) })
	}
	wg.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, fmt.Errorf("start %d deployments: %w", len(s.Policies), err)
	}
	result := &TailResult{Targets: tailTargets, Slots: tailSlots, Instances: tailInstances, Load: tailLoadFraction}
	for number, scenario := range scenarios() {
		for _, d := range deployments {
			load := traffic.Load{Rate: tailLoadFraction * d.capacity, Duration: tailDuration, Seed: s.Seed + uint64(number)}
			d.sender.Phase = scenario.name
			report, err := d.sender.SendLoadWhile(ctx, load, func(ctx context.Context) error {
				return scenario.injectFault(ctx, d.cluster, s.Seed)
			})
			if err != nil {
				return nil, fmt.Errorf("send the load of scenario %s with policy %s: %w", scenario.name, d.policy, err)
			}
			s.progressf("tail: %s, %s: p99 by second in ms:%s", scenario.name, d.policy, p99PerSecond(report))
			result.Rows = append(result.Rows, newRows(d, scenario.name, report)...)
		}
	}
	for _, d := range deployments {
		breakdowns, err := latencyBreakdowns(ctx, d)
		if err != nil {
			return nil, err
		}
		result.Breakdowns = append(result.Breakdowns, breakdowns...)
	}
	result.Ratios = ratios(result.Rows, s.Policies)
	return result, nil
}

// ratios compares each row of the first policy with the rows of the other
// policies for the same part and class.
func ratios(rows []Row, policies []service.PolicyName) []Ratio {
	var all []Ratio
	for i := range rows {
		row := &rows[i]
		if row.Policy != string(policies[0]) {
			continue
		}
		for _, other := range policies[1:] {
			index := slices.IndexFunc(rows, func(r Row) bool {
				return r.Policy == string(other) && r.Part == row.Part && r.Class == row.Class
			})
			if index >= 0 && rows[index].P99 > 0 {
				all = append(all, Ratio{row.Part, row.Class, string(other), row.P99 / rows[index].P99})
			}
		}
	}
	return all
}

func (r *TailResult) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "\n"+rowHeader)
	for i := range r.Rows {
		_, _ = fmt.Fprintln(w, r.Rows[i].String())
	}
	_, _ = fmt.Fprintln(w, "\nPART\tCLASS\tP99 AGAINST\tRATIO\t")
	for _, ratio := range r.Ratios {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t\n", ratio.Part, ratio.Class, ratio.To, ratio.P99)
	}
	_, _ = fmt.Fprintln(w, "\nPART\tPOLICY\tSERVICE P99 MS\tWAIT AT SERVER P50\tP90\tP99\tIN BALANCER P50\tP99\tLEAST\tMOST PER SERVER\tATTEMPTS\t")
	for _, c := range r.Breakdowns {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t\n", c.Part, c.Policy, c.ServiceP99,
			c.WaitP50, c.WaitP90, c.WaitP99, c.BalancerP50, c.BalancerP99, c.LeastPerServer, c.MostPerServer, c.Attempts)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the latencies: %w", err)
	}
	return nil
}
