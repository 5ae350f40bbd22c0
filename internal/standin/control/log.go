package control

import (
	"context"
	"net/http"

	"fulmarhoist.example/internal/standin/logservice"
)

// Log controls a log service.
type Log struct{ client client }

// NewLog gives a client for the control address of a log service.
func NewLog(address string) *Log { return &Log{client: newClient(address)} }

// State tells what the log service is doing now.
func (l *Log) State(ctx context.Context) (logservice.State, error) {
	var state logservice.State
	err := l.client.call(ctx, http.MethodGet, "/state", nil, &state)
	return state, err
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(ctx context.Context, faults logservice.Faults) (logservice.State, error) {
	var state logservice.State
	err := l.client.call(ctx, http.MethodPut, "/faults", faults, &state)
	return state, err
}
