package control

import (
	"context"
	"net/http"

	"fulmarhoist.example/internal/standin/relay"
)

// RelayClient is a client for the control interface of a TCP relay.
type RelayClient struct{ client client }

// NewRelay returns a client for the control address of a relay.
func NewRelay(address string) *RelayClient { return &RelayClient{client: newClient(address)} }

// State returns a snapshot of the relay.
func (r *RelayClient) State(ctx context.Context) (relay.State, error) {
	var state relay.State
	err := r.client.do(ctx, http.MethodGet, "/state", nil, &state)
	return state, err
}

// SetBehavior replaces the mode and the delay in force and returns the
// resulting state.
func (r *RelayClient) SetBehavior(ctx context.Context, behavior relay.Behavior) (relay.State, error) {
	var state relay.State
	err := r.client.do(ctx, http.MethodPut, "/setting", behavior, &state)
	return state, err
}
