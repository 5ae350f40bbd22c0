package measure

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/standin/testcluster"
	"fulmarhoist.example/internal/standin/traffic"
	"fulmarhoist.example/service"
)

const (
	// zonesLoadFraction is the load as a fraction of the capacity with all
	// zones.
	zonesInstances    = 5
	zonesLoadFraction = 0.5
	zonesPartDuration = 5 * time.Second
	outageZone        = "az-2"
	// zonesMeanServiceTime is longer than in the other measurements, so that a
	// small machine can handle the resulting request rate.
	zonesMeanServiceTime   = 40 * time.Millisecond
	zonesServiceTimeStdDev = 16 * time.Millisecond
)

// ZonesResult is the quality of service while a zone is taken out of service and
// brought back.
type ZonesResult struct {
	Instances int         `json:"instances"`
	Load      float64     `json:"load"` // fraction of the capacity with all zones
	Zone      string      `json:"zone"`
	Rows      []Row       `json:"rows"`
	Outages   []OutageRow `json:"outages"`
}

// OutageRow is the effect of the outage on the requests with one policy.
type OutageRow struct {
	Policy string `json:"policy"`
	// NoNewWorkAfter is the time in seconds from the accepted publication to the
	// last request that reached the zone during the outage.
	NoNewWorkAfter float64 `json:"no_new_work_after_s"`
	CutAtTargets   int     `json:"cut_at_targets"`
	CutAtCallers   int     `json:"cut_at_callers"`
	Overloads      int64   `json:"overloads_of_cold_targets"`
	AfterReturn    int     `json:"requests_after_return"`
}

// returnsPlan returns a deployment with the services of a returns association,
// a user with 24 targets in four zones.
func returnsPlan(s *Settings, policy service.PolicyName) testcluster.Plan {
	servicePlan := func(name string, targets int, classes ...config.Class) testcluster.ServicePlan {
		return testcluster.ServicePlan{
			Name: name, Targets: targets, Slots: 4, Connections: 200,
			MeanServiceTime: zonesMeanServiceTime, ServiceTimeStdDev: zonesServiceTimeStdDev, Seed: s.Seed + targetSeedOffset, LoadReportAge: loadReportLag,
			ColdStart: config.ColdStart{MaxConcurrent: 3, DurationMs: int(coldDuration.Milliseconds()), Answers: coldMinAnswers},
			Classes:   classes,
		}
	}
	return testcluster.Plan{
		Zones: []string{"az-1", "az-2", "az-3", "az-4"}, Instances: zonesInstances, Policy: policy,
		Services: []testcluster.ServicePlan{
			servicePlan(
				"returns-desk", 13,
				traffic.NewClass("balance", config.PriorityInteractive, true),
				traffic.NewClass("refund", config.PriorityInteractive, false),
				traffic.NewClass("booking", config.PriorityInteractive, false),
			),
			servicePlan(
				"archive", 11,
				traffic.NewClass("manifest", config.PriorityUpload, false),
				traffic.NewClass("history", config.PriorityDeferrable, true),
			),
		},
	}
}

// returnsMix returns the kinds of request for returnsPlan.
func returnsMix() []traffic.RequestKind {
	return []traffic.RequestKind{
		{Service: "returns-desk", Class: "balance", Idempotent: true, Method: "GET", Weight: 80},
		{Service: "returns-desk", Class: "refund", Method: "POST", Body: []byte(`{"packs":3}`), Weight: 30},
		{Service: "returns-desk", Class: "booking", Method: "POST", Body: []byte(`{"crates":2}`), Weight: 20},
		{Service: "archive", Class: "manifest", Method: "PUT", Body: make([]byte, scanBytes), Weight: 20},
		{Service: "archive", Class: "history", Idempotent: true, Method: "GET", Weight: 90},
	}
}

// Zones measures the effect of a zone that is taken out of service and brought
// back, for the first two policies, one deployment after the other.
func Zones(ctx context.Context, s *Settings) (Result, error) {
	result := &ZonesResult{Instances: zonesInstances, Load: zonesLoadFraction, Zone: outageZone}
	for _, policy := range s.Policies[:min(2, len(s.Policies))] {
		if err := result.measurePolicy(ctx, s, policy); err != nil {
			return nil, fmt.Errorf("measure policy %s: %w", policy, err)
		}
	}
	return result, nil
}

// measurePolicy adds the rows of one policy to the result.
func (r *ZonesResult) measurePolicy(ctx context.Context, s *Settings, policy service.PolicyName) error {
	d, err := startDeployment(ctx, s, returnsPlan(s, policy), returnsMix())
	if err != nil {
		return err
	}
	defer d.stop()
	outage := traffic.Outage{Zone: outageZone}
	for number, part := range []struct {
		name    string
		operate func(context.Context) error
	}{
		{"before", func(context.Context) error { return nil }},
		{"during", func(ctx context.Context) error {
			err := d.cluster.SetZoneOutOfService(ctx, outageZone, true)
			outage.RemovedAt = time.Now()
			return err
		}},
		{"after", func(ctx context.Context) error {
			outage.ReturnedAt = time.Now()
			if err := d.cluster.RestartZone(ctx, outageZone); err != nil {
				return err
			}
			return d.cluster.SetZoneOutOfService(ctx, outageZone, false)
		}},
	} {
		s.progressf("zones: %s, %s", part.name, policy)
		d.sender.Phase = part.name
		load := traffic.Load{Rate: zonesLoadFraction * d.capacity, Duration: zonesPartDuration, Seed: s.Seed + uint64(number)}
		report, err := d.sender.SendLoadWhile(ctx, load, part.operate)
		if err != nil {
			return fmt.Errorf("send the load of part %s: %w", part.name, err)
		}
		r.Rows = append(r.Rows, newRows(d, part.name, report)...)
	}
	records, err := traffic.ReadRecords(ctx, d.cluster)
	if err != nil {
		return err
	}
	row := OutageRow{
		Policy: string(policy), NoNewWorkAfter: records.LastArrivalAfter(outage).Seconds(),
		CutAtTargets: records.Unanswered(), Overloads: records.Overloads(), AfterReturn: records.CountAfterReturn(outage),
	}
	for _, request := range d.sender.Requests() {
		if request.BrokenAnswer {
			row.CutAtCallers++
		}
	}
	r.Outages = append(r.Outages, row)
	return nil
}

func (r *ZonesResult) print(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "\n4 zones, %s out, 13 and 11 targets with 4 slots, %d instances, load %.0f%%\n", r.Zone, r.Instances, 100*r.Load)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, rowHeader)
	for i := range r.Rows {
		_, _ = fmt.Fprintln(w, r.Rows[i].String())
	}
	_, _ = fmt.Fprintln(w, "\nPOLICY\tNO NEW WORK AFTER S\tCUT AT TARGETS\tCUT AT CALLERS\tOVERLOADS OF COLD TARGETS\tREQUESTS AFTER RETURN\t")
	for _, o := range r.Outages {
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%d\t%d\t%d\t%d\t\n", o.Policy, o.NoNewWorkAfter, o.CutAtTargets, o.CutAtCallers, o.Overloads, o.AfterReturn)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the outages: %w", err)
	}
	return nil
}
