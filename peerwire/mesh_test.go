package peerwire_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/peerwire"
)

const secret = "a key of more than sixteen bytes"

var _ = Describe("Mesh", func() {
	// inSynctest runs a spec in a synctest bubble, in virtual time. At its end
	// synctest reports every goroutine that Close has not ended.
	inSynctest := func(spec func(g *WithT, n *network)) func() {
		return func() {
			synctest.Test(suiteT, func(t *testing.T) {
				spec(NewWithT(t), &network{listeners: map[string]*memListener{}})
			})
		}
	}
	// exchangeHeartbeats sends heartbeats in both directions, one per interval.
	exchangeHeartbeats := func(g *WithT, a, b *testPeer, rounds int) {
		for i := range rounds {
			a.sendHeartbeat(g, uint64(i+1), b.identity.ID)
			b.sendHeartbeat(g, uint64(i+1), a.identity.ID)
			time.Sleep(instance.HeartbeatInterval)
		}
	}

	// Guards against two connections between instances that dial each other at
	// the same time, and against heartbeats without the sender's identity.
	It("keeps one connection per pair and delivers heartbeats", inSynctest(func(g *WithT, n *network) {
		a, b := n.startPeer(g, "entry-1", secret), n.startPeer(g, "entry-2", secret)
		defer a.mesh.Close()
		defer b.mesh.Close()
		exchangeHeartbeats(g, a, b, 40)
		g.Expect(b.heartbeats.Load()).To(BeNumerically(">=", 38))
		from := b.lastHeartbeat.Load().From
		g.Expect(from.ID).To(Equal("entry-1"))
		g.Expect(from.Incarnation).To(Equal(a.identity.Incarnation))
		g.Expect(from.Epoch).To(Equal(uint64(4)))
		open := 0
		n.eachConn(func(c *faultyConn) {
			if c.SetDeadline(time.Time{}) == nil {
				open++
			}
		})
		g.Expect(open).To(Equal(1))
		g.Expect(a.broken.Load() + b.broken.Load()).To(BeZero())
		stats := a.mesh.Stats()
		g.Expect(stats.BytesSent).To(BeNumerically(">", 38*10))
		g.Expect(stats.FramesReceived).To(BeNumerically(">=", 38))
	}))

	// Guards against two sides that each keep a different one of two connections
	// and so lose both. Random delays vary which side is first.
	It("settles on one connection when many pairs dial each other at once", inSynctest(func(g *WithT, n *network) {
		n.jitter = true
		var peers []*testPeer
		var ids []string
		for i := range 8 {
			ids = append(ids, fmt.Sprintf("entry-%d", i))
			peers = append(peers, n.startPeer(g, ids[i], secret))
			defer peers[i].mesh.Close()
		}
		for round := range 60 {
			for _, p := range peers {
				p.sendHeartbeat(g, uint64(round+1), slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == p.identity.ID })...)
			}
			time.Sleep(instance.HeartbeatInterval)
		}
		open, broken := 0, int64(0)
		n.eachConn(func(c *faultyConn) {
			if c.SetDeadline(time.Time{}) == nil {
				open++
			}
		})
		for _, p := range peers {
			broken += p.broken.Load()
			g.Expect(p.heartbeats.Load()).To(BeNumerically(">=", 7*58))
		}
		g.Expect(open).To(Equal(8 * 7 / 2))
		g.Expect(len(n.conns)).To(BeNumerically(">", open), "no pair dialed each other at the same time")
		g.Expect(broken).To(BeZero())
	}))

	// Guards against processes without the shared key joining the mesh.
	It("rejects a peer with a different key", inSynctest(func(g *WithT, n *network) {
		a, b := n.startPeer(g, "entry-1", secret), n.startPeer(g, "entry-2", "another key of enough bytes")
		defer a.mesh.Close()
		defer b.mesh.Close()
		a.sendHeartbeat(g, 1, "entry-2")
		_, err := a.mesh.RequestColdLease(context.Background(), "entry-2", &peerwire.ColdLeaseRequest{Target: "t"})
		var noConn *peerwire.NoConnectionError
		g.Expect(errors.As(err, &noConn)).To(BeTrue(), "%v", err)
		g.Expect(err.Error()).NotTo(ContainSubstring(secret))
		exchangeHeartbeats(g, a, b, 10)
		g.Expect(a.mesh.Connected("entry-2") || b.mesh.Connected("entry-1")).To(BeFalse())
		g.Expect(a.heartbeats.Load() + b.heartbeats.Load() + a.connected.Load() + b.connected.Load()).To(BeZero())
		g.Expect(b.mesh.Stats().Refused).To(BeNumerically(">", 0))
	}))

	// Guards against two peers that stay disconnected because their connection
	// drops all data without an error, although a new connection would work.
	It("replaces a silent connection within 3 s and fails its pending requests", inSynctest(func(g *WithT, n *network) {
		a, b := n.startPeer(g, "entry-1", secret), n.startPeer(g, "entry-2", secret)
		defer a.mesh.Close()
		defer b.mesh.Close()
		b.handleForward = func(ctx context.Context, _ *peerwire.Forward) *peerwire.ForwardReply {
			<-ctx.Done()
			return &peerwire.ForwardReply{}
		}
		exchangeHeartbeats(g, a, b, 10)
		failed := make(chan error, 1)
		go func() {
			_, err := a.mesh.Forward(context.Background(), "entry-2", &peerwire.Forward{Method: "POST"})
			failed <- err
		}()
		synctest.Wait()
		n.eachConn(func(c *faultyConn) { c.blackhole.Store(true) })
		exchangeHeartbeats(g, a, b, 6)
		var lost *peerwire.ConnectionLostError
		g.Expect(errors.As(<-failed, &lost)).To(BeTrue())
		before := b.heartbeats.Load()
		exchangeHeartbeats(g, a, b, 4)
		g.Expect(b.heartbeats.Load()).To(BeNumerically(">=", before+4))
		g.Expect(a.mesh.Stats().Replaced + b.mesh.Stats().Replaced).To(BeNumerically(">=", 1))
		g.Expect(a.broken.Load()+b.broken.Load()).To(BeZero(), "a replaced connection must not be reported as broken")
	}))

	// Guards against considering a connection silent because only one side sends
	// heartbeats, as between instances on a large ring.
	It("keeps a connection with heartbeats in only one direction", inSynctest(func(g *WithT, n *network) {
		a, b := n.startPeer(g, "entry-1", secret), n.startPeer(g, "entry-2", secret)
		defer a.mesh.Close()
		defer b.mesh.Close()
		for i := range 60 {
			a.sendHeartbeat(g, uint64(i+1), "entry-2")
			time.Sleep(instance.HeartbeatInterval)
		}
		g.Expect(a.mesh.Stats().Opened).To(Equal(uint64(1)))
		// A connection that is no longer wanted is closed gracefully, which is not
		// reported as a failure.
		a.sendHeartbeat(g, 61)
		time.Sleep(2 * time.Minute)
		g.Expect(a.mesh.Connected("entry-2") || b.mesh.Connected("entry-1")).To(BeFalse())
		g.Expect(a.broken.Load() + b.broken.Load()).To(BeZero())
	}))

	// Guards against a request that waits until its deadline although the
	// connection to the owner of its key has ended.
	It("returns a typed error at once when the connection is lost", inSynctest(func(g *WithT, n *network) {
		a, b := n.startPeer(g, "entry-1", secret), n.startPeer(g, "entry-2", secret)
		defer a.mesh.Close()
		running := make(chan struct{})
		b.handleForward = func(ctx context.Context, _ *peerwire.Forward) *peerwire.ForwardReply {
			close(running)
			<-ctx.Done()
			return &peerwire.ForwardReply{}
		}
		a.sendHeartbeat(g, 1, "entry-2")
		failed := make(chan error, 1)
		go func() {
			_, err := a.mesh.Forward(context.Background(), "entry-2", &peerwire.Forward{Method: "POST"})
			failed <- err
		}()
		<-running
		start := time.Now()
		n.eachConn(func(c *faultyConn) { _ = c.Close() })
		var lost *peerwire.ConnectionLostError
		g.Expect(errors.As(<-failed, &lost)).To(BeTrue())
		g.Expect(time.Since(start)).To(BeZero())
		synctest.Wait()
		g.Expect(a.broken.Load()).To(Equal(int64(1)))
		b.mesh.Close()
		_, err := a.mesh.Forward(context.Background(), "entry-2", &peerwire.Forward{Method: "POST"})
		var noConn *peerwire.NoConnectionError
		g.Expect(errors.As(err, &noConn)).To(BeTrue(), "%v", err)

		// The peer restarts with a new incarnation and is dialed again.
		c := n.startPeer(g, "entry-2", secret)
		defer c.mesh.Close()
		c.handleForward = func(_ context.Context, m *peerwire.Forward) *peerwire.ForwardReply {
			return &peerwire.ForwardReply{Outcome: contract.OutcomeAnswered, Status: 201, Body: m.Body}
		}
		for i := range 10 {
			a.sendHeartbeat(g, uint64(i+2), "entry-2")
			time.Sleep(instance.HeartbeatInterval)
		}
		got, err := a.mesh.Forward(context.Background(), "entry-2", &peerwire.Forward{Body: []byte("refund")})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Status).To(Equal(201))
		g.Expect(string(got.Body)).To(Equal("refund"))
		answer, err := a.mesh.RequestColdLease(context.Background(), "entry-2", &peerwire.ColdLeaseRequest{Target: "t", Sequence: 9})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Verdict).To(Equal(peerwire.VerdictGranted))
		g.Expect(answer.Sequence).To(Equal(uint64(9)))
	}))

	// Guards against a slow peer that blocks request goroutines or makes the send
	// queue grow without limit.
	It("rejects messages to a peer that does not read", inSynctest(func(g *WithT, n *network) {
		a, b := n.startPeer(g, "entry-1", secret), n.startPeer(g, "entry-2", secret)
		defer a.mesh.Close()
		defer b.mesh.Close()
		release := make(chan struct{})
		blocking := &blockingHandler{testPeer: b, release: release}
		n.replaceListener(g, b, blocking)
		defer blocking.mesh.Close()
		defer close(release)
		a.sendHeartbeat(g, 1, "entry-2")
		synctest.Wait()
		start := time.Now()
		var overflow *peerwire.OverflowError
		var err error
		for range 64 {
			if err = a.mesh.Send("entry-2", &peerwire.ConfigState{State: make([]byte, 1<<20)}); err != nil {
				break
			}
		}
		g.Expect(errors.As(err, &overflow)).To(BeTrue(), "%v", err)
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(overflow.Queued).To(BeNumerically("<=", 2*(peerwire.MaxFrameBytes+4)))
	}))
})

// blockingHandler blocks the reading goroutine at the first ConfigState.
type blockingHandler struct {
	*testPeer
	mesh    *peerwire.Mesh
	release chan struct{}
}

func (h *blockingHandler) ConfigState(peerwire.Identity, *peerwire.ConfigState) { <-h.release }

// replaceListener starts a second mesh with another handler at the address of a
// peer.
func (n *network) replaceListener(g *WithT, p *testPeer, handler *blockingHandler) {
	key, err := peerwire.NewKey([]byte(secret))
	g.Expect(err).NotTo(HaveOccurred())
	handler.mesh = peerwire.NewMesh(peerwire.Options{
		Self: p.identity, Key: key, Listener: n.listen(p.identity.ID), Handler: handler, Random: func() uint64 { return 1 }, Dial: n.dial,
	})
	handler.mesh.Start()
}
