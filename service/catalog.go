package service

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

// Snapshot is the configuration in force with the services made from it. It is
// immutable; the services in it replace their own views.
type Snapshot struct {
	State    config.State
	services map[string]*Service
	targets  map[targetKey]*target.Target
	byName   map[string]*target.Target // names are unique among all services
}

// targetKey holds every property of a target that needs a new object when it
// changes.
type targetKey struct {
	service string
	spec    target.Spec
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	found, ok := s.services[name]
	return found, ok
}

// Target returns the target with the given name, or nil.
func (s *Snapshot) Target(name string) *target.Target { return s.byName[name] }

// TargetNames returns the names of all configured targets, also of those that
// get no work, so that instances with one configuration list the same ones.
func (s *Snapshot) TargetNames() []string {
	if s.State.Config == nil {
		return nil
	}
	var names []string
	for i := range s.State.Config.Services {
		for _, t := range s.State.Config.Services[i].Targets {
			names = append(names, t.Name)
		}
	}
	return names
}

// LongestDeadline returns the longest time that a request may run on a target.
func (s *Snapshot) LongestDeadline(name string) time.Duration {
	var longest time.Duration
	if s.State.Config == nil {
		return 0
	}
	for i := range s.State.Config.Services {
		spec := &s.State.Config.Services[i]
		if !hasTarget(spec, name) {
			continue
		}
		for _, class := range spec.Classes {
			longest = max(longest, class.Deadline())
		}
	}
	return longest
}

func hasTarget(spec *config.Service, name string) bool {
	for i := range spec.Targets {
		if spec.Targets[i].Name == name {
			return true
		}
	}
	return false
}

// Targets returns every target that may get new work, by service name.
func (s *Snapshot) Targets() map[*target.Target]string {
	all := make(map[*target.Target]string, len(s.targets))
	for key, t := range s.targets {
		all[t] = key.service
	}
	return all
}

// Catalog holds the services of one entry instance. Apply and SetLeaving are
// called by one goroutine; Snapshot by any.
type Catalog struct {
	ownZone string
	policy  PolicyName
	leaving map[string]bool           // names of targets that are leaving
	last    map[string]*target.Target // newest target of each name, also of those that are out
	current atomic.Pointer[Snapshot]
}

// NewCatalog returns a catalog without services for an instance in ownZone. Each
// service gets a policy of its own, since some policies keep a state.
func NewCatalog(ownZone string, policy PolicyName) *Catalog {
	c := &Catalog{ownZone: ownZone, policy: policy, last: make(map[string]*target.Target)}
	c.current.Store(&Snapshot{})
	return c
}

// Snapshot returns the current snapshot.
func (c *Catalog) Snapshot() *Snapshot { return c.current.Load() }

// Apply puts a configuration in force. A state that is not newer than the one
// in force is ignored. Targets and services that did not change keep their
// objects; a target that was out and returns is a new, cold one.
func (c *Catalog) Apply(state config.State) bool {
	if state.Config == nil || state.Version <= c.current.Load().State.Version {
		return false
	}
	c.rebuild(state)
	return true
}

// SetLeaving sets the names of the targets that are leaving, and tells whether
// this changed anything.
func (c *Catalog) SetLeaving(names map[string]bool) bool {
	if sameNames(c.leaving, names) {
		return false
	}
	c.leaving = names
	if state := c.current.Load().State; state.Config != nil {
		c.rebuild(state)
	}
	return true
}

func sameNames(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for name := range a {
		if !b[name] {
			return false
		}
	}
	return true
}

func (c *Catalog) rebuild(state config.State) {
	old := c.current.Load()
	next := &Snapshot{
		State:    state,
		services: make(map[string]*Service, len(state.Config.Services)),
		targets:  make(map[targetKey]*target.Target),
		byName:   make(map[string]*target.Target),
	}
	for i := range state.Config.Services {
		spec := &state.Config.Services[i]
		s, known := old.services[spec.Name]
		if !known {
			s = New(spec.Name, spec.QueueLimit, spec.RetryPercent, c.policy.New())
		}
		s.Queue.SetLimit(spec.QueueLimit)
		s.Retries.SetPercent(spec.RetryPercent)
		next.services[spec.Name] = s
		s.Replace(NewView(state.Version, c.zones(old, next, spec)))
	}
	c.current.Store(next)
	for name, s := range old.services {
		if next.services[name] == nil {
			s.Replace(&View{Version: state.Version})
		}
	}
}

// zones returns the availability zones of one service and enters its targets
// into the next snapshot.
func (c *Catalog) zones(old, next *Snapshot, spec *config.Service) []*zone.Zone {
	configuration := next.State.Config
	zones := make([]*zone.Zone, 0, len(configuration.Zones))
	for _, z := range configuration.Zones {
		made := &zone.Zone{Name: z.Name, Region: z.Region, Out: z.Out}
		if z.Name != c.ownZone {
			made.RoundTrip = time.Duration(z.RoundTripMs * float64(time.Millisecond))
		}
		zones = append(zones, made)
		if z.Out {
			continue
		}
		for _, t := range spec.Targets {
			if t.Zone != z.Name || t.Out || c.leaving[t.Name] {
				continue
			}
			key := targetKey{spec.Name, targetSpec(t, configuration.MaxInstances)}
			kept, known := old.targets[key]
			if !known {
				kept = c.newTarget(key.spec)
			}
			next.targets[key] = kept
			next.byName[t.Name] = kept
			made.Targets = append(made.Targets, kept)
		}
	}
	return zones
}

// newTarget returns a cold target. Peers know targets by name and generation, so
// the generations of a name are never used again.
func (c *Catalog) newTarget(spec target.Spec) *target.Target {
	made := target.New(spec)
	if before := c.last[spec.Name]; before != nil {
		made = before.Successor(spec)
	}
	c.last[spec.Name] = made
	return made
}

// targetSpec limits the links of one instance so that all instances together
// stay within the connections that the server accepts.
func targetSpec(t config.Target, maxInstances int) target.Spec {
	links := min(t.Slots, t.Connections/max(1, maxInstances))
	return target.Spec{Name: t.Name, Address: t.Address, Zone: t.Zone, Slots: t.Slots, Links: max(1, links)}
}
