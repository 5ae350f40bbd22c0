package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/frame"
)

// Client sends requests to the relay of this instance. The exported fields must be
// set before the first request. Requests are made from a single goroutine.
type Client struct {
	// RelayAddresses returns the addresses of the relays in the order in which to
	// ask them; none if this instance reads from the store itself.
	RelayAddresses func() []string
	// StoreDown reports whether the store did not respond to the latest call of
	// this instance. Requests then wait at a relay that does not reach the store
	// either.
	StoreDown func() bool
	// StoreSettling reports whether the store was down a moment ago. A relay that
	// does not reach it yet will probably do so soon, and requests wait for that.
	StoreSettling func() bool
	// StoreResponds asks the store, by a call that costs little, whether it responds
	// to this instance now.
	StoreResponds func(ctx context.Context) bool
	// OnRelayLost is called when a request to the relay has failed and this
	// instance reads from the store for a while.
	OnRelayLost func(address string, err error)

	mu          sync.Mutex
	conn        net.Conn
	connAddress string               // address of the relay that conn leads to
	bypassUntil map[string]time.Time // relays that have failed are not used before this time, by address
}

const (
	// pollWait is how long the relay waits for new records (long polling), and
	// pollMargin how much longer the response may take. The failure of a relay must
	// be detected well within the two seconds in which changes must reach all
	// instances.
	pollWait   = 400 * time.Millisecond
	pollMargin = 300 * time.Millisecond
	// bypassTime is how long this instance does not use a relay that has failed.
	bypassTime = 3 * time.Second
)

// StaleError reports a relay without current records: the store has not
// responded to it recently, it does not follow the topic, or it is shutting
// down.
type StaleError struct {
	Address string // address of the relay
}

func (e *StaleError) Error() string { return "relay at " + e.Address + " has no current records" }

// activeRelay returns the address of the first relay that has not failed recently, or
// "" if the store is to be read directly.
func (c *Client) activeRelay(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.RelayAddresses() {
		if !now.Before(c.bypassUntil[address]) {
			return address
		}
	}
	return ""
}

// dropRelay closes the connection to a failed relay and bypasses the relay for a
// while.
func (c *Client) dropRelay(now time.Time, address string, err error) {
	c.disconnect()
	c.mu.Lock()
	for known, until := range c.bypassUntil {
		if !now.Before(until) {
			delete(c.bypassUntil, known)
		}
	}
	if c.bypassUntil == nil {
		c.bypassUntil = map[string]time.Time{}
	}
	c.bypassUntil[address] = now.Add(bypassTime)
	c.mu.Unlock()
	c.OnRelayLost(address, err)
}

// disconnect closes the connection. A pending response would otherwise be taken for
// the response to the next request.
func (c *Client) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// pollResult is the response of the relay to one request.
type pollResult struct {
	feed.Batch
	readStore bool // the records must be read from the store
}

// poll sends one request to the relay and returns its response, or a *StaleError if
// the relay has no current records.
func (c *Client) poll(ctx context.Context, address string, topic string, from uint64) (*pollResult, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req := request{Topic: topic, From: from, WaitMs: pollWait.Milliseconds(), Deflate: true, WaitStale: c.StoreDown() || c.StoreSettling()}
	if err := frame.Write(conn, &req); err != nil {
		return nil, err
	}
	var resp response
	if err := frame.Read(conn, maxResponseBytes, resp.decode); err != nil {
		return nil, err
	}
	if !resp.Current {
		return nil, &StaleError{address}
	}
	records, err := inflateRecords(resp.Records)
	if err != nil {
		return nil, err
	}
	return &pollResult{Batch: feed.Batch{Records: records, Next: resp.Next}, readStore: resp.ReadStore}, nil
}

// connect returns the connection to the relay with the given address. It opens one
// if needed.
func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.connAddress == address {
		return c.conn, nil
	}
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to relay at %s: %w", address, err)
	}
	c.conn, c.connAddress = conn, address
	return conn, nil
}
