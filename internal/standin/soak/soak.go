// Package soak runs entry instances as separate processes against stand-ins of
// the store and of targets, impairments them at random from outside, and checks the
// promises to users while it does: from what callers get and what targets run.
//
// A seed fixes which faults are injected, in which order and for how long. The order in
// which processes run is not fixed, so that a seed may fail once in many runs.
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

// Settings describe one run.
type Settings struct {
	Seed      uint64
	Length    time.Duration // of the part with faults
	Bin       string        // folder with the program fulmarhoistd
	Dir       string        // existing folder for settings and logs
	Zones     []string
	Instances int
	Targets   int // half of them for each of two services, rounded up for the first
	Callers   int
	Kinds     []string // names of the kinds of fault; a few are drawn if it is empty
}

// Result tells what happened.
type Result struct {
	Events     []string // faults in the order of their ends, with the time of their begin
	Violations []string
	Counts     map[string]int // requests by status
}

const (
	// recoverBound is the time after the last fault in which all must be served.
	recoverBound = 15 * time.Second
	// recovered is how many requests in a row must be answered then.
	recovered = 20
	// stallProbe and stallThreshold find out that the machine gives the soak no time.
	stallProbe     = 20 * time.Millisecond
	stallThreshold = 250 * time.Millisecond
	// startTimeout bounds the start of all instances.
	startTimeout = 30 * time.Second
)

// run is a soak that is under way.
type run struct {
	settings   Settings
	store      *keyedstore.Store
	ledger     *ledger
	operator   *operator
	instances  []*instance
	slots      []*slot
	started    atomic.Int32
	evacuating atomic.Bool
	began      time.Time

	mu     sync.Mutex
	events []string
}

