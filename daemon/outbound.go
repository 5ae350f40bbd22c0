package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/peerwire"
	"fulmarhoist.example/target"
)

// leaseRequestTimeout limits the wait for a peer's reply to a ColdLeaseRequest.
// A lease acquired through a later reply would already have expired, and the
// next round has started by then.
const leaseRequestTimeout = lease.Term

// outbound sends messages to peers. It implements coldstart.Sender and
// link.Events. It is created before the mesh, because the links depend on it;
// open is called before the daemon runs.
type outbound struct {
	members    atomic.Pointer[coldstart.Members]
	leaving    chan string // names of targets that reported that they are leaving
	crashes    *contract.Fingerprints
	logger     zerolog.Logger
	loadProbes atomic.Uint32 // load probes since the instance started

	mesh         *peerwire.Mesh
	onLeaseReply func(now time.Time, from lease.Participant, reply coldstart.LeaseReply)
	ctx          context.Context
	wg           sync.WaitGroup
}

func newOutbound(crashes *contract.Fingerprints, logger zerolog.Logger) *outbound {
	o := &outbound{leaving: make(chan string, 64), crashes: crashes, logger: logger}
	o.members.Store(&coldstart.Members{})
	return o
}

// open sets the mesh and the broker. Requests to peers end when ctx is
// canceled.
func (o *outbound) open(ctx context.Context, mesh *peerwire.Mesh, broker *coldstart.Broker) {
	o.ctx, o.mesh, o.onLeaseReply = ctx, mesh, broker.HandleLeaseReply
}

func (o *outbound) currentMembers() *coldstart.Members { return o.members.Load() }

// targetLeaving records that a target has reported that it is leaving. If the
// channel is full the report is dropped: this instance no longer sends to the
// target, and the target also reports to the other instances.
func (o *outbound) targetLeaving(name string) {
	select {
	case o.leaving <- name:
	default:
	}
}

// StateChanged implements link.Events.
func (o *outbound) StateChanged(t *target.Target) {
	state, generation := t.State()
	o.logger.Info().Str("event", "target_"+state.String()).Str("target", t.Spec.Name).
		Uint32("generation", generation).Int("limit", t.Limit()).Msg("target state changed")
}

// Probed implements link.Events.
func (o *outbound) Probed(*target.Target) { o.loadProbes.Add(1) }

// Crashed implements link.Events. It records the crash and reports it to the
// peers, because the caller may repeat the request through any of them.
func (o *outbound) Crashed(t *target.Target, running []contract.Fingerprint) {
	o.crashes.Crashed(time.Now(), t.Spec.Name, running...)
	o.logger.Warn().Str("event", "target_crashed").Str("target", t.Spec.Name).Int("requests", len(running)).
		Msg("a target crashed with requests in flight")
	_, generation := t.State()
	for _, peer := range o.currentMembers().Live {
		for i := range running {
			// A peer without a connection gets the report when it connects; see
			// inbound.Connected.
			_ = o.mesh.Send(peer.Instance, &peerwire.CrashReport{
				Fingerprint: running[i][:], Target: t.Spec.Name, Generation: uint64(generation),
			})
		}
	}
}

// SendLeaseRequest implements coldstart.Sender.
func (o *outbound) SendLeaseRequest(to lease.Participant, request coldstart.LeaseRequest) {
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, leaseRequestTimeout)
		defer cancel()
		reply, err := o.mesh.RequestColdLease(ctx, to.Instance, &peerwire.ColdLeaseRequest{
			Target: request.Target, Generation: uint64(request.Generation), Sequence: request.Round,
		})
		if err != nil {
			return // the lease needs the consent of every peer; the next round requests it again
		}
		o.onLeaseReply(time.Now(), to, coldstart.LeaseReply{
			Target: request.Target, Round: request.Round, Generation: request.Generation, Reply: leaseReply(reply.Verdict),
		})
	})
}

// SendLeaseRelease implements coldstart.Sender.
func (o *outbound) SendLeaseRelease(to lease.Participant, release coldstart.LeaseRelease) {
	// A lost release only delays the next holder by at most one lease term.
	_ = o.mesh.Send(to.Instance, &peerwire.ColdLeaseRelease{Target: release.Target, Sequence: release.Round})
}

func leaseReply(verdict peerwire.Verdict) lease.Reply {
	switch verdict {
	case peerwire.VerdictGranted:
		return lease.ReplyGranted
	case peerwire.VerdictWarm:
		return lease.ReplyWarm
	default:
		return lease.ReplyRefused
	}
}

func peerVerdict(reply lease.Reply) peerwire.Verdict {
	switch reply {
	case lease.ReplyGranted:
		return peerwire.VerdictGranted
	case lease.ReplyWarm:
		return peerwire.VerdictWarm
	default:
		return peerwire.VerdictRefused
	}
}
