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
	// The backoff starts at initialBackoff and doubles with every dial attempt up
	// to maxBackoff; the delay before the next attempt is between half of it and
	// all of it. A peer with keepOpen that becomes reachable is thus dialed within
	// maxBackoff of the last failed attempt.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// idleTimeout is how long a connection stays open after it is no longer
	// needed for heartbeats and its last request has ended.
	idleTimeout = time.Minute
)

// connWait is the result that callers of connect wait for. It exists before the
// peer is dialed, and an accepted connection may complete it instead of a dial.
type connWait struct {
	done chan struct{}
	err  error // set before done is closed
}

// peer is another instance that was listed by SetPeers or has connected. One
// goroutine, maintainConn, dials it and closes an idle connection that it has
// dialed.
type peer struct {
	id       string
	mesh     *Mesh
	cancel   context.CancelFunc
	done     <-chan struct{} // closed by cancel
	address  atomic.Pointer[string]
	conn     atomic.Pointer[Conn]
	keepOpen atomic.Bool // a connection is to be kept open for heartbeats
	wake     chan struct{}

	mu   sync.Mutex // guards wait
	wait *connWait  // nil if no result has been asked for since the last one
}

// newPeer creates a peer and starts its goroutine. The caller holds m.mu and
// has checked that the Mesh is not closed.
func (m *Mesh) newPeer(id string) *peer {
	p := &peer{id: id, mesh: m, wake: make(chan struct{}, 1)}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(m.ctx)
	p.done = ctx.Done()
	m.wg.Go(func() { p.maintainConn(ctx) })
	return p
}

// openConn returns the current connection, or nil if there is none that is
// open.
func (p *peer) openConn() *Conn {
	if c := p.conn.Load(); c != nil && !c.closed() {
		return c
	}
	return nil
}

func (p *peer) wakeMaintainConn() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// keepConnOpen makes maintainConn keep a connection to the peer open.
func (p *peer) keepConnOpen() {
	if !p.keepOpen.Swap(true) {
		p.wakeMaintainConn()
	}
}

// connect returns the current connection, or waits for one attempt to open one.
func (p *peer) connect(ctx context.Context) (*Conn, error) {
	if c := p.openConn(); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.wait == nil {
		p.wait = &connWait{done: make(chan struct{})}
	}
	wait := p.wait
	p.mu.Unlock()
	p.wakeMaintainConn()
	select {
	case <-wait.done:
	case <-ctx.Done():
		return nil, &NoConnectionError{Peer: p.id, Err: ctx.Err()}
	case <-p.done:
		return nil, &NoConnectionError{Peer: p.id, Err: &ClosedError{}}
	}
	if c := p.openConn(); c != nil {
		return c, nil
	}
	return nil, &NoConnectionError{Peer: p.id, Err: wait.err}
}

// attemptRequested reports whether connect has asked for a result since the last
// one. The contexts of all its callers may have ended since.
func (p *peer) attemptRequested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wait != nil
}

// completeWait reports the result to the goroutines that wait for a connection.
func (p *peer) completeWait(err error) {
	p.mu.Lock()
	wait := p.wait
	p.wait = nil
	p.mu.Unlock()
	if wait != nil {
		wait.err = err
		close(wait.done)
	}
}

