package testcluster

import (
	"context"
	"fmt"

	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/relay"
)

// Route identifies a network path between an instance and another part of the
// deployment.
type Route string

const (
	// RouteLog is the path from the instance to the log service.
	RouteLog Route = "log"
	// RouteList is the path from the instance to the instance list.
	RouteList Route = "list"
	// RoutePeers is the path from other instances to the instance. Connections
	// that the instance itself opens to its peers do not pass through this
	// relay.
	RoutePeers Route = "peers"
)

// Relay is a running relay on one route of one instance.
type Relay struct {
	*Process
	Address string // accepts the connections to pass on
	Control *control.RelayClient
}

// SetMode changes the mode of the relay and sets its delay to zero.
func (r *Relay) SetMode(ctx context.Context, mode relay.Mode) error {
	if _, err := r.Control.SetBehavior(ctx, relay.Behavior{Mode: mode}); err != nil {
		return fmt.Errorf("set %s to mode %s: %w", r.Name, mode, err)
	}
	return nil
}

// startRelays starts those relays of the plan for an instance that do not run
// yet. The addresses of the instance must be known. The relays keep running
// when the instance restarts.
func (c *Cluster) startRelays(i *Instance) error {
	upstream := map[Route]string{RouteLog: c.logAddress, RouteList: c.listAddress, RoutePeers: i.PeerAddress}
	for _, route := range c.Plan.Relays[i.ID] {
		if i.Relays[route] != nil {
			continue
		}
		name := fmt.Sprintf("%s-%s-relay", i.ID, route)
		p, ready, err := c.startProgram(name, "standin", "relay", "--upstream", upstream[route])
		if err != nil {
			return err
		}
		if i.Relays == nil {
			i.Relays = map[Route]*Relay{}
		}
		i.Relays[route] = &Relay{Process: p, Address: ready.Address, Control: control.NewRelay(ready.Control)}
	}
	return nil
}

// addressVia returns the address of the relay on a route, or direct if the route
// has no relay.
func (i *Instance) addressVia(route Route, direct string) string {
	if r := i.Relays[route]; r != nil {
		return r.Address
	}
	return direct
}
