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
	// maxHandshakes bounds strangers that connect at the same time.
	maxHandshakes = 256
	// maxForwards bounds the forwarded requests that run here at the same time.
	maxForwards = 1024
	// retireAfter is how long a superseded connection stays open for replies.
	retireAfter = 10 * time.Second
)

// Handler receives what arrives from peers. Methods are called from several
// goroutines, in the order of arrival per connection. All but Forward must
// return without waiting.
type Handler interface {
	Beat(from Identity, beat instance.Heartbeat)
	ConfigState(from Identity, m *ConfigState)
	// Forward runs a request and returns its outcome. It has a goroutine of its
	// own. The context ends with the Mesh, not with the connection, because the
	// requester may ask for the outcome again.
	Forward(ctx context.Context, from Identity, m *Forward) *ForwardReply
	ColdAsk(from Identity, m *ColdAsk) *ColdAnswer
	ColdRelease(from Identity, m *ColdRelease)
	CrashReport(from Identity, m *CrashReport)
	// Connected and Broken frame the time in which an incarnation was reachable.
	// Broken is not called after a close on purpose.
	Connected(peer Identity)
	Broken(peer Identity)
}

// Options are what a Mesh needs. Dial may be nil.
type Options struct {
	Self     Identity
	Key      Key
	Listener net.Listener
	Handler  Handler
	// Random returns a random word; it must be safe for concurrent use.
	Random func() uint64
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// Mesh keeps connections to peers. Request goroutines find a peer through an
// immutable map; its connection is an atomic pointer.
type Mesh struct {
	opts   Options
	count  counters
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	slots  chan struct{} // running forwarded requests
	shakes chan struct{} // running handshakes of accepted connections

	book   atomic.Pointer[map[string]*peer]
	mu     sync.Mutex // guards changes of book, all, and of a peer's connection
	all    map[*Conn]bool
	closed bool
}

// NewMesh returns a Mesh that accepts connections. Close ends it.
func NewMesh(opts Options) *Mesh {
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	m := &Mesh{
		opts: opts, all: map[*Conn]bool{},
		slots: make(chan struct{}, maxForwards), shakes: make(chan struct{}, maxHandshakes),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.book.Store(&map[string]*peer{})
	m.group.Go(m.accept)
	return m
}

// Close ends all connections and waits for all goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	conns := slices.Collect(maps.Keys(m.all))
	m.mu.Unlock()
	m.cancel()
	_ = m.opts.Listener.Close()
	for _, c := range conns {
		c.Close()
	}
	m.group.Wait()
}

// Stats returns the counts since the start.
func (m *Mesh) Stats() Stats { return m.count.stats() }

// Connected tells whether there is a connection to the peer.
func (m *Mesh) Connected(id string) bool { return m.current(id) != nil }

func (m *Mesh) current(id string) *Conn {
	if p := (*m.book.Load())[id]; p != nil {
		return p.live()
	}
	return nil
}

// SetPeers gives the addresses of all peers that are not dead. Others are
// forgotten once their connection has ended.
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
		p := (*m.book.Load())[peers[i].ID]
		if p == nil {
			p = m.newPeer(peers[i].ID)
		}
		if peers[i].PeerAddress != "" {
			p.address.Store(&peers[i].PeerAddress)
		}
		next[p.id] = p
	}
	for id, p := range *m.book.Load() {
		if next[id] != nil {
			continue
		}
		if p.live() != nil {
			p.wanted.Store(false)
			next[id] = p
		} else {
			p.cancel()
		}
	}
	m.book.Store(&next)
}

