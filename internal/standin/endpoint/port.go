// Package endpoint holds what the stand-ins share: TCP ports with switchable
// faults, HTTP servers on such ports, and JSON bodies of control requests.
package endpoint

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// AddressError reports a listen address that a port cannot use.
type AddressError struct {
	Address string
	Problem string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("listen address %q: %s", e.Address, e.Problem)
}

// Silence says which connections of a port carry no bytes.
type Silence uint8

const (
	// SilenceNone silences no further connection.
	SilenceNone Silence = iota
	// SilenceOpen silences the connections that are open at this moment.
	SilenceOpen
	// SilenceAll silences the open connections and all new ones.
	SilenceAll
)

// Port is a net.Listener on one address. It can refuse connections and accept
// them again at the same address, reset its connections, and silence them.
type Port struct {
	address string
	// holder is a socket bound to the address that never listens. It keeps the
	// kernel from giving the port away while connections are refused.
	holder *os.File

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	changed  chan struct{}
	closed   bool
	silence  Silence
	conns    map[*Conn]struct{}
	most     int
}

// Open listens on an IPv4 address; port 0 picks a free one.
func Open(address string) (*Port, error) {
	holder, bound, err := hold(address)
	if err != nil {
		return nil, fmt.Errorf("binding %q: %w", address, err)
	}
	p := &Port{
		address: bound,
		holder:  holder,
		changed: make(chan struct{}),
		conns:   make(map[*Conn]struct{}),
	}
	if err := p.Admit(); err != nil {
		_ = holder.Close()
		return nil, err
	}
	return p, nil
}

// hold binds a socket to the address without listening.
func hold(address string) (*os.File, string, error) {
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
	holder := os.NewFile(uintptr(fd), "port holder")
	// With SO_REUSEADDR on both, a listening socket can bind to the same port.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		_ = holder.Close()
		return nil, "", fmt.Errorf("setting SO_REUSEADDR: %w", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(ip)}); err != nil {
		_ = holder.Close()
		return nil, "", fmt.Errorf("binding: %w", err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		_ = holder.Close()
		return nil, "", fmt.Errorf("reading the bound address: %w", err)
	}
	if inet, ok := name.(*syscall.SockaddrInet4); ok {
		tcp.Port = inet.Port
	}
	return holder, tcp.String(), nil
}

// Address is the host:port on which the port listens.
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
			if p.replaced(listener) {
				continue
			}
			return nil, fmt.Errorf("accepting on %s: %w", p.address, err)
		}
		if conn := p.track(listener, raw); conn != nil {
			return conn, nil
		}
	}
}

func (p *Port) replaced(listener net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed || p.listener != listener
}

// track registers an accepted connection. It resets the connection and returns
// nil if connections have been refused since it was accepted.
func (p *Port) track(listener net.Listener, raw net.Conn) *Conn {
	conn := &Conn{Conn: raw, port: p, done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != listener {
		conn.reset()
		return nil
	}
	conn.silent.Store(p.silence == SilenceAll)
	p.conns[conn] = struct{}{}
	p.most = max(p.most, len(p.conns))
	return conn
}

func (p *Port) forget(conn *Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// Refuse closes the listening socket, so that new connections are refused.
func (p *Port) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopListening()
}

func (p *Port) stopListening() {
	if p.listener == nil {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	p.announce()
}

func (p *Port) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Admit accepts connections again after Refuse.
func (p *Port) Admit() error {
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
	p.announce()
	return nil
}

// ResetAll resets all open connections.
func (p *Port) ResetAll() {
	for _, conn := range p.open() {
		conn.Reset()
	}
}

func (p *Port) open() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*Conn, 0, len(p.conns))
	for conn := range p.conns {
		conns = append(conns, conn)
	}
	return conns
}

// SetSilence silences connections. A silent connection stays silent for good.
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

// Connections gives the number of connections open now and the most so far.
func (p *Port) Connections() (now, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), p.most
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
	p.announce()
	_ = p.holder.Close()
	p.mu.Unlock()
	p.ResetAll()
	return nil
}
