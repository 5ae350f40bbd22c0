package node

import (
	"fmt"
	"time"
)

// registerMetrics registers the metrics of the components of a node, and what is
// observed at the client of the store.
func registerMetrics(p *nodeDeps) {
	m := p.Metrics
	p.Platform.ObserveCalls(func(call string, status int) {
		m.Counter(fmt.Sprintf(`fulmarhoist_store_calls_total{call=%q,status="%d"}`, call, status)).Inc()
	})
	p.Platform.ObserveSkipped(func(topic string, err error) {
		p.Logger.Warn().Str("event", "store_record_skipped").Str("topic", topic).Err(err).Msg("malformed part of a response of the store skipped")
	})
	m.Gauge("fulmarhoist_config_version", func() float64 {
		if table := p.Tables.Load(); table != nil {
			return float64(table.Config.Version)
		}
		return 0
	})
	m.Gauge("fulmarhoist_members", func() float64 { return float64(len(p.Roster.View().Members)) })
	m.Gauge("fulmarhoist_candidates", func() float64 { return float64(p.Registry.Candidates()) })
	m.Gauge("fulmarhoist_waiting", func() float64 {
		waiting := 0
		for _, s := range p.Registry.All() {
			waiting += s.Queue.Len()
		}
		return float64(waiting)
	})
	m.Gauge("fulmarhoist_store_age_seconds", func() float64 { return p.Health.Age(time.Now()).Seconds() })
}
