package peerwire

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/instance"
)

const (
	dialTimeout = time.Second
	// firstBackoff and maxBackoff bound the pause between two attempts; the
	// larger one is the delay that a healed network adds at most.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// idleAfter is how long a connection that the roster no longer names stays
	// open.
	idleAfter = time.Minute
)

// attempt is one try to connect, shared by all that wait for it.
type attempt struct {
	done chan struct{}
	err  error // set before done is closed
}

// peer is another instance as the Mesh sees it. One goroutine dials it.
type peer struct {
	id      string
	mesh    *Mesh
	cancel  context.CancelFunc
	ended   <-chan struct{} // closed by cancel
	address atomic.Pointer[string]
	conn    atomic.Pointer[Conn]
	wanted  atomic.Bool
	wake    chan struct{}

	mu  sync.Mutex // guards try
	try *attempt   // nil if nobody waits
}

// newPeer starts the dialer of a peer. The caller holds m.mu and has checked
// that the Mesh is open.
func (m *Mesh) newPeer(id string) *peer {
	p := &peer{id: id, mesh: m, wake: make(chan struct{}, 1)}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(m.ctx)
	p.ended = ctx.Done()
	m.group.Go(func() { p.keep(ctx) })
	return p
}

// live returns the connection if it is open.
func (p *peer) live() *Conn {
	if c := p.conn.Load(); c != nil && !c.closed() {
		return c
	}
	return nil
}

func (p *peer) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// want keeps a connection to the peer from now on.
func (p *peer) want() {
	if !p.wanted.Swap(true) {
		p.poke()
	}
}

// connect returns the connection, or waits for one attempt to open it.
func (p *peer) connect(ctx context.Context) (*Conn, error) {
	if c := p.live(); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.try == nil {
		p.try = &attempt{done: make(chan struct{})}
	}
	try := p.try
	p.mu.Unlock()
	p.poke()
	select {
	case <-try.done:
	case <-ctx.Done():
		return nil, &NoConnectionError{Peer: p.id, Err: ctx.Err()}
	case <-p.ended:
		return nil, &NoConnectionError{Peer: p.id, Err: &ClosedError{}}
	}
	if c := p.live(); c != nil {
		return c, nil
	}
	return nil, &NoConnectionError{Peer: p.id, Err: try.err}
}

func (p *peer) awaited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.try != nil
}

// tried ends the attempt that others wait for.
func (p *peer) tried(err error) {
	p.mu.Lock()
	try := p.try
	p.try = nil
	p.mu.Unlock()
	if try != nil {
		try.err = err
		close(try.done)
	}
}

