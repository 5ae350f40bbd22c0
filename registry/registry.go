// Package registry keeps the targets that have registered themselves, and makes
// the routing views of the services from them, the configuration, and the
// availability zones that are evacuated.
//
// One goroutine owns a Registry; request goroutines read the services that it
// publishes. The package does no I/O, and time comes from the caller.
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

// Entry is what a target says of itself.
type Entry struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Slots    int
	Draining bool
	ColdLeft time.Duration // how much longer it is cold
	Born     int64         // start of the process in Unix milliseconds; 0 if unknown
	Sequence int64         // counts the entries of one process
}

// Pacer tells how often this instance may send to a cold target; see fleet.Pace.
type Pacer func(targetID string, service *routing.Service) time.Duration

// Terms are fixed properties of a Registry.
type Terms struct {
	OwnZone string
	// RemoteRoundTrip is the time to another availability zone and back.
	RemoteRoundTrip time.Duration
	// QueueLimit is how many requests of one service may wait in this instance.
	QueueLimit int
	// RetryPercent and RetryMinimum give the retry budget of a service in this
	// instance; the minimum falls as the number of instances grows.
	RetryPercent int
	RetryMinimum func() int
	Pace         Pacer
}

const (
	// missingGrace is how long a target stays in use whose entry is gone after the
	// store was away: entries expire meanwhile, and live targets write them again
	// within about two seconds of its return.
	missingGrace = 1900 * time.Millisecond
	// spareLimit is how many requests of this instance may be inside a target
	// beyond its slots. Reports tell how full it is; the limit is for a target
	// whose reports are missing or wrong.
	spareLimit = 1
)

// known is a target with its newest entry.
type known struct {
	entry   Entry
	target  *target.Target
	missing time.Time // when the entry was found gone after an outage; zero otherwise
}

// Services is the published set of services by name. It is immutable; the
// services in it replace their own views.
type Services map[string]*service.Service

// Registry holds all known targets.
type Registry struct {
	terms     Terms
	known     map[string]*known
	evacuated map[string]bool
	config    *routing.Config
	services  atomic.Pointer[Services]
	dirty     bool
	listed    bool // the first whole list has been read
}

// New returns an empty registry.
func New(terms Terms) *Registry {
	r := &Registry{terms: terms, known: map[string]*known{}, evacuated: map[string]bool{}}
	r.services.Store(&Services{})
	return r
}

// Service returns the service with the given name, or nil. Any goroutine may
// call it.
func (r *Registry) Service(name string) *service.Service { return (*r.services.Load())[name] }

// All returns all services by name. Any goroutine may call it; the map is immutable.
func (r *Registry) All() Services { return *r.services.Load() }

// Candidates returns how many targets may get work. Any goroutine may call it.
func (r *Registry) Candidates() int {
	count := 0
	for _, s := range r.All() {
		count += len(s.View().Candidates)
	}
	return count
}

// Change tells what an entry changed.
type Change uint8

const (
	// ChangeNone means that the entry was stale or said nothing new.
	ChangeNone Change = iota
	// ChangeAdded means a target, or a new process of one.
	ChangeAdded
	// ChangeUpdated means a target with other properties.
	ChangeUpdated
	// ChangeDraining means that the target began to leave.
	ChangeDraining
	// ChangeRemoved means that the target is gone.
	ChangeRemoved
	// ChangeMissing means that its entry is gone after an outage of the store.
	ChangeMissing
)

var changeNames = [...]string{"none", "added", "updated", "draining", "removed", "missing"}

func (c Change) String() string { return changeNames[min(int(c), len(changeNames)-1)] }

// Put records the newest entry of a target. An entry of an earlier process, or an
// earlier one of the same process, is ignored.
func (r *Registry) Put(now time.Time, e Entry) Change {
	old := r.known[e.ID]
	if old != nil && stale(&old.entry, &e) {
		return ChangeNone
	}
	if old != nil && sameProcess(&old.entry, &e) {
		return r.update(now, old, e)
	}
	k := &known{entry: e, target: target.NewWarm(specOf(&e), e.Slots+spareLimit)}
	k.target.CoolFor(now, r.coldTime(&e))
	r.known[e.ID] = k
	r.dirty = true
	return ChangeAdded
}

// coldTime is how long a target that has just become known may be cold. Its own
// word can be older than its start, so a newcomer counts as cold for the whole
// time that the configuration gives, until a health answer says otherwise.
func (r *Registry) coldTime(e *Entry) time.Duration {
	if !r.listed {
		return e.ColdLeft
	}
	return max(e.ColdLeft, r.coldFor(e.Service))
}

func (r *Registry) coldFor(name string) time.Duration {
	if spec := r.serviceSpec(name); spec != nil {
		return spec.ColdFor
	}
	return 0
}

