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
	// inBubble runs a spec in virtual time. At its end synctest reports every
	// goroutine that Close has not ended.
	inBubble := func(spec func(g *WithT, n *network)) func() {
		return func() {
			synctest.Test(suiteT, func(t *testing.T) {
				spec(NewWithT(t), &network{lines: map[string]*line{}})
			})
		}
	}
	// beats sends heartbeats both ways for a while.
	beats := func(g *WithT, a, b *host, rounds int) {
		for i := range rounds {
			a.beat(g, uint64(i+1), b.id.ID)
			b.beat(g, uint64(i+1), a.id.ID)
			time.Sleep(instance.HeartbeatInterval)
		}
	}

	// Guards against two connections between two instances that dial each other
	// at once, and against heartbeats without the sender's identity.
	It("keeps one connection per pair and delivers heartbeats", inBubble(func(g *WithT, n *network) {
		a, b := n.start(g, "entry-1", secret), n.start(g, "entry-2", secret)
		defer a.mesh.Close()
		defer b.mesh.Close()
		beats(g, a, b, 40)
		g.Expect(b.beats.Load()).To(BeNumerically(">=", 38))
		from := b.last.Load().From
		g.Expect(from.ID).To(Equal("entry-1"))
		g.Expect(from.Incarnation).To(Equal(a.id.Incarnation))
		g.Expect(from.Epoch).To(Equal(uint64(4)))
		open := 0
		n.each(func(w *wire) {
			if w.SetDeadline(time.Time{}) == nil {
				open++
			}
		})
		g.Expect(open).To(Equal(1))
		g.Expect(a.broken.Load() + b.broken.Load()).To(BeZero())
		stats := a.mesh.Stats()
		g.Expect(stats.BytesSent).To(BeNumerically(">", 38*10))
		g.Expect(stats.FramesReceived).To(BeNumerically(">=", 38))
	}))

	// Guards against two ends that each keep another one of two connections and
	// so lose both. Random pauses vary who is first.
	It("settles on one connection when many pairs dial each other at once", inBubble(func(g *WithT, n *network) {
		n.jitter = true
		var hosts []*host
		var ids []string
		for i := range 8 {
			ids = append(ids, fmt.Sprintf("entry-%d", i))
			hosts = append(hosts, n.start(g, ids[i], secret))
			defer hosts[i].mesh.Close()
		}
		for round := range 60 {
			for _, h := range hosts {
				h.beat(g, uint64(round+1), slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == h.id.ID })...)
			}
			time.Sleep(instance.HeartbeatInterval)
		}
		open, broken := 0, int64(0)
		n.each(func(w *wire) {
			if w.SetDeadline(time.Time{}) == nil {
				open++
			}
		})
		for _, h := range hosts {
			broken += h.broken.Load()
			g.Expect(h.beats.Load()).To(BeNumerically(">=", 7*58))
		}
		g.Expect(open).To(Equal(8 * 7 / 2))
		g.Expect(len(n.wires)).To(BeNumerically(">", open), "no pair dialed from both ends")
		g.Expect(broken).To(BeZero())
	}))

	// Guards against strangers on the network joining the instances.
	It("refuses a peer with another key", inBubble(func(g *WithT, n *network) {
		a, b := n.start(g, "entry-1", secret), n.start(g, "entry-2", "another key of enough bytes")
		defer a.mesh.Close()
		defer b.mesh.Close()
		a.beat(g, 1, "entry-2")
		_, err := a.mesh.AskCold(context.Background(), "entry-2", &peerwire.ColdAsk{Target: "t"})
		var none *peerwire.NoConnectionError
		g.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
		g.Expect(err.Error()).NotTo(ContainSubstring(secret))
		beats(g, a, b, 10)
		g.Expect(a.mesh.Connected("entry-2") || b.mesh.Connected("entry-1")).To(BeFalse())
		g.Expect(a.beats.Load() + b.beats.Load() + a.connected.Load() + b.connected.Load()).To(BeZero())
		g.Expect(b.mesh.Stats().Refused).To(BeNumerically(">", 0))
	}))

	// Guards against a connection that swallows everything cutting a pair off
	// while new connections work.
	It("replaces a silent connection within 3 s and fails what waits on it", inBubble(func(g *WithT, n *network) {
		a, b := n.start(g, "entry-1", secret), n.start(g, "entry-2", secret)
		defer a.mesh.Close()
		defer b.mesh.Close()
		b.run = func(ctx context.Context, _ *peerwire.Forward) *peerwire.ForwardReply {
			<-ctx.Done()
			return &peerwire.ForwardReply{}
		}
		beats(g, a, b, 10)
		failed := make(chan error, 1)
		go func() {
			_, err := a.mesh.Forward(context.Background(), "entry-2", &peerwire.Forward{Method: "POST"})
			failed <- err
		}()
		synctest.Wait()
		n.each(func(w *wire) { w.cut.Store(true) })
		beats(g, a, b, 6)
		var lost *peerwire.LostError
		g.Expect(errors.As(<-failed, &lost)).To(BeTrue())
		before := b.beats.Load()
		beats(g, a, b, 4)
		g.Expect(b.beats.Load()).To(BeNumerically(">=", before+4))
		g.Expect(a.mesh.Stats().Replaced + b.mesh.Stats().Replaced).To(BeNumerically(">=", 1))
		g.Expect(a.broken.Load()+b.broken.Load()).To(BeZero(), "the peers never lost each other")
	}))

	// Guards against taking a connection for silent because only one side has
	// something to send, as between instances on a large ring.
	It("keeps a connection that is used in one direction", inBubble(func(g *WithT, n *network) {
		a, b := n.start(g, "entry-1", secret), n.start(g, "entry-2", secret)
		defer a.mesh.Close()
		defer b.mesh.Close()
		for i := range 60 {
			a.beat(g, uint64(i+1), "entry-2")
			time.Sleep(instance.HeartbeatInterval)
		}
		g.Expect(a.mesh.Stats().Opened).To(Equal(uint64(1)))
		// An unwanted connection is closed on purpose and is not a failure.
		a.beat(g, 61)
		time.Sleep(2 * time.Minute)
		g.Expect(a.mesh.Connected("entry-2") || b.mesh.Connected("entry-1")).To(BeFalse())
		g.Expect(a.broken.Load() + b.broken.Load()).To(BeZero())
	}))

	// Guards against a request goroutine that waits for its deadline although
	// the owner of its key is gone.
	It("returns a typed error at once when the connection is lost", inBubble(func(g *WithT, n *network) {
		a, b := n.start(g, "entry-1", secret), n.start(g, "entry-2", secret)
		defer a.mesh.Close()
		running := make(chan struct{})
		b.run = func(ctx context.Context, _ *peerwire.Forward) *peerwire.ForwardReply {
			close(running)
			<-ctx.Done()
			return &peerwire.ForwardReply{}
		}
		a.beat(g, 1, "entry-2")
		failed := make(chan error, 1)
		go func() {
			_, err := a.mesh.Forward(context.Background(), "entry-2", &peerwire.Forward{Method: "POST"})
			failed <- err
		}()
		<-running
		start := time.Now()
		b.mesh.Close()
		var lost *peerwire.LostError
		g.Expect(errors.As(<-failed, &lost)).To(BeTrue())
		g.Expect(time.Since(start)).To(BeZero())
		synctest.Wait()
		g.Expect(a.broken.Load()).To(Equal(int64(1)))
		_, err := a.mesh.Forward(context.Background(), "entry-2", &peerwire.Forward{Method: "POST"})
		var none *peerwire.NoConnectionError
		g.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)

		// The peer comes back as another incarnation and is dialed again.
		c := n.start(g, "entry-2", secret)
		defer c.mesh.Close()
		c.run = func(_ context.Context, m *peerwire.Forward) *peerwire.ForwardReply {
			return &peerwire.ForwardReply{Outcome: contract.OutcomeAnswered, Status: 201, Body: m.Body}
		}
		for i := range 10 {
			a.beat(g, uint64(i+2), "entry-2")
			time.Sleep(instance.HeartbeatInterval)
		}
		got, err := a.mesh.Forward(context.Background(), "entry-2", &peerwire.Forward{Body: []byte("refund")})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Status).To(Equal(201))
		g.Expect(string(got.Body)).To(Equal("refund"))
		answer, err := a.mesh.AskCold(context.Background(), "entry-2", &peerwire.ColdAsk{Target: "t", Sequence: 9})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Verdict).To(Equal(peerwire.VerdictGranted))
		g.Expect(answer.Sequence).To(Equal(uint64(9)))
	}))

	// Guards against a slow peer blocking request goroutines or holding memory
	// without bound.
	It("refuses messages to a peer that does not read", inBubble(func(g *WithT, n *network) {
		a, b := n.start(g, "entry-1", secret), n.start(g, "entry-2", secret)
		defer a.mesh.Close()
		defer b.mesh.Close()
		release := make(chan struct{})
		blocking := &blockingHandler{host: b, release: release}
		n.listenAgain(g, b, blocking)
		defer blocking.mesh.Close()
		defer close(release)
		a.beat(g, 1, "entry-2")
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
		g.Expect(overflow.Queued).To(BeNumerically("<=", 2*(peerwire.MaxFrame+4)))
	}))
})

// blockingHandler stops reading at the first configuration.
type blockingHandler struct {
	*host
	mesh    *peerwire.Mesh
	release chan struct{}
}

func (h *blockingHandler) ConfigState(peerwire.Identity, *peerwire.ConfigState) { <-h.release }

// listenAgain takes the address of a host over with another handler.
func (n *network) listenAgain(g *WithT, h *host, handler *blockingHandler) {
	key, err := peerwire.NewKey([]byte(secret))
	g.Expect(err).NotTo(HaveOccurred())
	handler.mesh = peerwire.NewMesh(peerwire.Options{
		Self: h.id, Key: key, Listener: n.listen(h.id.ID), Handler: handler, Random: func() uint64 { return 1 }, Dial: n.dial,
	})
}
