package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Client asks the instance that reads for this one. Relay and Lost are set before
// the first call; one goroutine asks.
type Client struct {
	// Relay returns the address of the instance that reads for this one, or "" if
	// it reads for itself.
	Relay func() string
	// Lost is told that a relay was given up.
	Lost func(address string, err error)

	mu     sync.Mutex
	conn   net.Conn
	peer   string    // address of conn
	direct time.Time // the relay is not asked until then
}

const (
	// pollWait is how long one question waits at the relay, and pollMargin how much
	// longer its answer may take. A relay that has stopped must be noticed well
	// within the two seconds in which changes are to be known.
	pollWait   = 400 * time.Millisecond
	pollMargin = 300 * time.Millisecond
	// directFor is how long this instance reads for itself after a relay failed.
	directFor = 3 * time.Second
)

// StaleError reports a relay that has not heard from the store for too long.
type StaleError struct {
	Address string
}

func (e *StaleError) Error() string { return "relay at " + e.Address + " cannot tell" }

// relay returns the address of the relay to ask now, or "".
func (c *Client) relay(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.direct) {
		return ""
	}
	return c.Relay()
}

func (c *Client) giveUp(now time.Time, address string, err error) {
	c.disconnect()
	c.mu.Lock()
	c.direct = now.Add(directFor)
	c.mu.Unlock()
	c.Lost(address, err)
}

// disconnect closes the connection: an answer that was not waited for would be
// taken for the next one.
func (c *Client) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// poll asks the relay once.
func (c *Client) poll(ctx context.Context, address string, topic string, from uint64) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	asked := question{Topic: topic, From: from, WaitMs: pollWait.Milliseconds()}
	if err := writeFrame(conn, &asked); err != nil {
		return nil, err
	}
	var got answer
	if err := readFrame(conn, &got); err != nil {
		return nil, err
	}
	if !got.Current {
		return nil, &StaleError{address}
	}
	return &got, nil
}

// connect returns the connection to the relay, and opens one if there is none.
func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.peer == address {
		return c.conn, nil
	}
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to the relay: %w", err)
	}
	c.conn, c.peer = conn, address
	return conn, nil
}
