package daemon

import (
	"context"
	"net/http"
	"time"

	"fulmarhoist.example/coldstart"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/instance"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/peerwire"
)

// inbound implements peerwire.Handler. Its methods are called from the
// goroutines of the connections.
type inbound struct {
	*cluster
}

func holderOf(from peerwire.Identity) lease.Participant {
	return lease.Participant{Instance: from.ID, Incarnation: from.Incarnation}
}

// Heartbeat implements peerwire.Handler.
func (h *inbound) Heartbeat(from peerwire.Identity, beat instance.Heartbeat) {
	h.post(func(now time.Time) {
		h.heard(now, from, beat)
		h.passConfig(from.ID, beat.From.ConfigVersion)
	})
}

// heard takes a heartbeat in. The roster tells a new incarnation, at whose
// address the process before it has ended, from a late heartbeat of that process.
func (h *inbound) heard(now time.Time, from peerwire.Identity, beat instance.Heartbeat) {
	before, known := h.parts.Roster.Snapshot().Peer(from.ID)
	h.parts.Standing.isolation.RecordPeerMessage(now)
	h.parts.Roster.ApplyHeartbeat(now, beat)
	h.loads.ApplyHeartbeat(now, beat)
	if after, _ := h.parts.Roster.Snapshot().Peer(from.ID); known && before.Incarnation != 0 && after.Incarnation != before.Incarnation {
		h.parts.Broker.HolderEnded(lease.Participant{Instance: from.ID, Incarnation: before.Incarnation})
	}
}

// passConfig sends the configuration in force to a peer that is behind, once per
// version and heartbeat.
func (h *inbound) passConfig(id string, theirs uint64) {
	snapshot := h.parts.Reader.Snapshot()
	if snapshot == nil || snapshot.State.Version <= theirs || h.parts.Reader.State() == nil {
		return
	}
	data, err := configlog.Encode(config.Checkpoint{State: snapshot.State, AsOf: snapshot.AsOf, WrittenAt: snapshot.CheckpointAt})
	if err != nil {
		h.parts.Logger.Error().Str("event", "config_not_passed").Err(err).Msg("configuration could not be encoded")
		return
	}
	// A message that is lost is sent again after the next heartbeat.
	_ = h.mesh.Send(id, &peerwire.ConfigState{Version: snapshot.State.Version, State: data})
}

// ConfigState implements peerwire.Handler.
func (h *inbound) ConfigState(from peerwire.Identity, m *peerwire.ConfigState) {
	checkpoint, ok := configlog.Decode(m.State).(config.Checkpoint)
	if !ok {
		h.parts.Logger.Warn().Str("event", "config_unreadable").Str("peer", from.ID).Msg("a peer sent a configuration that cannot be read")
		return
	}
	h.parts.Reader.Offer(config.Snapshot{State: checkpoint.State, AsOf: checkpoint.AsOf, CheckpointAt: checkpoint.WrittenAt})
}

// Forward implements peerwire.Handler. After the last request of a planned stop
// none begins: its answer would not reach the peer.
func (h *inbound) Forward(ctx context.Context, _ peerwire.Identity, m *peerwire.Forward) *peerwire.ForwardReply {
	if !h.drain.begin() {
		return &peerwire.ForwardReply{Outcome: contract.OutcomeUnknown, Reason: contract.ReasonOwnerUnreachable, Owner: h.parts.Self.Instance}
	}
	defer h.drain.end()
	header := make(http.Header, len(m.Header))
	for _, field := range m.Header {
		header.Add(field.Name, field.Value)
	}
	answer := h.front.ServeForwarded(ctx, m.Method, m.URI, header, m.Body)
	reply := &peerwire.ForwardReply{
		Outcome: contract.OutcomeAnswered, Status: answer.Status, Body: answer.Body, Replayed: answer.Replayed,
	}
	if answer.BodyDropped {
		reply.Reason = contract.ReasonAnswerNotKept
	}
	if refusal := answer.Refusal; refusal != nil {
		reply.Outcome, reply.Reason = refusal.Outcome, refusal.Reason
		reply.RetryAfter, reply.Owner = refusal.RetryAfter, refusal.Owner
	}
	for name, values := range answer.Header {
		for _, value := range values {
			reply.Header = append(reply.Header, peerwire.Field{Name: name, Value: value})
		}
	}
	return reply
}

// ColdAsk implements peerwire.Handler.
func (h *inbound) ColdAsk(from peerwire.Identity, m *peerwire.ColdAsk) *peerwire.ColdAnswer {
	ask := coldstart.Ask{Target: m.Target, Round: m.Sequence, Generation: uint32(m.Generation)}
	return &peerwire.ColdAnswer{Verdict: verdictOf(h.parts.Broker.OnAsk(time.Now(), holderOf(from), ask)), Sequence: m.Sequence}
}

// ColdRelease implements peerwire.Handler.
func (h *inbound) ColdRelease(from peerwire.Identity, m *peerwire.ColdRelease) {
	h.parts.Broker.OnRelease(holderOf(from), coldstart.Release{Target: m.Target, Round: m.Sequence})
}

// CrashReport implements peerwire.Handler.
func (h *inbound) CrashReport(_ peerwire.Identity, m *peerwire.CrashReport) {
	var fingerprint contract.Fingerprint
	if copy(fingerprint[:], m.Fingerprint) == len(fingerprint) {
		h.parts.Crashes.Crashed(time.Now(), m.Target, fingerprint)
	}
}

// Connected implements peerwire.Handler.
func (h *inbound) Connected(peer peerwire.Identity) {
	h.parts.Logger.Info().Str("event", "peer_connected").Str("peer", peer.ID).Msg("peer connected")
	// A peer that has just started knows no crashes, and callers may send a
	// crashing request through it.
	for _, report := range h.parts.Crashes.Reports(time.Now()) {
		_ = h.mesh.Send(peer.ID, &peerwire.CrashReport{Fingerprint: report.Fingerprint[:], Target: report.Target})
	}
}

// Broken implements peerwire.Handler.
func (h *inbound) Broken(peer peerwire.Identity) {
	h.parts.Logger.Info().Str("event", "peer_broken").Str("peer", peer.ID).Msg("connection to a peer broke")
	h.post(func(now time.Time) { h.parts.Roster.ConnectionBroken(now, peer.ID, peer.Incarnation) })
}
