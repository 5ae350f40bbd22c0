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

const logServiceName = "log service"

// LogClient implements backing.Log over HTTP.
type LogClient struct {
	base     *url.URL
	settings Settings
	reads    *http.Transport
	// appends opens a new connection for each request. If an append used an idle
	// connection that the service has just closed, the client could not tell
	// whether the service received it.
	appends *http.Transport
}

var _ backing.Log = (*LogClient)(nil)

// NewLogClient returns a client of the log service at the base URL.
func NewLogClient(base string, settings Settings) (*LogClient, error) {
	u, err := parseBaseURL(base)
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
		reads:    settings.newTransport(reuseConnections),
		appends:  settings.newTransport(newConnectionPerRequest),
	}, nil
}

// Close closes the idle connections.
func (c *LogClient) Close() { c.reads.CloseIdleConnections() }

// streamURL returns the URL of a stream.
func (c *LogClient) streamURL(stream backing.Stream) *url.URL {
	return c.base.JoinPath("streams", url.PathEscape(string(stream)))
}

// nonReplayableBody hides the concrete type of the body from net/http, which
// would otherwise set GetBody and could then send the body again on another
// connection.
type nonReplayableBody struct{ io.Reader }

// Append implements backing.Log. It sends the request at most once.
func (c *LogClient) Append(ctx context.Context, stream backing.Stream, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	// Without a connection, no part of the request can have been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream).String(), nonReplayableBody{bytes.NewReader(data)})
	if err != nil {
		return 0, unavailableError("append", fmt.Errorf("building the request: %w", err))
	}
	request.ContentLength = int64(len(data))
	if len(data) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := c.appends.RoundTrip(request)
	if err != nil {
		if !connected.Load() {
			return 0, unavailableError("append", err)
		}
		return 0, &backing.UncertainAppendError{Stream: stream, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return c.appendResult(stream, response)
}

// appendResult decodes the response to an append. Only the statuses 429 and 503
// mean that nothing was stored; after any other failure the record may be in
// the stream.
func (c *LogClient) appendResult(stream backing.Stream, response *http.Response) (uint64, error) {
	switch response.StatusCode {
	case http.StatusCreated:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, unavailableError("append", nil)
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
		return 0, &backing.UncertainAppendError{Stream: stream, Err: &MalformedResponseError{Problem: "offset is missing"}}
	}
	return *stored.Offset, nil
}

// Read implements backing.Log.
func (c *LogClient) Read(ctx context.Context, stream backing.Stream, from uint64, limit int) (backing.Page, error) {
	return c.read(ctx, stream, from, url.Values{"limit": {strconv.Itoa(limit)}}, c.settings.Timeout)
}

// Poll is like Read, but if there are no records at the offset yet, it waits up
// to the given time for one (long poll). It returns an empty page when the time
// has passed.
func (c *LogClient) Poll(ctx context.Context, stream backing.Stream, from uint64, limit int, wait time.Duration) (backing.Page, error) {
	wait = max(wait, 0)
	query := url.Values{
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.read(ctx, stream, from, query, c.settings.Timeout+wait)
}

func (c *LogClient) read(ctx context.Context, stream backing.Stream, from uint64, query url.Values, timeout time.Duration) (backing.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query.Set("from", strconv.FormatUint(from, 10))
	readURL := c.streamURL(stream)
	readURL.RawQuery = query.Encode()
	status, body, err := c.settings.get(ctx, c.reads, readURL.String())
	if err != nil {
		return backing.Page{}, unavailableError("read", err)
	}
	switch status {
	case http.StatusOK:
		page, err := decodePage(body, from)
		if err != nil {
			return backing.Page{}, unavailableError("read", err)
		}
		return page, nil
	case http.StatusGone:
		return backing.Page{}, trimmedError(stream, from, body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return backing.Page{}, unavailableError("read", nil)
	}
	return backing.Page{}, unavailableError("read", &StatusError{Status: status})
}

func unavailableError(op string, err error) error {
	return &backing.UnavailableError{Service: logServiceName, Op: op, Err: err}
}

// trimmedError returns the error for a response with status 410.
func trimmedError(stream backing.Stream, from uint64, body []byte) error {
	var gone struct {
		First *uint64 `json:"first"`
	}
	if err := decode(body, &gone); err != nil {
		return unavailableError("read", err)
	}
	if gone.First == nil || *gone.First <= from {
		return unavailableError("read", &MalformedResponseError{Problem: "status 410 without a first offset after that of the read"})
	}
	return &backing.TrimmedError{Stream: stream, From: from, First: *gone.First}
}

// decodePage decodes a page and checks that its offsets are in ascending order
// and within the requested range, so that a reader never applies records out of
// order.
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
		return backing.Page{}, &MalformedResponseError{Problem: "first or next is missing, or first is after next"}
	}
	page := backing.Page{First: *wire.First, Next: *wire.Next, Records: make([]backing.Record, len(wire.Records))}
	minOffset := max(from, page.First)
	for i, record := range wire.Records {
		if record.Offset == nil || *record.Offset < minOffset || *record.Offset >= page.Next {
			return backing.Page{}, &MalformedResponseError{Problem: fmt.Sprintf("the offset of record %d is missing, out of order or out of range", i)}
		}
		minOffset = *record.Offset + 1
		page.Records[i] = backing.Record{Offset: *record.Offset, Data: record.Data}
	}
	return page, nil
}
