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

// Default values of Settings.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultDialTimeout = 2 * time.Second
	// DefaultMaxResponseBytes has room for a page with several complete
	// configurations in base64.
	DefaultMaxResponseBytes = 16 << 20
)

const maxResponseHeaderBytes = 64 << 10

// Settings holds the limits of a client. Zero values select the defaults.
type Settings struct {
	// Timeout is the maximum time of one operation, from the dial to the last
	// byte of the response. A long poll adds its wait time.
	Timeout time.Duration
	// DialTimeout is the maximum time to open a connection.
	DialTimeout time.Duration
	// MaxResponseBytes is the maximum size of a response body in bytes.
	MaxResponseBytes int64
}

// withDefaults validates the settings and replaces zero values by the defaults.
func (s Settings) withDefaults() (Settings, error) {
	if s.Timeout < 0 || s.DialTimeout < 0 || s.MaxResponseBytes < 0 {
		return s, &SettingError{Name: "limits", Problem: fmt.Sprintf(
			"must not be negative, got timeout %v, dial timeout %v and a maximum response of %d bytes",
			s.Timeout, s.DialTimeout, s.MaxResponseBytes)}
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.MaxResponseBytes == 0 {
		s.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return s, nil
}

// parseBaseURL parses and validates the base URL of a platform service.
func parseBaseURL(rawURL string) (*url.URL, error) {
	u, err := url.Parse(rawURL)
	if err != nil {
		return nil, fmt.Errorf("parsing base URL: %w", err)
	}
	if u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return nil, &SettingError{Name: "base URL", Problem: fmt.Sprintf("must have the form http://host:port, got %q", rawURL)}
	}
	return u, nil
}

// connectionReuse says whether a transport keeps idle connections for later
// requests.
type connectionReuse bool

const (
	reuseConnections        connectionReuse = true
	newConnectionPerRequest connectionReuse = false
)

// newTransport returns a transport without a proxy and without compression, so
// that a small response cannot expand to a large one when it is decompressed.
func (s Settings) newTransport(reuse connectionReuse) *http.Transport {
	dialer := &net.Dialer{Timeout: s.DialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      reuse == newConnectionPerRequest,
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// get sends a GET request and returns the status and the complete body.
func (s Settings) get(ctx context.Context, transport http.RoundTripper, address string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("building the request: %w", err)
	}
	// Unlike http.Client, RoundTrip does not follow redirects.
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, fmt.Errorf("sending the request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := s.readBody(response.Body)
	return response.StatusCode, body, err
}

// readBody reads a whole response body up to the size limit.
func (s Settings) readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, s.MaxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading the response: %w", err)
	}
	if int64(len(data)) > s.MaxResponseBytes {
		return nil, &ResponseSizeError{Limit: s.MaxResponseBytes}
	}
	return data, nil
}

// decode decodes the JSON body of a response.
func decode(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decoding the response: %w", err)
	}
	return nil
}
