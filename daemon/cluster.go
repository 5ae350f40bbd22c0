package daemon

import (
	"context"
	"math/rand/v2"
	"net"
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
	// listTimeout bounds one read of the instance list.
	listTimeout = 2 * time.Second
	// tickInterval is how often the roster looks at silent peers.
	tickInterval = 100 * time.Millisecond
	// inboxSize is how many events of peers may wait for the cluster's goroutine.
	// Beats that do not fit are dropped; the next ones make up for them.
	inboxSize = 1024
)

// clusterParts is what the cluster works with.
type clusterParts struct {
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
	Standing *standing
	Mail     *mail
	Logger   zerolog.Logger
}

// notice is a target's own word that it is leaving.
type notice struct {
	at   time.Time
	here bool // said to this instance, which then tells its peers
}

const (
	// noticeLifetime is how long a target's word counts if the instance list does
	// not show it as leaving. A target that stays after all is asked again then.
	noticeLifetime = 2 * time.Minute
	// noticeReport is how long peers are told.
	noticeReport = 10 * time.Second
)

// cluster is this instance among the others. Its goroutine is the one writer of
// the roster and of the peers' loads; the instance list and the peers reach it
// over channels.
type cluster struct {
	parts clusterParts

	front    *httpapi.Front // set before run, to serve forwarded requests
	drain    *drain         // set before run
	mesh     *peerwire.Mesh
	listings chan backing.Listing
	inbox    chan func(now time.Time)

	// The fields below belong to the goroutine of run.
	loads    *instance.Loads
	table    *instance.Table
	reporter instance.Reporter
	listed   map[string]bool   // targets that the instance list shows as leaving
	told     map[string]notice // targets that said they are leaving, here or to a peer
	beatAt   time.Time
	probes   uint32            // load probes when the last heartbeat was made
	sentTo   map[string]uint64 // configuration version last sent, by peer
}

func newCluster(p clusterParts) *cluster {
	table := instance.NewTable(0, nil)
	return &cluster{
		parts:    p,
		listings: make(chan backing.Listing),
		inbox:    make(chan func(time.Time), inboxSize),
		loads:    instance.NewLoads(table),
		table:    table,
		told:     map[string]notice{},
		sentTo:   map[string]uint64{},
	}
}

// open makes the mesh. It comes before run and before the first request.
func (c *cluster) open(ctx context.Context, listener net.Listener) error {
	secret, err := c.parts.Settings.Key()
	if err != nil {
		return err
	}
	key, err := peerwire.NewKey(secret)
	if err != nil {
		return err
	}
	c.mesh = peerwire.NewMesh(peerwire.Options{
		Self: peerwire.Identity{
			ID: c.parts.Self.Instance, Incarnation: c.parts.Self.Incarnation, Zone: c.parts.Settings.Zone,
			CallerAddress: c.parts.Settings.Callers.Advertise, PeerAddress: c.parts.Settings.Peers.Advertise,
		},
		Key: key, Listener: listener, Handler: &inbound{c}, Random: rand.Uint64,
	})
	c.parts.Mail.open(ctx, c.mesh, c.parts.Broker)
	return nil
}

// run keeps the roster until the context ends.
func (c *cluster) run(ctx context.Context) {
	defer c.parts.Mail.group.Wait()
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
			c.parts.Roster.ApplyListing(time.Now(), listing)
			c.listed = leavingTargets(listing)
			c.offerLeaving()
		case name := <-c.parts.Mail.leaving:
			c.told[name] = notice{at: time.Now(), here: true}
			c.offerLeaving()
		case event := <-c.inbox:
			event(time.Now())
		case now := <-ticker.C:
			c.tick(now)
		}
		c.publishMembers()
	}
}

// post hands an event of a peer to the cluster's goroutine without waiting.
func (c *cluster) post(event func(now time.Time)) {
	select {
	case c.inbox <- event:
	default:
	}
}

