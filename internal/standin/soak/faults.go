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
	// seriesCount is how many series of faults overlap.
	seriesCount = 3
	// kindsOfRun is how many kinds of fault one run draws from. With few, some runs
	// disturb the store and others have long spans in which bounds on time hold.
	kindsOfRun = 5
	// faultPause is the mean pause between two faults of one series.
	faultPause = 700 * time.Millisecond
	// serveOn is how long a target serves after its entry says that it leaves.
	serveOn = 3500 * time.Millisecond
	// stopTimeout is the time in which a planned stop must end (the grace time).
	stopTimeout = 6 * time.Second
)

// fault is one kind of trouble or of planned work.
type fault struct {
	name   string
	inject func(r *run, random *rand.Rand) string // returns what it affected
}

// faults lists all kinds. The order is part of what a seed means.
var faults = []fault{
	{"instance killed", killInstance},
	{"instance down for long", keepDown},
	{"instance stopped", stopOne},
	{"all instances stopped in turn", stopAll},
	{"instance frozen", freezeInstance},
	{"instance reloads", reload},
	{"store refuses", refuseStore},
	{"store silent", silenceStore},
	{"store forgets", forgetStore},
	{"path to the store impaired", impairStoreRoute},
	{"target crashes", crashTarget},
	{"target leaves", drainTarget},
	{"target frozen", freezeTarget},
	{"path to a target impaired", impairTargetRoute},
	{"configuration changed", changeConfig},
	{"configurations in quick succession", stormConfig},
	{"zone evacuated", evacuateZone},
}

// KindError reports a kind of fault that the soak does not know.
type KindError struct {
	Name string
}

func (e *KindError) Error() string { return fmt.Sprintf("unknown kind of fault %q", e.Name) }

// drawKinds returns the kinds of fault of a run: those named, or a few at random.
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
	random := rand.New(rand.NewPCG(seed, 0))
	for _, n := range random.Perm(len(faults))[:kindsOfRun] {
		kinds = append(kinds, faults[n])
	}
	return kinds, nil
}

