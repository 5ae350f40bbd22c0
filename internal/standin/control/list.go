package control

import (
	"context"
	"net/http"
	"net/url"

	"fulmarhoist.example/internal/standin/instancelist"
)

// List controls an instance list.
type List struct{ client client }

// NewList gives a client for the control address of an instance list.
func NewList(address string) *List { return &List{client: newClient(address)} }

// State tells what the instance list is doing now.
func (l *List) State(ctx context.Context) (instancelist.State, error) {
	return l.state(ctx, http.MethodGet, "/state", nil)
}

// SetFaults replaces the lag and the outage in force.
func (l *List) SetFaults(ctx context.Context, faults instancelist.Faults) (instancelist.State, error) {
	return l.state(ctx, http.MethodPut, "/faults", faults)
}

// Put registers a member or replaces the one with the same id.
func (l *List) Put(ctx context.Context, m instancelist.Member) (instancelist.State, error) {
	return l.state(ctx, http.MethodPut, "/members", m)
}

// Leave marks a member as leaving.
func (l *List) Leave(ctx context.Context, id string) (instancelist.State, error) {
	return l.state(ctx, http.MethodPost, "/members/"+url.PathEscape(id)+"/leave", nil)
}

// Remove drops a member.
func (l *List) Remove(ctx context.Context, id string) (instancelist.State, error) {
	return l.state(ctx, http.MethodDelete, "/members/"+url.PathEscape(id), nil)
}

func (l *List) state(ctx context.Context, method, path string, body any) (instancelist.State, error) {
	var state instancelist.State
	err := l.client.call(ctx, method, path, body, &state)
	return state, err
}
