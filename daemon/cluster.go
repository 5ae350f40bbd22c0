package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/httpapi"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/peerwire"
	"fulmarhoist.example/service"
	"fulmarhoist.example/settings"
	"fulmarhoist.example/target"
)

const (
	// listInterval is the time between reads of the instance list.
	listInterval = 500 * time.Millisecond
	// listTimeout limits one read of the instance list.
	listTimeout = 2 * time.Second
	// tickInterval is how often the roster checks for silent peers.
	tickInterval = 100 * time.Millisecond
	// inboxEvents is how many events from peers may be queued for the cluster's
	// goroutine. Heartbeats that do not fit are dropped; the next ones make up
	// for them. So are events of broken connections; the roster then suspects
	// the peer when its heartbeats are missing.
	inboxEvents = 1024
)

// clusterDeps are the dependencies of a cluster, which dig injects.
type clusterDeps struct {
	dig.In

	Settings *settings.Settings
	Self     lease.Participant
	Roster   *instance.Roster
	List     backing.InstanceList
	Reader   *configlog.Reader
	Ledger   *contract.Ledger
	Catalog  *service.Catalog
	Broker   *coldstart.Broker
	Crashes  *contract.Fingerprints
	Applier  *applier
	Status   *instanceStatus
	Outbound *outbound
	Logger   zerolog.Logger
}

// leavingNotice records that a target itself has reported that it is leaving.
type leavingNotice struct {
	at         time.Time
	fromTarget bool // reported to this instance, which then informs its peers
}

const (
	// noticeLifetime is how long a leavingNotice is valid if the instance list
	// does not show the target as leaving. A target that stays after all is used
	// again then.
	noticeLifetime = 2 * time.Minute
	// noticeReportPeriod is how long heartbeats tell the peers that the target is
	// leaving.
	noticeReportPeriod = 10 * time.Second
)

// cluster maintains this instance's membership in the deployment. Its goroutine
// is the only writer of the roster and of the peers' loads; it receives the
// instance list and the events from peers over channels.
type cluster struct {
	deps clusterDeps

	front    *httpapi.Front // set before run; serves forwarded requests
	drain    *drain         // set before run
	mesh     *peerwire.Mesh
	listings chan backing.Listing
	inbox    chan func(now time.Time)
	// droppedEvents counts the events that found the inbox full.
	droppedEvents atomic.Uint64

	// The fields below are accessed only by the goroutine of run.
	loads    *instance.Loads
	table    *instance.Table
	reporter instance.Reporter
	// listedLeaving are the targets that are leaving according to the instance
	// list.
	listedLeaving map[string]bool
	// notices are by the name of the target that has reported, to this instance
	// or to a peer, that it is leaving.
	notices            map[string]leavingNotice
	lastHeartbeat      time.Time
	reportedProbes     uint32            // load probes in total at the last heartbeat
	sentConfigVersions map[string]uint64 // configuration version last sent, by peer
}

func newCluster(deps clusterDeps) *cluster {
	table := instance.NewTable(0, nil)
	return &cluster{
		deps:               deps,
		listings:           make(chan backing.Listing),
		inbox:              make(chan func(time.Time), inboxEvents),
		loads:              instance.NewLoads(table),
		table:              table,
		notices:            map[string]leavingNotice{},
		sentConfigVersions: map[string]uint64{},
	}
}

// open creates the mesh. It is called before run and before the first request.
func (c *cluster) open(ctx context.Context, listener net.Listener) error {
	secret, err := c.deps.Settings.Key()
	if err != nil {
		return err
	}
	key, err := peerwire.NewKey(secret)
	if err != nil {
		return err
	}
	c.mesh = peerwire.NewMesh(peerwire.Options{
		Self: peerwire.Identity{
			ID: c.deps.Self.Instance, Incarnation: c.deps.Self.Incarnation, Zone: c.deps.Settings.Zone,
			CallerAddress: c.deps.Settings.Callers.Advertise, PeerAddress: c.deps.Settings.Peers.Advertise,
		},
		Key: key, Listener: listener, Handler: &inbound{c}, Random: rand.Uint64,
	})
	c.deps.Outbound.open(ctx, c.mesh, c.deps.Broker)
	c.mesh.Start()
	return nil
}

// run maintains the roster until ctx is canceled.
func (c *cluster) run(ctx context.Context) {
	defer c.deps.Outbound.wg.Wait()
	defer c.mesh.Close()
	polled := make(chan struct{})
	go func() { defer close(polled); c.pollList(ctx) }()
	defer func() { <-polled }()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case listing := <-c.listings:
			c.deps.Roster.ApplyListing(time.Now(), listing)
			c.listedLeaving = leavingTargets(listing)
			c.submitLeaving()
		case name := <-c.deps.Outbound.leaving:
			c.notices[name] = leavingNotice{at: time.Now(), fromTarget: true}
			c.submitLeaving()
		case event := <-c.inbox:
			event(time.Now())
		case now := <-ticker.C:
			c.tick(now)
		}
		c.publishMembers()
	}
}

