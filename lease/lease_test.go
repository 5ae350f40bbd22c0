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

// model drives several instances in virtual time. Messages are delayed or lost,
// instances freeze and wake, and each sends to the target whenever its lease
// allows it directly before the write.
type model struct {
	now    time.Time
	events events
	nodes  []*node
	runs   []run
	draw   *rapid.T
	serial int
}

type node struct {
	self    lease.Holder
	granter *lease.Granter
	asker   *lease.Asker
	frozen  time.Time // until
}

type run struct {
	by         string
	start, end time.Time
}

type event struct {
	at     time.Time
	serial int
	node   *node
	do     func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
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

func (m *model) after(d time.Duration, n *node, do func()) {
	m.serial++
	heap.Push(&m.events, &event{at: m.now.Add(d), serial: m.serial, node: n, do: do})
}

func (m *model) ms(label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(m.draw, label)) * time.Millisecond
}

// send delivers a message late or never.
func (m *model) send(to *node, do func()) {
	if rapid.IntRange(0, 9).Draw(m.draw, "lost") == 0 {
		return
	}
	m.after(m.ms("delay", 900), to, do)
}

func (m *model) find(h lease.Holder) *node {
	for _, n := range m.nodes {
		if n.self == h {
			return n
		}
	}
	return nil
}

func (m *model) tick(n *node) {
	m.after(50*time.Millisecond+m.ms("tick", 200), n, func() { m.tick(n) })
	if n.asker.Due(m.now) && n.granter.Ask(m.now, n.asker.Next(), n.self, maxRun) == lease.ReplyGranted {
		var peers []lease.Holder
		for _, p := range m.nodes {
			if p != n {
				peers = append(peers, p.self)
			}
		}
		for _, request := range n.asker.Begin(m.now, peers) {
			m.ask(n, m.find(request.To), request)
		}
	}
	m.trySend(n)
}

func (m *model) ask(from, to *node, request lease.Request) {
	m.send(to, func() {
		reply := to.granter.Ask(m.now, request, from.self, maxRun)
		m.send(from, func() {
			random := rapid.Uint64().Draw(m.draw, "backoff")
			if from.asker.Answered(m.now, to.self, request.Round, reply, random) {
				m.release(from, from.asker.Drop())
			}
		})
	})
}

// release waits until no work of the node can run any more.
func (m *model) release(n *node, request lease.Request) {
	m.after(maxRun, n, func() {
		for _, p := range m.nodes {
			m.send(p, func() { p.granter.Release(request, n.self) })
		}
	})
}

func (m *model) trySend(n *node) {
	if m.now.Before(n.asker.Until()) {
		length := min(m.ms("run", 300), maxRun)
		m.runs = append(m.runs, run{by: n.self.Instance, start: m.now, end: m.now.Add(length)})
	}
}

func (m *model) overlap() string {
	for i, a := range m.runs {
		for _, b := range m.runs[i+1:] {
			if a.by != b.by && a.start.Before(b.end) && b.start.Before(a.end) {
				return fmt.Sprintf("%s ran from %s to %s, %s from %s to %s", a.by, a.start.Format("05.000"), a.end.Format("05.000"), b.by, b.start.Format("05.000"), b.end.Format("05.000"))
			}
		}
	}
	return ""
}

func (m *model) play(length time.Duration) {
	end := m.now.Add(length)
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(*event)
		if next.at.After(end) {
			return
		}
		m.now = next.at
		if next.node != nil && m.now.Before(next.node.frozen) {
			// A frozen process handles its events when it wakes.
			next.at = next.node.frozen
			heap.Push(&m.events, next)
			continue
		}
		next.do()
	}
}

func newModel(draw *rapid.T, count int) *model {
	m := &model{now: time.Unix(0, 0), draw: draw}
	for i := range count {
		self := lease.Holder{Instance: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1)}
		n := &node{self: self, granter: lease.NewGranter(), asker: lease.NewAsker(self, targetName)}
		m.nodes = append(m.nodes, n)
		m.after(m.ms("start", 500), n, func() { m.tick(n) })
	}
	return m
}

