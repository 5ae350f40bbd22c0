package fleet

import (
	"context"
	"fmt"

	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/relay"
)

// Route names a path between an instance and another part of the deployment.
type Route string

const (
	// RouteLog is how the instance reaches the log service.
	RouteLog Route = "log"
	// RouteList is how the instance reaches the instance list.
	RouteList Route = "list"
	// RoutePeers is how other instances reach the instance. The connections that
	// it opens to others do not pass the relay.
	RoutePeers Route = "peers"
)

// Relay is a running relay on one route of one instance.
type Relay struct {
	*Process
	Address string
	Control *control.Relay
}

// Set replaces the mode of the relay, without delay.
func (r *Relay) Set(ctx context.Context, mode relay.Mode) error {
	if _, err := r.Control.Set(ctx, relay.Setting{Mode: mode}); err != nil {
		return fmt.Errorf("set %s to %s: %w", r.Name, mode, err)
	}
	return nil
}

// startRelays starts the planned relays of an instance that has its addresses.
// They stay when the instance is started again.
func (f *Fleet) startRelays(i *Instance) error {
	upstream := map[Route]string{RouteLog: f.logAddress, RouteList: f.listAddress, RoutePeers: i.Peers}
	for _, route := range f.Plan.Relays[i.ID] {
		if i.Relays[route] != nil {
			continue
		}
		name := fmt.Sprintf("%s-%s-relay", i.ID, route)
		p, ready, err := f.start(name, "standin", "relay", "--upstream", upstream[route])
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

// through returns the address of the relay on a route, or the direct address.
func (i *Instance) through(route Route, direct string) string {
	if r := i.Relays[route]; r != nil {
		return r.Address
	}
	return direct
}