// Run plays one soak. The error tells of a soak that could not be played; broken
// promises stand in the result.
func Run(ctx context.Context, settings Settings) (*Result, error) {
	r := &run{settings: settings, store: keyedstore.New(), ledger: newLedger(), began: time.Now()}
	r.operator = &operator{store: r.store, ledger: r.ledger}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	server := &http.Server{Handler: r.store.Handler(), ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	defer r.close()
	if err := r.build(listener.Addr().String()); err != nil {
		return nil, err
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	r.stopAtOnce()
	return r.result(), nil
}

// build starts targets and instances.
func (r *run) build(store string) error {
	r.operator.begin()
	for n := range r.settings.Targets {
		s, err := openSlot(r.settings.Zones[n%len(r.settings.Zones)])
		if err != nil {
			return err
		}
		r.slots = append(r.slots, s)
		if r.newTarget(s, []string{"orders", "archive"}[(n/len(r.settings.Zones))%2], false) == nil {
			return &StartError{Name: "target " + s.port.Address()}
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

// StartError results a part that did not start.
type StartError struct {
	Name string
}

func (e *StartError) Error() string { return e.Name + " did not start" }

// play sends requests, injects faults, and waits for the recovery.
func (r *run) play(ctx context.Context) error {
	kinds, err := drawKinds(r.settings.Seed, r.settings.Kinds)
	if err != nil {
		return err
	}
	if !r.served(ctx, startTimeout) {
		return &StartError{Name: "the service"}
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers, series sync.WaitGroup
	callers.Go(func() { r.detectStalls(callersCtx) })
	callers.Go(func() { r.watchUsage(callersCtx) })
	for n := range r.settings.Callers {
		callers.Go(func() { r.newCaller(n + 1).work(callersCtx) })
	}
	faultsCtx, stopFaults := context.WithTimeout(ctx, r.settings.Length)
	defer stopFaults()
	for n := range seriesCount {
		series.Go(func() { r.injectFaults(faultsCtx, kinds, uint64(n+1)) })
	}
	series.Wait()
	if ctx.Err() == nil && !r.served(ctx, recoverBound) {
		r.violate("RECOVER", "no %d requests in a row were answered within %v of the last fault", recovered, recoverBound)
	}
	stopCallers()
	callers.Wait()
	return nil
}

func (r *run) newCaller(number int) *caller {
	random := rand.New(rand.NewPCG(r.settings.Seed, 1000+uint64(number)))
	return &caller{run: r, number: number, random: random, zone: r.settings.Zones[number%len(r.settings.Zones)]}
}

// served waits until a row of requests on routes that are always there was
// answered.
func (r *run) served(ctx context.Context, within time.Duration) bool {
	c := r.newCaller(0)
	c.transport = &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	c.sent = int(time.Since(r.began).Milliseconds()) << 8 // ids differ between calls
	row := 0
	for end := time.Now().Add(within); row < recovered && time.Now().Before(end) && ctx.Err() == nil; {
		c.askDirectory(ctx)
		if len(c.known) == 0 || c.send(c.known[c.sent%len(c.known)], true).status != http.StatusOK {
			row = 0
			wait(ctx, callerPause)
			continue
		}
		row++
	}
	return row >= recovered
}

// detectStalls notes when this machine gives no time to the soak: bounds on time cannot
// be judged then.
func (r *run) detectStalls(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		wait(ctx, stallProbe)
		if now := time.Now(); now.Sub(began) > stallProbe+stallThreshold {
			r.ledger.change(func() { r.ledger.stalled = now; r.ledger.counts["stalls of this machine"]++ })
		}
	}
}

// newTarget starts a process at a place. If other is true it belongs to the other
// service, unless that would leave the service without targets.
func (r *run) newTarget(s *slot, service string, other bool) *target {
	if other && r.targetsOf(service) > 1 {
		service = map[string]string{"orders": "archive", "archive": "orders"}[service]
	}
	t := newTarget(fmt.Sprintf("t-%d", r.started.Add(1)), service, s.zone, r.store, r.ledger)
	if err := s.begin(t); err != nil {
		r.violate("SOAK", "%v", err)
		return nil
	}
	return t
}

func (r *run) targetsOf(service string) int {
	count := 0
	for _, s := range r.slots {
		if t := s.current(); t != nil && t.service == service {
			count++
		}
	}
	return count
}

// deregister removes the entry of a target.
func (r *run) deregister(t *target) {
	r.store.Put("keyed.servers", t.id, nil)
	r.leaves(t)
}

// leaves notes when the store acknowledged that a target leaves.
func (r *run) leaves(t *target) {
	r.ledger.change(func() {
		if r.ledger.leftAt[t].IsZero() {
			r.ledger.leftAt[t] = time.Now()
		}
	})
}

// start starts an instance again.
func (r *run) start(i *instance) {
	if err := i.start(); err != nil {
		r.violate("SOAK", "%v", err)
	}
}

// stop stops an instance as planned; it must end in time and with code 0.
func (r *run) stop(i *instance) {
	ended, sent := i.signal(syscall.SIGTERM, 0)
	if !sent {
		return
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		if i.undisturbed(time.Now().Add(-stopTimeout - touch)) {
			r.violate("STOP", "%s still runs %v after SIGTERM", i.name, stopTimeout)
		}
		i.kill()
	}
}

// checkNamed checks an answer of the directory of one instance that names another.
func (r *run) checkNamed(asked, named *instance) {
	named.mu.Lock()
	down := named.process == nil && named.changed.Before(time.Now().Add(-directoryBound))
	named.mu.Unlock()
	r.ledger.change(func() {
		if down && r.ledger.boundsApply(asked, time.Now()) {
			r.ledger.violate("DRAIN", "the directory of %s names %s, which ended over %v ago", asked.name, named.name, directoryBound)
		}
	})
}

func (r *run) violate(rule, format string, args ...any) {
	r.ledger.change(func() { r.ledger.violate(rule, format, args...) })
}

func (r *run) event(began time.Time, name, affected string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%7.3f to %7.3f s  %s: %s",
		began.Sub(r.began).Seconds(), time.Since(r.began).Seconds(), name, affected))
}

// stopAtOnce stops all instances as planned at the same time.
func (r *run) stopAtOnce() {
	var group sync.WaitGroup
	for _, i := range r.instances {
		group.Go(func() { r.stop(i) })
	}
	group.Wait()
}

// close ends everything that this run started.
func (r *run) close() {
	for _, i := range r.instances {
		i.signal(syscall.SIGCONT, 0)
		i.kill()
		i.store.relay.Close()
	}
	for _, s := range r.slots {
		s.close()
	}
}

func (r *run) result() *Result {
	result := &Result{Events: r.events}
	r.ledger.change(func() {
		result.Violations, result.Counts = slices.Clone(r.ledger.violations), r.ledger.counts
	})
	for _, i := range r.instances {
		i.mu.Lock()
		result.Violations = append(result.Violations, i.crashes...)
		i.mu.Unlock()
	}
	return result
}
