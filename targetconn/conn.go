// Package targetconn holds HTTP/1.1 connections to targets that are opened on
// demand. A connection carries one request at a time; answers that belong to no
// request in flight are found by the id that they echo.
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
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"fulmarhoist.example/hop"
)

const (
	// dialTimeout bounds the opening of a connection, which takes about 1 ms
	// beside the time of travel.
	dialTimeout = 250 * time.Millisecond
	// maxSkipped is how many answers to other requests are passed over.
	maxSkipped = 3
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// MaxBufferedBytes of an answer's body are read before any is passed on, so
	// that an answer that breaks off is known before its status is sent.
	MaxBufferedBytes = 1 << 20
	// readBuffer is the size of the buffer for answers.
	readBuffer = 4 << 10
)

// keepAlive finds connections that something between the two ends has lost
// track of.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialError reports a connection that could not be opened.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// BrokenError reports a connection that ended, or whose bytes are no answer.
type BrokenError struct {
	Problem string
	Err     error
	// Silent is true if no byte of an answer came.
	Silent bool
}

func (e *BrokenError) Error() string {
	if e.Err == nil {
		return "connection to the target: " + e.Problem
	}
	return fmt.Sprintf("connection to the target: %s: %v", e.Problem, e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }

// Message is one request as it goes over the connection.
type Message struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header // without those of one connection and the length
	Body   io.Reader
	Size   int64 // -1 if unknown: the body is then sent in chunks
	// Expected tells whether an answer belongs to the request. It may be nil.
	Expected func(*http.Response) bool
}

// Answer is a target's answer. Body is whole unless Rest is set.
type Answer struct {
	Response *http.Response
	Body     []byte
	Rest     io.ReadCloser
}

// call is a request in flight.
type call struct {
	message *Message
	request *http.Request // tells http.ReadResponse which method was asked
	done    chan result   // capacity 1
}

type result struct {
	answer *Answer
	err    error
}

// Conn is one connection. Do is called by one goroutine at a time; a goroutine
// of the connection reads answers, and notices when the other end closes it.
type Conn struct {
	Opened time.Time

	conn    net.Conn
	reader  *bufio.Reader
	limit   *hop.LimitedConn
	current atomic.Pointer[call]
	closed  atomic.Bool
	ended   chan struct{} // closed when the reading goroutine has ended
	reuse   atomic.Bool   // the last answer leaves the connection in order
	idleAt  time.Time     // when the last answer ended; owned by the holder
	idleFor time.Duration
}

// Dial opens a connection.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	limited := &hop.LimitedConn{Conn: raw}
	limited.SetLimit(maxHeaderBytes)
	c := &Conn{Opened: time.Now(), conn: raw, limit: limited, reader: bufio.NewReaderSize(limited, readBuffer)}
	c.ended = make(chan struct{})
	c.idleAt = c.Opened
	c.reuse.Store(true)
	go c.read()
	return c, nil
}

// Close ends the connection; a request in flight fails.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		_ = c.conn.Close()
	}
}

// Usable tells whether another request may be sent.
func (c *Conn) Usable(now time.Time) bool {
	if c.closed.Load() || !c.reuse.Load() {
		return false
	}
	return c.idleFor == 0 || now.Sub(c.idleAt) < c.idleFor
}

// Idle returns how long the connection has not been used.
func (c *Conn) Idle(now time.Time) time.Duration { return now.Sub(c.idleAt) }

// Do sends a request and waits for its answer. The result sent tells whether any
// byte may have left, also if err is not nil. After an error, or if the context
// ends, the connection is closed.
func (c *Conn) Do(ctx context.Context, m *Message) (answer *Answer, sent bool, err error) {
	pending := &call{message: m, request: &http.Request{Method: m.Method}, done: make(chan result, 1)}
	c.current.Store(pending)
	if c.closed.Load() {
		return nil, false, &BrokenError{Problem: "closed before the request was sent", Silent: true}
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	written := make(chan error, 1)
	if m.Body == nil || m.Size >= 0 && m.Size <= smallBody {
		written <- c.write(m)
	} else {
		go func() { written <- c.write(m) }()
	}
	got, whole := c.await(pending, written)
	if !whole {
		// The rest of the body would be taken for the next request.
		c.reuse.Store(false)
		if got.err == nil && got.answer.Rest == nil {
			c.Close()
		}
	}
	c.idleAt = time.Now()
	if got.err != nil {
		c.Close()
		if ctx.Err() != nil {
			return nil, true, fmt.Errorf("wait for the answer: %w", errors.Join(ctx.Err(), got.err))
		}
		return nil, true, got.err
	}
	return got.answer, true, nil
}

// await waits for the answer. The result whole tells whether the request was
// written to its end by then.
func (c *Conn) await(pending *call, written <-chan error) (got result, whole bool) {
	select {
	case err := <-written:
		if err != nil {
			// An answer may have arrived before the target closed the connection.
			_ = c.conn.SetReadDeadline(time.Now().Add(lateAnswer))
		}
		return c.result(pending), err == nil
	case got = <-pending.done:
	case <-c.ended:
		got = c.result(pending)
	}
	select {
	case err := <-written:
		return got, err == nil
	default:
		return got, false
	}
}

// result returns how a call ended. The reading goroutine may have ended, with an
// idle connection, just before the call began; it delivers nothing then.
func (c *Conn) result(pending *call) result {
	select {
	case got := <-pending.done:
		return got
	case <-c.ended:
	}
	select {
	case got := <-pending.done:
		return got
	default:
		return result{err: &BrokenError{Problem: "closed while the request was sent", Silent: true}}
	}
}

// smallBody is the size up to which a body is written before the answer is
// waited for. It fits the buffers of a connection.
const smallBody = 8 << 10

// lateAnswer is how long an answer may still come after the target has stopped
// to read the request.
const lateAnswer = 50 * time.Millisecond

func (c *Conn) write(m *Message) error {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(m.Method)
	head.WriteByte(' ')
	head.WriteString(m.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(m.Host)
	head.WriteString("\r\n")
	if err := m.Header.Write(&head); err != nil {
		return fmt.Errorf("write the header: %w", err)
	}
	switch {
	case m.Size < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		return c.writeChunks(&head, m.Body)
	case m.Size > 0 || bodyExpected(m.Method):
		head.WriteString("Content-Length: " + strconv.FormatInt(m.Size, 10) + "\r\n")
	}
	head.WriteString("\r\n")
	if m.Size > 0 && m.Size <= smallBody {
		if _, err := io.CopyN(&head, m.Body, m.Size); err != nil {
			return c.abort(err)
		}
	}
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		return fmt.Errorf("write the request: %w", err)
	}
	if m.Size > smallBody {
		if _, err := io.CopyN(c.conn, m.Body, m.Size); err != nil {
			return c.abort(err)
		}
	}
	return nil
}

// abort closes the connection under a request whose body could not be sent whole.
func (c *Conn) abort(err error) error {
	var netErr net.Error
	if !errors.As(err, &netErr) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		c.Close()
	}
	return fmt.Errorf("write the body: %w", err)
}