var _ = Describe("Lease", func() {
	// Guards against two instances that send to a cold target at the same time,
	// under lost and late messages and frozen holders.
	It("is never used by two instances at once", func() {
		used := 0
		rapid.Check(GinkgoT(), func(draw *rapid.T) {
			m := newModel(draw, rapid.IntRange(2, 5).Draw(draw, "instances"))
			for i := range rapid.IntRange(0, 4).Draw(draw, "freezes") {
				n := m.nodes[i%len(m.nodes)]
				m.after(m.ms("freeze at", 8000), nil, func() { n.frozen = m.now.Add(m.ms("freeze", 6000)) })
			}
			m.play(10 * time.Second)
			used += len(m.runs)
			if clash := m.overlap(); clash != "" {
				draw.Fatal(clash)
			}
		})
		// A model in which nobody ever gets the lease would prove nothing.
		Expect(used).To(BeNumerically(">", 100))
	})

	// Guards against a lease that outlives its term because of a late reply.
	It("counts the term from the request, not from the last reply", func() {
		asker := lease.NewAsker(lease.Holder{Instance: "a", Incarnation: 1}, targetName)
		peer := lease.Holder{Instance: "b", Incarnation: 2}
		start := time.Unix(100, 0)
		requests := asker.Begin(start, []lease.Holder{peer})
		asker.Answered(start.Add(1900*time.Millisecond), peer, requests[0].Round, lease.ReplyGranted, 0)
		Expect(asker.Until()).To(Equal(start.Add(lease.Term)))
	})

	// Guards against a target that stays without a home after its holder died.
	It("is free at once when the holder's process has ended", func() {
		granter := lease.NewGranter()
		a, b := lease.Holder{Instance: "a", Incarnation: 1}, lease.Holder{Instance: "b", Incarnation: 2}
		now := time.Unix(100, 0)
		request := lease.Request{Target: targetName, Round: 1}
		Expect(granter.Ask(now, request, a, maxRun)).To(Equal(lease.ReplyGranted))
		Expect(granter.Ask(now, request, b, maxRun)).To(Equal(lease.ReplyRefused))
		granter.Gone(a)
		Expect(granter.Ask(now, request, b, maxRun)).To(Equal(lease.ReplyGranted))
	})

	// Guards against work of an old holder that still runs when the next one starts.
	It("is not given away while work of the last holder may run", func() {
		granter := lease.NewGranter()
		a, b := lease.Holder{Instance: "a", Incarnation: 1}, lease.Holder{Instance: "b", Incarnation: 2}
		asked := time.Unix(100, 0)
		request := lease.Request{Target: targetName, Round: 1}
		Expect(granter.Ask(asked, request, a, maxRun)).To(Equal(lease.ReplyGranted))
		lastEnd := asked.Add(lease.Term + maxRun)
		Expect(granter.Ask(lastEnd.Add(-time.Nanosecond), request, b, maxRun)).To(Equal(lease.ReplyRefused))
		Expect(granter.Ask(lastEnd, request, b, maxRun)).To(Equal(lease.ReplyGranted))
	})

	// Guards against a request that arrives after its own release and then keeps
	// the target from all others for a whole term.
	It("does not consent to a request that its release has overtaken", func() {
		granter := lease.NewGranter()
		a, b := lease.Holder{Instance: "a", Incarnation: 1}, lease.Holder{Instance: "b", Incarnation: 2}
		now := time.Unix(100, 0)
		second := lease.Request{Target: targetName, Round: 2}
		granter.Release(second, a)
		Expect(granter.Ask(now, lease.Request{Target: targetName, Round: 1}, a, maxRun)).To(Equal(lease.ReplyRefused))
		Expect(granter.Ask(now, second, a, maxRun)).To(Equal(lease.ReplyRefused))
		Expect(granter.Ask(now, lease.Request{Target: targetName, Round: 1}, b, maxRun)).To(Equal(lease.ReplyGranted))
		granter.Release(lease.Request{Target: targetName, Round: 1}, b)
		Expect(granter.Ask(now, lease.Request{Target: targetName, Round: 3}, a, maxRun)).To(Equal(lease.ReplyGranted))
	})

	// Guards against a proof from before the question, which could refer to a
	// process that has ended since.
	It("proves warmth only by a request sent after the question", func() {
		prover := lease.NewProver()
		b := lease.Holder{Instance: "b", Incarnation: 2}
		asked := time.Unix(100, 0)
		earlier, later := asked.Add(-time.Millisecond), asked.Add(time.Millisecond)
		Expect(prover.Ask(asked, targetName, b, 1, earlier)).To(BeFalse())
		Expect(prover.Ask(later, targetName, b, 1, asked)).To(BeFalse())
		Expect(prover.Ask(later, targetName, b, 2, later)).To(BeFalse(), "another generation is another question")
		Expect(prover.Ask(later, targetName, b, 2, later.Add(1))).To(BeTrue())
	})
})
