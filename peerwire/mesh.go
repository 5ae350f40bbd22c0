package peerwire

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/instance"
)

const (
	// maxHandshakes limits the accepted connections that are in the handshake at
	// the same time.
	maxHandshakes = 256
	// maxForwards limits the forwarded requests from peers that this instance
	// executes at the same time.
	maxForwards = 1024
	// retirePeriod is how long a superseded connection stays open for replies.
	retirePeriod = 10 * time.Second
)

// Handler handles messages from peers. Its methods are called from several
// goroutines, for each connection in the order of arrival. All methods except
// Forward must not block.
type Handler interface {
	Heartbeat(from Identity, heartbeat instance.Heartbeat)
	ConfigState(from Identity, m *ConfigState)
	// Forward executes a request and returns its outcome. It is called on its own
	// goroutine. The context is canceled when the Mesh is closed, not when the
	// connection ends, because the requester may ask for the outcome again.
	Forward(ctx context.Context, from Identity, m *Forward) *ForwardReply
	ColdLeaseRequest(from Identity, m *ColdLeaseRequest) *ColdLeaseReply
	ColdLeaseRelease(from Identity, m *ColdLeaseRelease)
	CrashReport(from Identity, m *CrashReport)
	// Connected is called when a new connection to the peer is in use, also if it
	// replaces another one. Broken is called when the connection in use ends
	// without a graceful close.
	Connected(peer Identity)
	Broken(peer Identity)
}

