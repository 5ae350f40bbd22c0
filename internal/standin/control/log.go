package control

import (
	"context"
	"net/http"

	"fulmarhoist.example/internal/standin/logservice"
)

// LogServiceClient is a client for the control interface of a log service.
type LogServiceClient struct{ client client }

// NewLog returns a client for the control address of a log service.
func NewLog(address string) *LogServiceClient { return &LogServiceClient{client: newClient(address)} }

// State returns a snapshot of the log service.
func (l *LogServiceClient) State(ctx context.Context) (logservice.State, error) {
	var state logservice.State
	err := l.client.do(ctx, http.MethodGet, "/state", nil, &state)
	return state, err
}

// SetFaults replaces the faults in force and returns the resulting state.
func (l *LogServiceClient) SetFaults(ctx context.Context, faults logservice.Faults) (logservice.State, error) {
	var state logservice.State
	err := l.client.do(ctx, http.MethodPut, "/faults", faults, &state)
	return state, err
}
