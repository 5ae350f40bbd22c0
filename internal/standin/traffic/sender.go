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
	"fulmarhoist.example/internal/standin/fleet"
)

// Outcomes that the report counts; every other outcome of the caller's library
// counts as failed.
const (
	OutcomeAnswered = loadgen.OutcomeAnswered
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
	OutcomeFailed   = "failed"
)

// Work is one piece of work as its caller saw it. Its path is unique and reaches
// the target, so that the journals tell how often it ran, also if it was sent
// under several keys or under none.
type Work struct {
	Path    string
	Phase   string
	Kind    int // index into the kinds of the load
	Outcome string
	// Cut tells that an answer broke off, or that a connection broke after the
	// request was written.
	Cut bool
	// Foreign tells that the answer belonged to another piece of work.
	Foreign bool
	// Took is the time from the start of the request to its end.
	Took time.Duration
	// Failure is the error of the caller's library, for the detail lines.
	Failure string
}

// Sender sends works through one caller per availability zone.
type Sender struct {
	Kinds []Kind
	// Phase is the part of the load that is sent now; the paths of works contain it.
	Phase  string
	zones  []*caller.Client
	mu     sync.Mutex
	record []Work
}

// NewSender returns a sender with a caller in each zone of the deployment.
func NewSender(f *fleet.Fleet, kinds []Kind) (*Sender, error) {
	s := &Sender{Kinds: kinds}
	addresses := make([]string, 0, len(f.Instances))
	for _, i := range f.Instances {
		addresses = append(addresses, i.Callers)
	}
	for _, zone := range f.Plan.Zones {
		client, err := caller.New(caller.Options{Instances: addresses, Zone: zone, Deadline: Deadline, IdleConnections: 256})
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("make a caller in %s: %w", zone, err)
		}
		s.zones = append(s.zones, client)
	}
	return s, nil
}

// Close ends the connections of the callers.
func (s *Sender) Close() {
	for _, client := range s.zones {
		client.Close()
	}
}

// Send implements loadgen.Sender.
func (s *Sender) Send(ctx context.Context, shot loadgen.Shot) loadgen.Answer {
	k := &s.Kinds[shot.Class]
	work := Work{Path: fmt.Sprintf("/%s/%s/%d", k.Name(), s.Phase, shot.Number), Phase: s.Phase, Kind: shot.Class}
	began := time.Now()
	response, err := s.zones[shot.Number%len(s.zones)].Do(ctx, k.request(work.Path))
	work.Took = time.Since(began)
	work.Outcome = outcomeOf(response, err)
	answer := loadgen.Answer{Outcome: work.Outcome}
	if err != nil {
		work.Cut, work.Failure = wasCut(err), err.Error()
	} else {
		answer.Status = response.Status
		work.Foreign = response.Status == http.StatusOK && !bytes.Contains(response.Body, []byte(`"path":"`+work.Path+`"`))
	}
	s.mu.Lock()
	s.record = append(s.record, work)
	s.mu.Unlock()
	return answer
}

// Works returns everything that was sent. It is called after the load has ended.
func (s *Sender) Works() []Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

func outcomeOf(response *caller.Response, err error) string {
	switch outcome := caller.OutcomeOf(err); {
	case outcome == OutcomeAnswered && response.Status >= http.StatusInternalServerError:
		return OutcomeFailed
	case outcome == OutcomeAnswered, outcome == OutcomeNotRun, outcome == OutcomeUnknown:
		return outcome
	default:
		return OutcomeFailed
	}
}

func wasCut(err error) bool {
	var broken *caller.BrokenAnswerError
	var transport *caller.TransportError
	return errors.As(err, &broken) || errors.As(err, &transport) && !transport.NotSent
}
