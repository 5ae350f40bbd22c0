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

// askTimeout bounds the wait for a peer's answer about a cold target. A later
// answer would come after the next round has begun.
const askTimeout = lease.Term

// mail carries messages to peers. It exists before the mesh does, because the
// links need it; open is called before the daemon runs.
type mail struct {
	members atomic.Pointer[coldstart.Members]
	leaving chan string // names of targets that said they are leaving
	crashes *contract.Fingerprints
	logger  zerolog.Logger
	probes  atomic.Uint32 // load probes since the start

	mesh     *peerwire.Mesh
	answered func(now time.Time, from lease.Participant, answer coldstart.Answer)
	ctx      context.Context
	group    sync.WaitGroup
}

func newMail(crashes *contract.Fingerprints, logger zerolog.Logger) *mail {
	m := &mail{leaving: make(chan string, 64), crashes: crashes, logger: logger}
	m.members.Store(&coldstart.Members{})
	return m
}

// open connects the mail with the mesh for as long as the context lasts.
func (m *mail) open(ctx context.Context, mesh *peerwire.Mesh, broker *coldstart.Broker) {
	m.ctx, m.mesh, m.answered = ctx, mesh, broker.OnAnswer
}

func (m *mail) membersNow() *coldstart.Members { return m.members.Load() }

// targetLeaving reports a target that said it is leaving. A report that finds
// the channel full is dropped: the target is not sent to here, and repeats it to
// the other instances.
func (m *mail) targetLeaving(name string) {
	select {
	case m.leaving <- name:
	default:
	}
}

// StateChanged implements link.Events.
func (m *mail) StateChanged(t *target.Target) {
	state, generation := t.State()
	m.logger.Info().Str("event", "target_"+state.String()).Str("target", t.Spec.Name).
		Uint32("generation", generation).Int("limit", t.Limit()).Msg("the state of a target changed")
}

// Probed implements link.Events.
func (m *mail) Probed(*target.Target) { m.probes.Add(1) }

// Crashed implements link.Events. It counts the crash here and tells the peers,
// because the caller may send the request again through any of them.
func (m *mail) Crashed(t *target.Target, running []contract.Fingerprint) {
	m.crashes.Crashed(time.Now(), t.Spec.Name, running...)
	m.logger.Warn().Str("event", "target_crashed").Str("target", t.Spec.Name).Int("requests", len(running)).
		Msg("a target went down while it ran requests")
	_, generation := t.State()
	for _, peer := range m.membersNow().Live {
		for i := range running {
			// A peer without a connection learns of the crash when it sees one itself.
			_ = m.mesh.Send(peer.Instance, &peerwire.CrashReport{
				Fingerprint: running[i][:], Target: t.Spec.Name, Generation: uint64(generation),
			})
		}
	}
}

// SendColdAsk implements coldstart.Sender.
func (m *mail) SendColdAsk(to lease.Participant, ask coldstart.Ask) {
	m.group.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, askTimeout)
		defer cancel()
		reply, err := m.mesh.RequestColdLease(ctx, to.Instance, &peerwire.ColdAsk{
			Target: ask.Target, Generation: uint64(ask.Generation), Sequence: ask.Round,
		})
		if err != nil {
			return // the lease needs every answer; the next round asks again
		}
		m.answered(time.Now(), to, coldstart.Answer{
			Target: ask.Target, Round: ask.Round, Generation: ask.Generation, Reply: replyOf(reply.Verdict),
		})
	})
}

// SendColdRelease implements coldstart.Sender.
func (m *mail) SendColdRelease(to lease.Participant, release coldstart.Release) {
	// A lost release only delays the next holder by one term.
	_ = m.mesh.Send(to.Instance, &peerwire.ColdRelease{Target: release.Target, Sequence: release.Round})
}

func replyOf(verdict peerwire.Verdict) lease.Reply {
	switch verdict {
	case peerwire.VerdictGranted:
		return lease.ReplyGranted
	case peerwire.VerdictWarm:
		return lease.ReplyWarm
	default:
		return lease.ReplyRefused
	}
}

func verdictOf(reply lease.Reply) peerwire.Verdict {
	switch reply {
	case lease.ReplyGranted:
		return peerwire.VerdictGranted
	case lease.ReplyWarm:
		return peerwire.VerdictWarm
	default:
		return peerwire.VerdictRefused
	}
}
