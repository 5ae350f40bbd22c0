package daemon

import (
	"net"
	"sync"
)

// maxCallerConnections limits the open connections of callers. They use 625 MiB
// if each sends headers of the maximum size, 64 KiB, at the same time.
const maxCallerConnections = 10_000

// limitedListener limits the number of connections that are open at the same
// time. Further ones wait in the accept queue of the operating system.
type limitedListener struct {
	net.Listener
	slots  chan struct{} // semaphore; holds one element per open connection
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(listener net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: listener, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

// Close also unblocks an Accept that waits for a free slot.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn frees its slot when it is closed for the first time.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}
