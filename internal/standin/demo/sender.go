package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/fleet"
)

// Outcomes that the report counts; every other outcome of the caller's library
// counts as failed.
const (
	outcomeAnswered = loadgen.OutcomeAnswered
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeFailed   = "failed"
)

// phase is a part of the load; the paths of works contain it.
type phase string

const (
	phaseWarmUp phase = "warm-up"
	phaseRun    phase = "run"
)

// Work is one piece of work as its caller saw it. Its path is unique and reaches
// the target, so that the journals tell how often it ran, also if it was sent
// under several keys or under none.
type Work struct {
	Path    string
	Phase   phase
	Kind    int // index into the kinds of the load
	Outcome string
	// Cut tells that an answer broke off, or that a connection broke after the
	// request was written.
	Cut bool
	// Foreign tells that the answer belonged to another piece of work.
	Foreign bool
	// Failure is the error of the caller's library, for the detail lines.
	Failure string
}

// sender sends works through one caller per availability zone.
type sender struct {
	kinds  []kind
	phase  phase
	zones  []*caller.Client
	mu     sync.Mutex
	record []Work
}

func newSender(f *fleet.Fleet, kinds []kind) (*sender, error) {
	s := &sender{kinds: kinds}
	addresses := make([]string, 0, len(f.Instances))
	for _, i := range f.Instances {
		addresses = append(addresses, i.Callers)
	}
	for _, zone := range f.Plan.Zones {
		client, err := caller.New(caller.Options{Instances: addresses, Zone: zone, Deadline: deadline, IdleConnections: 256})
		if err != nil {
			s.close()
			return nil, fmt.Errorf("make a caller in %s: %w", zone, err)
		}
		s.zones = append(s.zones, client)
	}
	return s, nil
}

func (s *sender) close() {
	for _, client := range s.zones {
		client.Close()
	}
}

// Send implements loadgen.Sender.
func (s *sender) Send(ctx context.Context, shot loadgen.Shot) loadgen.Answer {
	k := &s.kinds[shot.Class]
	work := Work{Path: fmt.Sprintf("/%s/%s/%d", k.name(), s.phase, shot.Number), Phase: s.phase, Kind: shot.Class}
	response, err := s.zones[shot.Number%len(s.zones)].Do(ctx, k.request(work.Path))
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

// works returns everything that was sent. It is called after the load has ended.
func (s *sender) works() []Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

func outcomeOf(response *caller.Response, err error) string {
	switch outcome := caller.OutcomeOf(err); {
	case outcome == outcomeAnswered && response.Status >= http.StatusInternalServerError:
		return outcomeFailed
	case outcome == outcomeAnswered, outcome == outcomeNotRun, outcome == outcomeUnknown:
		return outcome
	default:
		return outcomeFailed
	}
}

func wasCut(err error) bool {
	var broken *caller.BrokenAnswerError
	var transport *caller.TransportError
	return errors.As(err, &broken) || errors.As(err, &transport) && !transport.NotSent
}
