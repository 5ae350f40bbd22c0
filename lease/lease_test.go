package lease_test

import (
	"container/heap"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/lease"
)

const (
	maxRun     = 300 * time.Millisecond
	targetName = "orders-1"
)

// model simulates several instances in virtual time. Messages are delayed or
// lost, instances freeze and resume, and each sends to the target whenever its
// lease is valid directly before the write.
type model struct {
	now        time.Time
	events     events
	nodes      []*node
	executions []execution
	draw       *rapid.T
	sequence   int // of the last scheduled event
}

type node struct {
	self        lease.Participant
	granter     *lease.Granter
	requester   *lease.Requester
	frozenUntil time.Time
}

// execution is the execution of one request on the target.
type execution struct {
	by         string
	start, end time.Time
}

type event struct {
	at       time.Time
	sequence int
	node     *node // handles the event; nil for an event of the model itself
	handle   func()
}

// events is a heap ordered by time and, for equal times, by sequence number.
type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// after schedules an event of a node.
func (m *model) after(d time.Duration, n *node, handle func()) {
	m.sequence++
	heap.Push(&m.events, &event{at: m.now.Add(d), sequence: m.sequence, node: n, handle: handle})
}

// drawMillis draws a duration of 0 to maxMillis ms.
func (m *model) drawMillis(label string, maxMillis int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMillis).Draw(m.draw, label)) * time.Millisecond
}

// send delivers a message with a delay, or loses it.
func (m *model) send(to *node, handle func()) {
	if rapid.IntRange(0, 9).Draw(m.draw, "lost") == 0 {
		return
	}
	m.after(m.drawMillis("delay", 900), to, handle)
}

func (m *model) find(self lease.Participant) *node {
	for _, n := range m.nodes {
		if n.self == self {
			return n
		}
	}
	return nil
}

// tick is the periodic step of a node: it renews the lease if necessary and
// sends a request if it may.
func (m *model) tick(n *node) {
	m.after(50*time.Millisecond+m.drawMillis("tick", 200), n, func() { m.tick(n) })
	if n.requester.Due(m.now) && n.granter.HandleRequest(m.now, n.requester.NextRequest(), n.self, maxRun) == lease.ReplyGranted {
		var peers []lease.Participant
		for _, p := range m.nodes {
			if p != n {
				peers = append(peers, p.self)
			}
		}
		for _, request := range n.requester.BeginRound(m.now, peers) {
			m.requestLease(n, m.find(request.To), request)
		}
	}
	m.trySend(n)
}

// requestLease sends a request for the lease and handles the reply to it.
func (m *model) requestLease(from, to *node, request lease.Request) {
	m.send(to, func() {
		reply := to.granter.HandleRequest(m.now, request, from.self, maxRun)
		m.send(from, func() {
			random := rapid.Uint64().Draw(m.draw, "backoff")
			if from.requester.HandleReply(m.now, to.self, request.Round, reply, random) {
				m.release(from, from.requester.Abandon())
			}
		})
	})
}

// release sends a release to all nodes once no request of the node can be in
// flight.
func (m *model) release(n *node, request lease.Request) {
	m.after(maxRun, n, func() {
		for _, p := range m.nodes {
			m.send(p, func() { p.granter.Release(request, n.self) })
		}
	})
}

// trySend executes a request on the target if the node holds the lease.
func (m *model) trySend(n *node) {
	if m.now.Before(n.requester.ExpiresAt()) {
		duration := min(m.drawMillis("run", 300), maxRun)
		m.executions = append(m.executions, execution{by: n.self.Instance, start: m.now, end: m.now.Add(duration)})
	}
}

// findOverlap describes two simultaneous executions for different instances, or
// returns "" if there are none.
func (m *model) findOverlap() string {
	for i, a := range m.executions {
		for _, b := range m.executions[i+1:] {
			if a.by != b.by && a.start.Before(b.end) && b.start.Before(a.end) {
				return fmt.Sprintf("a request of %s ran from %s to %s, one of %s from %s to %s", a.by, a.start.Format("05.000"), a.end.Format("05.000"), b.by, b.start.Format("05.000"), b.end.Format("05.000"))
			}
		}
	}
	return ""
}

// simulate handles the events of the given duration.
func (m *model) simulate(duration time.Duration) {
	end := m.now.Add(duration)
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(*event)
		if next.at.After(end) {
			return
		}
		m.now = next.at
		if next.node != nil && m.now.Before(next.node.frozenUntil) {
			// A frozen process handles its events when it resumes.
			next.at = next.node.frozenUntil
			heap.Push(&m.events, next)
			continue
		}
		next.handle()
	}
}

func newModel(draw *rapid.T, count int) *model {
	m := &model{now: time.Unix(0, 0), draw: draw}
	for i := range count {
		self := lease.Participant{Instance: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1)}
		n := &node{self: self, granter: lease.NewGranter(), requester: lease.NewRequester(self, targetName)}
		m.nodes = append(m.nodes, n)
		m.after(m.drawMillis("start", 500), n, func() { m.tick(n) })
	}
	return m
}

