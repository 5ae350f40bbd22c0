// Package link owns the connections to targets. A Link is one connection that
// carries one HTTP request at a time; a Set holds the links of one target.
package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/contract"
)

const (
	// DialTimeout bounds the time to open a connection. Opening one takes about
	// 1 ms, so a second means that the target does not answer.
	DialTimeout = time.Second
	// maxResponseHeaderBytes bounds the header block of a target's response.
	maxResponseHeaderBytes = 64 << 10
)

// keepAlive finds idle connections that something between the two ends has lost
// track of, within about 5 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// SpentError reports that net/http asked a link for a second connection. A link
// has one connection in its life, so that the library cannot resend a request.
type SpentError struct {
	Address string
}

func (e *SpentError) Error() string {
	return fmt.Sprintf("the only connection of the link to %s is closed", e.Address)
}

// UnsolicitedError reports a target that sent bytes before any request. They
// would be taken as the answer to the first request.
type UnsolicitedError struct {
	Address string
}

func (e *UnsolicitedError) Error() string {
	return fmt.Sprintf("target at %s sent bytes before a request", e.Address)
}

// DialError reports a connection that could not be opened.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// Link is one connection to a target. Send is called by one goroutine at a
// time, the one that took the link from its Set.
type Link struct {
	// Opened is the time at which the connection was established.
	Opened time.Time
	// Generation is the generation of the target that the link was opened for.
	Generation uint32

	address   string
	conn      *observedConn
	transport *http.Transport
	trusted   atomic.Bool
	work      atomic.Pointer[Work]
	bootID    atomic.Pointer[string] // process that has answered on the connection
	provedAt  atomic.Int64           // when the connection was last known to work, Unix nanoseconds
}

// Work is a request on a link. Fingerprint is called only if the connection
// breaks while the request is on it.
type Work struct {
	Fingerprint func() contract.Fingerprint

	reads int64 // reads on the connection before the request
}

// Carry records the request that is on the link; nil when it has ended.
func (l *Link) Carry(work *Work) {
	if work != nil {
		work.reads = l.conn.reads.Load()
	}
	l.work.Store(work)
}

// unanswered returns the work for which no byte of an answer has arrived.
func (l *Link) unanswered() *Work {
	if work := l.work.Load(); work != nil && l.conn.reads.Load() == work.reads {
		return work
	}
	return nil
}

// fresh tells whether the connection has worked since the given time.
func (l *Link) fresh(since time.Time) bool { return l.provedAt.Load() > since.UnixNano() }

// Open connects to the address. The function broken is called once, from any
// goroutine, when the connection has ended for any reason.
func Open(ctx context.Context, address string, generation uint32, broken func(*Link)) (*Link, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	l := &Link{Opened: time.Now(), Generation: generation, address: address}
	l.provedAt.Store(l.Opened.UnixNano())
	l.conn = &observedConn{Conn: raw, ended: func() { broken(l) }, first: make(chan firstRead, 1)}
	go l.conn.watch()
	var taken atomic.Bool
	l.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if taken.Swap(true) || l.conn.isClosed() {
				return nil, &SpentError{Address: address}
			}
			return l.conn, nil
		},
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return l, nil
}

// Send writes one request and reads the response header. The result sent tells
// whether any byte of the request may have left, also if err is not nil. After
// an error the link is closed.
func (l *Link) Send(request *http.Request) (response *http.Response, sent bool, err error) {
	before := l.conn.writes.Load()
	request.URL.Scheme = "http"
	request.URL.Host = l.address
	response, err = l.transport.RoundTrip(request)
	if err != nil {
		// RoundTrip may return while a write is about to start. A write that
		// starts after Close emits nothing, so only the count after Close tells.
		l.Close()
	} else if id := response.Header.Get(headerBootID); id != "" {
		l.bootID.Store(&id)
	}
	return response, l.conn.writes.Load() != before, err
}

// Alive tells whether the connection is open as far as this process knows.
func (l *Link) Alive() bool { return !l.conn.isClosed() }

// Close ends the connection. A request in flight on it fails.
func (l *Link) Close() {
	_ = l.conn.Close()
	l.transport.CloseIdleConnections()
}

// observedConn counts writes before they start and reports the end of the
// connection once, whichever side ends it.
type observedConn struct {
	net.Conn
	writes atomic.Int64
	reads  atomic.Int64 // reads that returned bytes
	closed atomic.Bool
	once   sync.Once
	ended  func()
	first  chan firstRead // capacity 1
	passed bool           // the first read was handed to the reader
}

type firstRead struct {
	data byte
	n    int
	err  error
}

// watch reads the first byte. The transport reads only after the first request
// was sent, so without it the end of an unused connection would go unnoticed.
// It ends with the first byte or with the connection.
func (c *observedConn) watch() {
	var data [1]byte
	n, err := c.Conn.Read(data[:])
	c.reads.Add(int64(n))
	if err == nil && c.writes.Load() == 0 {
		n, err = 0, &UnsolicitedError{Address: c.RemoteAddr().String()}
		_ = c.Conn.Close()
	}
	if err != nil {
		c.end()
	}
	c.first <- firstRead{data[0], n, err}
}

func (c *observedConn) isClosed() bool { return c.closed.Load() }

func (c *observedConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

func (c *observedConn) Read(data []byte) (int, error) {
	if !c.passed {
		c.passed = true
		first := <-c.first
		if first.n == 1 && len(data) > 0 {
			data[0] = first.data
		}
		return first.n, first.err
	}
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.reads.Add(1)
	}
	if err != nil {
		c.end()
	}
	return n, err
}

func (c *observedConn) Close() error {
	err := c.Conn.Close()
	c.end()
	return err
}

func (c *observedConn) end() {
	c.closed.Store(true)
	c.once.Do(c.ended)
}
