// Package targetconn manages HTTP/1.1 connections to targets, which are opened
// on demand and pooled. A connection carries one request at a time. A response
// that belongs to another request is recognized by the request ID it echoes.
package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"fulmarhoist.example/hop"
)

const (
	// dialTimeout bounds the opening of a connection, which takes about 1 ms
	// plus the network round trip.
	dialTimeout = 250 * time.Millisecond
	// maxSkippedResponses is how many responses to other requests are discarded
	// before the connection is given up.
	maxSkippedResponses = 3
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// MaxBufferedBodyBytes is the part of a response body that is read before
	// any of it is forwarded, so that a truncated response up to this size is
	// detected before its status is sent to the caller.
	MaxBufferedBodyBytes = 1 << 20
	// maxSkippedBodyBytes is the longest body of a response to another request
	// that is read and discarded.
	maxSkippedBodyBytes = 64 << 10
	// unsolicitedTimeout is how long to wait for the head of a response that
	// arrives on an idle connection.
	unsolicitedTimeout = 100 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// keepAliveConfig detects connections whose state a middlebox, such as a NAT or
// firewall, has dropped.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialError reports a connection that could not be opened.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// BrokenError reports a connection that ended before the response was complete,
// or on which something other than a response to the request arrived.
type BrokenError struct {
	Problem string
	Err     error
	// NoResponse is true if no byte of a response arrived.
	NoResponse bool
}

func (e *BrokenError) Error() string {
	if e.Err == nil {
		return "connection to target: " + e.Problem
	}
	return fmt.Sprintf("connection to target: %s: %v", e.Problem, e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }

// Request is one request as it is written to the connection.
type Request struct {
	Method string
	Target string // request target: path and query as the caller sent them
	Host   string
	Header http.Header // without hop-by-hop headers and Content-Length
	Body   io.Reader
	Size   int64 // body size in bytes; -1 if unknown, which selects chunked encoding
	// Matches reports whether a response belongs to the request. If it is nil,
	// every response does.
	Matches func(*http.Response) bool
	// BodyLimit returns how much of the body of a response to buffer, at most
	// MaxBufferedBodyBytes. If it is nil, the limit is MaxBufferedBodyBytes.
	BodyLimit func(*http.Response) int64
}

// matches reports whether a response belongs to the request.
func (r *Request) matches(response *http.Response) bool {
	return r.Matches == nil || r.Matches(response)
}

// bodyLimit returns how much of the body of a response to buffer.
func (r *Request) bodyLimit(response *http.Response) int64 {
	switch {
	case !r.matches(response):
		return maxSkippedBodyBytes
	case r.BodyLimit == nil:
		return MaxBufferedBodyBytes
	default:
		return min(r.BodyLimit(response), MaxBufferedBodyBytes)
	}
}

// call is a request in flight.
type call struct {
	request     *Request
	httpRequest *http.Request   // tells http.ReadResponse the request method
	done        chan callResult // capacity 1
}

type callResult struct {
	response *Response
	err      error
}

// Conn is one connection to a target. Do must be called by one goroutine at a
// time. A goroutine owned by the connection reads responses and notices when the
// target closes the connection.
type Conn struct {
	Opened time.Time

	conn        net.Conn
	options     Options
	reader      *bufio.Reader
	limit       *hop.LimitedConn
	inFlight    atomic.Pointer[call]
	closed      atomic.Bool
	readerDone  chan struct{} // closed when readLoop has returned
	reusable    atomic.Bool   // the responses so far allow another request
	idleSince   time.Time     // when the last Do returned; not synchronized
	idleTimeout time.Duration // announced by the target, less a margin; 0 if unknown
}

// Options are the dependencies of a connection; the zero value has none.
type Options struct {
	// OnResponse is called with the head of each response, also of one that
	// belongs to no request. It must not read the body.
	OnResponse func(*http.Response)
	// Buffers limits the memory that the connections share for response bodies.
	Buffers *hop.BufferBudget
	// Dial opens the network connection; if it is nil, it is opened over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Dial opens a connection to the address.
func Dial(ctx context.Context, address string, options Options) (*Conn, error) {
	dial := options.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	limited := &hop.LimitedConn{Conn: conn}
	limited.SetLimit(maxResponseHeaderBytes)
	c := &Conn{Opened: time.Now(), conn: conn, options: options, limit: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}
	c.readerDone = make(chan struct{})
	c.idleSince = c.Opened
	c.reusable.Store(true)
	go c.readLoop()
	return c, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("open a TCP connection: %w", err)
	}
	return conn, nil
}

// Close closes the connection; a request in flight fails.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		_ = c.conn.Close()
	}
}

// Usable reports whether another request may be sent.
func (c *Conn) Usable(now time.Time) bool {
	if c.closed.Load() || !c.reusable.Load() {
		return false
	}
	return c.idleTimeout == 0 || now.Sub(c.idleSince) < c.idleTimeout
}

// IdleTime returns how long the connection has been idle.
func (c *Conn) IdleTime(now time.Time) time.Duration { return now.Sub(c.idleSince) }

