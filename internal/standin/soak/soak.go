// Package soak is a randomized fault-injection test. It runs entry instances as
// separate processes against stand-ins of the store and of targets, injects
// random faults from outside, and checks the guarantees to users by what
// callers receive and what targets run.
//
// The seed fixes which faults are injected, in which order and for how long. It
// does not fix how processes are scheduled, so a seed may fail only once in
// many runs.
package soak

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fulmarhoist.example/internal/standin/keyedstore"
)

// Settings configure one run.
type Settings struct {
	Seed          uint64
	FaultDuration time.Duration // of the phase with faults
	Bin           string        // directory with the program fulmarhoistd
	Dir           string        // existing directory for settings and logs
	Zones         []string
	Instances     int
	Targets       int // spread over the zones and over two services
	Callers       int
	FaultKinds    []string // names of the kinds of fault; if empty, the seed selects some
}

// Result is the outcome of a run.
type Result struct {
	Events     []string       // faults in the order of their ends, with start and end time
	Violations []string       // violated rules, with the rule's name in front, and crashes of instances
	Counts     map[string]int // requests by status, and other counters
}

const (
	// recoveryBound is the time after the last fault within which the service
	// must have recovered.
	recoveryBound = 15 * time.Second
	// recoveryStreak is how many requests in a row must be answered for the
	// service to count as recovered.
	recoveryStreak = 20
	// stallProbeInterval is the sleep between two checks for stalls of the test
	// machine, and stallThreshold the oversleep that counts as one.
	stallProbeInterval = 20 * time.Millisecond
	stallThreshold     = 250 * time.Millisecond
	// startTimeout is the time within which the service must be up after the
	// start.
	startTimeout = 30 * time.Second
)

// run is a soak in progress.
type run struct {
	settings         Settings
	store            *keyedstore.Store
	checker          *checker
	operator         *operator
	instances        []*instance
	hosts            []*targetHost
	targetsStarted   atomic.Int32 // numbers the target ids
	evacuationActive atomic.Bool  // at most one zone is evacuated at a time
	startedAt        time.Time

	mu     sync.Mutex
	events []string
}

