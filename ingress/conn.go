package ingress

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
	"strings"
	"sync/atomic"
	"time"

	"fulmarhoist.example/hop"
)

const (
	// maxPipelined is the capacity of a connection's queue of responses. It
	// bounds how many of its requests run concurrently.
	maxPipelined = 32
	// maxBufferedBodyBytes is how much of a body is read before the request is
	// served. The rest of a longer body is streamed to the handler.
	maxBufferedBodyBytes = 1 << 20
	// lingerTimeout is how long data is still read after the last response.
	// Closing with unread data would reset the connection before the caller has
	// received the response.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds writing a response, or one chunk of a streamed
	// response.
	writeTimeout    = 10 * time.Second
	readBufferBytes = 4 << 10
	// headerSlackBytes is how much the request line and the end of the header
	// may exceed the limit on headers.
	headerSlackBytes = 4 << 10
)

// conn is one connection of a caller. One goroutine, in serve, reads the
// requests; another, in writeResponses, writes the responses in order.
type conn struct {
	server    *Server
	netConn   net.Conn
	limited   *hop.LimitedConn
	reader    *bufio.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	responses chan *pendingResponse
	pending   atomic.Int64  // requests whose response is not written yet
	drained   chan struct{} // receives a value when pending falls to 0; capacity 1
	draining  atomic.Bool   // set by drain
	idle      atomic.Bool   // true while waiting for the first byte of a request
}

// pendingResponse is a request with its response, which may not exist yet. The
// order of the pending responses is the order of the requests.
type pendingResponse struct {
	request    *Request
	response   chan *Response // capacity 1
	closeAfter bool           // the connection closes after the response
	http10     bool           // the request is HTTP/1.0
}

func newConn(s *Server, netConn net.Conn) *conn {
	c := &conn{server: s, netConn: netConn, responses: make(chan *pendingResponse, maxPipelined), drained: make(chan struct{}, 1)}
	c.limited = &hop.LimitedConn{Conn: netConn}
	c.reader = bufio.NewReaderSize(c.limited, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// drain closes the connection now if it is idle, and otherwise after the next
// response.
func (c *conn) drain() {
	c.draining.Store(true)
	if c.idle.Load() && c.pending.Load() == 0 {
		_ = c.netConn.SetReadDeadline(time.Now())
	}
}

// serve reads requests until the connection ends, and waits until all responses
// are written.
func (c *conn) serve() {
	defer func() { _ = c.netConn.Close() }()
	defer c.cancel()
	writerDone := make(chan struct{})
	go func() { defer close(writerDone); c.writeResponses() }()
	for c.serveNext() {
	}
	close(c.responses)
	select {
	case <-writerDone:
	case <-c.callerGone():
		// The caller has disconnected, so its responses are no longer needed.
		c.cancel()
		<-writerDone
	}
}

// callerGone returns a channel that is closed when the caller closes its side
// of the connection or reading fails. It must be called only after the last
// request was read.
func (c *conn) callerGone() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.limited.SetLimit(hop.Unlimited)
		_ = c.netConn.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.reader)
	}()
	return ended
}

// serveNext reads one request and passes it to the handler. It returns false if
// no further request may be read.
func (c *conn) serveNext() bool {
	if !c.awaitFirstByte() {
		return false
	}
	limits := c.server.Limits()
	c.limited.SetLimit(int64(limits.MaxHeaderBytes + headerSlackBytes - c.reader.Buffered()))
	_ = c.netConn.SetReadDeadline(deadlineAfter(limits.HeaderTimeout))
	parsed, err := http.ReadRequest(c.reader)
	c.limited.SetLimit(hop.Unlimited)
	if err != nil {
		c.reject(headerErrorStatus(err), err)
		return false
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, URL: parsed.URL, Host: parsed.Host, Header: parsed.Header,
		Size: parsed.ContentLength, ReadAt: time.Now(),
	}
	p := &pendingResponse{request: r, response: make(chan *Response, 1), closeAfter: parsed.Close, http10: !parsed.ProtoAtLeast(1, 1)}
	if parsed.ContentLength == 0 {
		if !mayRunConcurrently(parsed.Method) {
			c.awaitDrained()
		}
		c.pending.Add(1)
		c.responses <- p
		go func() { p.response <- c.server.handle(c.ctx, r) }()
		return !p.closeAfter
	}
	return c.serveBody(parsed, p, limits)
}

