package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"fulmarhoist.example/internal/standin/relay"
)

const (
	// concurrentSeries is the number of series of faults that run at the same
	// time.
	concurrentSeries = 3
	// kindsPerRun is how many kinds of fault one run draws from. It is small,
	// so that some runs stress the store while others have long periods in
	// which the rules with a time bound apply.
	kindsPerRun = 5
	// meanFaultInterval is the mean time from the end of a fault to the next
	// one of its series.
	meanFaultInterval = 700 * time.Millisecond
	// drainDuration is how long a target still serves after the store learned
	// that it leaves.
	drainDuration = 3500 * time.Millisecond
	// stopTimeout is the time within which an instance must exit after SIGTERM;
	// it is the grace_s of its settings.
	stopTimeout = 6 * time.Second
)

// fault is one kind of failure or of planned maintenance.
type fault struct {
	name   string
	inject func(r *run, rng *rand.Rand) string // returns a description of what was affected
}

// faults lists all kinds of fault. What a seed selects depends on their order.
var faults = []fault{
	{"instance killed", killInstance},
	{"instance down for long", keepInstanceDown},
	{"instance stopped", restartInstance},
	{"all instances stopped in turn", rollingRestart},
	{"instance frozen", freezeInstance},
	{"instance reloads", reloadInstance},
	{"store refuses", failStoreCalls},
	{"store silent", silenceStore},
	{"store forgets", truncateStoreLog},
	{"path to the store impaired", impairStorePath},
	{"target crashes", crashTarget},
	{"target leaves", drainTarget},
	{"target frozen", freezeTarget},
	{"path to a target impaired", impairTargetPath},
	{"configuration changed", changeConfig},
	{"configurations in quick succession", changeConfigRapidly},
	{"zone evacuated", evacuateZone},
	{"target announces that it leaves", announceLeaving},
	{"target asks for a pause", pauseTarget},
	{"target responds without end", respondWithoutEnd},
	{"request crashes its targets", sendCrashingRequest},
}

// KindError reports an unknown kind of fault.
type KindError struct {
	Name string
}

func (e *KindError) Error() string { return fmt.Sprintf("unknown kind of fault %q", e.Name) }

// drawKinds returns the kinds of fault of a run: the named ones or, if there
// are no names, kindsPerRun random ones.
func drawKinds(seed uint64, names []string) ([]fault, error) {
	var kinds []fault
	for _, name := range names {
		n := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if n < 0 {
			return nil, &KindError{name}
		}
		kinds = append(kinds, faults[n])
	}
	if len(kinds) > 0 {
		return kinds, nil
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	for _, n := range rng.Perm(len(faults))[:kindsPerRun] {
		kinds = append(kinds, faults[n])
	}
	return kinds, nil
}

// injectFaults injects one fault after another until the context ends.
func (r *run) injectFaults(ctx context.Context, kinds []fault, series uint64) {
	rng := rand.New(rand.NewPCG(r.settings.Seed, series))
	for ctx.Err() == nil {
		f := kinds[rng.IntN(len(kinds))]
		start := time.Now()
		affected := f.inject(r, rng)
		r.addEvent(start, f.name, affected)
		sleepContext(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultInterval)))
	}
}

// randomDuration returns a duration of at least least and less than most.
func randomDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func (r *run) randomInstance(rng *rand.Rand) *instance {
	return r.instances[rng.IntN(len(r.instances))]
}

func (r *run) randomHost(rng *rand.Rand) *targetHost { return r.hosts[rng.IntN(len(r.hosts))] }

func killInstance(r *run, rng *rand.Rand) string {
	i := r.randomInstance(rng)
	i.kill()
	sleep(randomDuration(rng, 50*time.Millisecond, 800*time.Millisecond))
	r.startInstance(i)
	return i.name
}

func keepInstanceDown(r *run, rng *rand.Rand) string {
	i := r.randomInstance(rng)
	i.kill()
	sleep(directoryBound + randomDuration(rng, 0, 2*time.Second))
	r.startInstance(i)
	return i.name
}

