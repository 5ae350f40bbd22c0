package endpoint

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// Conn is a connection that a Port has accepted. Once it is silent, it ignores
// received bytes and the close of its peer, and discards sent bytes, as if the
// network dropped every packet.
type Conn struct {
	net.Conn
	port      *Port
	silent    atomic.Bool
	closeOnce sync.Once
	done      chan struct{} // closed when this side closes or resets the connection
}

// Silent reports whether the connection has been silenced.
func (c *Conn) Silent() bool { return c.silent.Load() }

// Done returns a channel that is closed when this side closes or resets the
// connection.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Read implements net.Conn. On a silent connection it returns only when the
// read deadline passes or this side closes the connection.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err != nil {
			<-c.done
			return 0, fmt.Errorf("reading from a silent connection: %w", net.ErrClosed)
		}
	}
}

// Write implements net.Conn. On a silent connection it discards the bytes and
// reports success.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side, unless the connection is silent.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.silent.Load() {
		return nil
	}
	return tcp.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	c.port.untrack(c)
	return c.Conn.Close()
}

// Reset closes the connection with a TCP reset instead of a FIN.
func (c *Conn) Reset() {
	c.port.untrack(c)
	c.reset()
}

func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.closeOnce.Do(func() { close(c.done) })
	_ = c.Conn.Close()
}
