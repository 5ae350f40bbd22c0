// Package control contains clients for the control interfaces of the stand-ins,
// by which tests read their state and inject faults.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// requestTimeout bounds one control request.
const requestTimeout = 10 * time.Second

// RequestError reports an answer to a control request with a status other than
// 2xx.
type RequestError struct {
	Method string
	Path   string
	Status int
	Body   string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s %s: status %d: %s", e.Method, e.Path, e.Status, e.Body)
}

// client sends requests with JSON bodies to one control address.
type client struct {
	address string
	http    *http.Client
}

func newClient(address string) client {
	// Each request has a connection of its own, so that no idle connection
	// outlives a test.
	transport := &http.Transport{DisableKeepAlives: true}
	return client{address: address, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// do sends a request with body encoded as JSON, unless body is nil, and decodes
// the answer into result, unless result is nil.
func (c client) do(ctx context.Context, method, path string, body, result any) error {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encoding the body of %s %s: %w", method, path, err)
		}
		payload = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, payload)
	if err != nil {
		return fmt.Errorf("building %s %s: %w", method, path, err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("sending %s %s to the control address %s: %w", method, path, c.address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		answer, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		return &RequestError{Method: method, Path: path, Status: response.StatusCode, Body: string(answer)}
	}
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return fmt.Errorf("decoding the answer to %s %s: %w", method, path, err)
	}
	return nil
}