var _ = Describe("Lease", func() {
	// Guards against two instances that send to a cold target at the same time
	// when messages are lost or delayed and lease holders freeze.
	It("is never used by two instances at once", func() {
		total := 0
		rapid.Check(GinkgoT(), func(draw *rapid.T) {
			m := newModel(draw, rapid.IntRange(2, 5).Draw(draw, "instances"))
			for i := range rapid.IntRange(0, 4).Draw(draw, "freezes") {
				n := m.nodes[i%len(m.nodes)]
				m.after(m.drawMillis("freeze at", 8000), nil, func() { n.frozenUntil = m.now.Add(m.drawMillis("freeze", 6000)) })
			}
			m.simulate(10 * time.Second)
			total += len(m.executions)
			if overlap := m.findOverlap(); overlap != "" {
				draw.Fatal(overlap)
			}
		})
		// The check is meaningless if no instance ever acquires the lease.
		Expect(total).To(BeNumerically(">", 100))
	})

	// Guards against a lease that outlasts the grants of the peers because of a
	// late reply.
	It("measures the term from the request, not from the last reply", func() {
		requester := lease.NewRequester(lease.Participant{Instance: "a", Incarnation: 1}, targetName)
		peer := lease.Participant{Instance: "b", Incarnation: 2}
		start := time.Unix(100, 0)
		requests := requester.BeginRound(start, []lease.Participant{peer})
		requester.HandleReply(start.Add(1900*time.Millisecond), peer, requests[0].Round, lease.ReplyGranted, 0)
		Expect(requester.ExpiresAt()).To(Equal(start.Add(lease.Term)))
	})

	// Guards against a target that gets no requests until the lease of a terminated
	// holder expires.
	It("is available immediately after the holder's process has ended", func() {
		granter := lease.NewGranter()
		a, b := lease.Participant{Instance: "a", Incarnation: 1}, lease.Participant{Instance: "b", Incarnation: 2}
		now := time.Unix(100, 0)
		request := lease.Request{Target: targetName, Round: 1}
		Expect(granter.HandleRequest(now, request, a, maxRun)).To(Equal(lease.ReplyGranted))
		Expect(granter.HandleRequest(now, request, b, maxRun)).To(Equal(lease.ReplyRefused))
		granter.Forget(a)
		Expect(granter.HandleRequest(now, request, b, maxRun)).To(Equal(lease.ReplyGranted))
	})

	// Guards against requests of the previous holder that are still in flight when
	// the next holder starts to send.
	It("is refused to others while requests of the previous holder may be in flight", func() {
		granter := lease.NewGranter()
		a, b := lease.Participant{Instance: "a", Incarnation: 1}, lease.Participant{Instance: "b", Incarnation: 2}
		requested := time.Unix(100, 0)
		request := lease.Request{Target: targetName, Round: 1}
		Expect(granter.HandleRequest(requested, request, a, maxRun)).To(Equal(lease.ReplyGranted))
		lastEnd := requested.Add(lease.Term + maxRun)
		Expect(granter.HandleRequest(lastEnd.Add(-time.Nanosecond), request, b, maxRun)).To(Equal(lease.ReplyRefused))
		Expect(granter.HandleRequest(lastEnd, request, b, maxRun)).To(Equal(lease.ReplyGranted))
	})

	// Guards against a request that arrives after the release of its round and
	// would block all other instances for a whole term.
	It("is refused to a request that arrives after its release", func() {
		granter := lease.NewGranter()
		a, b := lease.Participant{Instance: "a", Incarnation: 1}, lease.Participant{Instance: "b", Incarnation: 2}
		now := time.Unix(100, 0)
		second := lease.Request{Target: targetName, Round: 2}
		granter.Release(second, a)
		Expect(granter.HandleRequest(now, lease.Request{Target: targetName, Round: 1}, a, maxRun)).To(Equal(lease.ReplyRefused))
		Expect(granter.HandleRequest(now, second, a, maxRun)).To(Equal(lease.ReplyRefused))
		Expect(granter.HandleRequest(now, lease.Request{Target: targetName, Round: 1}, b, maxRun)).To(Equal(lease.ReplyGranted))
		granter.Release(lease.Request{Target: targetName, Round: 1}, b)
		Expect(granter.HandleRequest(now, lease.Request{Target: targetName, Round: 3}, a, maxRun)).To(Equal(lease.ReplyGranted))
	})

	// Guards against a proof that is older than the query and could refer to a
	// process that has ended since.
	It("proves warmth only by a request sent after the query", func() {
		prover := lease.NewProver()
		b := lease.Participant{Instance: "b", Incarnation: 2}
		queried := time.Unix(100, 0)
		earlier, later := queried.Add(-time.Millisecond), queried.Add(time.Millisecond)
		Expect(prover.Query(queried, targetName, b, 1, earlier)).To(BeFalse())
		Expect(prover.Query(later, targetName, b, 1, queried)).To(BeFalse())
		Expect(prover.Query(later, targetName, b, 2, later)).To(BeFalse(), "another generation is a new query")
		Expect(prover.Query(later, targetName, b, 2, later.Add(1))).To(BeTrue())
	})
})
