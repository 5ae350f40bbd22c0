package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Size limits of the responses of an instance, in bytes. The metrics of 256
// services take about 2 MiB.
const (
	maxHealthBytes  = 4 << 10
	maxMetricsBytes = 16 << 20
)

// StatusError reports a response of an instance with an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// healthResponse is the response of an instance to a health check.
type healthResponse struct {
	status int
	body   []byte

	Instance      string  `json:"instance"`
	ConfigVersion *uint64 `json:"config_version"`
	Leaving       bool    `json:"leaving"`
	Isolated      bool    `json:"isolated"`
}

func getHealth(ctx context.Context, address string) (*healthResponse, error) {
	status, body, err := httpGet(ctx, address, "/fulmarhoist/v1/health", maxHealthBytes)
	if err != nil {
		return nil, err
	}
	h := &healthResponse{status: status, body: body}
	// If the body has another form, the version stays unknown.
	_ = json.Unmarshal(body, h)
	return h, nil
}

// httpGet returns the status and up to limit bytes of the body at path.
func httpGet(ctx context.Context, address, path string, limit int64) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("building the request: %w", err)
	}
	// A new connection shows that the instance still accepts connections.
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
