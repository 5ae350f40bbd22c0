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

// inbound handles messages from peers. It implements peerwire.Handler; its
// methods are called on the goroutines of the connections.
type inbound struct {
	*cluster
}

func participant(from peerwire.Identity) lease.Participant {
	return lease.Participant{Instance: from.ID, Incarnation: from.Incarnation}
}

// Heartbeat implements peerwire.Handler.
func (h *inbound) Heartbeat(from peerwire.Identity, heartbeat instance.Heartbeat) {
	h.post(func(now time.Time) {
		h.applyHeartbeat(now, from, heartbeat)
		h.sendConfig(from.ID, heartbeat.From.ConfigVersion)
	})
}

// applyHeartbeat updates the roster and the peers' loads with a heartbeat. The
// roster distinguishes a new incarnation, which means that the peer's previous
// process has ended, from a late heartbeat of that previous process.
func (h *inbound) applyHeartbeat(now time.Time, from peerwire.Identity, heartbeat instance.Heartbeat) {
	before, known := h.deps.Roster.Snapshot().Peer(from.ID)
	h.deps.Status.isolation.RecordPeerMessage(now)
	h.deps.Roster.ApplyHeartbeat(now, heartbeat)
	h.loads.ApplyHeartbeat(now, heartbeat)
	if after, _ := h.deps.Roster.Snapshot().Peer(from.ID); known && before.Incarnation != 0 && after.Incarnation != before.Incarnation {
		h.deps.Broker.HolderEnded(lease.Participant{Instance: from.ID, Incarnation: before.Incarnation})
	}
}

// sendConfig sends the configuration in force to a peer with an older version.
// It is called for each heartbeat of the peer.
func (h *inbound) sendConfig(id string, peerVersion uint64) {
	snapshot := h.deps.Reader.Snapshot()
	if snapshot == nil || snapshot.State.Version <= peerVersion || h.deps.Reader.State() == nil {
		return
	}
	data, err := configlog.Encode(config.Checkpoint{State: snapshot.State, AsOf: snapshot.AsOf, WrittenAt: snapshot.CheckpointAt})
	if err != nil {
		h.deps.Logger.Error().Str("event", "config_not_passed").Err(err).Msg("configuration could not be encoded")
		return
	}
	// If the message is lost, it is sent again at the peer's next heartbeat.
	_ = h.mesh.Send(id, &peerwire.ConfigState{Version: snapshot.State.Version, State: data})
}

// ConfigState implements peerwire.Handler.
func (h *inbound) ConfigState(from peerwire.Identity, m *peerwire.ConfigState) {
	checkpoint, ok := configlog.Decode(m.State).(config.Checkpoint)
	if !ok {
		h.deps.Logger.Warn().Str("event", "config_unreadable").Str("peer", from.ID).Msg("a peer sent a configuration that cannot be decoded")
		return
	}
	h.deps.Reader.Offer(config.Snapshot{State: checkpoint.State, AsOf: checkpoint.AsOf, CheckpointAt: checkpoint.WrittenAt})
}

// Forward implements peerwire.Handler. Once a graceful shutdown has finished
// the last request, no other one is executed: its answer would not reach the
// peer.
func (h *inbound) Forward(ctx context.Context, _ peerwire.Identity, m *peerwire.Forward) *peerwire.ForwardReply {
	if !h.drain.begin() {
		return &peerwire.ForwardReply{Outcome: contract.OutcomeUnknown, Reason: contract.ReasonOwnerUnreachable, Owner: h.deps.Self.Instance}
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

// ColdLeaseRequest implements peerwire.Handler.
func (h *inbound) ColdLeaseRequest(from peerwire.Identity, m *peerwire.ColdLeaseRequest) *peerwire.ColdLeaseReply {
	request := coldstart.LeaseRequest{Target: m.Target, Round: m.Sequence, Generation: uint32(m.Generation)}
	return &peerwire.ColdLeaseReply{Verdict: peerVerdict(h.deps.Broker.HandleLeaseRequest(time.Now(), participant(from), request)), Sequence: m.Sequence}
}

// ColdLeaseRelease implements peerwire.Handler.
func (h *inbound) ColdLeaseRelease(from peerwire.Identity, m *peerwire.ColdLeaseRelease) {
	h.deps.Broker.HandleLeaseRelease(participant(from), coldstart.LeaseRelease{Target: m.Target, Round: m.Sequence})
}

// CrashReport implements peerwire.Handler.
func (h *inbound) CrashReport(_ peerwire.Identity, m *peerwire.CrashReport) {
	var fingerprint contract.Fingerprint
	if copy(fingerprint[:], m.Fingerprint) == len(fingerprint) {
		h.deps.Crashes.Crashed(time.Now(), m.Target, fingerprint)
	}
}

// Connected implements peerwire.Handler.
func (h *inbound) Connected(peer peerwire.Identity) {
	h.deps.Logger.Info().Str("event", "peer_connected").Str("peer", peer.ID).Msg("peer connected")
	// A peer that has just started knows of no crashes, and callers may repeat a
	// request that crashes targets through it.
	for _, report := range h.deps.Crashes.Reports(time.Now()) {
		_ = h.mesh.Send(peer.ID, &peerwire.CrashReport{Fingerprint: report.Fingerprint[:], Target: report.Target})
	}
}

// Broken implements peerwire.Handler.
func (h *inbound) Broken(peer peerwire.Identity) {
	h.deps.Logger.Info().Str("event", "peer_broken").Str("peer", peer.ID).Msg("connection to a peer was lost")
	h.post(func(now time.Time) { h.deps.Roster.ConnectionBroken(now, peer.ID, peer.Incarnation) })
}
