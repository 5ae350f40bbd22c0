package exchange

import (
	"context"
	"sync"
	"sync/atomic"

	"fulmarhoist.example/link"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

// Links holds the link sets of all targets. Request goroutines read an immutable
// map; Follow, which must be called by one goroutine only, replaces it.
type Links struct {
	lessor     link.Lessor
	events     link.Events
	onDraining func(*target.Target)

	mu     sync.Mutex // held by Follow and Close, so that no link set starts after Close
	sets   atomic.Pointer[map[*target.Target]*runningSet]
	wg     sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
}

// runningSet is a link set with the function that stops its goroutine.
type runningSet struct {
	*link.Set
	stop context.CancelFunc
}

// NewLinks returns a Links without link sets. The function draining is called
// with each target that has announced that it is leaving.
func NewLinks(lessor link.Lessor, events link.Events, draining func(*target.Target)) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{lessor: lessor, events: events, onDraining: draining, ctx: ctx, cancel: cancel}
	l.sets.Store(&map[*target.Target]*runningSet{})
	return l
}

// Set returns the link set of a target, or nil if it gets no new requests.
func (l *Links) Set(t *target.Target) *link.Set {
	if found := (*l.sets.Load())[t]; found != nil {
		return found.Set
	}
	return nil
}

// MarkDraining marks a target as leaving because its process of the given
// generation has announced it. It has no effect if a later process has taken
// its place.
func (l *Links) MarkDraining(t *target.Target, generation uint32) {
	if t.MarkLeaving(generation) {
		l.onDraining(t)
	}
}

// Follow opens links to the targets of a snapshot and closes those to targets
// that are not in it; links in use are closed at the end of their request. It
// applies changed service settings to the remaining links. After Close it has no
// effect.
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
			kept.SetTerms(termsOf(name, snapshot))
			next[t] = kept
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

// start starts the link set of a target of the service with the given name.
func (l *Links) start(t *target.Target, name string, snapshot *service.Snapshot) *runningSet {
	owner, _ := snapshot.Service(name)
	ctx, stop := context.WithCancel(l.ctx)
	dependencies := link.Dependencies{Lessor: l.lessor, Demand: owner, Events: l.events}
	running := &runningSet{Set: link.NewSet(t, termsOf(name, snapshot), dependencies), stop: stop}
	l.wg.Go(func() { running.Run(ctx) })
	return running
}

func termsOf(name string, snapshot *service.Snapshot) link.Terms {
	configuration := snapshot.State.Config
	spec, _ := configuration.Service(name)
	return link.Terms{
		Cold: target.ColdTerms{
			MaxConcurrent: spec.ColdStart.MaxConcurrent,
			Duration:      spec.ColdStart.Duration(),
			Answers:       spec.ColdStart.Answers,
			MaxInstances:  configuration.MaxInstances,
		},
		ProbesPerSecond: configuration.Measuring.ProbesPerSecond,
	}
}

// Close closes all links and waits until their goroutines have ended.
func (l *Links) Close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.wg.Wait()
}
