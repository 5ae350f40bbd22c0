package daemon

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/platform"
)

const (
	// listInterval is the time between reads of the instance list.
	listInterval = 500 * time.Millisecond
	// listTimeout bounds one read of the instance list.
	listTimeout = 2 * time.Second
	// tickInterval is how often the roster looks at silent peers.
	tickInterval = 100 * time.Millisecond
)

// cluster is this instance among the others. Its goroutine is the one writer of
// the roster; the instance list and the peers reach it over channels.
type cluster struct {
	roster   *instance.Roster
	list     platform.InstanceList
	reader   *configlog.Reader
	ledger   *contract.Ledger
	applier  *applier
	standing *standing
	logger   zerolog.Logger

	listings chan platform.Listing
	mail     *mail
}

// clusterParts is what the cluster needs.
type clusterParts struct {
	dig.In

	Roster   *instance.Roster
	List     platform.InstanceList
	Reader   *configlog.Reader
	Ledger   *contract.Ledger
	Applier  *applier
	Standing *standing
	Logger   zerolog.Logger
	Mail     *mail
}

func newCluster(p clusterParts) *cluster {
	return &cluster{
		roster: p.Roster, list: p.List, reader: p.Reader, ledger: p.Ledger, applier: p.Applier,
		standing: p.Standing, logger: p.Logger, mail: p.Mail, listings: make(chan platform.Listing),
	}
}

// run keeps the roster until the context ends.
func (c *cluster) run(ctx context.Context, _ net.Listener) {
	go c.pollList(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case listing := <-c.listings:
			c.roster.Listed(time.Now(), listing)
			c.applier.offerLeaving(leavingTargets(listing))
		case now := <-ticker.C:
			c.tick(now)
		}
		c.publishMembers()
	}
}

func (c *cluster) tick(now time.Time) {
	own := instance.Own{Epoch: c.ledger.Ticket(now).Epoch, Leaving: c.standing.Leaving()}
	if state := c.reader.State(); state != nil {
		own.ConfigVersion = state.Version
	}
	c.roster.Update(now, own)
	c.roster.Tick(now)
	if read := c.reader.LastRead(); !read.IsZero() {
		c.standing.isolation.LogRead(read)
	}
}

func (c *cluster) publishMembers() {
	view := c.roster.View()
	members := &coldstart.Members{Ready: view.SelfListed && view.HeardAllListed}
	for _, peer := range view.Peers {
		if peer.State == instance.StateDead {
			continue
		}
		holder := lease.Holder{Instance: peer.ID, Incarnation: peer.Incarnation}
		members.Peers = append(members.Peers, holder)
		if peer.State == instance.StateLive {
			members.Live = append(members.Live, holder)
		}
	}
	c.mail.members.Store(members)
}

// pollList reads the instance list again and again.
func (c *cluster) pollList(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		read, cancel := context.WithTimeout(ctx, listTimeout)
		listing, err := c.list.List(read)
		cancel()
		if err != nil {
			c.logger.Warn().Str("event", "instance_list_failed").Err(err).Msg("instance list failed")
		} else {
			select {
			case c.listings <- listing:
			case <-ctx.Done():
				return
			}
		}
		timer.Reset(listInterval)
	}
}

func leavingTargets(listing platform.Listing) map[string]bool {
	names := make(map[string]bool)
	for _, member := range listing.Members {
		if member.Kind == platform.KindTarget && member.Leaving {
			names[member.ID] = true
		}
	}
	return names
}

// leave returns true if no other instance is open to callers.
func (c *cluster) leave() (alone bool) {
	for _, peer := range c.roster.View().Peers {
		if peer.Open() {
			return false
		}
	}
	return true
}

// Forward implements httpapi.Forwarder.
func (c *cluster) Forward(_ context.Context, terms *contract.Terms, _ *exchange.Request) contract.Answer {
	return contract.Answer{Refusal: &contract.Refusal{
		Outcome: contract.OutcomeUnknown, Reason: contract.ReasonOwnerLost, Owner: terms.Key.Ticket.Instance,
	}}
}
