// Package endpoint contains code that the stand-ins share: TCP ports with
// injected faults, HTTP servers on such ports, and helpers for the JSON bodies
// of control requests.
package endpoint

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// AddressError reports an invalid listen address.
type AddressError struct {
	Address string
	Problem string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("listen address %q: %s", e.Address, e.Problem)
}

// Silence selects the connections of a port that become silent.
type Silence uint8

const (
	// SilenceNone silences no further connection. Silent ones remain silent.
	SilenceNone Silence = iota
	// SilenceOpen silences the connections that are open when it is set.
	SilenceOpen
	// SilenceAll silences the open connections and every new one.
	SilenceAll
)

// Port is a net.Listener that can refuse new connections and accept them again
// at the same address, and that can reset or silence its connections.
type Port struct {
	address string
	// reservation is a socket that is bound to the address and never listens. It
	// keeps the kernel from giving the port to another process while connections
	// are refused.
	reservation *os.File

	mu       sync.Mutex
	listener net.Listener  // nil while connections are refused
	changed  chan struct{} // closed and replaced when the listener or closed changes
	closed   bool
	silence  Silence
	conns    map[*Conn]struct{}
	maxConns int // greatest number of connections open at the same time
}

// Listen listens on an IPv4 address; port 0 selects a free port.
func Listen(address string) (*Port, error) {
	reservation, bound, err := reserveAddress(address)
	if err != nil {
		return nil, fmt.Errorf("binding %q: %w", address, err)
	}
	p := &Port{
		address:     bound,
		reservation: reservation,
		changed:     make(chan struct{}),
		conns:       make(map[*Conn]struct{}),
	}
	if err := p.Resume(); err != nil {
		_ = reservation.Close()
		return nil, err
	}
	return p, nil
}

// reserveAddress binds a socket to the address without listening, and returns
// it with the bound host:port.
func reserveAddress(address string) (*os.File, string, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, "", fmt.Errorf("resolving: %w", err)
	}
	ip := tcp.IP.To4()
	if ip == nil {
		return nil, "", &AddressError{Address: address, Problem: "needs an IPv4 address"}
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, "", fmt.Errorf("opening a socket: %w", err)
	}
	reservation := os.NewFile(uintptr(fd), "port reservation")
	// The listening socket can bind to the same port only if both sockets have
	// SO_REUSEADDR set; net.Listen sets it on its own.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		_ = reservation.Close()
		return nil, "", fmt.Errorf("setting SO_REUSEADDR: %w", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(ip)}); err != nil {
		_ = reservation.Close()
		return nil, "", fmt.Errorf("binding: %w", err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		_ = reservation.Close()
		return nil, "", fmt.Errorf("reading the bound address: %w", err)
	}
	if inet, ok := name.(*syscall.SockaddrInet4); ok {
		tcp.Port = inet.Port
	}
	return reservation, tcp.String(), nil
}

// Address returns the host:port on which the port listens.
func (p *Port) Address() string { return p.address }

// Addr implements net.Listener.
func (p *Port) Addr() net.Addr {
	addr, err := net.ResolveTCPAddr("tcp4", p.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return addr
}

// Accept implements net.Listener. It waits while connections are refused.
func (p *Port) Accept() (net.Conn, error) {
	for {
		p.mu.Lock()
		listener, changed, closed := p.listener, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if listener == nil {
			<-changed
			continue
		}
		raw, err := listener.Accept()
		if err != nil {
			if p.listenerReplaced(listener) {
				continue
			}
			return nil, fmt.Errorf("accepting on %s: %w", p.address, err)
		}
		if conn := p.trackConn(listener, raw); conn != nil {
			return conn, nil
		}
	}
}

// listenerReplaced reports whether listener is no longer in use.
func (p *Port) listenerReplaced(listener net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed || p.listener != listener
}

// trackConn registers an accepted connection. It resets the connection and
// returns nil if the port has stopped listening since it accepted the
// connection.
func (p *Port) trackConn(listener net.Listener, raw net.Conn) *Conn {
	conn := &Conn{Conn: raw, port: p, done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != listener {
		conn.reset()
		return nil
	}
	conn.silent.Store(p.silence == SilenceAll)
	p.conns[conn] = struct{}{}
	p.maxConns = max(p.maxConns, len(p.conns))
	return conn
}

// untrack removes a connection from those of the port.
func (p *Port) untrack(conn *Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// RefuseConnections closes the listening socket, so that the kernel refuses new
// connections. Open connections remain.
func (p *Port) RefuseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopListening()
}

// stopListening closes the listening socket if there is one. The caller holds
// p.mu.
func (p *Port) stopListening() {
	if p.listener == nil {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	p.notifyChanged()
}

// notifyChanged wakes a waiting Accept. The caller holds p.mu.
func (p *Port) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Resume accepts connections again after RefuseConnections. It has no effect if
// connections are accepted already or the port is closed.
func (p *Port) Resume() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", p.address)
	if err != nil {
		return fmt.Errorf("listening on %s: %w", p.address, err)
	}
	p.listener = listener
	p.notifyChanged()
	return nil
}

// ResetAll resets all open connections.
func (p *Port) ResetAll() {
	for _, conn := range p.openConns() {
		conn.Reset()
	}
}

// openConns returns the open connections.
func (p *Port) openConns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*Conn, 0, len(p.conns))
	for conn := range p.conns {
		conns = append(conns, conn)
	}
	return conns
}

// SetSilence silences the selected connections. A silent connection remains
// silent until it is closed.
func (p *Port) SetSilence(silence Silence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence = silence
	if silence == SilenceNone {
		return
	}
	for conn := range p.conns {
		conn.silent.Store(true)
	}
}

// Connections returns the number of open connections and the greatest number so
// far.
func (p *Port) Connections() (open, maximum int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), p.maxConns
}

// Close implements net.Listener. It also resets all connections.
func (p *Port) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.notifyChanged()
	_ = p.reservation.Close()
	p.mu.Unlock()
	p.ResetAll()
	return nil
}
