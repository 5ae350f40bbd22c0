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

// network connects meshes in memory, so that specs can run in virtual time.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     []*faultyConn
	// jitter delays each dial and each read by a random time of up to 2 ms.
	jitter bool
}

type memListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// faultyConn drops all data in both directions, without an error, while
// blackhole is set.
type faultyConn struct {
	net.Conn
	blackhole atomic.Bool
	jitter    bool
}

func randomDelay(jitter bool) {
	if jitter {
		time.Sleep(rand.N(2 * time.Millisecond))
	}
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.blackhole.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		randomDelay(c.jitter)
		if err != nil || !c.blackhole.Load() {
			return n, err
		}
	}
}

func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	randomDelay(n.jitter)
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	clientSide, serverSide := net.Pipe()
	select {
	case l.accepted <- serverSide:
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn := &faultyConn{Conn: clientSide, jitter: n.jitter}
	n.mu.Lock()
	n.conns = append(n.conns, conn)
	n.mu.Unlock()
	return conn, nil
}

// eachConn calls do for every connection that has been opened so far.
func (n *network) eachConn(do func(*faultyConn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		do(c)
	}
}

// testPeer is a mesh with a handler that records what it receives.
type testPeer struct {
	mesh          *peerwire.Mesh
	identity      peerwire.Identity
	handleForward func(ctx context.Context, m *peerwire.Forward) *peerwire.ForwardReply
	heartbeats    atomic.Int64
	lastHeartbeat atomic.Pointer[instance.Heartbeat]

	broken, connected, crashes, releases, states atomic.Int64
}

func (p *testPeer) Heartbeat(_ peerwire.Identity, heartbeat instance.Heartbeat) {
	p.heartbeats.Add(1)
	p.lastHeartbeat.Store(&heartbeat)
}
func (p *testPeer) ConfigState(peerwire.Identity, *peerwire.ConfigState) { p.states.Add(1) }
func (p *testPeer) Forward(ctx context.Context, _ peerwire.Identity, m *peerwire.Forward) *peerwire.ForwardReply {
	return p.handleForward(ctx, m)
}

func (p *testPeer) ColdLeaseRequest(from peerwire.Identity, m *peerwire.ColdLeaseRequest) *peerwire.ColdLeaseReply {
	return &peerwire.ColdLeaseReply{Verdict: peerwire.VerdictGranted, Holder: from.ID, Sequence: m.Sequence}
}

func (p *testPeer) ColdLeaseRelease(peerwire.Identity, *peerwire.ColdLeaseRelease) { p.releases.Add(1) }

func (p *testPeer) CrashReport(peerwire.Identity, *peerwire.CrashReport) { p.crashes.Add(1) }

func (p *testPeer) Connected(peerwire.Identity) { p.connected.Add(1) }

func (p *testPeer) Broken(peerwire.Identity) { p.broken.Add(1) }

func (n *network) startPeer(g *gomega.WithT, id, secret string) *testPeer {
	key, err := peerwire.NewKey([]byte(secret))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p := &testPeer{identity: peerwire.Identity{ID: id, Incarnation: rand.Uint64() | 1, Zone: "az-1", CallerAddress: "c-" + id, PeerAddress: id}}
	p.mesh = peerwire.NewMesh(peerwire.Options{
		Self: p.identity, Key: key, Listener: n.listen(id), Handler: p, Random: rand.Uint64, Dial: n.dial,
	})
	p.mesh.Start()
	return p
}

// sendHeartbeat sets the others as peers and sends them one heartbeat.
func (p *testPeer) sendHeartbeat(g *gomega.WithT, sequence uint64, others ...string) {
	var peers []instance.Instance
	var recipients []instance.Recipient
	for _, id := range others {
		peers = append(peers, instance.Instance{ID: id, PeerAddress: id})
		recipients = append(recipients, instance.Recipient{Instance: peers[len(peers)-1], Expect: instance.ExpectMore})
	}
	p.mesh.SetPeers(peers)
	g.Expect(p.mesh.SendHeartbeat(instance.Heartbeat{From: instance.Instance{Sequence: sequence, Epoch: 4}}, recipients)).To(gomega.Succeed())
}
