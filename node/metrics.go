package node

import (
	"fmt"
	"time"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/registry"
	"fulmarhoist.example/telemetry"
)

// measure registers what the parts of a node know and do, for the metrics page.
func measure(m *telemetry.Metrics, p *Platform, t *tables, r *fleet.Roster, targets *registry.Registry, health *feed.Health) {
	p.Calls(func(call string, status int) {
		m.Counter(fmt.Sprintf(`fulmarhoist_store_calls_total{call=%q,status="%d"}`, call, status)).Inc()
	})
	m.Gauge("fulmarhoist_config_version", func() float64 {
		if table := t.Load(); table != nil {
			return float64(table.Config.Version)
		}
		return 0
	})
	m.Gauge("fulmarhoist_members", func() float64 { return float64(len(r.View().Members)) })
	m.Gauge("fulmarhoist_candidates", func() float64 {
		count := 0
		for _, s := range targets.All() {
			count += len(s.View().Candidates)
		}
		return float64(count)
	})
	m.Gauge("fulmarhoist_waiting", func() float64 {
		count := 0
		for _, s := range targets.All() {
			count += s.Queue.Len()
		}
		return float64(count)
	})
	m.Gauge("fulmarhoist_store_age_seconds", func() float64 { return health.Age(time.Now()).Seconds() })
}