// Run executes one soak. It returns an error if the soak could not be executed;
// violated guarantees are in the result.
func Run(ctx context.Context, settings Settings) (*Result, error) {
	r := &run{settings: settings, store: keyedstore.New(), checker: newChecker(), startedAt: time.Now()}
	r.operator = &operator{store: r.store, checker: r.checker}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	server := &http.Server{Handler: r.store.Handler(), ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	defer r.close()
	if err := r.startAll(listener.Addr().String()); err != nil {
		return nil, err
	}
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	r.stopAllInstances()
	return r.result(), nil
}

// startAll publishes the configuration and starts the targets and instances.
func (r *run) startAll(store string) error {
	r.operator.publishInitial()
	for n := range r.settings.Targets {
		host, err := openHost(r.settings.Zones[n%len(r.settings.Zones)])
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, host)
		if r.startTarget(host, []string{"orders", "archive"}[(n/len(r.settings.Zones))%2], false) == nil {
			return &StartError{Name: "target on " + host.port.Address()}
		}
	}
	for n := range r.settings.Instances {
		i, err := newInstance(n+1, r.settings.Zones[n%len(r.settings.Zones)], &r.settings, store)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// StartError reports a part of the soak that did not start.
type StartError struct {
	Name string
}

func (e *StartError) Error() string { return e.Name + " did not start" }

// execute sends requests, injects faults, and waits for the service to recover.
func (r *run) execute(ctx context.Context) error {
	kinds, err := drawKinds(r.settings.Seed, r.settings.FaultKinds)
	if err != nil {
		return err
	}
	if !r.awaitServing(ctx, startTimeout) {
		return &StartError{Name: "the service"}
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers, series sync.WaitGroup
	callers.Go(func() { r.detectStalls(callersCtx) })
	callers.Go(func() { r.sampleUsage(callersCtx) })
	for n := range r.settings.Callers {
		callers.Go(func() { r.newCaller(n + 1).sendRequests(callersCtx) })
	}
	faultsCtx, stopFaults := context.WithTimeout(ctx, r.settings.FaultDuration)
	defer stopFaults()
	for n := range concurrentSeries {
		series.Go(func() { r.injectFaults(faultsCtx, kinds, uint64(n+1)) })
	}
	series.Wait()
	if ctx.Err() == nil && !r.awaitServing(ctx, recoveryBound) {
		r.addViolation("RECOVER", "no %d requests in a row were answered within %v after the last fault", recoveryStreak, recoveryBound)
	}
	stopCallers()
	callers.Wait()
	return nil
}

// newCaller returns a caller with its own random numbers, which the seed fixes.
func (r *run) newCaller(number int) *caller {
	rng := rand.New(rand.NewPCG(r.settings.Seed, 1000+uint64(number)))
	return &caller{run: r, number: number, rng: rng, zone: r.settings.Zones[number%len(r.settings.Zones)]}
}

// awaitServing reports whether recoveryStreak requests in a row on fixed routes
// are answered within the given time.
func (r *run) awaitServing(ctx context.Context, within time.Duration) bool {
	c := r.newCaller(0)
	c.transport = &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	c.sentCount = int(time.Since(r.startedAt).Milliseconds()) << 8 // request ids differ between calls
	streak := 0
	for end := time.Now().Add(within); streak < recoveryStreak && time.Now().Before(end) && ctx.Err() == nil; {
		c.resolve(ctx)
		if len(c.resolved) == 0 || c.send(c.resolved[c.sentCount%len(c.resolved)], true).status != http.StatusOK {
			streak = 0
			sleepContext(ctx, meanThinkTime)
			continue
		}
		streak++
	}
	return streak >= recoveryStreak
}

// detectStalls records stalls of the test machine, during which the rules with a
// time bound cannot be checked.
func (r *run) detectStalls(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		sleepContext(ctx, stallProbeInterval)
		if now := time.Now(); now.Sub(start) > stallProbeInterval+stallThreshold {
			r.checker.withLock(func() { r.checker.lastStallAt = now; r.checker.counts["stalls of this machine"]++ })
		}
	}
}

// startTarget starts a target on a host. If switchService is true, it belongs to
// the other service, unless that would leave its service without targets.
func (r *run) startTarget(host *targetHost, service string, switchService bool) *target {
	if switchService && r.targetCount(service) > 1 {
		service = map[string]string{"orders": "archive", "archive": "orders"}[service]
	}
	t := newTarget(fmt.Sprintf("t-%d", r.targetsStarted.Add(1)), service, host.zone, r.store, r.checker)
	if err := host.startTarget(t); err != nil {
		r.addViolation("SOAK", "%v", err)
		return nil
	}
	return t
}

// targetCount returns the number of running targets of a service.
func (r *run) targetCount(service string) int {
	count := 0
	for _, host := range r.hosts {
		if t := host.current(); t != nil && t.service == service {
			count++
		}
	}
	return count
}

// deregister removes the entry of a target from the store.
func (r *run) deregister(t *target) {
	r.store.Put("keyed.servers", t.id, nil)
	r.noteDraining(t)
}

// noteDraining records when the store first acknowledged that a target drains.
func (r *run) noteDraining(t *target) {
	r.checker.withLock(func() {
		if r.checker.drainAckedAt[t].IsZero() {
			r.checker.drainAckedAt[t] = time.Now()
		}
	})
}

// startInstance starts an instance that was stopped.
func (r *run) startInstance(i *instance) {
	if err := i.start(); err != nil {
		r.addViolation("SOAK", "%v", err)
	}
}

// stopInstance stops an instance gracefully. A process that still runs after
// stopTimeout violates a rule unless a fault affected it, and is killed.
func (r *run) stopInstance(i *instance) {
	ended, sent := i.signal(syscall.SIGTERM, 0)
	if !sent {
		return
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		if i.undisturbedSince(time.Now().Add(-stopTimeout - faultGracePeriod)) {
			r.addViolation("STOP", "%s still runs %v after SIGTERM", i.name, stopTimeout)
		}
		i.kill()
	}
}

// checkDirectoryEntry checks that an instance listed in the directory of the
// queried one has not been down for longer than directoryBound.
func (r *run) checkDirectoryEntry(queried, listed *instance) {
	listed.mu.Lock()
	down := listed.process == nil && listed.lastTransitionAt.Before(time.Now().Add(-directoryBound))
	listed.mu.Unlock()
	r.checker.withLock(func() {
		if down && r.checker.timeBoundsApply(queried, time.Now()) {
			r.checker.addViolation("DRAIN", "the directory of %s lists %s, which ended more than %v ago", queried.name, listed.name, directoryBound)
		}
	})
}

// addViolation records a violation of a rule.
func (r *run) addViolation(rule, format string, args ...any) {
	r.checker.withLock(func() { r.checker.addViolation(rule, format, args...) })
}

// addEvent records a fault that has just ended.
func (r *run) addEvent(start time.Time, name, affected string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%7.3f to %7.3f s  %s: %s",
		start.Sub(r.startedAt).Seconds(), time.Since(r.startedAt).Seconds(), name, affected))
}

// stopAllInstances stops all instances gracefully at the same time.
func (r *run) stopAllInstances() {
	var group sync.WaitGroup
	for _, i := range r.instances {
		group.Go(func() { r.stopInstance(i) })
	}
	group.Wait()
}

// close kills all processes and closes all listeners of this run.
func (r *run) close() {
	for _, i := range r.instances {
		i.signal(syscall.SIGCONT, 0)
		i.kill()
		i.storePath.relay.Close()
	}
	for _, host := range r.hosts {
		host.close()
	}
}

// result collects the events, violations and counters.
func (r *run) result() *Result {
	result := &Result{Events: r.events}
	r.checker.withLock(func() {
		result.Violations, result.Counts = slices.Clone(r.checker.violations), r.checker.counts
	})
	for _, i := range r.instances {
		i.mu.Lock()
		result.Violations = append(result.Violations, i.crashes...)
		i.mu.Unlock()
	}
	return result
}
