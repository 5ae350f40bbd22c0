package instance

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"fulmarhoist.example/target"
)

const (
	// MaxLoads bounds the loads in one heartbeat; 12 take 24 bytes for up to 128
	// targets. With 35 targets that all change, each is reported every 1.5 s.
	MaxLoads = 12
	// loadRefresh is the pause between two reports of an unchanged load.
	loadRefresh = 2 * time.Second
	// loadExpiry is when a load that was not reported again stops counting: after
	// two lost refreshes, or when the peer is gone.
	loadExpiry = 5 * time.Second
)

// Load is what one instance reports about one target.
type Load struct {
	Target   uint32 // index in the Table
	InFlight uint16
	State    target.State
}

// quiet tells whether peers need no report.
func (l Load) quiet() bool { return l.InFlight == 0 && l.State != target.StateLeaving }

// Table numbers the targets of one configuration version. It is immutable.
// Instances with the same version have the same table, so that heartbeats carry
// short numbers instead of names.
type Table struct {
	Version uint64
	names   []string
}

// NewTable returns the table of the given target names.
func NewTable(version uint64, names []string) *Table {
	sorted := slices.Sorted(slices.Values(names))
	return &Table{Version: version, names: slices.Compact(sorted)}
}

// Names returns the target names in the order of their numbers. The caller must
// not change the slice.
func (t *Table) Names() []string { return t.names }

// Reporter chooses the loads for this instance's heartbeats. One goroutine uses
// it.
type Reporter struct {
	table  *Table
	sent   []Load
	sentAt []time.Time
	cursor int
}

// Next returns the loads for the next heartbeat: changed ones first, then those
// due for a refresh, at most MaxLoads. Own holds one load per target of the
// table, in its order. The scan starts behind the last one sent, so that a
// target that changes all the time does not hide others.
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
		return !same && (!own[i].quiet() || !r.sent[i].quiet())
	})
	pick(func(i int) bool { return !own[i].quiet() && now.Sub(r.sentAt[i]) >= loadRefresh })
	slices.SortFunc(loads, func(a, b Load) int { return int(a.Target) - int(b.Target) })
	return loads
}

// PeerLoad is the load of one target over all peers that reported it.
type PeerLoad struct {
	InFlight int
	// Leaving counts the peers that saw the target leave.
	Leaving int
}

// PeerLoads is a snapshot of the reported loads by target name. It is immutable.
type PeerLoads struct {
	Targets map[string]PeerLoad
	// Reporters is how many peers the sums cover. Above FullMeshMax instances it
	// is a part of them.
	Reporters int
}

type peerReport struct {
	incarnation uint64
	heardAt     time.Time
	loads       map[uint32]Load
	at          map[uint32]time.Time
}

// Loads sums the loads that peers report. One goroutine calls its event
// methods; Sums may be called by any.
type Loads struct {
	sums  atomic.Pointer[PeerLoads]
	table *Table
	peers map[string]*peerReport
}

// NewLoads returns an empty sum.
func NewLoads(table *Table) *Loads {
	l := &Loads{table: table, peers: map[string]*peerReport{}}
	l.sums.Store(&PeerLoads{})
	return l
}

// Sums returns the current sums. The caller must not change them.
func (l *Loads) Sums() *PeerLoads { return l.sums.Load() }

// SetTable starts over with the targets of another configuration.
func (l *Loads) SetTable(table *Table) {
	l.table = table
	clear(l.peers)
	l.publish()
}

// Heard takes the loads of a heartbeat in. Loads numbered by another
// configuration are ignored; the instances agree on one within seconds.
func (l *Loads) Heard(now time.Time, beat Beat) {
	if beat.From.ConfigVersion != l.table.Version {
		return
	}
	report := l.peers[beat.From.ID]
	if report == nil || report.incarnation != beat.From.Incarnation {
		report = &peerReport{
			incarnation: beat.From.Incarnation,
			loads:       map[uint32]Load{}, at: map[uint32]time.Time{},
		}
		l.peers[beat.From.ID] = report
	}
	report.heardAt = now
	for _, load := range beat.Loads {
		if int(load.Target) >= len(l.table.names) {
			continue
		}
		report.loads[load.Target], report.at[load.Target] = load, now
	}
	l.publish()
}

// Tick drops loads that were not reported again. It is called once per
// HeartbeatInterval.
func (l *Loads) Tick(now time.Time) {
	for id, report := range l.peers {
		for i, at := range report.at {
			if now.Sub(at) >= loadExpiry {
				delete(report.at, i)
				delete(report.loads, i)
			}
		}
		if now.Sub(report.heardAt) >= loadExpiry {
			delete(l.peers, id)
		}
	}
	l.publish()
}

func (l *Loads) publish() {
	next := &PeerLoads{Targets: map[string]PeerLoad{}, Reporters: len(l.peers)}
	for report := range maps.Values(l.peers) {
		for i, load := range report.loads {
			if load.quiet() {
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