// Options configures a Mesh. If Dial is nil, the Mesh dials TCP with a
// net.Dialer.
type Options struct {
	Self     Identity
	Key      Key
	Listener net.Listener
	Handler  Handler
	// Random returns 64 random bits. It must be safe for concurrent use.
	Random func() uint64
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// Mesh maintains the connections to all peers. On the path of a request a peer
// is looked up in an immutable map and its connection is an atomic pointer, so
// that no lock is needed.
type Mesh struct {
	opts           Options
	count          counters
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	forwardSlots   chan struct{} // semaphore of forwarded requests that are executed here
	handshakeSlots chan struct{} // semaphore of accepted connections in the handshake

	peers  atomic.Pointer[map[string]*peer]
	mu     sync.Mutex // guards writes to peers and to a peer's conn, as well as conns and closed
	conns  map[*Conn]bool
	closed bool
}

// NewMesh returns a Mesh that accepts connections until Close is called.
func NewMesh(opts Options) *Mesh {
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	m := &Mesh{
		opts: opts, conns: map[*Conn]bool{},
		forwardSlots: make(chan struct{}, maxForwards), handshakeSlots: make(chan struct{}, maxHandshakes),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.peers.Store(&map[string]*peer{})
	return m
}

// Start begins to accept connections. The handler must be ready to be called.
func (m *Mesh) Start() { m.wg.Go(m.acceptLoop) }

// Close closes the listener and all connections, and waits until all goroutines
// have ended.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	conns := slices.Collect(maps.Keys(m.conns))
	m.mu.Unlock()
	m.cancel()
	_ = m.opts.Listener.Close()
	for _, c := range conns {
		c.Close()
	}
	m.wg.Wait()
}

// Stats returns the counters since the creation of the Mesh.
func (m *Mesh) Stats() Stats { return m.count.stats() }

// Connected reports whether there is an open connection to the peer.
func (m *Mesh) Connected(id string) bool { return m.current(id) != nil }

func (m *Mesh) current(id string) *Conn {
	if p := (*m.peers.Load())[id]; p != nil {
		return p.openConn()
	}
	return nil
}

// SetPeers sets the peers and their addresses. Peers that are not in the list
// are removed, but not while they have an open connection.
func (m *Mesh) SetPeers(peers []instance.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	next := make(map[string]*peer, len(peers))
	for i := range peers {
		if peers[i].ID == m.opts.Self.ID {
			continue
		}
		p := (*m.peers.Load())[peers[i].ID]
		if p == nil {
			p = m.newPeer(peers[i].ID)
		}
		if peers[i].PeerAddress != "" {
			p.address.Store(&peers[i].PeerAddress)
		}
		next[p.id] = p
	}
	for id, p := range *m.peers.Load() {
		if next[id] != nil {
			continue
		}
		if p.openConn() != nil {
			p.keepOpen.Store(false)
			next[id] = p
		} else {
			p.cancel()
		}
	}
	m.peers.Store(&next)
}

// SendHeartbeat sends a heartbeat to its recipients and keeps connections to
// them open. A recipient without a connection is dialed and misses this
// heartbeat.
func (m *Mesh) SendHeartbeat(heartbeat instance.Heartbeat, recipients []instance.Recipient) error {
	var frames [2][]byte // encoded once for each value of Expect
	peers := *m.peers.Load()
	isRecipient := make(map[string]bool, len(recipients))
	for _, to := range recipients {
		isRecipient[to.Instance.ID] = true
		p := peers[to.Instance.ID]
		if p == nil {
			continue
		}
		p.keepConnOpen()
		c := p.openConn()
		if c == nil {
			continue
		}
		frame := frames[to.Expect]
		if frame == nil || len(to.Transfer) > 0 {
			message := heartbeat
			message.Expect = to.Expect
			message.Deltas = slices.Concat(heartbeat.Deltas, to.Transfer)
			var err error
			if frame, err = EncodeFrame(&Heartbeat{message}); err != nil {
				return err
			}
			if len(to.Transfer) == 0 {
				frames[to.Expect] = frame
			}
		}
		_ = c.enqueue(frame) // counted in Stats; the next heartbeat makes up for it
	}
	for id, p := range peers {
		if !isRecipient[id] {
			p.keepOpen.Store(false)
		}
	}
	return nil
}

// Send queues a message to a peer without blocking. It opens no connection: if
// there is none, it returns a *NoConnectionError.
func (m *Mesh) Send(id string, message Message) error {
	c := m.current(id)
	if c == nil {
		return &NoConnectionError{Peer: id}
	}
	return c.Send(message)
}

// Forward sends a request to the owner of its key and waits for the outcome. A
// *NoConnectionError, *OverflowError, *FrameSizeError or *BusyError means that
// the owner does not execute it. After any other error the owner may execute it.
func (m *Mesh) Forward(ctx context.Context, id string, message *Forward) (*ForwardReply, error) {
	got, err := m.request(ctx, id, message)
	if err != nil {
		return nil, err
	}
	switch got := got.(type) {
	case *ForwardReply:
		return got, nil
	case *Busy:
		return nil, &BusyError{Peer: id}
	default:
		return nil, &FormatError{Kind: got.kind(), Problem: "is not a reply to a forwarded request"}
	}
}

// RequestColdLease sends a ColdLeaseRequest to a peer and waits for the reply.
func (m *Mesh) RequestColdLease(ctx context.Context, id string, message *ColdLeaseRequest) (*ColdLeaseReply, error) {
	got, err := m.request(ctx, id, message)
	if err != nil {
		return nil, err
	}
	if leaseReply, ok := got.(*ColdLeaseReply); ok {
		return leaseReply, nil
	}
	return nil, &FormatError{Kind: got.kind(), Problem: "is not a reply to a lease request"}
}

// request sends a message and waits for the reply. It opens a connection if
// there is none.
func (m *Mesh) request(ctx context.Context, id string, message request) (reply, error) {
	p := (*m.peers.Load())[id]
	if p == nil {
		return nil, &NoConnectionError{Peer: id}
	}
	c, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	return c.request(ctx, message)
}

// serve delivers the messages of one connection until it ends.
func (m *Mesh) serve(c *Conn) {
	_ = c.run(func(message Message) { m.deliver(c, message) }) // counted in Stats
	m.mu.Lock()
	delete(m.conns, c)
	p := (*m.peers.Load())[c.Peer.ID]
	wasCurrent := p != nil && p.conn.CompareAndSwap(c, nil)
	closed := m.closed
	m.mu.Unlock()
	if wasCurrent && !closed && !c.closingGracefully.Load() {
		m.count.broken.Add(1)
		m.opts.Handler.Broken(c.Peer)
		p.wakeMaintainConn()
	}
}

func (m *Mesh) deliver(c *Conn, message Message) {
	h := m.opts.Handler
	switch message := message.(type) {
	case *Heartbeat:
		from := &message.From
		from.ID, from.Incarnation, from.Zone = c.Peer.ID, c.Peer.Incarnation, c.Peer.Zone
		from.CallerAddress, from.PeerAddress = c.Peer.CallerAddress, c.Peer.PeerAddress
		h.Heartbeat(c.Peer, message.Heartbeat)
	case *ConfigState:
		h.ConfigState(c.Peer, message)
	case *Forward:
		m.runForward(c, message)
	case *ColdLeaseRequest:
		leaseReply := h.ColdLeaseRequest(c.Peer, message)
		leaseReply.ID = message.ID
		_ = c.Send(leaseReply) // without a reply the requester has no lease
	case *ColdLeaseRelease:
		h.ColdLeaseRelease(c.Peer, message)
	case *CrashReport:
		h.CrashReport(c.Peer, message)
	}
}

// runForward executes a forwarded request on its own goroutine. The reply is
// sent on the connection on which the request arrived.
func (m *Mesh) runForward(c *Conn, message *Forward) {
	select {
	case m.forwardSlots <- struct{}{}:
	default:
		_ = c.Send(&Busy{ID: message.ID})
		return
	}
	c.activeRequests.Add(1)
	m.wg.Go(func() {
		defer func() {
			c.markUsed()
			c.activeRequests.Add(-1)
			<-m.forwardSlots
		}()
		answer := m.opts.Handler.Forward(m.ctx, c.Peer, message)
		answer.ID = message.ID
		if c.Send(answer) != nil {
			// The reply cannot be sent. Closing the connection makes the requester
			// fail at once instead of at its deadline.
			c.Close()
		}
	})
}
