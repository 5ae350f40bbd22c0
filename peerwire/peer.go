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
	// all of it. maxBackoff is also the longest time for which a peer that is
	// reachable again is not dialed.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// idleTimeout is how long a connection stays open after it is no longer
	// wanted for heartbeats and its last request has ended.
	idleTimeout = time.Minute
)

// dialAttempt is an attempt to connect that several goroutines may wait for.
type dialAttempt struct {
	done chan struct{}
	err  error // set before done is closed
}

// peer is another instance that the Mesh knows. One goroutine, maintain, dials
// it and closes an idle connection that it has dialed.
type peer struct {
	id      string
	mesh    *Mesh
	cancel  context.CancelFunc
	done    <-chan struct{} // closed by cancel
	address atomic.Pointer[string]
	conn    atomic.Pointer[Conn]
	wanted  atomic.Bool
	wake    chan struct{}

	mu      sync.Mutex   // guards attempt
	attempt *dialAttempt // nil if no goroutine waits
}

// newPeer creates a peer and starts its goroutine. The caller holds m.mu and
// has checked that the Mesh is not closed.
func (m *Mesh) newPeer(id string) *peer {
	p := &peer{id: id, mesh: m, wake: make(chan struct{}, 1)}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(m.ctx)
	p.done = ctx.Done()
	m.wg.Go(func() { p.maintain(ctx) })
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

func (p *peer) wakeDialer() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// markWanted makes maintain keep a connection to the peer open.
func (p *peer) markWanted() {
	if !p.wanted.Swap(true) {
		p.wakeDialer()
	}
}

// connect returns the current connection, or waits for one attempt to open one.
func (p *peer) connect(ctx context.Context) (*Conn, error) {
	if c := p.openConn(); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.attempt == nil {
		p.attempt = &dialAttempt{done: make(chan struct{})}
	}
	attempt := p.attempt
	p.mu.Unlock()
	p.wakeDialer()
	select {
	case <-attempt.done:
	case <-ctx.Done():
		return nil, &NoConnectionError{Peer: p.id, Err: ctx.Err()}
	case <-p.done:
		return nil, &NoConnectionError{Peer: p.id, Err: &ClosedError{}}
	}
	if c := p.openConn(); c != nil {
		return c, nil
	}
	return nil, &NoConnectionError{Peer: p.id, Err: attempt.err}
}

func (p *peer) hasWaiters() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attempt != nil
}

// completeAttempt reports the result of a dial attempt to the goroutines that
// wait for it.
func (p *peer) completeAttempt(err error) {
	p.mu.Lock()
	attempt := p.attempt
	p.attempt = nil
	p.mu.Unlock()
	if attempt != nil {
		attempt.err = err
		close(attempt.done)
	}
}

// maintain opens the connection while it is wanted or waited for, and replaces
// it if it is silent. The side that dialed the connection closes it when it has
// been idle for idleTimeout.
func (p *peer) maintain(ctx context.Context) {
	// The first pass is started by wakeDialer: the loop must not select on a timer
	// that has already expired; see docs/PROOFS.md.
	p.wakeDialer()
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	backoff := initialBackoff
	var nextDial time.Time
	for {
		select {
		case <-ctx.Done():
			p.completeAttempt(&ClosedError{})
			return
		case <-p.wake:
		case <-timer.C:
		}
		c, wanted := p.openConn(), p.wanted.Load()
		silent := c != nil && wanted && c.silentFor() >= SilenceTimeout
		switch {
		case c != nil && !silent:
			backoff = initialBackoff
			p.completeAttempt(nil)
			if wanted {
				c.markUsed()
			} else if c.dialerID == p.mesh.opts.Self.ID && c.idleFor() >= idleTimeout {
				c.closeGracefully()
			}
		case p.hasWaiters() || wanted && !time.Now().Before(nextDial):
			p.completeAttempt(p.dial(ctx, silent))
			nextDial = time.Now().Add(p.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
		timer.Reset(p.nextCheck(nextDial))
	}
}

// nextCheck returns the time after which maintain runs again if it is not woken
// before.
func (p *peer) nextCheck(nextDial time.Time) time.Duration {
	switch wait := time.Until(nextDial); {
	case p.openConn() != nil:
		return instance.HeartbeatInterval
	case !p.wanted.Load():
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

// dial dials the peer and registers the new connection. If the current one is
// silent, a completed handshake proves that the peer is alive.
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
	nc, err := p.mesh.opts.Dial(dialCtx, *address)
	cancel()
	if err != nil {
		return fmt.Errorf("dialing: %w", err)
	}
	hs := handshake{conn: nc, key: p.mesh.opts.Key, self: p.mesh.opts.Self, purpose: purpose}
	hello, err := hs.dial(ctx)
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
	p.mesh.wg.Go(func() { p.mesh.serve(c) })
	return nil
}

// acceptLoop accepts connections until the Mesh is closed.
func (m *Mesh) acceptLoop() {
	for {
		nc, err := m.opts.Listener.Accept()
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
			m.wg.Go(func() { m.serveAccepted(nc) })
		default:
			m.count.refused.Add(1)
			_ = nc.Close()
		}
	}
}

// serveAccepted performs the handshake of an accepted connection and serves the
// connection until it ends.
func (m *Mesh) serveAccepted(nc net.Conn) {
	hs := handshake{conn: nc, key: m.opts.Key, self: m.opts.Self, onVerified: m.expectReplacement}
	hello, err := hs.accept(m.ctx)
	<-m.handshakeSlots
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

// expectReplacement records that the peer is about to close the current
// connection in favor of a new one. The old one is then not reported as broken,
// even if its end is seen before the new one is registered.
func (m *Mesh) expectReplacement(hello Hello) {
	c := m.current(hello.Identity.ID)
	if c != nil && hello.Purpose == PurposeReplace && c.Peer.Incarnation == hello.Identity.Incarnation {
		c.closingGracefully.Store(true)
	}
}

// register makes c the current connection of its peer, or retires c if the
// existing one is to be kept. It returns false if the Mesh is closed.
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
	case old != nil && replacesSilent(old, purpose):
		m.count.replaced.Add(1)
		old.Close()
	case old != nil:
		old.retire()
	}
	p.completeAttempt(nil)
	if !keepOld {
		m.opts.Handler.Connected(c.Peer)
	}
	return true
}

// prefersOld reports whether to keep the old one of two connections to a peer.
// Both sides decide the same: if both dialed each other, the connection that
// the instance with the lower ID dialed is kept. In all other cases, and if the
// old one is silent, the new one is kept.
func (m *Mesh) prefersOld(old, c *Conn, purpose Purpose) bool {
	if old.Peer.Incarnation != c.Peer.Incarnation || old.dialerID == c.dialerID {
		return false
	}
	return !replacesSilent(old, purpose) && old.dialerID < c.dialerID
}

// replacesSilent reports whether old is the connection that the dialer of a new
// one found silent. If old is younger than SilenceTimeout, it is already a
// replacement that one of the sides opened.
func replacesSilent(old *Conn, purpose Purpose) bool {
	return purpose == PurposeReplace && old.age() >= SilenceTimeout
}

// findOrAddPeer returns the peer with the identity, and adds it if SetPeers has
// not named it yet. The caller holds m.mu.
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
