package service_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

// The model: 12 servers with 2 slots and a queue in 3 zones, 7 instances with
// views of their own, Poisson arrivals, log-normal service times.
const (
	modelServers   = 12
	modelSlots     = 2
	modelInstances = 7
	modelLoad      = 0.7
	modelMean      = 0.020 // seconds
	modelSigma     = 0.8
	modelLength    = 60.0                    // seconds
	oneWay         = 1500 * time.Microsecond // between zones
)

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type server struct {
	zone    int
	running []*call // at most modelSlots
	queue   []*call
	factor  float64 // service time is multiplied by it
	lost    bool
}

type call struct {
	arrived, sent time.Time
	work          float64 // seconds
	random        uint64
	entry         *entry
	server        *server
	away          time.Duration // one way to the server
	permit        target.Permit
	tried         service.Tried
	waiter        *service.Waiter
}

type entry struct {
	zone    int
	service *service.Service
	targets []*target.Target
	waiting []*call
}

type model struct {
	now       time.Time
	queue     events
	servers   []*server
	entries   []*entry
	latencies []float64 // milliseconds
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.queue, event{m.now.Add(d), run}) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runModel runs one model. All random numbers are drawn from the seed before the
// policy acts, so that every policy meets the same work and disturbances.
func runModel(seed uint64, policy func() service.Policy) *model {
	m := &model{now: time.Unix(1_000_000, 0)}
	for s := range modelServers {
		m.servers = append(m.servers, &server{zone: s % 3, factor: 1})
	}
	for i := range modelInstances {
		e := &entry{zone: i % 3, service: service.New("orders", 1000, 10, policy())}
		zones := []*zone.Zone{{RoundTrip: 2 * oneWay}, {RoundTrip: 2 * oneWay}, {RoundTrip: 2 * oneWay}}
		zones[e.zone].RoundTrip = 0
		for s := range modelServers {
			e.targets = append(e.targets, warm(strconv.Itoa(s), modelSlots))
			zones[s%3].Targets = append(zones[s%3].Targets, e.targets[s])
		}
		e.service.Replace(service.NewView(1, zones))
		m.entries = append(m.entries, e)
	}
	r := rand.New(rand.NewPCG(seed, 1))
	m.schedule(r)
	m.disturb(r)
	for len(m.queue) > 0 {
		next := heap.Pop(&m.queue).(event)
		m.now = next.at
		next.run()
	}
	slices.Sort(m.latencies)
	return m
}

func (m *model) quantile(q float64) float64 {
	return m.latencies[int(q*float64(len(m.latencies)-1))]
}

// schedule draws the arrivals and the load reports, which are 50 to 200 ms old
// when they arrive.
func (m *model) schedule(r *rand.Rand) {
	gap := modelMean / (modelLoad * modelServers * modelSlots)
	for at := 0.0; at < modelLength; at += r.ExpFloat64() * gap {
		c := &call{
			arrived: m.now.Add(seconds(at)), random: r.Uint64(), entry: m.entries[r.IntN(modelInstances)],
			work: modelMean * math.Exp(modelSigma*r.NormFloat64()-modelSigma*modelSigma/2),
		}
		m.after(seconds(at), func() { m.choose(c) })
	}
	for _, e := range m.entries {
		for i, s := range m.servers {
			for at := r.Float64() * 0.1; at < modelLength; at += 0.1 {
				stale := seconds(0.05 + 0.15*r.Float64())
				m.after(seconds(at), func() {
					others := max(0, len(s.running)+len(s.queue)-e.targets[i].InFlight())
					m.after(stale, func() { e.targets[i].ReportPeers(m.now, float64(others)) })
				})
			}
		}
		for at := 0.0; at < modelLength; at += 0.01 {
			m.after(seconds(at), func() { m.wake(e) }) // the end of a backoff releases no permit
		}
	}
}

// disturb draws noisy neighbors, one server that slows tenfold from 10 s to
// 25 s, and one that is lost from 35 s to 50 s.
func (m *model) disturb(r *rand.Rand) {
	for _, s := range m.servers {
		for at := r.ExpFloat64() * 3; at < modelLength; at += 0.2 + r.ExpFloat64()*3 {
			m.after(seconds(at), func() { s.factor *= 3 })
			m.after(seconds(at+0.2), func() { s.factor /= 3 })
		}
	}
	slow, lost := m.servers[r.IntN(modelServers)], m.servers[r.IntN(modelServers)]
	m.after(10*time.Second, func() { slow.factor *= 10 })
	m.after(25*time.Second, func() { slow.factor /= 10 })
	m.after(35*time.Second, func() {
		lost.lost = true
		for _, c := range append(lost.running, lost.queue...) {
			m.after(c.away, func() { m.fail(c) })
		}
		lost.running, lost.queue = nil, nil
	})
	m.after(50*time.Second, func() { lost.lost = false })
}

func (m *model) choose(c *call) {
	c.random = c.random*6364136223846793005 + 1442695040888963407
	permit, ok := c.entry.service.Choose(m.now, c.tried, c.random>>16)
	switch {
	case ok:
		if c.waiter != nil {
			c.entry.service.Queue.Taken(c.waiter)
			c.waiter = nil
		}
		c.permit, c.server, c.sent, c.away = permit, m.servers[slices.Index(c.entry.targets, permit.Target)], m.now, 0
		if c.entry.zone != c.server.zone {
			c.away = oneWay
		}
		m.after(c.away, func() { m.arrive(c) })
		return
	case c.waiter == nil:
		c.waiter, _ = c.entry.service.Queue.JoinAt(m.now, service.Demand{})
	default:
		c.entry.service.Queue.Rejoin(c.waiter)
	}
	c.entry.waiting = append(c.entry.waiting, c)
}

func (m *model) arrive(c *call) {
	switch s := c.server; {
	case s.lost:
		m.after(c.away, func() { m.fail(c) })
	case len(s.running) < modelSlots:
		s.running = append(s.running, c)
		m.after(seconds(c.work*s.factor), func() { m.finish(c, s) })
	default:
		s.queue = append(s.queue, c)
	}
}

func (m *model) finish(c *call, s *server) {
	place := slices.Index(s.running, c)
	if place < 0 {
		return // the server was lost meanwhile
	}
	s.running = slices.Delete(s.running, place, place+1)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		m.arrive(next)
	}
	m.after(c.away, func() {
		c.permit.Target.Answered(m.now.Sub(c.sent))
		m.latencies = append(m.latencies, m.now.Sub(c.arrived).Seconds()*1000)
		c.permit.Release()
		m.wake(c.entry)
	})
}

func (m *model) fail(c *call) {
	c.permit.Target.Failed(m.now)
	c.tried = append(c.tried, c.permit.Target)
	c.permit.Release()
	m.wake(c.entry)
	m.choose(c)
}

// wake releases the queue of an instance once and lets the woken call choose.
func (m *model) wake(e *entry) {
	e.service.Queue.Released(m.now)
	if i := slices.IndexFunc(e.waiting, func(c *call) bool { return ready(c.waiter) }); i >= 0 {
		c := e.waiting[i]
		e.waiting = slices.Delete(e.waiting, i, i+1)
		m.choose(c)
	}
}