func (c *cluster) tick(now time.Time) {
	own := instance.LocalState{Epoch: c.parts.Ledger.Ticket(now).Epoch, Leaving: c.parts.Standing.Leaving()}
	if state := c.parts.Reader.State(); state != nil {
		own.ConfigVersion = state.Version
	}
	c.parts.Roster.UpdateSelf(now, own)
	c.parts.Roster.Tick(now)
	if read := c.parts.Reader.LastRead(); !read.IsZero() {
		c.parts.Standing.isolation.RecordLogRead(read)
	}
	c.mesh.SetPeers(alive(c.parts.Roster.Snapshot()))
	if now.Sub(c.beatAt) >= instance.HeartbeatInterval-tickInterval/2 {
		c.beatAt = now
		c.beat(now)
	}
}

// beat sends a heartbeat and hands the peers' loads to the targets.
func (c *cluster) beat(now time.Time) {
	snapshot := c.parts.Catalog.Snapshot()
	if snapshot.State.Version != c.table.Version {
		c.table = instance.NewTable(snapshot.State.Version, snapshot.TargetNames())
		c.loads.SetTable(c.table)
	}
	c.loads.Tick(now)
	beat := c.parts.Roster.NextBeat(now)
	beat.Loads = c.reporter.Next(now, c.table, c.ownLoads(now, snapshot))
	if read := c.parts.Reader.LastRead(); !read.IsZero() {
		beat.LogAge = now.Sub(read)
	}
	spent := c.parts.Mail.probes.Load()
	beat.ProbesSent, c.probes = spent-c.probes, spent
	if err := c.mesh.SendHeartbeat(beat, c.parts.Roster.Recipients(now, rand.Uint64())); err != nil {
		c.parts.Logger.Error().Str("event", "heartbeat_failed").Err(err).Msg("heartbeat could not be encoded")
	}
	changed := c.forgetNotices(now)
	for name, sum := range c.loads.Sums().Targets {
		if t := snapshot.Target(name); t != nil {
			t.ObservePeerLoad(now, float64(sum.InFlight))
		}
		if _, known := c.told[name]; sum.Leaving > 0 && !known {
			c.told[name] = notice{at: now}
			changed = true
		}
	}
	if changed {
		c.offerLeaving()
	}
}

func (c *cluster) forgetNotices(now time.Time) (changed bool) {
	for name, n := range c.told {
		if now.Sub(n.at) >= noticeLifetime {
			delete(c.told, name)
			changed = true
		}
	}
	return changed
}

func (c *cluster) ownLoads(now time.Time, snapshot *service.Snapshot) []instance.Load {
	loads := make([]instance.Load, len(c.table.Names()))
	for i, name := range c.table.Names() {
		if n := c.told[name]; n.here && now.Sub(n.at) < noticeReport {
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

// offerLeaving hands over all targets that are known to leave.
func (c *cluster) offerLeaving() {
	names := make(map[string]bool, len(c.listed)+len(c.told))
	for name := range c.listed {
		names[name] = true
	}
	for name := range c.told {
		names[name] = true
	}
	c.parts.Applier.offerLeaving(names)
}

func alive(view *instance.Snapshot) []instance.Instance {
	peers := make([]instance.Instance, 0, len(view.Peers))
	for _, peer := range view.Peers {
		if peer.State != instance.StateDead {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (c *cluster) publishMembers() {
	view := c.parts.Roster.Snapshot()
	members := &coldstart.Members{Ready: view.SelfListed && view.ContactedByAllListed}
	for _, peer := range alive(view) {
		holder := lease.Participant{Instance: peer.ID, Incarnation: peer.Incarnation}
		members.Peers = append(members.Peers, holder)
		if peer.State == instance.StateLive {
			members.Live = append(members.Live, holder)
		}
	}
	c.parts.Mail.members.Store(members)
}

// leave returns true if no other instance is open to callers.
func (c *cluster) leave() (alone bool) {
	for _, peer := range c.parts.Roster.Snapshot().Peers {
		if peer.AcceptsCallers() {
			return false
		}
	}
	return true
}
