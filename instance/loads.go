package instance

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"fulmarhoist.example/target"
)

const (
	// MaxLoads is the maximum number of loads in one heartbeat; 12 take 24 bytes
	// with up to 128 targets. With 35 targets that all change, each is reported
	// every 1.5 s.
	MaxLoads = 12
	// loadRefresh is the interval at which an unchanged load is reported again.
	loadRefresh = 2 * time.Second
	// loadExpiry is the age at which a reported load is discarded. By then two
	// refreshes have been lost, or the peer is gone.
	loadExpiry = 5 * time.Second
)

// Load is the load that one instance puts on one target.
type Load struct {
	Target   uint32 // index in the Table
	InFlight uint16
	State    target.State
}

// isDefault reports whether the load is what peers assume without a report: no
// requests in flight and not leaving.
func (l Load) isDefault() bool { return l.InFlight == 0 && l.State != target.StateLeaving }

// Table numbers the targets of one configuration version. It is immutable.
// Instances with the same version have the same table, so that heartbeats can
// carry small numbers instead of names.
type Table struct {
	Version uint64
	names   []string
}

// NewTable returns a table of the given target names without duplicates.
func NewTable(version uint64, names []string) *Table {
	sorted := slices.Sorted(slices.Values(names))
	return &Table{Version: version, names: slices.Compact(sorted)}
}

// Names returns the target names in the order of their numbers. The caller must
// not modify the slice.
func (t *Table) Names() []string { return t.names }

// Reporter selects the loads for this instance's heartbeats. It must be used by
// one goroutine only.
type Reporter struct {
	table  *Table
	sent   []Load // last reported load of each target
	sentAt []time.Time
	cursor int // index at which the next scan starts
}

// Next returns the loads for the next heartbeat, sorted by target. It selects up
// to MaxLoads: changed ones first, then those due for a refresh. Own holds one
// load per target, in the order of the table. The scan starts after the target
// reported last, so that targets that change all the time do not starve others.
func (r *Reporter) Next(now time.Time, table *Table, own []Load) []Load {
	if r.table != table {
		r.table, r.cursor = table, 0
		r.sent = make([]Load, len(table.names))
		r.sentAt = make([]time.Time, len(table.names))
	}
	count := min(len(own), len(r.sent))
	var loads []Load
	pick := func(due func(i int) bool) {
		start := r.cursor
		for step := 0; step < count && len(loads) < MaxLoads; step++ {
			i := (start + step) % count
			if !due(i) {
				continue
			}
			r.sent[i], r.sentAt[i], r.cursor = own[i], now, (i+1)%count
			load := own[i]
			load.Target = uint32(i)
			loads = append(loads, load)
		}
	}
	pick(func(i int) bool {
		same := own[i].InFlight == r.sent[i].InFlight && own[i].State == r.sent[i].State
		return !same && (!own[i].isDefault() || !r.sent[i].isDefault())
	})
	pick(func(i int) bool { return !own[i].isDefault() && now.Sub(r.sentAt[i]) >= loadRefresh })
	slices.SortFunc(loads, func(a, b Load) int { return int(a.Target) - int(b.Target) })
	return loads
}

// PeerLoad is the load of one target, summed over the peers that reported it.
type PeerLoad struct {
	InFlight int
	// Leaving is the number of peers that report the target as leaving.
	Leaving int
}

// PeerLoads is an immutable snapshot of the reported loads by target name.
type PeerLoads struct {
	Targets map[string]PeerLoad
	// Reporters is the number of peers that the sums include. With more than
	// FullMeshMax instances that is only a part of the peers.
	Reporters int
}

// peerReport holds the loads that one incarnation of a peer has reported, by
// target number.
type peerReport struct {
	incarnation uint64
	heardAt     time.Time
	loads       map[uint32]Load
	reportedAt  map[uint32]time.Time
}

// Loads sums the loads that peers report. Its event methods must be called by
// one goroutine; Sums may be called by any.
type Loads struct {
	sums  atomic.Pointer[PeerLoads]
	table *Table
	peers map[string]*peerReport
}

// NewLoads returns a Loads without reports.
func NewLoads(table *Table) *Loads {
	l := &Loads{table: table, peers: map[string]*peerReport{}}
	l.sums.Store(&PeerLoads{})
	return l
}

// Sums returns the current sums. The caller must not modify them.
func (l *Loads) Sums() *PeerLoads { return l.sums.Load() }

// SetTable discards all reports and switches to the targets of another
// configuration version.
func (l *Loads) SetTable(table *Table) {
	l.table = table
	clear(l.peers)
	l.publish()
}

// ApplyHeartbeat records the loads of a heartbeat. Loads of another
// configuration version are ignored; all instances get the same version within
// seconds.
func (l *Loads) ApplyHeartbeat(now time.Time, heartbeat Heartbeat) {
	if heartbeat.From.ConfigVersion != l.table.Version {
		return
	}
	report := l.peers[heartbeat.From.ID]
	if report == nil || report.incarnation != heartbeat.From.Incarnation {
		report = &peerReport{
			incarnation: heartbeat.From.Incarnation,
			loads:       map[uint32]Load{}, reportedAt: map[uint32]time.Time{},
		}
		l.peers[heartbeat.From.ID] = report
	}
	report.heardAt = now
	for _, load := range heartbeat.Loads {
		if int(load.Target) >= len(l.table.names) {
			continue
		}
		report.loads[load.Target], report.reportedAt[load.Target] = load, now
	}
	l.publish()
}

// Tick discards loads that were not reported again in time. It must be called
// once per HeartbeatInterval.
func (l *Loads) Tick(now time.Time) {
	for id, report := range l.peers {
		for i, at := range report.reportedAt {
			if now.Sub(at) >= loadExpiry {
				delete(report.reportedAt, i)
				delete(report.loads, i)
			}
		}
		if now.Sub(report.heardAt) >= loadExpiry {
			delete(l.peers, id)
		}
	}
	l.publish()
}

// publish computes the sums and replaces the snapshot.
func (l *Loads) publish() {
	next := &PeerLoads{Targets: map[string]PeerLoad{}, Reporters: len(l.peers)}
	for report := range maps.Values(l.peers) {
		for i, load := range report.loads {
			if load.isDefault() {
				continue
			}
			sum := next.Targets[l.table.names[i]]
			sum.InFlight += int(load.InFlight)
			if load.State == target.StateLeaving {
				sum.Leaving++
			}
			next.Targets[l.table.names[i]] = sum
		}
	}
	l.sums.Store(next)
}
