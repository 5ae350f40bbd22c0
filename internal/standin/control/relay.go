package control

import (
	"context"
	"net/http"

	"fulmarhoist.example/internal/standin/relay"
)

// Relay is a client for the control interface of a TCP relay.
type Relay struct{ client client }

// NewRelay returns a client for the control address of a relay.
func NewRelay(address string) *Relay { return &Relay{client: newClient(address)} }

// State returns a snapshot of the relay.
func (r *Relay) State(ctx context.Context) (relay.State, error) {
	var state relay.State
	err := r.client.do(ctx, http.MethodGet, "/state", nil, &state)
	return state, err
}

// Set replaces the mode and the delay in force and returns the resulting state.
func (r *Relay) Set(ctx context.Context, setting relay.Setting) (relay.State, error) {
	var state relay.State
	err := r.client.do(ctx, http.MethodPut, "/setting", setting, &state)
	return state, err
}
