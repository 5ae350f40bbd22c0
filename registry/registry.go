// Package registry keeps track of the targets that have registered themselves. It
// builds the routing views of the services from these targets, the configuration,
// and the set of evacuated availability zones.
//
// A single goroutine owns a Registry and updates it. Other goroutines only read
// the services that it publishes. The package does no I/O, and the caller passes
// the time.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"fulmarhoist.example/routing"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

// Entry is the registration record that a target writes about itself.
type Entry struct {
	ID            string
	Address       string
	Service       string
	Zone          string
	Slots         int // requests that the target runs concurrently
	Draining      bool
	ColdRemaining time.Duration // remaining time for which the target is cold
	StartedAtMs   int64         // start time of the process in Unix milliseconds; 0 if unknown
	Sequence      int64         // sequence number of the entry among those of one process
}

// PacingIntervalFunc returns the minimum time between two requests of this
// instance to a cold target; negative if it may send none. See
// fleet.Roster.PacingInterval.
type PacingIntervalFunc func(targetID string, service *routing.Service) time.Duration

// Options holds the options of a Registry, which do not change.
type Options struct {
	OwnZone string
	// RemoteRoundTrip is the round-trip time to another availability zone.
	RemoteRoundTrip time.Duration
	// QueueLimit is the maximum number of requests of one service that wait in this
	// instance.
	QueueLimit int
	// RetryPercent and RetryMinimum set the retry budget of each service in this
	// instance; see service.RetryBudget. Refresh applies changes of both: the minimum
	// decreases as the number of instances grows.
	RetryPercent   func() int
	RetryMinimum   func() int
	PacingInterval PacingIntervalFunc
}

const (
	// missingGracePeriod is how long after an outage of the store a target stays in
	// use whose entry has disappeared because of it. Entries expire during an
	// outage, and live targets write them again within about two seconds of its
	// end.
	missingGracePeriod = 1900 * time.Millisecond
	// processMemory is how long a removed target is remembered. If its entry comes
	// back, what the same process has announced still applies to it. No process
	// goes on for that long after its entry was removed.
	processMemory = 15 * time.Minute
	// extraInFlight is the number of requests beyond the slots of a target that
	// this instance may have in flight to it. Load reports normally prevent
	// overload; the limit protects a target whose reports are missing or wrong.
	extraInFlight = 1
)

// registration is a registered target with its latest entry.
type registration struct {
	entry        Entry
	target       *target.Target
	missingUntil time.Time // when a target whose entry is missing is removed; zero if it is present
	removedAt    time.Time // zero while the target is registered
	leaving      bool      // the target was found to be leaving by Refresh
	pausedUntil  time.Time // latest end of a pause that Refresh has found; zero if none
}

// Services maps names to the published services. The map is immutable; each
// Service in it replaces its own view.
type Services map[string]*service.Service

// Registry holds all registered targets. The methods of a Registry must be called
// from a single goroutine unless stated otherwise.
type Registry struct {
	options   Options
	targets   map[string]*registration // registered targets, by ID
	removed   map[string]*registration // targets removed within processMemory, by ID
	evacuated map[string]bool
	config    *routing.Config
	services  atomic.Pointer[Services]
	dirty     bool // the published views are out of date
	listed    bool // the first complete list of targets has been read
}

// New returns an empty registry.
func New(options Options) *Registry {
	r := &Registry{
		options: options, targets: map[string]*registration{}, removed: map[string]*registration{}, evacuated: map[string]bool{},
	}
	r.services.Store(&Services{})
	return r
}

// Service returns the service with the given name, or nil. Any goroutine may
// call it.
func (r *Registry) Service(name string) *service.Service { return (*r.services.Load())[name] }

// All returns all services by name. Any goroutine may call it.
func (r *Registry) All() Services { return *r.services.Load() }

// Candidates returns the number of targets that may receive requests. Any goroutine
// may call it.
func (r *Registry) Candidates() int {
	count := 0
	for _, s := range r.All() {
		count += len(s.View().Candidates)
	}
	return count
}

// Change is the effect of an entry, or of its removal, on the registry.
type Change uint8

const (
	// ChangeNone means that the entry was stale or contained nothing new.
	ChangeNone Change = iota
	// ChangeAdded means that the target is new, was restarted, or has another
	// address, service, zone or number of slots.
	ChangeAdded
	// ChangeUpdated means that the target is cold, no longer drains, or is no
	// longer missing.
	ChangeUpdated
	// ChangeDraining means that the target started to drain.
	ChangeDraining
	// ChangeRemoved means that the target was removed.
	ChangeRemoved
	// ChangeMissing means that the entry disappeared because of an outage of the
	// store. The target stays in use for a while.
	ChangeMissing
)

var changeNames = [...]string{"none", "added", "updated", "draining", "removed", "missing"}

func (c Change) String() string { return changeNames[min(int(c), len(changeNames)-1)] }

