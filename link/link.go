// Package link manages the connections to targets. A Link is one connection that
// carries one HTTP request at a time; a Set holds the links to one target.
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
	// 1 ms, so after a second the target is considered unresponsive.
	DialTimeout = time.Second
	// MaxResponseHeaderBytes bounds the header block of a target's response.
	MaxResponseHeaderBytes = 64 << 10
)

// keepAlive detects within about 5 s idle connections whose state a middlebox,
// such as a NAT or firewall, has dropped.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// ClosedError reports that the only connection of a link is closed. A link
// never gives net/http a second connection, so that it cannot resend a request.
type ClosedError struct {
	Address string
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("the only connection of the link to %s is closed", e.Address)
}

// RestartedError reports that the target restarted while a link to it was opened.
type RestartedError struct {
	Address    string
	Generation uint32 // for which the link was opened
}

func (e *RestartedError) Error() string {
	return fmt.Sprintf("target at %s restarted after generation %d while a link was opened", e.Address, e.Generation)
}

// UnsolicitedDataError reports a target that sent bytes before any request. They
// would be parsed as the response to the first request.
type UnsolicitedDataError struct {
	Address string
}

func (e *UnsolicitedDataError) Error() string {
	return fmt.Sprintf("target at %s sent data before the first request", e.Address)
}

// DialError reports a connection that could not be opened.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// Link is one connection to a target. Send must be called by one goroutine at a
// time, the one that took the link from its Set.
type Link struct {
	// Opened is the time at which the connection was established.
	Opened time.Time
	// Generation is the generation of the target for which the link was opened.
	Generation uint32

	address      string
	conn         *observedConn
	transport    *http.Transport
	trusted      atomic.Bool
	inFlight     atomic.Pointer[InFlightRequest]
	bootID       atomic.Pointer[string] // boot ID of the process that responded on the connection
	lastVerified atomic.Int64           // when the connection was last known to work, Unix nanoseconds
}

// InFlightRequest is a request in flight on a link. Fingerprint is called only
// if the connection breaks while the request is in flight.
type InFlightRequest struct {
	Fingerprint func() contract.Fingerprint

	readsBefore int64 // value of observedConn.reads before the request
}

// SetInFlight sets the request in flight on the link, or clears it if r is nil.
func (l *Link) SetInFlight(r *InFlightRequest) {
	if r != nil {
		r.readsBefore = l.conn.reads.Load()
	}
	l.inFlight.Store(r)
}

// unansweredRequest returns the request in flight if no byte has been read since
// it began, and nil otherwise.
func (l *Link) unansweredRequest() *InFlightRequest {
	if r := l.inFlight.Load(); r != nil && l.conn.reads.Load() == r.readsBefore {
		return r
	}
	return nil
}

// verifiedSince reports whether the connection is known to have worked after the
// given time.
func (l *Link) verifiedSince(since time.Time) bool { return l.lastVerified.Load() > since.UnixNano() }

// Open connects to the address. It calls broken once, from any goroutine, when
// the connection has ended for any reason.
func Open(ctx context.Context, address string, generation uint32, broken func(*Link)) (*Link, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive}
	tcpConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	l := &Link{Opened: time.Now(), Generation: generation, address: address}
	l.lastVerified.Store(l.Opened.UnixNano())
	l.conn = &observedConn{Conn: tcpConn, onClose: func() { broken(l) }, firstRead: make(chan firstRead, 1)}
	go l.conn.readFirstByte()
	var connUsed atomic.Bool
	l.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if connUsed.Swap(true) || l.conn.isClosed() {
				return nil, &ClosedError{Address: address}
			}
			return l.conn, nil
		},
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
	return l, nil
}

// Send writes one request and reads the response header. The result sent reports
// whether any byte of the request may have been written, even if err is not nil.
// After an error the link is closed.
func (l *Link) Send(request *http.Request) (response *http.Response, sent bool, err error) {
	writesBefore := l.conn.writes.Load()
	request.URL.Scheme = "http"
	request.URL.Host = l.address
	response, err = l.transport.RoundTrip(request)
	if err != nil {
		// RoundTrip may return while a write is about to start. A write that
		// starts after Close sends nothing, so the count is read only after
		// Close.
		l.Close()
	} else if id := response.Header.Get(headerBootID); id != "" {
		l.bootID.Store(&id)
	}
	return response, l.conn.writes.Load() != writesBefore, err
}

// Alive reports whether the connection is not known to have ended.
func (l *Link) Alive() bool { return !l.conn.isClosed() }

// Close closes the connection. A request in flight fails.
func (l *Link) Close() {
	_ = l.conn.Close()
	l.transport.CloseIdleConnections()
}

// observedConn counts reads and writes, and calls onClose once when the
// connection ends, whichever side ends it.
type observedConn struct {
	net.Conn
	writes        atomic.Int64 // writes that have started
	reads         atomic.Int64 // reads that returned bytes
	closed        atomic.Bool
	once          sync.Once
	onClose       func()
	firstRead     chan firstRead // capacity 1
	firstReadDone bool           // Read has returned the result of readFirstByte
}

// firstRead is the result of readFirstByte.
type firstRead struct {
	data byte
	n    int
	err  error
}

// readFirstByte waits for the first byte or the end of the connection. The
// transport reads only after it has sent a request, so without this read the end
// of an unused connection would go unnoticed.
func (c *observedConn) readFirstByte() {
	var data [1]byte
	n, err := c.Conn.Read(data[:])
	c.reads.Add(int64(n))
	if err == nil && c.writes.Load() == 0 {
		n, err = 0, &UnsolicitedDataError{Address: c.RemoteAddr().String()}
		_ = c.Conn.Close()
	}
	if err != nil {
		c.markClosed()
	}
	c.firstRead <- firstRead{data[0], n, err}
}

func (c *observedConn) isClosed() bool { return c.closed.Load() }

func (c *observedConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

func (c *observedConn) Read(data []byte) (int, error) {
	if !c.firstReadDone {
		c.firstReadDone = true
		first := <-c.firstRead
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
		c.markClosed()
	}
	return n, err
}

func (c *observedConn) Close() error {
	err := c.Conn.Close()
	c.markClosed()
	return err
}

func (c *observedConn) markClosed() {
	c.closed.Store(true)
	c.once.Do(c.onClose)
}