func (r *Registry) serviceSpec(name string) *routing.Service {
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

func (r *Registry) update(now time.Time, k *known, e Entry) Change {
	change := ChangeUpdated
	switch {
	case e.Draining && !k.entry.Draining:
		change = ChangeDraining
	case e.Draining == k.entry.Draining && e.ColdLeft == 0 && k.missing.IsZero():
		change = ChangeNone
	}
	k.target.CoolFor(now, e.ColdLeft)
	k.entry, k.missing = e, time.Time{}
	r.dirty = r.dirty || change != ChangeNone
	return change
}

// stale tells whether an entry is older than the known one.
func stale(old, next *Entry) bool {
	if next.Born != old.Born {
		return next.Born < old.Born
	}
	return next.Sequence < old.Sequence
}

// sameProcess tells whether two entries describe one target at one place.
func sameProcess(a, b *Entry) bool {
	return a.Born == b.Born && specOf(a) == specOf(b) && a.Service == b.Service
}

func specOf(e *Entry) target.Spec {
	return target.Spec{Name: e.ID, Address: e.Address, Zone: e.Zone, Slots: max(1, e.Slots), Links: e.Slots + spareLimit}
}

// Remove records that the entry of a target is gone. After an outage of the store
// the target stays in use for a while; see missingGrace.
func (r *Registry) Remove(now time.Time, id string, afterOutage bool) Change {
	k := r.known[id]
	if k == nil {
		return ChangeNone
	}
	if afterOutage && !k.entry.Draining {
		if k.missing.IsZero() {
			k.missing = now
		}
		return ChangeMissing
	}
	delete(r.known, id)
	r.dirty = true
	return ChangeRemoved
}

// IDs returns the names of all known targets.
func (r *Registry) IDs() []string { return slices.Sorted(maps.Keys(r.known)) }

// Listed records that the first whole list of targets has been read.
func (r *Registry) Listed() { r.listed = true }

// Evacuate sets whether a zone is to get no work. The servers of a zone that
// comes back may be cold.
func (r *Registry) Evacuate(now time.Time, name string, evacuated bool) bool {
	if r.evacuated[name] == evacuated {
		return false
	}
	if evacuated {
		r.evacuated[name] = true
	} else {
		delete(r.evacuated, name)
		for _, k := range r.known {
			if k.entry.Zone == name {
				k.target.CoolFor(now, r.coldFor(k.entry.Service))
			}
		}
	}
	r.dirty = true
	return true
}

// Evacuated returns the names of the zones that get no work.
func (r *Registry) Evacuated() []string { return slices.Sorted(maps.Keys(r.evacuated)) }

// Configure puts a configuration in force.
func (r *Registry) Configure(config *routing.Config) {
	r.config = config
	r.dirty = true
}

// Refresh removes targets that stayed missing, sets the pace of cold ones, and
// publishes the views if anything changed. It returns the targets that it removed.
func (r *Registry) Refresh(now time.Time) (removed []string) {
	for id, k := range r.known {
		if !k.missing.IsZero() && now.Sub(k.missing) >= missingGrace {
			delete(r.known, id)
			removed = append(removed, id)
			r.dirty = true
		}
	}
	for id, k := range r.known {
		if !k.target.Cool(now) {
			continue
		}
		if spec := r.serviceSpec(k.entry.Service); spec != nil {
			k.target.SetPace(r.terms.Pace(id, spec))
		}
	}
	minimum := r.terms.RetryMinimum()
	for _, s := range *r.services.Load() {
		s.Retries.SetMinimum(minimum)
	}
	if r.dirty && r.config != nil {
		r.dirty = false
		r.publish()
	}
	return removed
}

func (r *Registry) publish() {
	old := *r.services.Load()
	next := make(Services, len(r.config.Services))
	for i := range r.config.Services {
		name := r.config.Services[i].Name
		s := old[name]
		if s == nil {
			s = service.New(name, r.terms.QueueLimit, r.terms.RetryPercent, service.LeastInFlight{})
			s.Retries.SetMinimum(r.terms.RetryMinimum())
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

// zones returns the availability zones of a service with its open targets.
func (r *Registry) zones(name string) []*zone.Zone {
	byName := map[string]*zone.Zone{}
	for _, k := range r.known {
		if k.entry.Service != name || k.entry.Draining {
			continue
		}
		z := byName[k.entry.Zone]
		if z == nil {
			z = &zone.Zone{Name: k.entry.Zone, Out: r.evacuated[k.entry.Zone]}
			if z.Name != r.terms.OwnZone {
				z.RoundTrip = r.terms.RemoteRoundTrip
			}
			byName[k.entry.Zone] = z
		}
		z.Targets = append(z.Targets, k.target)
	}
	all := slices.Collect(maps.Values(byName))
	slices.SortFunc(all, func(a, b *zone.Zone) int { return cmp.Compare(a.Name, b.Name) })
	for _, z := range all {
		slices.SortFunc(z.Targets, func(a, b *target.Target) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	}
	return all
}

// Targets returns all known targets.
func (r *Registry) Targets() []*target.Target {
	all := make([]*target.Target, 0, len(r.known))
	for _, k := range r.known {
		all = append(all, k.target)
	}
	return all
}