func (c *Conn) writeChunks(head *bytes.Buffer, body io.Reader) error {
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		return fmt.Errorf("write the request: %w", err)
	}
	err := hop.WriteChunks(c.conn, body, func() {})
	var source *hop.SourceError
	if errors.As(err, &source) {
		return c.abort(source.Err)
	}
	return err
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// read delivers answers until the connection ends.
func (c *Conn) read() {
	defer close(c.ended)
	defer c.Close()
	skipped := 0
	for {
		c.limit.SetLimit(maxHeaderBytes)
		_, err := c.reader.Peek(1)
		pending := c.current.Load()
		if pending == nil {
			return // the target closed an idle connection, or sent bytes without a request
		}
		if err != nil {
			pending.done <- result{err: &BrokenError{Problem: "ended before the answer", Err: err, Silent: skipped == 0}}
			return
		}
		answer, err := c.readAnswer(pending)
		if err == nil && pending.message.Expected != nil && !pending.message.Expected(answer.Response) {
			skipped++
			c.reuse.Store(false)
			if skipped <= maxSkipped && answer.Rest == nil {
				continue
			}
			err = &BrokenError{Problem: "the answer belongs to another request"}
		}
		if err != nil {
			pending.done <- result{err: err}
			return
		}
		c.current.Store(nil)
		if !c.keep(answer) {
			c.reuse.Store(false)
		}
		if answer.Rest == nil {
			reusable := c.reuse.Load()
			pending.done <- result{answer: answer}
			if !reusable {
				return
			}
			continue
		}
		rest := &streamed{ReadCloser: answer.Rest, ended: make(chan bool, 1)}
		answer.Rest = rest
		pending.done <- result{answer: answer}
		if whole := <-rest.ended; !whole || !c.reuse.Load() {
			return
		}
	}
}

// readAnswer reads a final answer with its whole body, or the first part of a
// long one.
func (c *Conn) readAnswer(pending *call) (*Answer, error) {
	for {
		response, err := http.ReadResponse(c.reader, pending.request)
		if err != nil {
			return nil, &BrokenError{Problem: "sent no answer", Err: err}
		}
		if response.StatusCode < http.StatusOK {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, &BrokenError{Problem: "switched to another protocol"}
			}
			continue
		}
		c.limit.SetLimit(hop.Unlimited)
		data, err := io.ReadAll(io.LimitReader(response.Body, MaxBufferedBytes+1))
		if err != nil {
			return nil, &BrokenError{Problem: "the answer ended early", Err: err}
		}
		answer := &Answer{Response: response, Body: data}
		if len(data) > MaxBufferedBytes {
			answer.Rest = response.Body
		}
		return answer, nil
	}
}

// keep tells whether the connection can be used after the answer, and takes over
// how long the target keeps it open.
func (c *Conn) keep(answer *Answer) bool {
	response := answer.Response
	if response.Close {
		return false
	}
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			// Half a second is left for the request to arrive before the close.
			c.idleFor = max(time.Millisecond, time.Duration(seconds)*time.Second-500*time.Millisecond)
		}
	}
	return true
}

// streamed tells how the rest of a long answer ended.
type streamed struct {
	io.ReadCloser
	ended chan bool
	done  bool
}

func (s *streamed) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.end(err == io.EOF)
	}
	return n, err
}

func (s *streamed) Close() error {
	s.end(false)
	return nil
}

func (s *streamed) end(whole bool) {
	if !s.done {
		s.done = true
		s.ended <- whole
	}
}