// keep opens, checks and closes the connection as the roster wants it.
func (p *peer) keep(ctx context.Context) {
	// The timer is never due when it is waited for; see docs/PROOFS.md.
	p.poke()
	timer := time.NewTimer(idleAfter)
	defer timer.Stop()
	backoff := firstBackoff
	var nextTry time.Time
	for {
		select {
		case <-ctx.Done():
			p.tried(&ClosedError{})
			return
		case <-p.wake:
		case <-timer.C:
		}
		c, wanted := p.live(), p.wanted.Load()
		silent := c != nil && wanted && c.silentFor() >= SilentAfter
		switch {
		case c != nil && !silent:
			backoff = firstBackoff
			p.tried(nil)
			if wanted {
				c.use()
			} else if c.dialer == p.mesh.opts.Self.ID && c.idleFor() >= idleAfter {
				c.finish()
			}
		case p.awaited() || wanted && !time.Now().Before(nextTry):
			p.tried(p.open(ctx, silent))
			nextTry = time.Now().Add(p.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
		timer.Reset(p.pause(nextTry))
	}
}

// pause returns the time until the dialer has to look again without being woken.
func (p *peer) pause(nextTry time.Time) time.Duration {
	switch wait := time.Until(nextTry); {
	case p.live() != nil:
		return instance.HeartbeatInterval
	case !p.wanted.Load():
		return idleAfter
	default:
		return max(wait, time.Millisecond)
	}
}

// jitter returns between a half and the whole of a pause, so that instances
// that lost the same peer do not all dial it at once.
func (p *peer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.mesh.opts.Random()%uint64(d/2+1))
}

// open dials the peer and registers the connection. If the current one is
// silent, an answered handshake proves that the peer is alive.
func (p *peer) open(ctx context.Context, silent bool) error {
	address := p.address.Load()
	if address == nil {
		return &NoConnectionError{Peer: p.id}
	}
	purpose := PurposeOpen
	if silent {
		purpose = PurposeReplace
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	nc, err := p.mesh.opts.Dial(dialCtx, *address)
	cancel()
	if err != nil {
		return fmt.Errorf("dialing: %w", err)
	}
	shake := handshake{conn: nc, key: p.mesh.opts.Key, self: p.mesh.opts.Self, purpose: purpose}
	hello, err := shake.dial(ctx)
	if err == nil && hello.Identity.ID != p.id {
		err = &HandshakeError{Peer: hello.Identity.ID, Reason: RefusedIdentity}
	}
	if err != nil {
		p.mesh.count.refused.Add(1)
		_ = nc.Close()
		return err
	}
	c := newConn(nc, hello.Identity, p.mesh.opts.Self.ID, &p.mesh.count)
	if !p.mesh.register(c, purpose) {
		return &ClosedError{}
	}
	p.mesh.group.Go(func() { p.mesh.serve(c) })
	return nil
}

// accept takes connections until the listener is closed.
func (m *Mesh) accept() {
	for {
		nc, err := m.opts.Listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			// Out of descriptors, for example: wait for some to be closed.
			select {
			case <-m.ctx.Done():
				return
			case <-time.After(firstBackoff):
			}
			continue
		}
		select {
		case m.shakes <- struct{}{}:
			m.group.Go(func() { m.welcome(nc) })
		default:
			m.count.refused.Add(1)
			_ = nc.Close()
		}
	}
}

// welcome runs the handshake of an accepted connection and then serves it.
func (m *Mesh) welcome(nc net.Conn) {
	shake := handshake{conn: nc, key: m.opts.Key, self: m.opts.Self, proved: m.expectClose}
	hello, err := shake.accept(m.ctx)
	<-m.shakes
	if err != nil {
		m.count.refused.Add(1)
		_ = nc.Close()
		return
	}
	c := newConn(nc, hello.Identity, hello.Identity.ID, &m.count)
	if m.register(c, hello.Purpose) {
		m.serve(c)
	}
}

// expectClose notes that the peer is about to close the current connection for a
// new one, so that the end of the old one is not reported as broken even if it
// is seen before the new one is registered.
func (m *Mesh) expectClose(hello Hello) {
	c := m.current(hello.Identity.ID)
	if c != nil && hello.Purpose == PurposeReplace && c.Peer.Incarnation == hello.Identity.Incarnation {
		c.onPurpose.Store(true)
	}
}

// register makes a connection the current one of its peer, or retires it if the
// current one is to be kept. It returns false if the Mesh is closed.
func (m *Mesh) register(c *Conn, purpose Purpose) bool {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		c.Close()
		return false
	}
	m.all[c] = true
	m.count.opened.Add(1)
	p := m.entry(c.Peer)
	old := p.live()
	keepOld := old != nil && m.prefersOld(old, c, purpose)
	if !keepOld {
		p.conn.Store(c)
	}
	m.mu.Unlock()
	switch {
	case keepOld:
		c.retire()
	case old != nil && old.Peer.Incarnation != c.Peer.Incarnation:
		old.Close()
	case old != nil && replacesSilent(old, purpose):
		m.count.replaced.Add(1)
		old.Close()
	case old != nil:
		old.retire()
	}
	p.tried(nil)
	if !keepOld {
		m.opts.Handler.Connected(c.Peer)
	}
	return true
}

// prefersOld decides between two connections to one peer. Both sides decide
// alike: of two that were dialed from both ends at once, the one from the lower
// ID stays. In all other cases the new one does.
func (m *Mesh) prefersOld(old, c *Conn, purpose Purpose) bool {
	if old.Peer.Incarnation != c.Peer.Incarnation || old.dialer == c.dialer {
		return false
	}
	return !replacesSilent(old, purpose) && old.dialer < c.dialer
}

// replacesSilent tells whether the current connection is the one that a peer
// found silent. A younger one is the peer's or this side's replacement for it.
func replacesSilent(old *Conn, purpose Purpose) bool {
	return purpose == PurposeReplace && old.sinceOpened() >= SilentAfter
}

// entry returns the peer of a connection and adds it if the roster has not named
// it yet. The caller holds m.mu.
func (m *Mesh) entry(identity Identity) *peer {
	book := *m.book.Load()
	p := book[identity.ID]
	if p == nil {
		p = m.newPeer(identity.ID)
		next := make(map[string]*peer, len(book)+1)
		for id, known := range book {
			next[id] = known
		}
		next[p.id] = p
		m.book.Store(&next)
	}
	if identity.PeerAddress != "" {
		p.address.Store(&identity.PeerAddress)
	}
	return p
}