// mayRunConcurrently reports whether a request without a body may run
// concurrently with others of its connection. Any other request waits until all
// earlier responses are written: if one of them closes the connection, the
// caller resends the request, which must not run twice.
func mayRunConcurrently(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// serveBody passes a request with a body to the handler. The next request is
// read only after the whole body. It returns false if no further request may be
// read.
func (c *conn) serveBody(parsed *http.Request, p *pendingResponse, limits Limits) bool {
	c.awaitDrained()
	if parsed.ContentLength > limits.MaxBodyBytes {
		c.reject(http.StatusRequestEntityTooLarge, nil)
		return false
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	body := http.MaxBytesReader(nil, parsed.Body, limits.MaxBodyBytes)
	prefix, err := io.ReadAll(io.LimitReader(body, maxBufferedBodyBytes+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.reject(http.StatusRequestEntityTooLarge, err)
		return false
	case err != nil:
		return false // the caller disconnected before the body was complete
	}
	p.request.Body = bytes.NewReader(prefix)
	p.request.ReadAt = time.Now()
	c.pending.Add(1)
	c.responses <- p
	if len(prefix) <= maxBufferedBodyBytes {
		p.request.Size = int64(len(prefix))
		go func() { p.response <- c.server.handle(c.ctx, p.request) }()
		return !p.closeAfter
	}
	p.request.Body = io.MultiReader(p.request.Body, body)
	p.response <- c.server.handle(c.ctx, p.request)
	// The unread rest of the body would be parsed as the next request.
	_, err = io.Copy(io.Discard, body)
	return err == nil && !p.closeAfter
}

// awaitFirstByte waits for the next request. It returns false if the connection
// has ended or is draining, or if the idle timeout passes with no request
// pending.
func (c *conn) awaitFirstByte() bool {
	c.limited.SetLimit(readBufferBytes)
	for {
		if c.draining.Load() && c.pending.Load() == 0 && c.reader.Buffered() == 0 {
			return false
		}
		_ = c.netConn.SetReadDeadline(deadlineAfter(c.server.Limits().IdleTimeout))
		c.idle.Store(true)
		if c.draining.Load() && c.pending.Load() == 0 {
			_ = c.netConn.SetReadDeadline(time.Now())
		}
		_, err := c.reader.Peek(1)
		c.idle.Store(false)
		if err == nil {
			return true
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.cancel()
			return false
		}
		if c.pending.Load() == 0 {
			return false
		}
		if c.draining.Load() {
			return false
		}
	}
}

// awaitDrained waits until all pending responses are written or the context
// ends.
func (c *conn) awaitDrained() {
	for c.pending.Load() > 0 {
		select {
		case <-c.drained:
		case <-c.ctx.Done():
			return
		}
	}
}

// deadlineAfter returns the time at which the timeout passes, or the zero time,
// which means no deadline, if the timeout is not positive.
func deadlineAfter(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// headerErrorStatus returns the status of the response to a request whose header
// cannot be read.
func headerErrorStatus(err error) int {
	var tooLong *hop.HeaderTooLongError
	if errors.As(err, &tooLong) {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusBadRequest
}

// reject responds to a request that is malformed or too large, as the last of
// the connection. Nothing is sent if the caller has disconnected or the read
// timed out.
func (c *conn) reject(status int, err error) {
	var timeout net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) {
		return
	}
	p := &pendingResponse{request: &Request{Method: http.MethodGet}, response: make(chan *Response, 1), closeAfter: true}
	p.response <- &Response{Status: status, Header: http.Header{}, Close: true}
	c.pending.Add(1)
	c.responses <- p
}

// writeResponses writes the responses in the order of the requests.
func (c *conn) writeResponses() {
	for p := range c.responses {
		response := <-p.response
		closeAfter := p.closeAfter || p.http10 || response.Close || c.draining.Load()
		err := c.writeResponse(p, response, closeAfter)
		if c.pending.Add(-1) == 0 {
			select {
			case c.drained <- struct{}{}:
			default:
			}
		}
		if err != nil || closeAfter {
			c.finish(err == nil)
			return
		}
	}
}

// finish ends the connection after the last response. Requests that were read
// after it get no response, and reading stops.
func (c *conn) finish(written bool) {
	c.cancel()
	if written {
		if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		// The goroutine in serve discards what still arrives until then.
	} else {
		_ = c.netConn.Close()
	}
	for p := range c.responses {
		if response := <-p.response; response.Rest != nil {
			_ = response.Rest.Close()
		}
		c.pending.Add(-1)
	}
}

// writeResponse writes one response. If it returns an error, the connection
// must be closed, so that a truncated response is never taken for a complete
// one.
func (c *conn) writeResponse(p *pendingResponse, response *Response, closeAfter bool) error {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var head bytes.Buffer
	head.Grow(512 + min(len(response.Body), maxCoalescedBodyBytes))
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", response.Status, http.StatusText(response.Status))
	response.Header.Del("Content-Length")
	if err := response.Header.Write(&head); err != nil {
		return fmt.Errorf("format the response header: %w", err)
	}
	chunked := response.Rest != nil && !p.http10
	switch {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case response.Rest != nil:
	case response.Status != http.StatusNoContent && response.Status != http.StatusNotModified:
		head.WriteString("Content-Length: " + strconv.Itoa(len(response.Body)) + "\r\n")
	}
	if closeAfter {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	if p.request.Method == http.MethodHead {
		_, err := c.netConn.Write(head.Bytes())
		return err
	}
	if chunked {
		return c.writeChunked(&head, response)
	}
	if response.Rest != nil {
		return c.writeUntilClose(&head, response)
	}
	if len(response.Body) <= maxCoalescedBodyBytes {
		head.Write(response.Body)
		_, err := c.netConn.Write(head.Bytes())
		return err
	}
	buffers := net.Buffers{head.Bytes(), response.Body}
	_, err := buffers.WriteTo(c.netConn)
	return err
}

// maxCoalescedBodyBytes is the size up to which a body is copied into one write
// with its header.
const maxCoalescedBodyBytes = 16 << 10

// writeUntilClose writes a streamed response to an HTTP/1.0 caller, which knows no
// chunks: the body ends with the connection. If the body is incomplete, the
// connection is reset, so that the caller does not take it for a complete one.
func (c *conn) writeUntilClose(head *bytes.Buffer, response *Response) error {
	defer func() { _ = response.Rest.Close() }()
	source := io.MultiReader(head, bytes.NewReader(response.Body), response.Rest)
	buffer := make([]byte, maxCoalescedBodyBytes)
	for {
		n, err := source.Read(buffer)
		_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, writeErr := c.netConn.Write(buffer[:n]); writeErr != nil {
			return fmt.Errorf("write the response: %w", writeErr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			if lingerer, ok := c.netConn.(interface{ SetLinger(sec int) error }); ok {
				_ = lingerer.SetLinger(0)
			}
			return fmt.Errorf("read the rest of the response: %w", err)
		}
	}
}

// writeChunked writes a streamed response with chunked transfer encoding.
func (c *conn) writeChunked(head *bytes.Buffer, response *Response) error {
	defer func() { _ = response.Rest.Close() }()
	if _, err := c.netConn.Write(head.Bytes()); err != nil {
		return fmt.Errorf("write the response header: %w", err)
	}
	source := io.MultiReader(bytes.NewReader(response.Body), response.Rest)
	return hop.WriteChunks(c.netConn, source, func() { _ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) })
}
