package daemon

import (
	"fmt"
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/peerwire"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/telemetry"
)

// gauges registers the gauges of services. Each gauge reads its value when the
// metrics page is requested.
type gauges struct {
	metrics    *telemetry.Metrics
	catalog    *service.Catalog
	registered map[string]bool // services whose gauges are registered
}

// registerGauges registers the gauges that do not depend on the configuration.
func registerGauges(m *telemetry.Metrics, reader *configlog.Reader, roster *instance.Roster, status *instanceStatus) {
	m.Gauge("fulmarhoist_config_version", func() float64 {
		if state := reader.State(); state != nil {
			return float64(state.Version)
		}
		return 0
	})
	m.Gauge("fulmarhoist_log_read_age_seconds", func() float64 {
		if read := reader.LastRead(); !read.IsZero() {
			return time.Since(read).Seconds()
		}
		return -1
	})
	m.Gauge("fulmarhoist_isolated", func() float64 { return boolToFloat(status.Isolated()) })
	m.Gauge("fulmarhoist_leaving", func() float64 { return boolToFloat(status.Leaving()) })
	for _, state := range []instance.State{instance.StateListed, instance.StateLive, instance.StateSuspected, instance.StateDead} {
		m.Gauge(fmt.Sprintf(`fulmarhoist_peers{state=%q}`, state), func() float64 {
			count := 0
			for _, peer := range roster.Snapshot().Peers {
				if peer.State == state {
					count++
				}
			}
			return float64(count)
		})
	}
}

// registerPeerGauges registers the traffic counters of the peer protocol.
func registerPeerGauges(m *telemetry.Metrics, mesh *peerwire.Mesh) {
	for name, read := range map[string]func(peerwire.Stats) uint64{
		"fulmarhoist_peer_bytes_sent_total":        func(s peerwire.Stats) uint64 { return s.BytesSent },
		"fulmarhoist_peer_bytes_received_total":    func(s peerwire.Stats) uint64 { return s.BytesReceived },
		"fulmarhoist_peer_messages_sent_total":     func(s peerwire.Stats) uint64 { return s.FramesSent },
		"fulmarhoist_peer_messages_received_total": func(s peerwire.Stats) uint64 { return s.FramesReceived },
	} {
		m.Gauge(name, func() float64 { return float64(read(mesh.Stats())) })
	}
}

// addServices registers gauges for the services that are new in the
// configuration. They read the current snapshot, so the gauges of a removed
// service show 0.
func (g *gauges) addServices(configuration *config.Configuration) {
	for i := range configuration.Services {
		name := configuration.Services[i].Name
		if g.registered[name] {
			continue
		}
		g.registered[name] = true
		g.metrics.Gauge(fmt.Sprintf(`fulmarhoist_in_flight{service=%q}`, name), func() float64 { return g.countInFlight(name) })
		g.metrics.Gauge(fmt.Sprintf(`fulmarhoist_waiting{service=%q}`, name), func() float64 {
			if s, ok := g.catalog.Snapshot().Service(name); ok {
				return float64(s.Queue.Len())
			}
			return 0
		})
		for _, state := range []target.State{target.StateCold, target.StateWarming, target.StateWarm, target.StateLeaving} {
			g.metrics.Gauge(fmt.Sprintf(`fulmarhoist_targets{service=%q,state=%q}`, name, state), func() float64 {
				return g.countTargets(name, state)
			})
		}
	}
}

func (g *gauges) countInFlight(name string) float64 {
	total := 0
	for t, owner := range g.catalog.Snapshot().Targets() {
		if owner == name {
			total += t.InFlight()
		}
	}
	return float64(total)
}

func (g *gauges) countTargets(name string, state target.State) float64 {
	count := 0
	for t, owner := range g.catalog.Snapshot().Targets() {
		if current, _ := t.State(); owner == name && current == state {
			count++
		}
	}
	return float64(count)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
