package peerwire_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/gomega"

	"fulmarhoist.example/instance"
	"fulmarhoist.example/peerwire"
)

// network connects meshes in memory, so that they run in virtual time.
type network struct {
	mu    sync.Mutex
	lines map[string]*line
	wires []*wire
	// jitter delays each dial and each read by up to 2 ms.
	jitter bool
}

type line struct {
	address string
	calls   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *line) Accept() (net.Conn, error) {
	select {
	case c := <-l.calls:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *line) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *line) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// wire can be cut: bytes vanish in both directions and no error shows.
type wire struct {
	net.Conn
	cut    atomic.Bool
	jitter bool
}

func pause(jitter bool) {
	if jitter {
		time.Sleep(rand.N(2 * time.Millisecond))
	}
}

func (w *wire) Write(p []byte) (int, error) {
	if w.cut.Load() {
		return len(p), nil
	}
	return w.Conn.Write(p)
}

func (w *wire) Read(p []byte) (int, error) {
	for {
		n, err := w.Conn.Read(p)
		pause(w.jitter)
		if err != nil || !w.cut.Load() {
			return n, err
		}
	}
}

func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &line{address: address, calls: make(chan net.Conn), closed: make(chan struct{})}
	n.lines[address] = l
	return l
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.lines[address]
	n.mu.Unlock()
	pause(n.jitter)
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case l.calls <- far:
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w := &wire{Conn: near, jitter: n.jitter}
	n.mu.Lock()
	n.wires = append(n.wires, w)
	n.mu.Unlock()
	return w, nil
}

// each calls do for all connections opened so far.
func (n *network) each(do func(*wire)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires {
		do(w)
	}
}

// host is a mesh with a handler that records what it gets.
type host struct {
	mesh  *peerwire.Mesh
	id    peerwire.Identity
	run   func(ctx context.Context, m *peerwire.Forward) *peerwire.ForwardReply
	beats atomic.Int64
	last  atomic.Pointer[instance.Heartbeat]

	broken, connected, crashes, releases, states atomic.Int64
}

func (h *host) Beat(_ peerwire.Identity, beat instance.Heartbeat) {
	h.beats.Add(1)
	h.last.Store(&beat)
}
func (h *host) ConfigState(peerwire.Identity, *peerwire.ConfigState) { h.states.Add(1) }
func (h *host) Forward(ctx context.Context, _ peerwire.Identity, m *peerwire.Forward) *peerwire.ForwardReply {
	return h.run(ctx, m)
}

func (h *host) ColdAsk(from peerwire.Identity, m *peerwire.ColdAsk) *peerwire.ColdAnswer {
	return &peerwire.ColdAnswer{Verdict: peerwire.VerdictGranted, Holder: from.ID, Sequence: m.Sequence}
}
func (h *host) ColdRelease(peerwire.Identity, *peerwire.ColdRelease) { h.releases.Add(1) }
func (h *host) CrashReport(peerwire.Identity, *peerwire.CrashReport) { h.crashes.Add(1) }
func (h *host) Connected(peerwire.Identity)                          { h.connected.Add(1) }
func (h *host) Broken(peerwire.Identity)                             { h.broken.Add(1) }

func (n *network) start(g *gomega.WithT, id, secret string) *host {
	key, err := peerwire.NewKey([]byte(secret))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h := &host{id: peerwire.Identity{ID: id, Incarnation: rand.Uint64() | 1, Zone: "az-1", CallerAddress: "c-" + id, PeerAddress: id}}
	h.mesh = peerwire.NewMesh(peerwire.Options{
		Self: h.id, Key: key, Listener: n.listen(id), Handler: h, Random: rand.Uint64, Dial: n.dial,
	})
	return h
}

// beat names the others as peers and sends them one heartbeat.
func (h *host) beat(g *gomega.WithT, sequence uint64, others ...string) {
	var peers []instance.Instance
	var recipients []instance.Recipient
	for _, id := range others {
		peers = append(peers, instance.Instance{ID: id, PeerAddress: id})
		recipients = append(recipients, instance.Recipient{Instance: peers[len(peers)-1], Expect: instance.ExpectMore})
	}
	h.mesh.SetPeers(peers)
	g.Expect(h.mesh.Beat(instance.Heartbeat{From: instance.Instance{Sequence: sequence, Epoch: 4}}, recipients)).To(gomega.Succeed())
}
