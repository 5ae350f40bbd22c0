package config

import (
	"fmt"
	"strconv"
)

// ChangeKind is the kind of difference in a field or list entry.
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

// Change is one difference between two configurations. Paths identify list
// entries by name instead of index, so that a path stays the same when other
// entries are added or removed, for example
// services[orders].targets[orders-3].out.
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

// Diff returns the changes from a to b in the order of the fields. A nil
// configuration is treated as empty.
func Diff(a, b *Configuration) []Change {
	if a == nil {
		a = &Configuration{}
	}
	if b == nil {
		b = &Configuration{}
	}
	d := &differ{}
	d.diffString("deployment", a.Deployment, b.Deployment)
	d.diffInt("max_instances", int64(a.MaxInstances), int64(b.MaxInstances))
	d.diffInt("directory_lifetime_ms", int64(a.DirectoryLifetimeMs), int64(b.DirectoryLifetimeMs))
	d.diffFloat("measuring.probes_per_second", a.Measuring.ProbesPerSecond, b.Measuring.ProbesPerSecond)
	diffList(d, "zones", listPair[Zone]{a.Zones, b.Zones, func(z *Zone) string { return z.Name }, d.diffZone})
	diffList(d, "services", listPair[Service]{a.Services, b.Services, func(s *Service) string { return s.Name }, d.diffService})
	return d.changes
}

// differ collects the changes that Diff finds.
type differ struct{ changes []Change }

func (d *differ) diffString(path, a, b string) {
	if a != b {
		d.changes = append(d.changes, Change{path, Changed, strconv.Quote(a), strconv.Quote(b)})
	}
}

func (d *differ) diffInt(path string, a, b int64) {
	if a != b {
		d.changes = append(d.changes, Change{path, Changed, strconv.FormatInt(a, 10), strconv.FormatInt(b, 10)})
	}
}

func (d *differ) diffFloat(path string, a, b float64) {
	if a != b {
		d.changes = append(d.changes, Change{
			path, Changed,
			strconv.FormatFloat(a, 'g', -1, 64), strconv.FormatFloat(b, 'g', -1, 64),
		})
	}
}

func (d *differ) diffBool(path string, a, b bool) {
	if a != b {
		d.changes = append(d.changes, Change{path, Changed, strconv.FormatBool(a), strconv.FormatBool(b)})
	}
}

func (d *differ) diffZone(path string, a, b *Zone) {
	d.diffString(path+".region", a.Region, b.Region)
	d.diffBool(path+".out", a.OutOfService, b.OutOfService)
	d.diffFloat(path+".round_trip_ms", a.RoundTripMs, b.RoundTripMs)
}

func (d *differ) diffService(path string, a, b *Service) {
	diffList(d, path+".classes", listPair[Class]{a.Classes, b.Classes, func(c *Class) string { return c.Name }, d.diffClass})
	diffList(d, path+".targets", listPair[Target]{a.Targets, b.Targets, func(t *Target) string { return t.Name }, d.diffTarget})
	d.diffInt(path+".cold_start.bears", int64(a.ColdStart.MaxConcurrent), int64(b.ColdStart.MaxConcurrent))
	d.diffInt(path+".cold_start.duration_ms", int64(a.ColdStart.DurationMs), int64(b.ColdStart.DurationMs))
	d.diffInt(path+".cold_start.answers", int64(a.ColdStart.Answers), int64(b.ColdStart.Answers))
	d.diffInt(path+".queue_limit", int64(a.QueueLimit), int64(b.QueueLimit))
	d.diffInt(path+".retry_percent", int64(a.RetryPercent), int64(b.RetryPercent))
}

func (d *differ) diffClass(path string, a, b *Class) {
	d.diffString(path+".priority", string(a.Priority), string(b.Priority))
	d.diffBool(path+".idempotent", a.Idempotent, b.Idempotent)
	d.diffInt(path+".deadline_ms", int64(a.DeadlineMs), int64(b.DeadlineMs))
	d.diffInt(path+".max_body_bytes", a.MaxBodyBytes, b.MaxBodyBytes)
}

func (d *differ) diffTarget(path string, a, b *Target) {
	d.diffString(path+".address", a.Address, b.Address)
	d.diffString(path+".zone", a.Zone, b.Zone)
	d.diffInt(path+".slots", int64(a.Slots), int64(b.Slots))
	d.diffInt(path+".connections", int64(a.Connections), int64(b.Connections))
	d.diffBool(path+".out", a.OutOfService, b.OutOfService)
}

// listPair holds two lists whose entries are matched by name.
type listPair[T any] struct {
	a, b      []T
	name      func(*T) string
	diffEntry func(path string, a, b *T)
}

// uniqueKeys returns the names of the entries. Repeated names, which only an
// invalid configuration has, get a number appended.
func uniqueKeys[T any](entries []T, name func(*T) string) []string {
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

func diffList[T any](d *differ, path string, l listPair[T]) {
	oldKeys, newKeys := uniqueKeys(l.a, l.name), uniqueKeys(l.b, l.name)
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
		l.diffEntry(at, &l.a[i], &l.b[j])
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

// PreserveOutOfService returns a copy of next in which each zone and target
// that is out of service in prev is out of service too; if either is nil, it
// returns next itself. A configuration generated from amended answers does not
// contain these flags; publishing it without them would put zones and servers
// back in service.
func PreserveOutOfService(prev, next *Configuration) *Configuration {
	if prev == nil || next == nil {
		return next
	}
	outOfService := map[string]struct{}{}
	for i := range prev.Zones {
		if z := &prev.Zones[i]; z.OutOfService {
			outOfService["zone "+z.Name] = struct{}{}
		}
	}
	for i := range prev.Services {
		for j := range prev.Services[i].Targets {
			if t := &prev.Services[i].Targets[j]; t.OutOfService {
				outOfService["target "+t.Name] = struct{}{}
			}
		}
	}
	result := next.Clone()
	for i := range result.Zones {
		if _, found := outOfService["zone "+result.Zones[i].Name]; found {
			result.Zones[i].OutOfService = true
		}
	}
	for i := range result.Services {
		for j := range result.Services[i].Targets {
			if _, found := outOfService["target "+result.Services[i].Targets[j].Name]; found {
				result.Services[i].Targets[j].OutOfService = true
			}
		}
	}
	return result
}

// Clone returns a deep copy.
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