// injectFaults injects one fault after the other until the context ends.
func (r *run) injectFaults(ctx context.Context, kinds []fault, series uint64) {
	random := rand.New(rand.NewPCG(r.settings.Seed, series))
	for ctx.Err() == nil {
		f := kinds[random.IntN(len(kinds))]
		began := time.Now()
		affected := f.inject(r, random)
		r.event(began, f.name, affected)
		wait(ctx, time.Duration(random.ExpFloat64()*float64(faultPause)))
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (r *run) anyInstance(random *rand.Rand) *instance {
	return r.instances[random.IntN(len(r.instances))]
}

func (r *run) anySlot(random *rand.Rand) *slot { return r.slots[random.IntN(len(r.slots))] }

func killInstance(r *run, random *rand.Rand) string {
	i := r.anyInstance(random)
	i.kill()
	pause(between(random, 50*time.Millisecond, 800*time.Millisecond))
	r.start(i)
	return i.name
}

func keepDown(r *run, random *rand.Rand) string {
	i := r.anyInstance(random)
	i.kill()
	pause(directoryBound + between(random, 0, 2*time.Second))
	r.start(i)
	return i.name
}

func stopOne(r *run, random *rand.Rand) string {
	i := r.anyInstance(random)
	r.stop(i)
	r.start(i)
	return i.name
}

func stopAll(r *run, random *rand.Rand) string {
	for _, n := range random.Perm(len(r.instances)) {
		r.stop(r.instances[n])
		r.start(r.instances[n])
		pause(between(random, 500*time.Millisecond, 2*time.Second))
	}
	return "all"
}

func freezeInstance(r *run, random *rand.Rand) string {
	i := r.anyInstance(random)
	length := between(random, 200*time.Millisecond, 2500*time.Millisecond)
	if _, sent := i.signal(syscall.SIGSTOP, length); !sent {
		return "none"
	}
	pause(length)
	i.signal(syscall.SIGCONT, 0)
	return fmt.Sprintf("%s for %v", i.name, length)
}

func reload(r *run, random *rand.Rand) string {
	i := r.anyInstance(random)
	// A reload is planned work and excuses nothing.
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(syscall.SIGHUP)
	}
	return i.name
}

func refuseStore(r *run, random *rand.Rand) string {
	length := between(random, 300*time.Millisecond, 3*time.Second)
	r.ledger.disturbStore(time.Now().Add(length))
	r.store.Refuse([]int{503, 429}[random.IntN(2)])
	pause(length)
	r.store.Refuse(0)
	r.ledger.disturbStore(time.Now())
	return length.String()
}

func silenceStore(r *run, random *rand.Rand) string {
	length := between(random, 300*time.Millisecond, 3*time.Second)
	r.ledger.disturbStore(time.Now().Add(length))
	r.store.Silence(true)
	pause(length)
	r.store.Silence(false)
	r.ledger.disturbStore(time.Now())
	return length.String()
}

func forgetStore(r *run, random *rand.Rand) string {
	topic := []string{"keyed.op", "keyed.servers"}[random.IntN(2)]
	r.ledger.disturbStore(time.Now())
	r.store.Forget(topic)
	return topic
}

var impairments = []relay.Setting{
	{Mode: relay.ModeCut},
	{Mode: relay.ModeSilence},
	{Mode: relay.ModeSilenceAll},
	{Mode: relay.ModeOneWay},
	{Mode: relay.ModePass, DelayMS: 60},
}

func impairRoute(route *faultyRoute, random *rand.Rand) string {
	setting, length := impairments[random.IntN(len(impairments))], between(random, 300*time.Millisecond, 3*time.Second)
	route.impair(setting, length)
	return fmt.Sprintf("%s for %v", setting.Mode, length)
}

func impairStoreRoute(r *run, random *rand.Rand) string {
	i := r.anyInstance(random)
	return i.name + " " + impairRoute(i.store, random)
}

func impairTargetRoute(r *run, random *rand.Rand) string {
	s := r.anySlot(random)
	return s.port.Address() + " " + impairRoute(s.route, random)
}

// crashTarget ends a target; another process, at times of the other service, takes
// its address. Its entry is removed after the silence that the store allows.
func crashTarget(r *run, random *rand.Rand) string {
	s := r.anySlot(random)
	old := s.crash()
	if old == nil {
		return "none"
	}
	lapse, back := between(random, 0, 1500*time.Millisecond), between(random, 100*time.Millisecond, 2*time.Second)
	pause(min(lapse, back))
	if lapse < back {
		r.deregister(old)
		pause(back - lapse)
	}
	next := r.newTarget(s, old.service, random.IntN(3) == 0)
	if next == nil {
		return old.id
	}
	if lapse >= back {
		pause(lapse - back)
		r.deregister(old)
	}
	return old.id + " followed by " + next.id + " of " + next.service
}

// drainTarget takes a target out of service as planned, and starts another.
func drainTarget(r *run, random *rand.Rand) string {
	s := r.anySlot(random)
	old := s.current()
	if old == nil || old.draining.Swap(true) {
		return "none"
	}
	if random.IntN(3) > 0 {
		old.register("draining")
		r.leaves(old)
		pause(serveOn)
		r.deregister(old)
	} else {
		r.deregister(old)
		pause(serveOn)
	}
	if s.current() == old {
		s.crash()
		pause(between(random, 100*time.Millisecond, time.Second))
		r.newTarget(s, old.service, false)
	}
	return old.id
}

func freezeTarget(r *run, random *rand.Rand) string {
	t := r.anySlot(random).current()
	if t == nil {
		return "none"
	}
	t.freeze(between(random, 200*time.Millisecond, 2500*time.Millisecond))
	return t.id
}

func changeConfig(r *run, random *rand.Rand) string { return r.operator.change(random) }

func stormConfig(r *run, random *rand.Rand) string {
	for range 8 {
		r.operator.change(random)
		pause(between(random, 20*time.Millisecond, 400*time.Millisecond))
	}
	return "8 changes"
}

// evacuateZone takes one zone at a time out of service.
func evacuateZone(r *run, random *rand.Rand) string {
	if !r.evacuating.CompareAndSwap(false, true) {
		return "none"
	}
	defer r.evacuating.Store(false)
	zone := r.settings.Zones[random.IntN(len(r.settings.Zones))]
	r.operator.evacuate(zone, evacuateBound+between(random, 0, 2*time.Second))
	return zone
}
