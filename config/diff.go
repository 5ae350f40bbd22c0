package config

import (
	"fmt"
	"strconv"
)

// ChangeKind tells what happened to a field or list entry.
type ChangeKind string

const (
	// Added marks a list entry that only the second configuration has.
	Added ChangeKind = "added"
	// Removed marks a list entry that only the first configuration has.
	Removed ChangeKind = "removed"
	// Changed marks a field with different values.
	Changed ChangeKind = "changed"
	// Reordered marks a list whose common entries are in another order.
	Reordered ChangeKind = "reordered"
)

// Change is one difference between two configurations. List entries are named,
// not numbered, so that a path stays the same when others come or go, for
// example services[orders].targets[orders-3].out.
type Change struct {
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	Old  string     `json:"old,omitempty"`
	New  string     `json:"new,omitempty"`
}

func (c Change) String() string {
	if c.Kind == Changed {
		return fmt.Sprintf("%s: %s -> %s", c.Path, c.Old, c.New)
	}
	return fmt.Sprintf("%s: %s", c.Path, c.Kind)
}

// Diff lists what changes from a to b, in the order of the fields. Nil stands
// for the empty configuration.
func Diff(a, b *Configuration) []Change {
	if a == nil {
		a = &Configuration{}
	}
	if b == nil {
		b = &Configuration{}
	}
	d := &differ{}
	d.text("deployment", a.Deployment, b.Deployment)
	d.number("max_instances", int64(a.MaxInstances), int64(b.MaxInstances))
	d.number("directory_lifetime_ms", int64(a.DirectoryLifetimeMs), int64(b.DirectoryLifetimeMs))
	d.float("measuring.probes_per_second", a.Measuring.ProbesPerSecond, b.Measuring.ProbesPerSecond)
	diffList(d, "zones", lists[Zone]{a.Zones, b.Zones, func(z *Zone) string { return z.Name }, d.zone})
	diffList(d, "services", lists[Service]{a.Services, b.Services, func(s *Service) string { return s.Name }, d.service})
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) text(path, a, b string) {
	if a != b {
		d.changes = append(d.changes, Change{path, Changed, strconv.Quote(a), strconv.Quote(b)})
	}
}

func (d *differ) number(path string, a, b int64) {
	if a != b {
		d.changes = append(d.changes, Change{path, Changed, strconv.FormatInt(a, 10), strconv.FormatInt(b, 10)})
	}
}

func (d *differ) float(path string, a, b float64) {
	if a != b {
		d.changes = append(d.changes, Change{
			path, Changed,
			strconv.FormatFloat(a, 'g', -1, 64), strconv.FormatFloat(b, 'g', -1, 64),
		})
	}
}

func (d *differ) flag(path string, a, b bool) {
	if a != b {
		d.changes = append(d.changes, Change{path, Changed, strconv.FormatBool(a), strconv.FormatBool(b)})
	}
}

func (d *differ) zone(path string, a, b *Zone) {
	d.text(path+".region", a.Region, b.Region)
	d.flag(path+".out", a.Out, b.Out)
	d.float(path+".round_trip_ms", a.RoundTripMs, b.RoundTripMs)
}

func (d *differ) service(path string, a, b *Service) {
	diffList(d, path+".classes", lists[Class]{a.Classes, b.Classes, func(c *Class) string { return c.Name }, d.class})
	diffList(d, path+".targets", lists[Target]{a.Targets, b.Targets, func(t *Target) string { return t.Name }, d.target})
	d.number(path+".cold_start.bears", int64(a.ColdStart.Bears), int64(b.ColdStart.Bears))
	d.number(path+".cold_start.duration_ms", int64(a.ColdStart.DurationMs), int64(b.ColdStart.DurationMs))
	d.number(path+".cold_start.answers", int64(a.ColdStart.Answers), int64(b.ColdStart.Answers))
	d.number(path+".queue_limit", int64(a.QueueLimit), int64(b.QueueLimit))
	d.number(path+".retry_percent", int64(a.RetryPercent), int64(b.RetryPercent))
}