// post queues an event from a peer for the cluster's goroutine without
// blocking. The event is dropped and counted if the queue is full: heartbeats are
// repeated, and a broken connection is also noticed by the heartbeats that stop.
func (c *cluster) post(event func(now time.Time)) {
	select {
	case c.inbox <- event:
	default:
		c.droppedEvents.Add(1)
	}
}

// tick updates the roster and the mesh, and sends a heartbeat if one is due.
func (c *cluster) tick(now time.Time) {
	own := instance.LocalState{Epoch: c.deps.Ledger.Ticket(now).Epoch, Leaving: c.deps.Status.Leaving()}
	if state := c.deps.Reader.State(); state != nil {
		own.ConfigVersion = state.Version
	}
	c.deps.Roster.UpdateSelf(now, own)
	c.deps.Roster.Tick(now)
	if read := c.deps.Reader.LastRead(); !read.IsZero() {
		c.deps.Status.isolation.RecordLogRead(read)
	}
	c.mesh.SetPeers(peersNotDead(c.deps.Roster.Snapshot()))
	if now.Sub(c.lastHeartbeat) >= instance.HeartbeatInterval-tickInterval/2 {
		c.lastHeartbeat = now
		c.sendHeartbeat(now)
	}
}

// sendHeartbeat sends a heartbeat and updates the targets with the loads that
// the peers have reported.
func (c *cluster) sendHeartbeat(now time.Time) {
	snapshot := c.deps.Catalog.Snapshot()
	if snapshot.State.Version != c.table.Version {
		c.table = instance.NewTable(snapshot.State.Version, snapshot.TargetNames())
		c.loads.SetTable(c.table)
	}
	c.loads.Tick(now)
	heartbeat := c.deps.Roster.NextHeartbeat(now)
	heartbeat.Loads = c.reporter.Next(now, c.table, c.ownLoads(now, snapshot))
	if read := c.deps.Reader.LastRead(); !read.IsZero() {
		heartbeat.LogAge = now.Sub(read)
	}
	probes := c.deps.Outbound.loadProbes.Load()
	heartbeat.ProbesSent, c.reportedProbes = probes-c.reportedProbes, probes
	if err := c.mesh.SendHeartbeat(heartbeat, c.deps.Roster.Recipients(now, rand.Uint64())); err != nil {
		c.deps.Logger.Error().Str("event", "heartbeat_failed").Err(err).Msg("heartbeat could not be encoded")
	}
	changed := c.expireNotices(now)
	for name, sum := range c.loads.Sums().Targets {
		if t := snapshot.Target(name); t != nil {
			t.ObservePeerLoad(now, float64(sum.InFlight))
		}
		if _, known := c.notices[name]; sum.Leaving > 0 && !known {
			c.notices[name] = leavingNotice{at: now}
			changed = true
		}
	}
	if changed {
		c.submitLeaving()
	}
}

func (c *cluster) expireNotices(now time.Time) (changed bool) {
	for name, n := range c.notices {
		if now.Sub(n.at) >= noticeLifetime {
			delete(c.notices, name)
			changed = true
		}
	}
	return changed
}

// ownLoads returns the loads of this instance in the order of the table.
func (c *cluster) ownLoads(now time.Time, snapshot *service.Snapshot) []instance.Load {
	loads := make([]instance.Load, len(c.table.Names()))
	for i, name := range c.table.Names() {
		if n := c.notices[name]; n.fromTarget && now.Sub(n.at) < noticeReportPeriod {
			loads[i].State = target.StateLeaving
			continue
		}
		if t := snapshot.Target(name); t != nil {
			state, _ := t.State()
			loads[i] = instance.Load{InFlight: uint16(t.InFlight()), State: state}
		}
	}
	return loads
}

// submitLeaving passes the names of all targets that are known to be leaving to
// the applier.
func (c *cluster) submitLeaving() {
	names := make(map[string]bool, len(c.listedLeaving)+len(c.notices))
	for name := range c.listedLeaving {
		names[name] = true
	}
	for name := range c.notices {
		names[name] = true
	}
	c.deps.Applier.submitLeaving(names)
}

func peersNotDead(snapshot *instance.Snapshot) []instance.Instance {
	peers := make([]instance.Instance, 0, len(snapshot.Peers))
	for _, peer := range snapshot.Peers {
		if peer.State != instance.StateDead {
			peers = append(peers, peer)
		}
	}
	return peers
}

// publishMembers publishes the members of the roster for cold starts.
func (c *cluster) publishMembers() {
	snapshot := c.deps.Roster.Snapshot()
	members := &coldstart.Members{Ready: snapshot.SelfListed && snapshot.ContactedByAllListed}
	for _, peer := range peersNotDead(snapshot) {
		member := lease.Participant{Instance: peer.ID, Incarnation: peer.Incarnation}
		members.Peers = append(members.Peers, member)
		if peer.State == instance.StateLive {
			members.Live = append(members.Live, member)
		}
	}
	c.deps.Outbound.members.Store(members)
}

// isAlone reports whether no other instance accepts callers.
func (c *cluster) isAlone() (alone bool) {
	for _, peer := range c.deps.Roster.Snapshot().Peers {
		if peer.AcceptsCallers() {
			return false
		}
	}
	return true
}
