package control

import (
	"context"
	"net/http"

	"fulmarhoist.example/internal/standin/relay"
)

// Relay controls a TCP relay.
type Relay struct{ client client }

// NewRelay gives a client for the control address of a relay.
func NewRelay(address string) *Relay { return &Relay{client: newClient(address)} }

// State tells what the relay is doing now.
func (r *Relay) State(ctx context.Context) (relay.State, error) {
	var state relay.State
	err := r.client.call(ctx, http.MethodGet, "/state", nil, &state)
	return state, err
}

// Set replaces the mode and the delay in force.
func (r *Relay) Set(ctx context.Context, setting relay.Setting) (relay.State, error) {
	var state relay.State
	err := r.client.call(ctx, http.MethodPut, "/setting", setting, &state)
	return state, err
}