func (d *differ) class(path string, a, b *Class) {
	d.text(path+".priority", string(a.Priority), string(b.Priority))
	d.flag(path+".idempotent", a.Idempotent, b.Idempotent)
	d.number(path+".deadline_ms", int64(a.DeadlineMs), int64(b.DeadlineMs))
	d.number(path+".max_body_bytes", a.MaxBodyBytes, b.MaxBodyBytes)
}

func (d *differ) target(path string, a, b *Target) {
	d.text(path+".address", a.Address, b.Address)
	d.text(path+".zone", a.Zone, b.Zone)
	d.number(path+".slots", int64(a.Slots), int64(b.Slots))
	d.number(path+".connections", int64(a.Connections), int64(b.Connections))
	d.flag(path+".out", a.Out, b.Out)
}

// lists is a pair of lists whose entries are matched by name.
type lists[T any] struct {
	a, b    []T
	name    func(*T) string
	compare func(path string, a, b *T)
}

// keys numbers repeated names, which an invalid configuration may have.
func keys[T any](entries []T, name func(*T) string) []string {
	count := map[string]int{}
	result := make([]string, len(entries))
	for i := range entries {
		key := name(&entries[i])
		count[key]++
		result[i] = key
		if n := count[key]; n > 1 {
			result[i] = fmt.Sprintf("%s#%d", key, n)
		}
	}
	return result
}

func diffList[T any](d *differ, path string, l lists[T]) {
	oldKeys, newKeys := keys(l.a, l.name), keys(l.b, l.name)
	position := make(map[string]int, len(newKeys))
	for i, key := range newKeys {
		position[key] = i
	}
	common := make(map[string]struct{}, len(oldKeys))
	last, ordered := -1, true
	for i, key := range oldKeys {
		at := fmt.Sprintf("%s[%s]", path, key)
		j, found := position[key]
		if !found {
			d.changes = append(d.changes, Change{Path: at, Kind: Removed})
			continue
		}
		common[key] = struct{}{}
		ordered = ordered && j > last
		last = j
		l.compare(at, &l.a[i], &l.b[j])
	}
	for _, key := range newKeys {
		if _, found := common[key]; !found {
			d.changes = append(d.changes, Change{Path: fmt.Sprintf("%s[%s]", path, key), Kind: Added})
		}
	}
	if !ordered {
		d.changes = append(d.changes, Change{Path: path, Kind: Reordered})
	}
}

// KeepOut returns next with the out-of-service marks of prev on the zones and
// targets that both have. A configuration generated from amended answers knows
// nothing of these marks; publishing it without them would put zones and
// servers back in service.
func KeepOut(prev, next *Configuration) *Configuration {
	if prev == nil || next == nil {
		return next
	}
	out := map[string]struct{}{}
	for i := range prev.Zones {
		if z := &prev.Zones[i]; z.Out {
			out["zone "+z.Name] = struct{}{}
		}
	}
	for i := range prev.Services {
		for j := range prev.Services[i].Targets {
			if t := &prev.Services[i].Targets[j]; t.Out {
				out["target "+t.Name] = struct{}{}
			}
		}
	}
	kept := next.Clone()
	for i := range kept.Zones {
		if _, found := out["zone "+kept.Zones[i].Name]; found {
			kept.Zones[i].Out = true
		}
	}
	for i := range kept.Services {
		for j := range kept.Services[i].Targets {
			if _, found := out["target "+kept.Services[i].Targets[j].Name]; found {
				kept.Services[i].Targets[j].Out = true
			}
		}
	}
	return kept
}

// Clone returns a copy that shares nothing with the original.
func (c *Configuration) Clone() *Configuration {
	copied := *c
	copied.Zones = append([]Zone(nil), c.Zones...)
	copied.Services = append([]Service(nil), c.Services...)
	for i := range copied.Services {
		s := &copied.Services[i]
		s.Classes = append([]Class(nil), s.Classes...)
		s.Targets = append([]Target(nil), s.Targets...)
	}
	return &copied
}
