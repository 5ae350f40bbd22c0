package backinghttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// Defaults of Settings.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultDialTimeout = 2 * time.Second
	// DefaultMaxResponse leaves room for a page of several complete
	// configurations in base64.
	DefaultMaxResponse = 16 << 20
)

const maxResponseHeader = 64 << 10

// Settings are the limits of a client. Zero values mean the defaults.
type Settings struct {
	// Timeout bounds one operation, from the dial to the last byte of the
	// response. A long poll adds its waiting time.
	Timeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxResponse bounds the body of a response in bytes.
	MaxResponse int64
}

func (s Settings) withDefaults() (Settings, error) {
	if s.Timeout < 0 || s.DialTimeout < 0 || s.MaxResponse < 0 {
		return s, &SettingError{Name: "limits", Problem: "must not be negative"}
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.MaxResponse == 0 {
		s.MaxResponse = DefaultMaxResponse
	}
	return s, nil
}

// parseBase checks the base URL of a platform service.
func parseBase(base string) (*url.URL, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("parsing base URL: %w", err)
	}
	if u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return nil, &SettingError{Name: "base URL", Problem: fmt.Sprintf("%q must have the form http://host:port", base)}
	}
	return u, nil
}

// connections says whether a transport keeps idle connections.
type connections bool

const (
	keepIdle  connections = true
	oneForOne connections = false // one connection per request
)

// newTransport gives a transport that uses no proxy and asks for no compression,
// so that a small response cannot grow beyond the limit while it is decoded.
func (s Settings) newTransport(c connections) *http.Transport {
	dialer := &net.Dialer{Timeout: s.DialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      c == oneForOne,
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// get sends a GET request and gives its status and whole body.
func (s Settings) get(ctx context.Context, transport http.RoundTripper, address string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("building the request: %w", err)
	}
	// RoundTrip, unlike http.Client, follows no redirects.
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, fmt.Errorf("sending the request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := s.readBody(response.Body)
	return response.StatusCode, body, err
}

func (s Settings) readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, s.MaxResponse+1))
	if err != nil {
		return nil, fmt.Errorf("reading the response: %w", err)
	}
	if int64(len(data)) > s.MaxResponse {
		return nil, &SizeError{Limit: s.MaxResponse}
	}
	return data, nil
}

func decode(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decoding the response: %w", err)
	}
	return nil
}
