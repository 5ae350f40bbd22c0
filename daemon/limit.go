package daemon

import (
	"net"
	"sync"
)

// maxCallerConnections bounds the open connections of callers. They hold 625 MiB
// if each sends the longest headers, of 64 KiB, at the same time.
const maxCallerConnections = 10_000

// limitedListener holds back further connections while as many are open as may
// be. They wait in the queue of the operating system.
type limitedListener struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(listener net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: listener, places: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for a place and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: conn, places: l.places}, nil
}

// Close also ends an Accept that waits for a place.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn gives its place back once.
type limitedConn struct {
	net.Conn
	places chan struct{}
	once   sync.Once
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.places })
	return err
}