// maintainConn opens the connection while it is to be kept open or connect asks
// for one. It replaces a connection that is to be kept open if the peer has left
// a frame unanswered for SilenceTimeout. The side that dialed the connection
// closes it when it has been idle for idleTimeout.
func (p *peer) maintainConn(ctx context.Context) {
	// The first pass is started by wakeMaintainConn. The loop must not select on a
	// timer that has already expired: two goroutines of one synctest bubble that
	// do so crash the race detector of go1.26.8; see docs/PROOFS.md.
	p.wakeMaintainConn()
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	backoff := initialBackoff
	var nextDial time.Time
	for {
		select {
		case <-ctx.Done():
			p.completeWait(&ClosedError{})
			return
		case <-p.wake:
		case <-timer.C:
		}
		c, keepOpen := p.openConn(), p.keepOpen.Load()
		silent := c != nil && keepOpen && c.silentFor() >= SilenceTimeout
		switch {
		case c != nil && !silent:
			backoff = initialBackoff
			p.completeWait(nil)
			if keepOpen {
				c.markUsed()
			} else if c.dialerID == p.mesh.opts.Self.ID && c.idleFor() >= idleTimeout {
				c.closeGracefully()
			}
		case p.attemptRequested() || keepOpen && !time.Now().Before(nextDial):
			p.completeWait(p.dial(ctx, silent))
			nextDial = time.Now().Add(p.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
		timer.Reset(p.nextCheck(nextDial))
	}
}

// nextCheck returns the time after which maintainConn runs again if it is not
// woken before.
func (p *peer) nextCheck(nextDial time.Time) time.Duration {
	switch wait := time.Until(nextDial); {
	case p.openConn() != nil:
		return instance.HeartbeatInterval
	case !p.keepOpen.Load():
		return idleTimeout
	default:
		return max(wait, time.Millisecond)
	}
}

// jitter returns a random duration between d/2 and d, so that instances that
// lost the same peer do not all dial it at the same time.
func (p *peer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.mesh.opts.Random()%uint64(d/2+1))
}

// dial dials the peer and registers the new connection. A completed handshake
// proves that the peer is alive, so a silent connection is replaced only once
// the handshake of the new one has completed.
func (p *peer) dial(ctx context.Context, silent bool) error {
	address := p.address.Load()
	if address == nil {
		return &NoConnectionError{Peer: p.id}
	}
	purpose := PurposeOpen
	if silent {
		purpose = PurposeReplace
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	netConn, err := p.mesh.opts.Dial(dialCtx, *address)
	cancel()
	if err != nil {
		return fmt.Errorf("dialing %s: %w", *address, err)
	}
	handshake := handshake{conn: netConn, key: p.mesh.opts.Key, self: p.mesh.opts.Self, purpose: purpose}
	hello, err := handshake.dial(ctx)
	if err == nil && hello.Identity.ID != p.id {
		err = &HandshakeError{Peer: hello.Identity.ID, Reason: RefusedIdentity}
	}
	if err != nil {
		p.mesh.count.failedHandshakes.Add(1)
		_ = netConn.Close()
		return err
	}
	conn := newConn(netConn, hello.Identity, p.mesh.opts.Self.ID, &p.mesh.count)
	if !p.mesh.register(conn, purpose) {
		return &ClosedError{}
	}
	p.mesh.wg.Go(func() { p.mesh.serve(conn) })
	return nil
}

// acceptLoop accepts connections until the Mesh is closed.
func (m *Mesh) acceptLoop() {
	for {
		netConn, err := m.opts.Listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			// The process may be out of file descriptors, for example: wait until
			// some have been closed.
			select {
			case <-m.ctx.Done():
				return
			case <-time.After(initialBackoff):
			}
			continue
		}
		select {
		case m.handshakeSlots <- struct{}{}:
			m.wg.Go(func() { m.serveAccepted(netConn) })
		default:
			m.count.failedHandshakes.Add(1)
			_ = netConn.Close()
		}
	}
}

// serveAccepted performs the handshake of an accepted connection and serves the
// connection until it ends.
func (m *Mesh) serveAccepted(netConn net.Conn) {
	handshake := handshake{conn: netConn, key: m.opts.Key, self: m.opts.Self, onVerified: m.expectReplacement}
	hello, err := handshake.accept(m.ctx)
	<-m.handshakeSlots
	if err != nil {
		m.count.failedHandshakes.Add(1)
		_ = netConn.Close()
		return
	}
	conn := newConn(netConn, hello.Identity, hello.Identity.ID, &m.count)
	if m.register(conn, hello.Purpose) {
		m.serve(conn)
	}
}

// expectReplacement records that the peer is about to close the current
// connection in favor of a new one. The old one is then not reported as broken,
// even if it closes before the new one is registered. The incarnation differs
// for each start of the peer's process.
func (m *Mesh) expectReplacement(hello Hello) {
	c := m.current(hello.Identity.ID)
	if c != nil && hello.Purpose == PurposeReplace && c.Peer.Incarnation == hello.Identity.Incarnation {
		c.closingGracefully.Store(true)
	}
}

// register makes c the current connection of its peer. If the existing one is to
// be kept, it closes c after retirePeriod instead, so that replies to requests
// in flight still arrive. It returns false if the Mesh is closed.
func (m *Mesh) register(c *Conn, purpose Purpose) bool {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		c.Close()
		return false
	}
	m.conns[c] = true
	m.count.opened.Add(1)
	p := m.findOrAddPeer(c.Peer)
	old := p.openConn()
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
	case old != nil && oldIsSilent(old, purpose):
		m.count.replaced.Add(1)
		old.Close()
	case old != nil:
		old.retire()
	}
	p.completeWait(nil)
	if !keepOld {
		m.opts.Handler.Connected(c.Peer)
	}
	return true
}

// prefersOld reports whether to keep the old one of two connections to a peer.
// The old one is kept only if both sides dialed each other, the instance with
// the lower ID dialed the old one, and the new one does not replace it because it
// is silent. Otherwise the new one is kept. Both sides decide the same.
func (m *Mesh) prefersOld(old, c *Conn, purpose Purpose) bool {
	if old.Peer.Incarnation != c.Peer.Incarnation || old.dialerID == c.dialerID {
		return false
	}
	return !oldIsSilent(old, purpose) && old.dialerID < c.dialerID
}

// oldIsSilent reports whether old is the connection that the dialer of a new one
// found silent. An old connection that is younger than SilenceTimeout cannot have
// been found silent: it is already a replacement that one of the sides opened.
func oldIsSilent(old *Conn, purpose Purpose) bool {
	return purpose == PurposeReplace && old.age() >= SilenceTimeout
}

// findOrAddPeer returns the peer with the identity, and adds it if it is not
// known yet from SetPeers or an earlier connection. The caller holds m.mu.
func (m *Mesh) findOrAddPeer(identity Identity) *peer {
	peers := *m.peers.Load()
	p := peers[identity.ID]
	if p == nil {
		p = m.newPeer(identity.ID)
		next := make(map[string]*peer, len(peers)+1)
		for id, known := range peers {
			next[id] = known
		}
		next[p.id] = p
		m.peers.Store(&next)
	}
	if identity.PeerAddress != "" {
		p.address.Store(&identity.PeerAddress)
	}
	return p
}
