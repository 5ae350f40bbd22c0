package control

import (
	"context"
	"net/http"

	"fulmarhoist.example/internal/standin/targetserver"
)

// Target controls a target server.
type Target struct{ client client }

// NewTarget gives a client for the control address of a target server.
func NewTarget(address string) *Target { return &Target{client: newClient(address)} }

// State tells what the target is doing now.
func (t *Target) State(ctx context.Context) (targetserver.State, error) {
	return t.state(ctx, http.MethodGet, "/state", nil)
}

// Journal gives everything that the target has recorded.
func (t *Target) Journal(ctx context.Context) (targetserver.Journal, error) {
	var journal targetserver.Journal
	err := t.client.call(ctx, http.MethodGet, "/journal", nil, &journal)
	return journal, err
}

// SetFaults replaces the faults in force.
func (t *Target) SetFaults(ctx context.Context, faults targetserver.Faults) (targetserver.State, error) {
	return t.state(ctx, http.MethodPut, "/faults", faults)
}

// Drain starts or ends draining.
func (t *Target) Drain(ctx context.Context, draining bool) (targetserver.State, error) {
	return t.state(ctx, http.MethodPut, "/drain", targetserver.Drain{Draining: draining})
}

// Restart crashes the target's process; the next one starts cold.
func (t *Target) Restart(ctx context.Context) (targetserver.State, error) {
	return t.state(ctx, http.MethodPost, "/restart", nil)
}

// Silence silences the connections that are open now.
func (t *Target) Silence(ctx context.Context) (targetserver.State, error) {
	return t.state(ctx, http.MethodPost, "/silence", nil)
}

func (t *Target) state(ctx context.Context, method, path string, body any) (targetserver.State, error) {
	var state targetserver.State
	err := t.client.call(ctx, method, path, body, &state)
	return state, err
}
