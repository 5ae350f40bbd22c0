package backinghttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"fulmarhoist.example/backing"
)

const logName = "log service"

// LogClient implements backing.Log over HTTP.
type LogClient struct {
	base     *url.URL
	settings Settings
	reads    *http.Transport
	// appends opens a connection per request. On a kept connection that the
	// service has just closed, an append would fail without a way to tell
	// whether the service saw it.
	appends *http.Transport
}

var _ backing.Log = (*LogClient)(nil)

// NewLogClient gives a client of the log service at a base URL.
func NewLogClient(base string, settings Settings) (*LogClient, error) {
	u, err := parseBase(base)
	if err != nil {
		return nil, fmt.Errorf("log service: %w", err)
	}
	settings, err = settings.withDefaults()
	if err != nil {
		return nil, fmt.Errorf("log service: %w", err)
	}
	return &LogClient{
		base:     u,
		settings: settings,
		reads:    settings.newTransport(keepIdle),
		appends:  settings.newTransport(oneForOne),
	}, nil
}

// Close closes idle connections.
func (c *LogClient) Close() { c.reads.CloseIdleConnections() }

func (c *LogClient) address(stream backing.Stream) *url.URL {
	return c.base.JoinPath("streams", url.PathEscape(string(stream)))
}

// onceBody hides the type of the body from net/http, which would otherwise set
// GetBody and could then send the body again on another connection.
type onceBody struct{ io.Reader }

// Append implements backing.Log. The request is written at most once.
func (c *LogClient) Append(ctx context.Context, stream backing.Stream, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	// Without a connection, nothing can have been written.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address(stream).String(), onceBody{bytes.NewReader(data)})
	if err != nil {
		return 0, unavailable("append", fmt.Errorf("building the request: %w", err))
	}
	request.ContentLength = int64(len(data))
	if len(data) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := c.appends.RoundTrip(request)
	if err != nil {
		if !connected.Load() {
			return 0, unavailable("append", err)
		}
		return 0, &backing.UncertainAppendError{Stream: stream, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return c.appended(stream, response)
}

// appended reads the response to an append. Only 429 and 503 say that nothing
// was stored; after any other failure the record may be in the stream.
func (c *LogClient) appended(stream backing.Stream, response *http.Response) (uint64, error) {
	switch response.StatusCode {
	case http.StatusCreated:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, unavailable("append", nil)
	default:
		return 0, &backing.UncertainAppendError{Stream: stream, Err: &StatusError{Status: response.StatusCode}}
	}
	body, err := c.settings.readBody(response.Body)
	if err != nil {
		return 0, &backing.UncertainAppendError{Stream: stream, Err: err}
	}
	var stored struct {
		Offset *uint64 `json:"offset"`
	}
	if err := decode(body, &stored); err != nil {
		return 0, &backing.UncertainAppendError{Stream: stream, Err: err}
	}
	if stored.Offset == nil {
		return 0, &backing.UncertainAppendError{Stream: stream, Err: &MalformedError{Problem: "no offset"}}
	}
	return *stored.Offset, nil
}

// Read implements backing.Log.
func (c *LogClient) Read(ctx context.Context, stream backing.Stream, from uint64, limit int) (backing.Page, error) {
	return c.read(ctx, stream, from, url.Values{"limit": {strconv.Itoa(limit)}}, c.settings.Timeout)
}

// Poll is a Read that waits up to the given time for records if there are none
// yet. It gives an empty page when the time is over.
func (c *LogClient) Poll(ctx context.Context, stream backing.Stream, from uint64, limit int, wait time.Duration) (backing.Page, error) {
	wait = max(wait, 0)
	values := url.Values{
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.read(ctx, stream, from, values, c.settings.Timeout+wait)
}

func (c *LogClient) read(ctx context.Context, stream backing.Stream, from uint64, values url.Values, timeout time.Duration) (backing.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	values.Set("from", strconv.FormatUint(from, 10))
	address := c.address(stream)
	address.RawQuery = values.Encode()
	status, body, err := c.settings.get(ctx, c.reads, address.String())
	if err != nil {
		return backing.Page{}, unavailable("read", err)
	}
	switch status {
	case http.StatusOK:
		page, err := decodePage(body, from)
		if err != nil {
			return backing.Page{}, unavailable("read", err)
		}
		return page, nil
	case http.StatusGone:
		return backing.Page{}, trimmed(stream, from, body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return backing.Page{}, unavailable("read", nil)
	}
	return backing.Page{}, unavailable("read", &StatusError{Status: status})
}

func unavailable(op string, err error) error {
	return &backing.UnavailableError{Service: logName, Op: op, Err: err}
}

// trimmed reads the body of a 410 response.
func trimmed(stream backing.Stream, from uint64, body []byte) error {
	var gone struct {
		First *uint64 `json:"first"`
	}
	if err := decode(body, &gone); err != nil {
		return unavailable("read", err)
	}
	if gone.First == nil || *gone.First <= from {
		return unavailable("read", &MalformedError{Problem: "status 410 without a later first offset"})
	}
	return &backing.TrimmedError{Stream: stream, From: from, First: *gone.First}
}

// decodePage decodes a page and checks that its offsets are in order and in the
// range that was asked for, so that a reader never applies records out of order.
func decodePage(body []byte, from uint64) (backing.Page, error) {
	var wire struct {
		First   *uint64 `json:"first"`
		Next    *uint64 `json:"next"`
		Records []struct {
			Offset *uint64 `json:"offset"`
			Data   []byte  `json:"data"`
		} `json:"records"`
	}
	if err := decode(body, &wire); err != nil {
		return backing.Page{}, err
	}
	if wire.First == nil || wire.Next == nil || *wire.First > *wire.Next {
		return backing.Page{}, &MalformedError{Problem: "first and next are missing or out of order"}
	}
	page := backing.Page{First: *wire.First, Next: *wire.Next, Records: make([]backing.Record, len(wire.Records))}
	least := max(from, page.First)
	for i, record := range wire.Records {
		if record.Offset == nil || *record.Offset < least || *record.Offset >= page.Next {
			return backing.Page{}, &MalformedError{Problem: fmt.Sprintf("record %d has an offset out of order", i)}
		}
		least = *record.Offset + 1
		page.Records[i] = backing.Record{Offset: *record.Offset, Data: record.Data}
	}
	return page, nil
}
