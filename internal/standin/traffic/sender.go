package traffic

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/testcluster"
)

// Outcomes that reports count. Every other outcome of the caller package counts
// as OutcomeFailed, and so does an answer with a status of 500 or above.
const (
	OutcomeAnswered = loadgen.OutcomeAnswered
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
	OutcomeFailed   = "failed"
)

// RequestRecord is the record of one request as its caller saw it. Its path is
// unique and is sent to the target, so that the journals show how often the
// request ran, even if it was sent under several request keys or under none.
type RequestRecord struct {
	Path    string
	Phase   string // phase in which it was sent
	Kind    int    // index into the kinds of the load
	Outcome string
	// BrokenAnswer reports that the answer was invalid or incomplete, or that
	// the connection broke after the request was written.
	BrokenAnswer bool
	// AnswerMismatch reports that the answer belonged to another request.
	AnswerMismatch bool
	// Duration is the time from the start of the request to its end.
	Duration time.Duration
	// Failure is the error text of the caller package, for detail lines of
	// reports.
	Failure string
}

// Sender sends requests through one caller per availability zone, in turn.
type Sender struct {
	Kinds []RequestKind
	// Phase is the name of the current phase of the load. The paths of the
	// requests contain it.
	Phase   string
	clients []*caller.Client
	mu      sync.Mutex
	records []RequestRecord
}

// NewSender returns a sender with a caller in each zone of the cluster.
func NewSender(cluster *testcluster.Cluster, kinds []RequestKind) (*Sender, error) {
	s := &Sender{Kinds: kinds}
	addresses := make([]string, 0, len(cluster.Instances))
	for _, i := range cluster.Instances {
		addresses = append(addresses, i.CallerAddress)
	}
	for _, zone := range cluster.Plan.Zones {
		client, err := caller.New(caller.Options{Instances: addresses, Zone: zone, Deadline: Deadline, IdleConnections: 256})
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("make a caller in %s: %w", zone, err)
		}
		s.clients = append(s.clients, client)
	}
	return s, nil
}

// Close closes the connections of the callers.
func (s *Sender) Close() {
	for _, client := range s.clients {
		client.Close()
	}
}

// Send implements loadgen.Sender. It sends the request and records its result.
func (s *Sender) Send(ctx context.Context, shot loadgen.ScheduledRequest) loadgen.Answer {
	kind := &s.Kinds[shot.Class]
	record := RequestRecord{Path: fmt.Sprintf("/%s/%s/%d", kind.Name(), s.Phase, shot.Number), Phase: s.Phase, Kind: shot.Class}
	start := time.Now()
	response, err := s.clients[shot.Number%len(s.clients)].Do(ctx, kind.request(record.Path))
	record.Duration = time.Since(start)
	record.Outcome = classifyOutcome(response, err)
	answer := loadgen.Answer{Outcome: record.Outcome}
	if err != nil {
		record.BrokenAnswer, record.Failure = connectionBroke(err), err.Error()
	} else {
		answer.Status = response.Status
		record.AnswerMismatch = response.Status == http.StatusOK && !bytes.Contains(response.Body, []byte(`"path":"`+record.Path+`"`))
	}
	s.mu.Lock()
	s.records = append(s.records, record)
	s.mu.Unlock()
	return answer
}

// Requests returns the records of all requests sent so far. It may be called
// only while no load is being sent.
func (s *Sender) Requests() []RequestRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records
}

// classifyOutcome returns the outcome that reports count.
func classifyOutcome(response *caller.Response, err error) string {
	switch outcome := caller.OutcomeOf(err); {
	case outcome == OutcomeAnswered && response.Status >= http.StatusInternalServerError:
		return OutcomeFailed
	case outcome == OutcomeAnswered, outcome == OutcomeNotRun, outcome == OutcomeUnknown:
		return outcome
	default:
		return OutcomeFailed
	}
}

// connectionBroke reports whether the error means that the answer was invalid
// or incomplete, or that the connection broke after the request was written.
func connectionBroke(err error) bool {
	var brokenAnswer *caller.BrokenAnswerError
	var transport *caller.TransportError
	return errors.As(err, &brokenAnswer) || errors.As(err, &transport) && !transport.NotSent
}
