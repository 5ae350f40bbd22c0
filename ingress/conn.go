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
	// maxPipelined is how many requests of one connection run at the same time.
	maxPipelined = 32
	// maxBuffered is the part of a body that is read before the request is served.
	// A longer body is passed on while it arrives.
	maxBuffered = 1 << 20
	// lingerTime is how long bytes that cross the close of a connection are read,
	// so that they do not reset it before the caller has the answer.
	lingerTime = 500 * time.Millisecond
	// writeTimeout bounds the time in which a caller takes an answer.
	writeTimeout = 10 * time.Second
	readerSize   = 4 << 10
	// headerSlack is what the request line and the end of the header may take
	// beyond the limit on headers.
	headerSlack = 4 << 10
)

// conn is one connection of a caller. The goroutine of serve reads requests; the
// goroutine of write sends the answers in order.
type conn struct {
	server  *Server
	raw     net.Conn
	limited *hop.LimitedConn
	reader  *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	answers chan *slot
	pending atomic.Int64  // requests that have no written answer yet
	drained chan struct{} // gets a value when pending falls to 0; capacity 1
	retired atomic.Bool
	idle    atomic.Bool // waits for the first byte of a request
}

// slot is the place of an answer in the order of a connection.
type slot struct {
	request *Request
	reply   chan *Reply // capacity 1
	last    bool        // the caller asked to close the connection
	old     bool        // HTTP/1.0
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, answers: make(chan *slot, maxPipelined), drained: make(chan struct{}, 1)}
	c.limited = &hop.LimitedConn{Conn: raw}
	c.reader = bufio.NewReaderSize(c.limited, readerSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// retire closes the connection if it is idle, and after the next answer otherwise.
func (c *conn) retire() {
	c.retired.Store(true)
	if c.idle.Load() && c.pending.Load() == 0 {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer func() { _ = c.raw.Close() }()
	defer c.cancel()
	written := make(chan struct{})
	go func() { defer close(written); c.write() }()
	for c.next() {
	}
	close(c.answers)
	select {
	case <-written:
	case <-c.gone():
		// The caller has left: what it asked for is not needed any more.
		c.cancel()
		<-written
	}
}

// gone returns a channel that is closed when the caller closes its side. It is
// called after the last request was read.
func (c *conn) gone() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.limited.SetLimit(hop.Unlimited)
		_ = c.raw.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.reader)
	}()
	return ended
}

// next reads one request and has it served. It returns false if no other request
// may follow.
func (c *conn) next() bool {
	if !c.awaitFirstByte() {
		return false
	}
	limits := c.server.Limits()
	c.limited.SetLimit(int64(limits.HeaderBytes + headerSlack - c.reader.Buffered()))
	_ = c.raw.SetReadDeadline(deadline(limits.HeaderTimeout))
	parsed, err := http.ReadRequest(c.reader)
	c.limited.SetLimit(hop.Unlimited)
	if err != nil {
		c.refuse(headerStatus(err), err)
		return false
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, URL: parsed.URL, Host: parsed.Host, Header: parsed.Header,
		Size: parsed.ContentLength, Read: time.Now(),
	}
	s := &slot{request: r, reply: make(chan *Reply, 1), last: parsed.Close, old: !parsed.ProtoAtLeast(1, 1)}
	if parsed.ContentLength == 0 {
		if !repeatable(parsed.Method) {
			c.awaitDrained()
		}
		c.pending.Add(1)
		c.answers <- s
		go func() { s.reply <- c.server.Handler.Serve(c.ctx, r) }()
		return !s.last
	}
	return c.serveBody(parsed, s, limits)
}

