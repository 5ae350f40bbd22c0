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
	"fulmarhoist.example/internal/standin/fleet"
	"fulmarhoist.example/internal/standin/traffic"
	"fulmarhoist.example/service"
)

const (
	tailTargets   = 12
	tailSlots     = 2
	tailInstances = 3
	tailShare     = 0.6
	tailLength    = 6 * time.Second
	// loadLag is the age of the reports of the load endpoints.
	loadLag = 300 * time.Millisecond

	serviceTime   = 20 * time.Millisecond
	serviceSpread = 8 * time.Millisecond
	coldFor       = 1500 * time.Millisecond
	coldAnswers   = 5
	scanBytes     = 128 << 10
)

// TailResult is the latency per situation, class and policy.
type TailResult struct {
	Targets   int     `json:"targets"`
	Slots     int     `json:"slots"`
	Instances int     `json:"instances"`
	Load      float64 `json:"load"` // share of the capacity of all targets
	Rows      []Row   `json:"rows"`
	Ratios    []Ratio `json:"ratios"`
	Causes    []Cause `json:"causes"`
}

// Ratio compares the first policy with another one.
type Ratio struct {
	Part  string  `json:"part"`
	Class string  `json:"class"`
	To    string  `json:"to"`
	P99   float64 `json:"p99"`
}

// ordersPlan is a service of the size of a small user.
func ordersPlan(s *Settings, policy service.PolicyName) fleet.Plan {
	return fleet.Plan{
		Zones: []string{"az-1", "az-2", "az-3"}, Instances: tailInstances, Policy: policy,
		Services: []fleet.ServicePlan{{
			Name: "orders", Targets: tailTargets, Slots: tailSlots, Connections: 250,
			Mean: serviceTime, Spread: serviceSpread, Seed: s.Seed + seedOfTargets, LoadLag: loadLag,
			Cold: config.ColdStart{Bears: 1, DurationMs: int(coldFor.Milliseconds()), Answers: coldAnswers},
			Classes: []config.Class{
				traffic.Class("status", config.PriorityInteractive, true),
				traffic.Class("reorder", config.PriorityInteractive, false),
				traffic.Class("scan", config.PriorityUpload, false),
			},
		}},
	}
}

func ordersMix() []traffic.Kind {
	return []traffic.Kind{
		{Service: "orders", Class: "status", Idempotent: true, Method: "GET", Weight: 60},
		{Service: "orders", Class: "reorder", Method: "POST", Body: []byte(`{"box":"daily lenses"}`), Weight: 30},
		{Service: "orders", Class: "scan", Method: "PUT", Body: make([]byte, scanBytes), Weight: 10},
	}
}

// Tail measures latencies in all situations. The deployments of all policies run
// at the same time and get their load one after the other, situation by
// situation, so that a change of the machine's other work does not fall on one
// policy alone.
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
	var starting sync.WaitGroup
	for i, policy := range s.Policies {
		starting.Go(func() { deployments[i], failures[i] = start(ctx, s, ordersPlan(s, policy), ordersMix()) })
	}
	starting.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, fmt.Errorf("start %d deployments: %w", len(s.Policies), err)
	}
	result := &TailResult{Targets: tailTargets, Slots: tailSlots, Instances: tailInstances, Load: tailShare}
	for number, situation := range situations() {
		for _, d := range deployments {
			load := traffic.Load{Rate: tailShare * d.rate, Length: tailLength, Seed: s.Seed + uint64(number)}
			d.sender.Phase = situation.name
			report, err := d.sender.SendLoadWhile(ctx, load, func(ctx context.Context) error {
				return situation.disturb(ctx, d.fleet, s.Seed)
			})
			if err != nil {
				return nil, fmt.Errorf("load %s with %s: %w", situation.name, d.policy, err)
			}
			s.say("tail: %s, %s: p99 by second in ms:%s", situation.name, d.policy, bySecond(report))
			result.Rows = append(result.Rows, rowsOf(d, situation.name, report)...)
		}
	}
	for _, d := range deployments {
		causes, err := causesOf(ctx, d)
		if err != nil {
			return nil, err
		}
		result.Causes = append(result.Causes, causes...)
	}
	result.Ratios = ratios(result.Rows, s.Policies)
	return result, nil
}

func ratios(rows []Row, policies []service.PolicyName) []Ratio {
	var all []Ratio
	for i := range rows {
		own := &rows[i]
		if own.Policy != string(policies[0]) {
			continue
		}
		for _, other := range policies[1:] {
			at := slices.IndexFunc(rows, func(r Row) bool {
				return r.Policy == string(other) && r.Part == own.Part && r.Class == own.Class
			})
			if at >= 0 && rows[at].P99 > 0 {
				all = append(all, Ratio{own.Part, own.Class, string(other), own.P99 / rows[at].P99})
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
	for _, c := range r.Causes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t\n", c.Part, c.Policy, c.ServiceP99,
			c.WaitP50, c.WaitP90, c.WaitP99, c.BalancerP50, c.BalancerP99, c.LeastPerServer, c.MostPerServer, c.Attempts)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the latencies: %w", err)
	}
	return nil
}
