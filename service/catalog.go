package service

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

// Snapshot is the active configuration and the services built from it. The
// snapshot is immutable; each Service in it replaces its own view.
type Snapshot struct {
	State    config.State
	services map[string]*Service
	targets  map[targetKey]*target.Target
	byName   map[string]*target.Target // target names are unique across services
}

// targetKey holds the properties that identify a Target: if one of them changes,
// a new Target is created.
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

// TargetNames returns the names of all configured targets, including those that
// receive no requests, so that instances with the same configuration return the
// same list.
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

// LongestDeadline returns the longest deadline of all request classes that may be
// sent to the target with the given name; 0 if there is none.
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

// hasTarget reports whether a service has a target with the given name.
func hasTarget(spec *config.Service, name string) bool {
	for i := range spec.Targets {
		if spec.Targets[i].Name == name {
			return true
		}
	}
	return false
}

// Targets returns every target that may receive new requests, mapped to the name
// of its service.
func (s *Snapshot) Targets() map[*target.Target]string {
	all := make(map[*target.Target]string, len(s.targets))
	for key, t := range s.targets {
		all[t] = key.service
	}
	return all
}

// Catalog holds the services of one instance. Apply and SetLeaving must be called
// from a single goroutine; Snapshot may be called from any.
type Catalog struct {
	ownZone string
	policy  PolicyName
	leaving map[string]bool           // names of the targets that are shutting down
	latest  map[string]*target.Target // latest target of each name, including those out of service
	current atomic.Pointer[Snapshot]
}

// NewCatalog returns an empty catalog for an instance in ownZone. Each service
// gets its own policy, because some policies have state.
func NewCatalog(ownZone string, policy PolicyName) *Catalog {
	c := &Catalog{ownZone: ownZone, policy: policy, latest: make(map[string]*target.Target)}
	c.current.Store(&Snapshot{})
	return c
}

// Snapshot returns the current snapshot.
func (c *Catalog) Snapshot() *Snapshot { return c.current.Load() }

// Apply activates a configuration and reports whether it did. A state without a
// configuration, or not newer than the active one, is ignored. Unchanged targets
// and services are reused; a target that returns to service is a new, cold one.
func (c *Catalog) Apply(state config.State) bool {
	if state.Config == nil || state.Version <= c.current.Load().State.Version {
		return false
	}
	c.rebuild(state)
	return true
}

// SetLeaving sets the names of the targets that are shutting down, and reports
// whether the set changed.
func (c *Catalog) SetLeaving(names map[string]bool) bool {
	if equalSets(c.leaving, names) {
		return false
	}
	c.leaving = names
	if state := c.current.Load().State; state.Config != nil {
		c.rebuild(state)
	}
	return true
}

// equalSets reports whether two sets hold the same names.
func equalSets(a, b map[string]bool) bool {
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

// rebuild publishes a snapshot of the given state. Services that are no longer
// configured get an empty view.
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
		s, found := old.services[spec.Name]
		if !found {
			s = New(spec.Name, spec.QueueLimit, spec.RetryPercent, c.policy.New())
		}
		s.Queue.SetLimit(spec.QueueLimit)
		s.RetryBudget.SetPercent(spec.RetryPercent)
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

// zones returns the availability zones of one service and adds the service's
// targets to the next snapshot. Targets known from the old snapshot are reused.
func (c *Catalog) zones(old, next *Snapshot, spec *config.Service) []*zone.Zone {
	configuration := next.State.Config
	zones := make([]*zone.Zone, 0, len(configuration.Zones))
	for _, zoneConfig := range configuration.Zones {
		z := &zone.Zone{Name: zoneConfig.Name, Region: zoneConfig.Region, OutOfService: zoneConfig.OutOfService}
		if zoneConfig.Name != c.ownZone {
			z.RoundTrip = time.Duration(zoneConfig.RoundTripMs * float64(time.Millisecond))
		}
		zones = append(zones, z)
		if zoneConfig.OutOfService {
			continue
		}
		for _, targetConfig := range spec.Targets {
			if targetConfig.Zone != zoneConfig.Name || targetConfig.OutOfService || c.leaving[targetConfig.Name] {
				continue
			}
			key := targetKey{spec.Name, targetSpec(targetConfig, configuration.MaxInstances)}
			t, found := old.targets[key]
			if !found {
				t = c.newTarget(key.spec)
			}
			next.targets[key] = t
			next.byName[targetConfig.Name] = t
			z.Targets = append(z.Targets, t)
		}
	}
	return zones
}

// newTarget returns a cold target. Peers identify targets by name and generation,
// so a generation is never reused for the same name.
func (c *Catalog) newTarget(spec target.Spec) *target.Target {
	t := target.New(spec)
	if previous := c.latest[spec.Name]; previous != nil {
		t = previous.Successor(spec)
	}
	c.latest[spec.Name] = t
	return t
}

// targetSpec returns the spec of a configured target. It limits the links of one
// instance so that maxInstances instances together stay within the number of
// connections that the target accepts.
func targetSpec(t config.Target, maxInstances int) target.Spec {
	links := min(t.Slots, t.Connections/max(1, maxInstances))
	return target.Spec{Name: t.Name, Address: t.Address, Zone: t.Zone, Slots: t.Slots, Links: max(1, links)}
}