// repeatable tells whether a request may run beside others of its connection. A
// request that may not run twice waits until all answers before it are written:
// one that closes the connection makes the caller send it again.
func repeatable(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// serveBody serves a request with a body. The next request is read after it.
func (c *conn) serveBody(parsed *http.Request, s *slot, limits Limits) bool {
	c.awaitDrained()
	if parsed.ContentLength > limits.BodyBytes {
		c.refuse(http.StatusRequestEntityTooLarge, nil)
		return false
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	body := http.MaxBytesReader(nil, parsed.Body, limits.BodyBytes)
	kept, err := io.ReadAll(io.LimitReader(body, maxBuffered+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, err)
		return false
	case err != nil:
		return false // the caller left before its request was whole
	}
	s.request.Body = bytes.NewReader(kept)
	s.request.Read = time.Now()
	c.pending.Add(1)
	c.answers <- s
	if len(kept) <= maxBuffered {
		s.request.Size = int64(len(kept))
		go func() { s.reply <- c.server.Handler.Serve(c.ctx, s.request) }()
		return !s.last
	}
	s.request.Body = io.MultiReader(s.request.Body, body)
	s.reply <- c.server.Handler.Serve(c.ctx, s.request)
	// Bytes of the body that nobody read would be taken for a request.
	_, err = io.Copy(io.Discard, body)
	return err == nil && !s.last
}

// awaitFirstByte waits for a request. Without requests in flight the wait is
// bounded by the idle timeout.
func (c *conn) awaitFirstByte() bool {
	c.limited.SetLimit(readerSize)
	for {
		if c.retired.Load() && c.pending.Load() == 0 && c.reader.Buffered() == 0 {
			return false
		}
		_ = c.raw.SetReadDeadline(deadline(c.server.Limits().IdleTimeout))
		c.idle.Store(true)
		if c.retired.Load() && c.pending.Load() == 0 {
			_ = c.raw.SetReadDeadline(time.Now())
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
		if c.retired.Load() {
			return false
		}
	}
}

// awaitDrained waits until all answers are written.
func (c *conn) awaitDrained() {
	for c.pending.Load() > 0 {
		select {
		case <-c.drained:
		case <-c.ctx.Done():
			return
		}
	}
}

func deadline(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

func headerStatus(err error) int {
	var long *hop.TooLongError
	if errors.As(err, &long) {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusBadRequest
}

// refuse answers a request that cannot be read, as the last of the connection.
// Nothing is sent to a caller that has left.
func (c *conn) refuse(status int, err error) {
	var timeout net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) {
		return
	}
	s := &slot{request: &Request{Method: http.MethodGet}, reply: make(chan *Reply, 1), last: true}
	s.reply <- &Reply{Status: status, Header: http.Header{}, Close: true}
	c.pending.Add(1)
	c.answers <- s
}

// write sends the answers in the order of the requests.
func (c *conn) write() {
	for s := range c.answers {
		reply := <-s.reply
		last := s.last || s.old || reply.Close || c.retired.Load()
		err := c.send(s, reply, last)
		if c.pending.Add(-1) == 0 {
			select {
			case c.drained <- struct{}{}:
			default:
			}
		}
		if err != nil || last {
			c.finish(err == nil)
			return
		}
	}
}

// finish ends the connection after the last answer. Requests that were read
// behind it are not answered, and the reader ends.
func (c *conn) finish(whole bool) {
	c.cancel()
	if whole {
		if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		// The reading goroutine takes what still arrives until then.
	} else {
		_ = c.raw.Close()
	}
	for s := range c.answers {
		if reply := <-s.reply; reply.Rest != nil {
			_ = reply.Rest.Close()
		}
		c.pending.Add(-1)
	}
}

// send writes one answer. An answer that breaks off ends the connection, so that
// it never looks whole.
func (c *conn) send(s *slot, reply *Reply, last bool) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	var head bytes.Buffer
	head.Grow(512 + min(len(reply.Body), maxJoined))
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", reply.Status, http.StatusText(reply.Status))
	reply.Header.Del("Content-Length")
	if err := reply.Header.Write(&head); err != nil {
		return fmt.Errorf("write the header: %w", err)
	}
	chunked := reply.Rest != nil
	switch {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case reply.Status != http.StatusNoContent && reply.Status != http.StatusNotModified:
		head.WriteString("Content-Length: " + strconv.Itoa(len(reply.Body)) + "\r\n")
	}
	if last {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	if s.request.Method == http.MethodHead {
		_, err := c.raw.Write(head.Bytes())
		return err
	}
	if chunked {
		return c.stream(&head, reply)
	}
	if len(reply.Body) <= maxJoined {
		head.Write(reply.Body)
		_, err := c.raw.Write(head.Bytes())
		return err
	}
	buffers := net.Buffers{head.Bytes(), reply.Body}
	_, err := buffers.WriteTo(c.raw)
	return err
}

// maxJoined is the size up to which a body is sent in one write with its header.
const maxJoined = 16 << 10

func (c *conn) stream(head *bytes.Buffer, reply *Reply) error {
	defer func() { _ = reply.Rest.Close() }()
	if _, err := c.raw.Write(head.Bytes()); err != nil {
		return fmt.Errorf("write the header: %w", err)
	}
	source := io.MultiReader(bytes.NewReader(reply.Body), reply.Rest)
	return hop.WriteChunks(c.raw, source, func() { _ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)) })
}