func restartInstance(r *run, rng *rand.Rand) string {
	i := r.randomInstance(rng)
	r.stopInstance(i)
	r.startInstance(i)
	return i.name
}

func rollingRestart(r *run, rng *rand.Rand) string {
	for _, n := range rng.Perm(len(r.instances)) {
		r.stopInstance(r.instances[n])
		r.startInstance(r.instances[n])
		sleep(randomDuration(rng, 500*time.Millisecond, 2*time.Second))
	}
	return "all"
}

func freezeInstance(r *run, rng *rand.Rand) string {
	i := r.randomInstance(rng)
	duration := randomDuration(rng, 200*time.Millisecond, 2500*time.Millisecond)
	if _, sent := i.signal(syscall.SIGSTOP, duration); !sent {
		return "none"
	}
	sleep(duration)
	i.signal(syscall.SIGCONT, 0)
	return fmt.Sprintf("%s for %v", i.name, duration)
}

func reloadInstance(r *run, rng *rand.Rand) string {
	i := r.randomInstance(rng)
	// A reload is planned maintenance, not a fault: no violation is excused by
	// it.
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(syscall.SIGHUP)
	}
	return i.name
}

func failStoreCalls(r *run, rng *rand.Rand) string {
	duration := randomDuration(rng, 300*time.Millisecond, 3*time.Second)
	r.checker.noteStoreFault(time.Now().Add(duration))
	r.store.FailWith([]int{503, 429}[rng.IntN(2)])
	sleep(duration)
	r.store.FailWith(0)
	r.checker.noteStoreFault(time.Now())
	return duration.String()
}

func silenceStore(r *run, rng *rand.Rand) string {
	duration := randomDuration(rng, 300*time.Millisecond, 3*time.Second)
	r.checker.noteStoreFault(time.Now().Add(duration))
	r.store.SetSilent(true)
	sleep(duration)
	r.store.SetSilent(false)
	r.checker.noteStoreFault(time.Now())
	return duration.String()
}

func truncateStoreLog(r *run, rng *rand.Rand) string {
	topic := []string{"keyed.op", "keyed.servers"}[rng.IntN(2)]
	r.checker.noteStoreFault(time.Now())
	r.store.TruncateLog(topic)
	return topic
}

// impairments are the faults of network paths.
var impairments = []relay.Behavior{
	{Mode: relay.ModeCut},
	{Mode: relay.ModeSilence},
	{Mode: relay.ModeSilenceAll},
	{Mode: relay.ModeOneWay},
	{Mode: relay.ModePass, DelayMS: 60},
}

func impairPath(path *networkPath, rng *rand.Rand) string {
	behavior, duration := impairments[rng.IntN(len(impairments))], randomDuration(rng, 300*time.Millisecond, 3*time.Second)
	path.impair(behavior, duration)
	return fmt.Sprintf("%s for %v", behavior.Mode, duration)
}

func impairStorePath(r *run, rng *rand.Rand) string {
	i := r.randomInstance(rng)
	return i.name + " " + impairPath(i.storePath, rng)
}

func impairTargetPath(r *run, rng *rand.Rand) string {
	host := r.randomHost(rng)
	return host.port.Address() + " " + impairPath(host.path, rng)
}

// crashTarget kills a target and starts another one, sometimes of the other
// service, on its address. The entry of the old target stays in the store for a
// while, as it does until the store notices that a process is gone, so it may
// be removed before or after the new target starts.
func crashTarget(r *run, rng *rand.Rand) string {
	host := r.randomHost(rng)
	old := host.crash()
	if old == nil {
		return "none"
	}
	deregisterAfter, restartAfter := randomDuration(rng, 0, 1500*time.Millisecond), randomDuration(rng, 100*time.Millisecond, 2*time.Second)
	sleep(min(deregisterAfter, restartAfter))
	if deregisterAfter < restartAfter {
		r.deregister(old)
		sleep(restartAfter - deregisterAfter)
	}
	next := r.startTarget(host, old.service, rng.IntN(3) == 0)
	if next == nil {
		return old.id
	}
	if deregisterAfter >= restartAfter {
		sleep(deregisterAfter - restartAfter)
		r.deregister(old)
	}
	return old.id + " followed by " + next.id + " of " + next.service
}

