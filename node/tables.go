package node

import (
	"time"

	"fulmarhoist.example/gateway"
	"fulmarhoist.example/ingress"
)

// tables holds the routing table in force, for the parts that read it.
type tables struct {
	gateway.Tables
}

func newTables() *tables { return &tables{} }

// Limits before the first configuration.
const (
	initialHeaderBytes   = 16 << 10
	initialBodyBytes     = 1 << 20
	initialHeaderTimeout = 3 * time.Second
	initialIdleTimeout   = 15 * time.Second
)

// limits returns what callers may send.
func (t *tables) limits() ingress.Limits {
	table := t.Load()
	if table == nil {
		return ingress.Limits{
			HeaderBytes: initialHeaderBytes, BodyBytes: initialBodyBytes,
			HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout,
		}
	}
	l := table.Config.Limits
	return ingress.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// healthPath returns the path of a service's health endpoint, or "".
func (t *tables) healthPath(service string) string {
	table := t.Load()
	if table == nil {
		return ""
	}
	for i := range table.Config.Services {
		if table.Config.Services[i].Name == service {
			return table.Config.Services[i].HealthPath
		}
	}
	return ""
}
