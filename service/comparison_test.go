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

// Parameters of the simulation: 12 servers with 2 slots and a queue each in 3
// zones, 7 instances with separate views, Poisson arrivals, and log-normal service
// times.
const (
	modelServers     = 12
	modelSlots       = 2
	modelInstances   = 7
	modelLoad        = 0.7                     // share of all slots that is busy on average
	modelMeanSeconds = 0.020                   // mean service time
	modelSigma       = 0.8                     // standard deviation of the logarithm of the service time
	modelSeconds     = 60.0                    // simulated time
	interZoneDelay   = 1500 * time.Microsecond // one-way latency between zones
)

// event is a function that the simulation calls at a virtual time.
type event struct {
	at  time.Time
	run func()
}

// events is a heap of events in order of time. It implements heap.Interface.
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

// server is a simulated server with a FIFO queue.
type server struct {
	zone     int
	running  []*call // at most modelSlots
	queue    []*call
	slowdown float64 // multiplier of service times
	down     bool
}

// call is a simulated request.
type call struct {
	arrived, sent time.Time
	serviceTime   float64 // in seconds, on an undisturbed server
	random        uint64
	instance      *instance
	server        *server
	delay         time.Duration // one-way latency to the server
	permit        target.Permit
	tried         service.Tried
	waiter        *service.Waiter
}

// instance is one instance of the load balancer.
type instance struct {
	zone    int
	service *service.Service
	targets []*target.Target
	waiting []*call
}

// model is a discrete-event simulation in virtual time.
type model struct {
	now       time.Time
	events    events
	servers   []*server
	instances []*instance
	latencies []float64 // milliseconds
}