// Do sends a request and waits for its response. The result sent reports whether
// any byte of the request may have been written, even if err is not nil. The
// connection is closed after an error and when the context ends, also while the rest
// of the response is read.
func (c *Conn) Do(ctx context.Context, r *Request) (response *Response, sent bool, err error) {
	pending := &call{request: r, httpRequest: &http.Request{Method: r.Method}, done: make(chan callResult, 1)}
	c.inFlight.Store(pending)
	if c.closed.Load() {
		return nil, false, &BrokenError{Problem: "closed before the request was sent", NoResponse: true}
	}
	stopWatching := context.AfterFunc(ctx, c.Close)
	defer func() {
		if err == nil && response.streamed != nil {
			response.streamed.onEnd = stopWatching
			return
		}
		stopWatching()
	}()
	written := make(chan error, 1)
	if r.Body == nil || r.Size >= 0 && r.Size <= smallBodyBytes {
		written <- c.writeRequest(r)
	} else {
		go func() { written <- c.writeRequest(r) }()
	}
	got, requestWritten := c.await(pending, written)
	if !requestWritten {
		// The target would parse the rest of the body as the next request.
		c.reusable.Store(false)
		if got.err == nil && got.response.Rest == nil {
			c.Close()
		}
	}
	c.idleSince = time.Now()
	if got.err != nil {
		c.Close()
		if ctx.Err() != nil {
			return nil, true, fmt.Errorf("wait for the response: %w", errors.Join(context.Cause(ctx), got.err))
		}
		return nil, true, got.err
	}
	return got.response, true, nil
}

// await waits for the response. The result requestWritten reports whether the
// whole request had been written by then.
func (c *Conn) await(pending *call, written <-chan error) (got callResult, requestWritten bool) {
	select {
	case err := <-written:
		if err != nil {
			// The target may have responded before it closed the connection.
			_ = c.conn.SetReadDeadline(time.Now().Add(lateResponseTimeout))
		}
		return c.waitResult(pending), err == nil
	case got = <-pending.done:
	case <-c.readerDone:
		got = c.waitResult(pending)
	}
	select {
	case err := <-written:
		return got, err == nil
	default:
		return got, false
	}
}

// waitResult waits for the result of a call. If readLoop returned just before
// the call began, because the target closed the idle connection, it delivers no
// result.
func (c *Conn) waitResult(pending *call) callResult {
	select {
	case got := <-pending.done:
		return got
	case <-c.readerDone:
	}
	select {
	case got := <-pending.done:
		return got
	default:
		return callResult{err: &BrokenError{Problem: "closed while the request was sent", NoResponse: true}}
	}
}

// smallBodyBytes is the size up to which a body is written synchronously, before
// waiting for the response. It fits into the socket buffers.
const smallBodyBytes = 8 << 10

// lateResponseTimeout is how long to wait for a response after writing the
// request has failed.
const lateResponseTimeout = 50 * time.Millisecond

func (c *Conn) writeRequest(r *Request) error {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(r.Method)
	head.WriteByte(' ')
	head.WriteString(r.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(r.Host)
	head.WriteString("\r\n")
	if err := r.Header.Write(&head); err != nil {
		return fmt.Errorf("write the request header: %w", err)
	}
	switch {
	case r.Size < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		return c.writeChunked(&head, r.Body)
	case r.Size > 0 || methodHasBody(r.Method):
		head.WriteString("Content-Length: " + strconv.FormatInt(r.Size, 10) + "\r\n")
	}
	head.WriteString("\r\n")
	if r.Size > 0 && r.Size <= smallBodyBytes {
		if _, err := io.CopyN(&head, r.Body, r.Size); err != nil {
			return c.handleBodyError(err)
		}
	}
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		return fmt.Errorf("write the request: %w", err)
	}
	if r.Size > smallBodyBytes {
		if _, err := io.CopyN(c.conn, r.Body, r.Size); err != nil {
			return c.handleBodyError(err)
		}
	}
	return nil
}

// handleBodyError closes the connection if the source of the body failed. After
// a network error the connection stays open for reading, because the target may
// have responded before it stopped reading.
func (c *Conn) handleBodyError(err error) error {
	var netErr net.Error
	if !errors.As(err, &netErr) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		c.Close()
	}
	return fmt.Errorf("write the request body: %w", err)
}

func (c *Conn) writeChunked(head *bytes.Buffer, body io.Reader) error {
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		return fmt.Errorf("write the request: %w", err)
	}
	err := hop.WriteChunks(c.conn, body, func() {})
	var source *hop.BodyReadError
	if errors.As(err, &source) {
		return c.handleBodyError(source.Err)
	}
	return err
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readLoop reads responses and delivers them to the calls until the connection
// ends or can't be reused.
func (c *Conn) readLoop() {
	defer close(c.readerDone)
	defer c.Close()
	skipped := 0
	for {
		c.limit.SetLimit(maxResponseHeaderBytes)
		_, err := c.reader.Peek(1)
		pending := c.inFlight.Load()
		if pending == nil {
			if err == nil {
				c.readUnsolicited()
			}
			return // the target closed an idle connection, or sent bytes without a request
		}
		if err != nil {
			pending.done <- callResult{err: &BrokenError{Problem: "ended before a response arrived", Err: err, NoResponse: skipped == 0}}
			return
		}
		response, err := c.readResponse(pending)
		if err == nil && !pending.request.matches(response.HTTP) {
			skipped++
			c.reusable.Store(false)
			if skipped <= maxSkippedResponses && response.streamed == nil {
				continue
			}
			response.discard()
			err = &BrokenError{Problem: "the response belongs to another request"}
		}
		if err != nil {
			pending.done <- callResult{err: err}
			return
		}
		c.inFlight.Store(nil)
		if !c.updateKeepAlive(response) {
			c.reusable.Store(false)
		}
		if response.streamed == nil {
			reusable := c.reusable.Load()
			pending.done <- callResult{response: response}
			if !reusable {
				return
			}
			continue
		}
		pending.done <- callResult{response: response}
		if complete := <-response.streamed.complete; !complete || !c.reusable.Load() {
			return
		}
	}
}