// Beat sends a heartbeat to its recipients and keeps connections to them. A
// recipient without a connection is dialed and misses this heartbeat.
func (m *Mesh) Beat(beat instance.Heartbeat, recipients []instance.Recipient) error {
	var frames [2][]byte // by expectation
	book := *m.book.Load()
	named := make(map[string]bool, len(recipients))
	for _, to := range recipients {
		named[to.Instance.ID] = true
		p := book[to.Instance.ID]
		if p == nil {
			continue
		}
		p.want()
		c := p.live()
		if c == nil {
			continue
		}
		frame := frames[to.Expect]
		if frame == nil || len(to.Transfer) > 0 {
			own := beat
			own.Expect = to.Expect
			own.Deltas = slices.Concat(beat.Deltas, to.Transfer)
			var err error
			if frame, err = EncodeFrame(&Beat{own}); err != nil {
				return err
			}
			if len(to.Transfer) == 0 {
				frames[to.Expect] = frame
			}
		}
		_ = c.enqueue(frame) // counted; the next heartbeat makes up for it
	}
	for id, p := range book {
		if !named[id] {
			p.wanted.Store(false)
		}
	}
	return nil
}

// Send queues a message to a peer that is connected.
func (m *Mesh) Send(id string, message Message) error {
	c := m.current(id)
	if c == nil {
		return &NoConnectionError{Peer: id}
	}
	return c.Send(message)
}

// Forward sends a request to the owner of its key and waits for the outcome. A
// *NoConnectionError, *OverflowError, *FrameSizeError or *BusyError means that
// the owner did not take it; after any other error it may run.
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
		return nil, &FormatError{Kind: got.kind(), Problem: "does not answer a forwarded request"}
	}
}

// AskCold asks a peer for a lease.
func (m *Mesh) AskCold(ctx context.Context, id string, message *ColdAsk) (*ColdAnswer, error) {
	got, err := m.request(ctx, id, message)
	if err != nil {
		return nil, err
	}
	if answer, ok := got.(*ColdAnswer); ok {
		return answer, nil
	}
	return nil, &FormatError{Kind: got.kind(), Problem: "does not answer a request for a lease"}
}

// request opens a connection if there is none and waits for the reply.
func (m *Mesh) request(ctx context.Context, id string, message request) (reply, error) {
	p := (*m.book.Load())[id]
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
	delete(m.all, c)
	p := (*m.book.Load())[c.Peer.ID]
	wasCurrent := p != nil && p.conn.CompareAndSwap(c, nil)
	ending := m.closed
	m.mu.Unlock()
	if wasCurrent && !ending && !c.onPurpose.Load() {
		m.count.broken.Add(1)
		m.opts.Handler.Broken(c.Peer)
		p.poke()
	}
}

func (m *Mesh) deliver(c *Conn, message Message) {
	h := m.opts.Handler
	switch message := message.(type) {
	case *Beat:
		from := &message.From
		from.ID, from.Incarnation, from.Zone = c.Peer.ID, c.Peer.Incarnation, c.Peer.Zone
		from.CallerAddress, from.PeerAddress = c.Peer.CallerAddress, c.Peer.PeerAddress
		h.Beat(c.Peer, message.Heartbeat)
	case *ConfigState:
		h.ConfigState(c.Peer, message)
	case *Forward:
		m.runForward(c, message)
	case *ColdAsk:
		answer := h.ColdAsk(c.Peer, message)
		answer.ID = message.ID
		_ = c.Send(answer) // without an answer the requester has no lease
	case *ColdRelease:
		h.ColdRelease(c.Peer, message)
	case *CrashReport:
		h.CrashReport(c.Peer, message)
	}
}

// runForward runs a request on a goroutine of its own. The reply goes back on
// the connection of the request.
func (m *Mesh) runForward(c *Conn, message *Forward) {
	select {
	case m.slots <- struct{}{}:
	default:
		_ = c.Send(&Busy{ID: message.ID})
		return
	}
	c.running.Add(1)
	m.group.Go(func() {
		defer func() {
			c.use()
			c.running.Add(-1)
			<-m.slots
		}()
		answer := m.opts.Handler.Forward(m.ctx, c.Peer, message)
		answer.ID = message.ID
		if c.Send(answer) != nil {
			// The reply is lost: end the connection so that the requester learns
			// it at once instead of at its deadline.
			c.Close()
		}
	})
}
