package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Limits of the answers of an instance. The metrics of 256 services need about
// 2 MiB.
const (
	maxHealthBytes  = 4 << 10
	maxMetricsBytes = 16 << 20
)

// StatusError reports an answer of an instance with an unexpected status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// health is the answer of an instance to the health call.
type health struct {
	status int
	body   []byte

	Instance      string  `json:"instance"`
	ConfigVersion *uint64 `json:"config_version"`
	Leaving       bool    `json:"leaving"`
	Isolated      bool    `json:"isolated"`
}

func getHealth(ctx context.Context, address string) (*health, error) {
	status, body, err := getFrom(ctx, address, "/fulmarhoist/v1/health", maxHealthBytes)
	if err != nil {
		return nil, err
	}
	h := &health{status: status, body: body}
	// A body of another form leaves the version unknown.
	_ = json.Unmarshal(body, h)
	return h, nil
}

func getFrom(ctx context.Context, address, path string, limit int64) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("building the request: %w", err)
	}
	// A connection of its own shows that the instance accepts new ones.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, body, nil
}