// drainTarget takes a target out of service gracefully and starts another one.
func drainTarget(r *run, rng *rand.Rand) string {
	host := r.randomHost(rng)
	old := host.current()
	if old == nil || old.draining.Swap(true) {
		return "none"
	}
	if rng.IntN(3) > 0 {
		old.register("draining")
		r.noteDraining(old)
		sleep(drainDuration)
		r.deregister(old)
	} else {
		r.deregister(old)
		sleep(drainDuration)
	}
	r.replaceTarget(host, old, rng)
	return old.id
}

// replaceTarget ends a target that has left, unless it has crashed meanwhile, and
// starts another one on its address.
func (r *run) replaceTarget(host *targetHost, old *target, rng *rand.Rand) {
	if host.current() != old {
		return
	}
	host.crash()
	sleep(randomDuration(rng, 100*time.Millisecond, time.Second))
	r.startTarget(host, old.service, false)
}

// announceLeaving makes a target say in its responses that it leaves, while its
// entry in the store says that it is ready, and then replaces it.
func announceLeaving(r *run, rng *rand.Rand) string {
	host := r.randomHost(rng)
	old := host.current()
	if old == nil || old.leaving.Swap(true) {
		return "none"
	}
	sleep(drainBound + drainDuration)
	r.deregister(old)
	r.replaceTarget(host, old, rng)
	return old.id
}

// pauseTarget makes a target refuse requests and ask for none until it takes them
// again.
func pauseTarget(r *run, rng *rand.Rand) string {
	t := r.randomHost(rng).current()
	if t == nil {
		return "none"
	}
	duration := randomDuration(rng, 800*time.Millisecond, 3*time.Second)
	until := time.Now().Add(duration)
	t.pausedUntil.Store(&until)
	sleep(duration)
	return fmt.Sprintf("%s for %v", t.id, duration)
}

// respondWithoutEnd makes a target send bytes that are no response and do not end.
func respondWithoutEnd(r *run, rng *rand.Rand) string {
	t := r.randomHost(rng).current()
	if t == nil {
		return "none"
	}
	index := rng.IntN(len(endlessResponses))
	t.endless.Store(&index)
	sleep(randomDuration(rng, 300*time.Millisecond, 2*time.Second))
	t.endless.Store(nil)
	return fmt.Sprintf("%s with response %d", t.id, index)
}

func freezeTarget(r *run, rng *rand.Rand) string {
	t := r.randomHost(rng).current()
	if t == nil {
		return "none"
	}
	t.freeze(randomDuration(rng, 200*time.Millisecond, 2500*time.Millisecond))
	return t.id
}

func changeConfig(r *run, rng *rand.Rand) string { return r.operator.changeRoutes(rng) }

func changeConfigRapidly(r *run, rng *rand.Rand) string {
	for range 8 {
		r.operator.changeRoutes(rng)
		sleep(randomDuration(rng, 20*time.Millisecond, 400*time.Millisecond))
	}
	return "8 changes"
}

// evacuateZone takes a zone out of service for a while, unless another one is
// out.
func evacuateZone(r *run, rng *rand.Rand) string {
	if !r.evacuationActive.CompareAndSwap(false, true) {
		return "none"
	}
	defer r.evacuationActive.Store(false)
	zone := r.settings.Zones[rng.IntN(len(r.settings.Zones))]
	r.operator.evacuate(zone, evacuationBound+randomDuration(rng, 0, 2*time.Second))
	return zone
}
