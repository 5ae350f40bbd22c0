package control

import (
	"context"
	"net/http"
	"net/url"

	"fulmarhoist.example/internal/standin/instancelist"
)

// InstanceListClient is a client for the control interface of an instance list.
type InstanceListClient struct{ client client }

// NewList returns a client for the control address of an instance list.
func NewList(address string) *InstanceListClient {
	return &InstanceListClient{client: newClient(address)}
}

// State returns a snapshot of the instance list.
func (l *InstanceListClient) State(ctx context.Context) (instancelist.State, error) {
	return l.state(ctx, http.MethodGet, "/state", nil)
}

// SetFaults replaces the faults in force and returns the resulting state.
func (l *InstanceListClient) SetFaults(ctx context.Context, faults instancelist.Faults) (instancelist.State, error) {
	return l.state(ctx, http.MethodPut, "/faults", faults)
}

// Put adds a member or replaces the member with the same id.
func (l *InstanceListClient) Put(ctx context.Context, m instancelist.Member) (instancelist.State, error) {
	return l.state(ctx, http.MethodPut, "/members", m)
}

// Leave marks a member as leaving.
func (l *InstanceListClient) Leave(ctx context.Context, id string) (instancelist.State, error) {
	return l.state(ctx, http.MethodPost, "/members/"+url.PathEscape(id)+"/leave", nil)
}

// Remove removes a member from the list.
func (l *InstanceListClient) Remove(ctx context.Context, id string) (instancelist.State, error) {
	return l.state(ctx, http.MethodDelete, "/members/"+url.PathEscape(id), nil)
}

// state sends a request whose answer is the state.
func (l *InstanceListClient) state(ctx context.Context, method, path string, body any) (instancelist.State, error) {
	var state instancelist.State
	err := l.client.do(ctx, method, path, body, &state)
	return state, err
}
