package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/link"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

// Links holds the sets of links of all targets. Request goroutines read an
// immutable map; Follow, called by one goroutine, replaces it.
type Links struct {
	lessor   link.Lessor
	events   link.Events
	draining func(*target.Target)

	mu     sync.Mutex // held by Follow and Close, so that nothing starts after Close
	sets   atomic.Pointer[map[*target.Target]*runningSet]
	group  sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
}

type runningSet struct {
	*link.Set
	stop   context.CancelFunc
	agreed agreement
	demand *demand
}

// agreement is what the configuration says about the links of a target.
type agreement struct {
	cold   target.ColdTerms
	probes float64
}

func (a agreement) terms() link.Terms {
	return link.Terms{Cold: a.cold, Probes: target.NewProbeBudget(a.probes, a.cold.MaxInstances)}
}

// demand is that of the service which the target belongs to now. A service can
// be replaced while its targets stay.
type demand struct {
	service atomic.Pointer[service.Service]
}

func (d *demand) Wanted(now time.Time) bool { return d.service.Load().Wanted(now) }

func (d *demand) Ready() { d.service.Load().Ready() }

// NewLinks returns a holder without links. The function draining is told about
// targets that said they are leaving.
func NewLinks(lessor link.Lessor, events link.Events, draining func(*target.Target)) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{lessor: lessor, events: events, draining: draining, ctx: ctx, cancel: cancel}
	l.sets.Store(&map[*target.Target]*runningSet{})
	return l
}

// Set returns the links of a target, or nil if it gets no new work.
func (l *Links) Set(t *target.Target) *link.Set {
	if found := (*l.sets.Load())[t]; found != nil {
		return found.Set
	}
	return nil
}

// Draining reports that the process of the given generation of a target said
// that it is leaving. A later process may have taken its place since.
func (l *Links) Draining(t *target.Target, generation uint32) {
	if t.Transition(generation, target.StateLeaving, 0) {
		l.draining(t)
	}
}

// Follow opens links to the targets of a snapshot and closes those of targets
// that are not in it. Links in use are closed when their request has ended. The
// links that stay follow changes of their service. It has no effect after Close.
func (l *Links) Follow(snapshot *service.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	old := *l.sets.Load()
	wanted := snapshot.Targets()
	next := make(map[*target.Target]*runningSet, len(wanted))
	for t, name := range wanted {
		if kept := old[t]; kept != nil {
			next[t] = kept
			kept.follow(name, snapshot)
			continue
		}
		next[t] = l.start(t, name, snapshot)
	}
	l.sets.Store(&next)
	for t, running := range old {
		if next[t] == nil {
			running.stop()
		}
	}
}

func (l *Links) start(t *target.Target, name string, snapshot *service.Snapshot) *runningSet {
	ctx, stop := context.WithCancel(l.ctx)
	running := &runningSet{stop: stop, agreed: agreed(name, snapshot), demand: &demand{}}
	owner, _ := snapshot.Service(name)
	running.demand.service.Store(owner)
	running.Set = link.NewSet(t, running.agreed.terms(), link.Surroundings{Lessor: l.lessor, Demand: running.demand, Events: l.events})
	l.group.Go(func() { running.Run(ctx) })
	return running
}

// follow takes over a service or terms that have changed. Terms that have not
// changed are kept, with what was spent of the budget for probes.
func (r *runningSet) follow(name string, snapshot *service.Snapshot) {
	owner, _ := snapshot.Service(name)
	r.demand.service.Store(owner)
	if next := agreed(name, snapshot); next != r.agreed {
		r.agreed = next
		r.SetTerms(next.terms())
	}
}

func agreed(name string, snapshot *service.Snapshot) agreement {
	configuration := snapshot.State.Config
	spec, _ := configuration.Service(name)
	return agreement{
		cold: target.ColdTerms{
			Bears:        spec.ColdStart.Bears,
			Duration:     spec.ColdStart.Duration(),
			Answers:      spec.ColdStart.Answers,
			MaxInstances: configuration.MaxInstances,
		},
		probes: configuration.Measuring.ProbesPerSecond,
	}
}

// Close closes all links and waits until their goroutines have ended.
func (l *Links) Close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.group.Wait()
}
