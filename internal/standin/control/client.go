// Package control holds clients for the control addresses of the stand-ins,
// for tests.
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

// timeout bounds one control request.
const timeout = 10 * time.Second

// RequestError reports a control request that a stand-in refused.
type RequestError struct {
	Method string
	Path   string
	Status int
	Body   string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s %s: status %d: %s", e.Method, e.Path, e.Status, e.Body)
}

// client sends JSON requests to one control address.
type client struct {
	address string
	http    *http.Client
}

func newClient(address string) client {
	// A connection per request keeps no idle connections across tests.
	transport := &http.Transport{DisableKeepAlives: true}
	return client{address: address, http: &http.Client{Transport: transport, Timeout: timeout}}
}

// call sends body, unless it is nil, and decodes the answer into result, unless
// that is nil.
func (c client) call(ctx context.Context, method, path string, body, result any) error {
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
		return fmt.Errorf("sending a control request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		return &RequestError{Method: method, Path: path, Status: response.StatusCode, Body: string(text)}
	}
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return fmt.Errorf("decoding the answer to %s %s: %w", method, path, err)
	}
	return nil
}
