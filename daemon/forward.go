package daemon

import (
	"context"
	"io"
	"net/http"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/httpapi"
	"fulmarhoist.example/peerwire"
)

// maxForwardBytes limits the body of a forwarded request. A frame of the peer
// protocol holds 4 MiB, including all headers.
const maxForwardBytes = 3 << 20

// Forward implements httpapi.Forwarder. If the owner does not answer, the
// request is not sent to a target from here, because the owner may have
// executed it.
func (c *cluster) Forward(ctx context.Context, terms *contract.Terms, request *exchange.Request) contract.Answer {
	owner := terms.Key.Ticket.Instance
	unreachable := contract.Answer{Refusal: &contract.Refusal{
		Outcome: contract.OutcomeUnknown, Reason: contract.ReasonOwnerUnreachable, Owner: owner,
	}}
	if peer, known := c.deps.Roster.Snapshot().Peer(owner); !known || peer.Incarnation != terms.Key.Ticket.Incarnation {
		return unreachable
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxForwardBytes+1))
	if err != nil || len(body) > maxForwardBytes {
		return unreachable
	}
	ctx, cancel := context.WithDeadline(ctx, terms.Deadline)
	defer cancel()
	message := &peerwire.Forward{Method: request.Method, URI: request.URL.RequestURI(), Body: body}
	for name, values := range httpapi.ForwardHeader(ctx, terms, request.Header) {
		for _, value := range values {
			message.Header = append(message.Header, peerwire.Field{Name: name, Value: value})
		}
	}
	reply, err := c.mesh.Forward(ctx, owner, message)
	if err != nil {
		c.deps.Logger.Warn().Str("event", "forward_failed").Str("owner", owner).Err(err).Msg("the owner of a request key did not answer a forwarded request")
		return unreachable
	}
	return answerFromReply(reply)
}

func answerFromReply(reply *peerwire.ForwardReply) contract.Answer {
	if reply.Outcome != contract.OutcomeAnswered {
		return contract.Answer{Replayed: reply.Replayed, Refusal: &contract.Refusal{
			Outcome: reply.Outcome, Reason: reply.Reason, RetryAfter: reply.RetryAfter, Owner: reply.Owner,
		}}
	}
	header := make(http.Header, len(reply.Header))
	for _, field := range reply.Header {
		header.Add(field.Name, field.Value)
	}
	return contract.Answer{
		Status: reply.Status, Header: header, Body: reply.Body, Replayed: reply.Replayed,
		BodyDropped: reply.Reason == contract.ReasonAnswerNotKept,
	}
}