// Put records an entry of a target. Entries that are older than the known one, or
// that belong to an earlier process of the target, are ignored.
func (r *Registry) Put(now time.Time, e Entry) Change {
	old := r.targets[e.ID]
	if old != nil && isStale(&old.entry, &e) {
		return ChangeNone
	}
	if old != nil && sameDescription(&old.entry, &e) {
		return r.update(now, old, e)
	}
	if old == nil {
		old = r.removed[e.ID]
		delete(r.removed, e.ID)
	}
	r.targets[e.ID] = r.register(now, e, old)
	r.dirty = true
	return ChangeAdded
}

// register returns the registration of a new entry. What the process has announced
// under the previous registration of the ID, if any, applies to the new one too.
func (r *Registry) register(now time.Time, e Entry, previous *registration) *registration {
	if previous != nil && sameDescription(&previous.entry, &e) {
		previous.target.MarkServerCold(now, e.ColdRemaining)
		return &registration{entry: e, target: previous.target, leaving: previous.leaving, pausedUntil: previous.pausedUntil}
	}
	reg := &registration{entry: e, target: target.NewWarm(targetSpec(&e), e.Slots+extraInFlight)}
	if previous != nil && sameProcess(&previous.entry, &e) {
		reg.target.InheritNotices(previous.target)
	}
	reg.target.MarkServerCold(now, r.initialColdDuration(&e))
	return reg
}

// initialColdDuration returns how long a newly registered target is treated as
// cold. The ColdRemaining of an entry may predate the start of the target, so a
// new target is treated as cold for the full configured time unless a health
// response says otherwise. Targets of the first list may have been running for
// long; for them ColdRemaining is used.
func (r *Registry) initialColdDuration(e *Entry) time.Duration {
	if !r.listed {
		return e.ColdRemaining
	}
	return max(e.ColdRemaining, r.configuredColdDuration(e.Service))
}

// configuredColdDuration returns the configured cold duration of the targets of a
// service.
func (r *Registry) configuredColdDuration(name string) time.Duration {
	if spec := r.serviceConfig(name); spec != nil {
		return spec.ColdDuration
	}
	return 0
}

// serviceConfig returns the configuration of a service, or nil.
func (r *Registry) serviceConfig(name string) *routing.Service {
	if r.config == nil {
		return nil
	}
	for i := range r.config.Services {
		if r.config.Services[i].Name == name {
			return &r.config.Services[i]
		}
	}
	return nil
}

// update records a newer entry of the same process.
func (r *Registry) update(now time.Time, reg *registration, e Entry) Change {
	change := ChangeUpdated
	switch {
	case e.Draining && !reg.entry.Draining:
		change = ChangeDraining
	case e.Draining == reg.entry.Draining && e.ColdRemaining == 0 && reg.missingUntil.IsZero():
		change = ChangeNone
	}
	reg.target.MarkServerCold(now, e.ColdRemaining)
	reg.entry, reg.missingUntil = e, time.Time{}
	r.dirty = r.dirty || change != ChangeNone
	return change
}

// isStale reports whether the entry next is older than the known entry old.
func isStale(old, next *Entry) bool {
	if next.StartedAtMs != old.StartedAtMs {
		return next.StartedAtMs < old.StartedAtMs
	}
	return next.Sequence < old.Sequence
}

// sameProcess reports whether two entries of one ID describe the same process.
func sameProcess(a, b *Entry) bool {
	return a.StartedAtMs == b.StartedAtMs && a.Address == b.Address
}

// sameDescription reports whether two entries describe the same process with the
// same service, zone and slots.
func sameDescription(a, b *Entry) bool {
	return sameProcess(a, b) && targetSpec(a) == targetSpec(b) && a.Service == b.Service
}

// targetSpec returns the target.Spec that an entry describes.
func targetSpec(e *Entry) target.Spec {
	return target.Spec{Name: e.ID, Address: e.Address, Zone: e.Zone, Slots: max(1, e.Slots), Links: e.Slots + extraInFlight}
}

// Remove records that the entry of a target is gone. If the entry may have expired
// because of an outage of the store that ended at the given time, the target stays
// in use for a while after it unless it was draining; see missingGracePeriod.
// Without an outage, outageEnd is the zero time.
func (r *Registry) Remove(now time.Time, id string, outageEnd time.Time) Change {
	reg := r.targets[id]
	if reg == nil {
		return ChangeNone
	}
	if keepUntil := outageEnd.Add(missingGracePeriod); now.Before(keepUntil) && !reg.entry.Draining {
		if reg.missingUntil.IsZero() {
			reg.missingUntil = keepUntil
		}
		return ChangeMissing
	}
	r.remove(now, id)
	return ChangeRemoved
}

// remove removes a registered target and remembers it.
func (r *Registry) remove(now time.Time, id string) {
	reg := r.targets[id]
	reg.missingUntil, reg.removedAt = time.Time{}, now
	r.removed[id] = reg
	delete(r.targets, id)
	r.dirty = true
}

// IDs returns the sorted IDs of all registered targets.
func (r *Registry) IDs() []string { return slices.Sorted(maps.Keys(r.targets)) }

// MarkListed records that a complete list of targets has been read.
func (r *Registry) MarkListed() { r.listed = true }

