package node

import (
	"time"

	"fulmarhoist.example/gateway"
	"fulmarhoist.example/ingress"
)

// tables holds the current routing table.
type tables struct {
	gateway.Tables
}

func newTables() *tables { return &tables{} }

// Limits that apply until the first configuration is in force.
const (
	initialMaxHeaderBytes = 16 << 10
	initialMaxBodyBytes   = 1 << 20
	initialHeaderTimeout  = 3 * time.Second
	initialIdleTimeout    = 15 * time.Second
)

// limits returns the current limits on requests and connections of callers.
func (t *tables) limits() ingress.Limits {
	table := t.Load()
	if table == nil {
		return ingress.Limits{
			MaxHeaderBytes: initialMaxHeaderBytes, MaxBodyBytes: initialMaxBodyBytes,
			HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout,
		}
	}
	l := table.Config.Limits
	return ingress.Limits{
		MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// healthPath returns the path of the health endpoint of a service, or "" if
// there is none.
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