// after schedules an event.
func (m *model) after(d time.Duration, run func()) { heap.Push(&m.events, event{m.now.Add(d), run}) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runModel runs the simulation with one policy. All random numbers are drawn from
// the seed before the policy is used, so that every policy is given the same
// requests and disturbances.
func runModel(seed uint64, policy func() service.Policy) *model {
	m := &model{now: time.Unix(1_000_000, 0)}
	for s := range modelServers {
		m.servers = append(m.servers, &server{zone: s % 3, slowdown: 1})
	}
	for i := range modelInstances {
		in := &instance{zone: i % 3, service: service.New("orders", 1000, 10, policy())}
		zones := []*zone.Zone{{RoundTrip: 2 * interZoneDelay}, {RoundTrip: 2 * interZoneDelay}, {RoundTrip: 2 * interZoneDelay}}
		zones[in.zone].RoundTrip = 0
		for s := range modelServers {
			in.targets = append(in.targets, warmTarget(strconv.Itoa(s), modelSlots))
			zones[s%3].Targets = append(zones[s%3].Targets, in.targets[s])
		}
		in.service.Replace(service.NewView(1, zones))
		m.instances = append(m.instances, in)
	}
	r := rand.New(rand.NewPCG(seed, 1))
	m.scheduleRequests(r)
	m.scheduleDisturbances(r)
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
	slices.Sort(m.latencies)
	return m
}

// quantile returns a quantile of the response times in milliseconds.
func (m *model) quantile(q float64) float64 {
	return m.latencies[int(q*float64(len(m.latencies)-1))]
}

// scheduleRequests schedules the arrivals of requests, the load reports, which are
// 50 to 200 ms old when they reach an instance, and periodic checks of the queues.
func (m *model) scheduleRequests(r *rand.Rand) {
	gap := modelMeanSeconds / (modelLoad * modelServers * modelSlots)
	for at := 0.0; at < modelSeconds; at += r.ExpFloat64() * gap {
		c := &call{
			arrived: m.now.Add(seconds(at)), random: r.Uint64(), instance: m.instances[r.IntN(modelInstances)],
			serviceTime: modelMeanSeconds * math.Exp(modelSigma*r.NormFloat64()-modelSigma*modelSigma/2),
		}
		m.after(seconds(at), func() { m.choose(c) })
	}
	for _, in := range m.instances {
		for i, s := range m.servers {
			for at := r.Float64() * 0.1; at < modelSeconds; at += 0.1 {
				age := seconds(0.05 + 0.15*r.Float64())
				m.after(seconds(at), func() {
					others := max(0, len(s.running)+len(s.queue)-in.targets[i].InFlight())
					m.after(age, func() { in.targets[i].ObservePeerLoad(m.now, float64(others)) })
				})
			}
		}
		for at := 0.0; at < modelSeconds; at += 0.01 {
			m.after(seconds(at), func() { m.wake(in) }) // no permit is released when a backoff ends
		}
	}
}

// scheduleDisturbances schedules noisy neighbors, which slow a server down
// threefold for 200 ms each, one server that is ten times slower from 10 s to
// 25 s, and one server that is down from 35 s to 50 s.
func (m *model) scheduleDisturbances(r *rand.Rand) {
	for _, s := range m.servers {
		for at := r.ExpFloat64() * 3; at < modelSeconds; at += 0.2 + r.ExpFloat64()*3 {
			m.after(seconds(at), func() { s.slowdown *= 3 })
			m.after(seconds(at+0.2), func() { s.slowdown /= 3 })
		}
	}
	slow, failing := m.servers[r.IntN(modelServers)], m.servers[r.IntN(modelServers)]
	m.after(10*time.Second, func() { slow.slowdown *= 10 })
	m.after(25*time.Second, func() { slow.slowdown /= 10 })
	m.after(35*time.Second, func() {
		failing.down = true
		for _, c := range append(failing.running, failing.queue...) {
			m.after(c.delay, func() { m.fail(c) })
		}
		failing.running, failing.queue = nil, nil
	})
	m.after(50*time.Second, func() { failing.down = false })
}

// choose sends a request to the target that its instance chooses, or queues it.
func (m *model) choose(c *call) {
	c.random = c.random*6364136223846793005 + 1442695040888963407
	permit, ok := c.instance.service.Choose(m.now, c.tried, c.random>>16)
	switch {
	case ok:
		if c.waiter != nil {
			c.instance.service.Queue.Served(c.waiter)
			c.waiter = nil
		}
		c.permit, c.server, c.sent, c.delay = permit, m.servers[slices.Index(c.instance.targets, permit.Target)], m.now, 0
		if c.instance.zone != c.server.zone {
			c.delay = interZoneDelay
		}
		m.after(c.delay, func() { m.arrive(c) })
		return
	case c.waiter == nil:
		c.waiter, _ = c.instance.service.Queue.JoinAt(m.now, service.QueueRequest{})
	default:
		c.instance.service.Queue.Rejoin(c.waiter)
	}
	c.instance.waiting = append(c.instance.waiting, c)
}

// arrive starts a request on its server, or queues it there.
func (m *model) arrive(c *call) {
	switch s := c.server; {
	case s.down:
		m.after(c.delay, func() { m.fail(c) })
	case len(s.running) < modelSlots:
		s.running = append(s.running, c)
		m.after(seconds(c.serviceTime*s.slowdown), func() { m.finish(c, s) })
	default:
		s.queue = append(s.queue, c)
	}
}

// finish completes a request, starts the next one on the server, and delivers the
// response.
func (m *model) finish(c *call, s *server) {
	i := slices.Index(s.running, c)
	if i < 0 {
		return // the server went down in the meantime
	}
	s.running = slices.Delete(s.running, i, i+1)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		m.arrive(next)
	}
	m.after(c.delay, func() {
		c.permit.Target.RecordResponse(m.now.Sub(c.sent))
		m.latencies = append(m.latencies, m.now.Sub(c.arrived).Seconds()*1000)
		c.permit.Release()
		m.wake(c.instance)
	})
}

// fail reports the failure of an attempt to the instance, which tries another
// target.
func (m *model) fail(c *call) {
	c.permit.Target.RecordFailure(m.now)
	c.tried = append(c.tried, c.permit.Target)
	c.permit.Release()
	m.wake(c.instance)
	m.choose(c)
}

// wake wakes one request in the queue of an instance and has it choose again.
func (m *model) wake(in *instance) {
	in.service.Queue.NotifyRelease(m.now)
	if i := slices.IndexFunc(in.waiting, func(c *call) bool { return isReady(c.waiter) }); i >= 0 {
		c := in.waiting[i]
		in.waiting = slices.Delete(in.waiting, i, i+1)
		m.choose(c)
	}
}
