package control

import (
	"context"
	"net/http"

	"fulmarhoist.example/internal/standin/targetserver"
)

// TargetClient is a client for the control interface of a target server.
type TargetClient struct{ client client }

// NewTarget returns a client for the control address of a target server.
func NewTarget(address string) *TargetClient { return &TargetClient{client: newClient(address)} }

// State returns a snapshot of the target.
func (t *TargetClient) State(ctx context.Context) (targetserver.State, error) {
	return t.state(ctx, http.MethodGet, "/state", nil)
}

// Journal returns everything that the target has recorded.
func (t *TargetClient) Journal(ctx context.Context) (targetserver.Journal, error) {
	var journal targetserver.Journal
	err := t.client.do(ctx, http.MethodGet, "/journal", nil, &journal)
	return journal, err
}

// SetFaults replaces the faults in force and returns the resulting state.
func (t *TargetClient) SetFaults(ctx context.Context, faults targetserver.Faults) (targetserver.State, error) {
	return t.state(ctx, http.MethodPut, "/faults", faults)
}

// Drain starts draining if draining is true, and ends it otherwise.
func (t *TargetClient) Drain(ctx context.Context, draining bool) (targetserver.State, error) {
	return t.state(ctx, http.MethodPut, "/drain", targetserver.DrainRequest{Draining: draining})
}

// Restart crashes the target's process. After the restart delay, a new one
// starts cold.
func (t *TargetClient) Restart(ctx context.Context) (targetserver.State, error) {
	return t.state(ctx, http.MethodPost, "/restart", nil)
}

// Silence silences the target's open connections. New ones work.
func (t *TargetClient) Silence(ctx context.Context) (targetserver.State, error) {
	return t.state(ctx, http.MethodPost, "/silence", nil)
}

// state sends a request whose answer is the state.
func (t *TargetClient) state(ctx context.Context, method, path string, body any) (targetserver.State, error) {
	var state targetserver.State
	err := t.client.do(ctx, method, path, body, &state)
	return state, err
}