// Evacuate sets whether a zone is evacuated and thus receives no requests. It
// reports whether this changed. The targets of a zone that returns to service are
// treated as cold.
func (r *Registry) Evacuate(now time.Time, name string, evacuated bool) bool {
	if r.evacuated[name] == evacuated {
		return false
	}
	if evacuated {
		r.evacuated[name] = true
	} else {
		delete(r.evacuated, name)
		for _, registrations := range []map[string]*registration{r.targets, r.removed} {
			for _, reg := range registrations {
				if reg.entry.Zone == name {
					reg.target.MarkServerCold(now, r.configuredColdDuration(reg.entry.Service))
				}
			}
		}
	}
	r.dirty = true
	return true
}

// Evacuated returns the sorted names of the evacuated zones.
func (r *Registry) Evacuated() []string { return slices.Sorted(maps.Keys(r.evacuated)) }

// SetConfig sets the configuration. The next Refresh applies it.
func (r *Registry) SetConfig(config *routing.Config) {
	r.config = config
	r.dirty = true
}

// Refreshed lists the IDs of the targets that a Refresh found changed.
type Refreshed struct {
	Removed []string // their entries have been missing for too long
	Leaving []string // their processes have announced that they are leaving
	Paused  []Pause  // their processes have asked for a pause
}

// Pause is a time in which a target gets no requests because it has asked for it.
type Pause struct {
	TargetID string
	Until    time.Time
}

// Refresh removes the targets that have been missing for too long, takes the
// leaving ones out of the views, updates the pacing interval of cold targets and
// the retry budgets, and publishes the views if anything changed.
func (r *Registry) Refresh(now time.Time) (changed Refreshed) {
	for id, reg := range r.targets {
		if !reg.missingUntil.IsZero() && !now.Before(reg.missingUntil) {
			r.remove(now, id)
			changed.Removed = append(changed.Removed, id)
		} else if !reg.leaving && reg.target.Leaving() {
			reg.leaving, r.dirty = true, true
			changed.Leaving = append(changed.Leaving, id)
		} else if until, paused := reg.target.PausedUntil(now); paused && until.Sub(reg.pausedUntil) > time.Millisecond {
			reg.pausedUntil = until
			changed.Paused = append(changed.Paused, Pause{TargetID: id, Until: until})
		}
	}
	for id, reg := range r.removed {
		if now.Sub(reg.removedAt) >= processMemory {
			delete(r.removed, id)
		}
	}
	for id, reg := range r.targets {
		if !reg.target.ServerCold(now) {
			continue
		}
		if spec := r.serviceConfig(reg.entry.Service); spec != nil {
			reg.target.SetPacingInterval(r.options.PacingInterval(id, spec))
		}
	}
	percent, minimum := r.options.RetryPercent(), r.options.RetryMinimum()
	for _, s := range *r.services.Load() {
		s.RetryBudget.SetPercent(percent)
		s.RetryBudget.SetMinimum(minimum)
	}
	if r.dirty && r.config != nil {
		r.dirty = false
		r.publish()
	}
	return changed
}

// publish builds new views from the configuration and the registered targets.
// Services that are no longer configured get an empty view.
func (r *Registry) publish() {
	old := *r.services.Load()
	next := make(Services, len(r.config.Services))
	for i := range r.config.Services {
		name := r.config.Services[i].Name
		s := old[name]
		if s == nil {
			s = service.New(name, r.options.QueueLimit, r.options.RetryPercent(), service.LeastInFlight{})
			s.RetryBudget.SetMinimum(r.options.RetryMinimum())
		}
		next[name] = s
	}
	r.services.Store(&next)
	for name, s := range next {
		s.Replace(service.NewView(r.config.Version, r.zones(name)))
	}
	for name, s := range old {
		if next[name] == nil {
			s.Replace(&service.View{Version: r.config.Version})
		}
	}
}

// zones returns the availability zones of a service with its targets that are
// neither draining nor leaving, sorted by name.
func (r *Registry) zones(name string) []*zone.Zone {
	byName := map[string]*zone.Zone{}
	for _, reg := range r.targets {
		if reg.entry.Service != name || reg.entry.Draining || reg.leaving {
			continue
		}
		z := byName[reg.entry.Zone]
		if z == nil {
			z = &zone.Zone{Name: reg.entry.Zone, OutOfService: r.evacuated[reg.entry.Zone]}
			if z.Name != r.options.OwnZone {
				z.RoundTrip = r.options.RemoteRoundTrip
			}
			byName[reg.entry.Zone] = z
		}
		z.Targets = append(z.Targets, reg.target)
	}
	all := slices.Collect(maps.Values(byName))
	slices.SortFunc(all, func(a, b *zone.Zone) int { return cmp.Compare(a.Name, b.Name) })
	for _, z := range all {
		slices.SortFunc(z.Targets, func(a, b *target.Target) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	}
	return all
}

// Targets returns all registered targets.
func (r *Registry) Targets() []*target.Target {
	all := make([]*target.Target, 0, len(r.targets))
	for _, reg := range r.targets {
		all = append(all, reg.target)
	}
	return all
}
