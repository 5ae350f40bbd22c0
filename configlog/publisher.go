package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
)

// Outcome is the outcome of a publication as far as the publisher knows it.
type Outcome string

const (
	// OutcomeAccepted means that the publication was accepted as a new version.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected means that the publication never takes effect.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUncertain means that the publication may be in the log or may still
	// be appended. Confirm with the same id tells later.
	OutcomeUncertain Outcome = "uncertain"
)

// Result is the result of a publication.
type Result struct {
	Outcome  Outcome          `json:"outcome"`
	ID       string           `json:"id"`
	Version  uint64           `json:"version"` // accepted version; for a rejection, the version in force
	Reason   config.Reason    `json:"reason,omitempty"`
	Detail   string           `json:"detail,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
	// Changes is what the rejected publication would have changed.
	Changes []config.Change `json:"changes,omitempty"`
}

// NoCheckpointError reports a log whose older records were dropped and that
// holds no usable checkpoint, so that the state in force cannot be derived from
// it. First is the offset from which the log was still to be read.
type NoCheckpointError struct{ First uint64 }

func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("the configuration stream starts at offset %d and holds no checkpoint that covers the records dropped before it", e.First)
}

// Publisher proposes configurations. It is safe for concurrent use.
type Publisher struct {
	log     backing.Log
	options Options
}

// NewPublisher returns a Publisher. It uses only the options ReadTimeout,
// PollInterval, BackoffLimit and Random.
func NewPublisher(log backing.Log, options Options) *Publisher {
	return &Publisher{log: log, options: options.withDefaults()}
}

// Current reads the log to its end and returns the snapshot at the end, or nil
// if the log is empty.
func (p *Publisher) Current(ctx context.Context) (*config.Snapshot, error) {
	machine := config.NewStateMachine()
	for {
		_, more, err := applyRead(machine, time.Now(), readPage(ctx, p.log, machine.ReadFrom(), p.options.ReadTimeout))
		if err != nil {
			return nil, fmt.Errorf("finding the configuration in force: %w", err)
		}
		if more {
			continue
		}
		if machine.Gap() {
			return nil, fmt.Errorf("finding the configuration in force: %w", &NoCheckpointError{First: machine.ReadFrom()})
		}
		if s, ok := machine.Snapshot(); ok {
			return &s, nil
		}
		return nil, nil
	}
}

// Publish appends a publication and reads the log until it knows whether the
// publication was accepted or the context ends. Reading starts after the
// snapshot start, which must be from before the append: from Reader.Snapshot or
// Current. If it is nil or older than the base of the publication, Publish calls
// Current. An error means that nothing was stored.
func (p *Publisher) Publish(ctx context.Context, proposed config.Publication, start *config.Snapshot) (Result, error) {
	result := Result{Outcome: OutcomeRejected, ID: proposed.ID}
	if result.Problems = config.Validate(proposed.Config); len(result.Problems) > 0 {
		result.Reason, result.Detail = config.ReasonInvalid, fmt.Sprintf("the configuration has %d problems", len(result.Problems))
		return result, nil
	}
	if !config.ValidName(proposed.ID) {
		result.Reason, result.Detail = config.ReasonMalformed, fmt.Sprintf("the id %q is not a valid name", config.Shorten(proposed.ID))
		return result, nil
	}
	data, err := Encode(proposed)
	if err != nil {
		return Result{}, fmt.Errorf("publishing %s: %w", proposed.ID, err)
	}
	if start == nil || proposed.Base > start.State.Version {
		if start, err = p.Current(ctx); err != nil {
			return Result{}, fmt.Errorf("publishing %s: %w", proposed.ID, err)
		}
	}
	// A publication whose base does not exist yet is not appended: a duplicate of
	// it could be accepted once the versions have reached its base.
	if version := snapshotVersion(start); proposed.Base > version {
		result.Version, result.Reason = version, config.ReasonUnknownBase
		result.Detail = fmt.Sprintf("it is based on version %d, and the newest is %d", proposed.Base, version)
		return result, nil
	}
	if err = p.appendPublication(ctx, data); err != nil {
		return Result{}, fmt.Errorf("publishing %s: %w", proposed.ID, err)
	}
	return p.Confirm(ctx, proposed.ID, start), nil
}

func snapshotVersion(s *config.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.State.Version
}

// appendPublication returns an error only if it is certain that nothing was
// stored. After any other failure the record may have been stored, which the
// caller finds out by reading the log.
func (p *Publisher) appendPublication(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.ReadTimeout)
	defer cancel()
	_, err := p.log.Append(ctx, backing.ConfigStream, data)
	var unavailable *backing.UnavailableError
	if errors.As(err, &unavailable) {
		return err
	}
	return nil
}

// Confirm reads the log until it knows whether the publication was accepted or
// the context ends. Reading starts after the snapshot start, which must be from
// before the publication was appended, or at the oldest retained record if it
// is nil.
func (p *Publisher) Confirm(ctx context.Context, id string, start *config.Snapshot) Result {
	c := &confirmation{id: id, machine: config.NewStateMachine()}
	if start != nil {
		c.machine = config.Resume(*start)
	}
	const notFound = "its record is not in the log"
	failures := 0
	for {
		verdicts, more, err := applyRead(c.machine, time.Now(), readPage(ctx, p.log, c.machine.ReadFrom(), p.options.ReadTimeout))
		if result, done := c.result(verdicts); done {
			return result
		}
		wait, detail := p.options.PollInterval, notFound
		if err != nil {
			detail = err.Error()
			wait = backoff(wait, p.options.BackoffLimit, failures, p.options.Random())
			failures++
		} else {
			failures = 0
		}
		if more {
			wait = 0
		}
		select {
		case <-ctx.Done():
			return Result{Outcome: OutcomeUncertain, ID: id, Detail: detail}
		case <-time.After(wait):
		}
	}
}

// confirmation searches the log for the outcome of one publication.
type confirmation struct {
	id      string
	machine *config.StateMachine
	hadGap  bool // retention dropped records that may have included the publication
}

// result returns the outcome, or false if it is not known yet.
func (c *confirmation) result(verdicts []config.Verdict) (Result, bool) {
	result := Result{Outcome: OutcomeAccepted, ID: c.id}
	c.hadGap = c.hadGap || c.machine.Gap()
	if s, ok := c.machine.Snapshot(); ok && s.State.ID == c.id {
		result.Version = s.State.Version
		return result, true
	}
	for _, v := range verdicts {
		matches := v.ID == c.id
		switch {
		case matches && v.Kind == config.Accepted:
			result.Version = v.Version
			return result, true
		case matches && v.Kind == config.Rejected && c.hadGap:
			// This record may be a duplicate of one that was accepted and has since
			// been dropped.
			return Result{
				Outcome: OutcomeUncertain, ID: c.id, Version: v.Version,
				Detail: "older records that may have included it were dropped from the log",
			}, true
		case matches && v.Kind == config.Rejected:
			result.Outcome, result.Version, result.Reason = OutcomeRejected, v.Version, v.Reason
			result.Detail, result.Problems, result.Changes = v.Detail, v.Problems, v.Changes
			return result, true
		}
	}
	return result, false
}
