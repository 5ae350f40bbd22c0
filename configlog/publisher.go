package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
)

// Outcome is what a publisher learned of its publication.
type Outcome string

const (
	// OutcomeAccepted means that it is in force in the order.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected means that it never takes effect.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUncertain means that it may be in the log, or may still arrive.
	// Confirm with the same id finds out later.
	OutcomeUncertain Outcome = "uncertain"
)

// Result tells what became of a publication.
type Result struct {
	Outcome  Outcome          `json:"outcome"`
	ID       string           `json:"id"`
	Version  uint64           `json:"version"` // accepted version, or the version in force at a rejection
	Reason   config.Reason    `json:"reason,omitempty"`
	Detail   string           `json:"detail,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
	// Changes are what the rejected publication would have changed.
	Changes []config.Change `json:"changes,omitempty"`
}

// NoBasisError reports a log whose older records were dropped and that holds no
// usable checkpoint, so that the state in force cannot be known from it.
type NoBasisError struct{ First uint64 }

func (e *NoBasisError) Error() string {
	return fmt.Sprintf("the configuration stream begins at offset %d and holds no checkpoint that covers what is missing", e.First)
}

// Publisher proposes configurations. It is safe for concurrent use.
type Publisher struct {
	log     backing.Log
	options Options
}

// NewPublisher returns a publisher. Of the options it uses ReadTimeout,
// PollInterval, BackoffLimit and Random.
func NewPublisher(log backing.Log, options Options) *Publisher {
	return &Publisher{log: log, options: options.withDefaults()}
}

// Current reads the log to its end and returns what is known there; nil if the
// log is empty.
func (p *Publisher) Current(ctx context.Context) (*config.Snapshot, error) {
	order := config.NewOrder()
	for {
		_, more, err := feed(order, time.Now(), read(ctx, p.log, order.ReadFrom(), p.options.ReadTimeout))
		if err != nil {
			return nil, fmt.Errorf("finding the configuration in force: %w", err)
		}
		if more {
			continue
		}
		if order.Gap() {
			return nil, fmt.Errorf("finding the configuration in force: %w", &NoBasisError{First: order.ReadFrom()})
		}
		if s, ok := order.Snapshot(); ok {
			return &s, nil
		}
		return nil, nil
	}
}

// Publish appends a publication and reads back what became of it, until the
// context's deadline. The basis is what is known before the append, from
// Reader.Snapshot or Current; with nil, Publish reads it from the log. An error
// means that nothing was stored.
func (p *Publisher) Publish(ctx context.Context, proposed config.Publication, basis *config.Snapshot) (Result, error) {
	result := Result{Outcome: OutcomeRejected, ID: proposed.ID}
	if result.Problems = config.Validate(proposed.Config); len(result.Problems) > 0 {
		result.Reason, result.Detail = config.ReasonInvalid, fmt.Sprintf("the configuration has %d problems", len(result.Problems))
		return result, nil
	}
	if !config.ValidName(proposed.ID) {
		result.Reason, result.Detail = config.ReasonMalformed, "the id is not a name"
		return result, nil
	}
	data, err := Encode(proposed)
	if err != nil {
		return Result{}, fmt.Errorf("publishing %s: %w", proposed.ID, err)
	}
	if basis == nil || proposed.Base > basis.State.Version {
		if basis, err = p.Current(ctx); err != nil {
			return Result{}, fmt.Errorf("publishing %s: %w", proposed.ID, err)
		}
	}
	// A publication that is ahead of the order is not appended: a duplicate of
	// it could be accepted once the order has reached its base.
	if version := versionOf(basis); proposed.Base > version {
		result.Version, result.Reason = version, config.ReasonUnknownBase
		result.Detail = fmt.Sprintf("it is based on version %d, and the newest is %d", proposed.Base, version)
		return result, nil
	}
	if err = p.append(ctx, data); err != nil {
		return Result{}, fmt.Errorf("publishing %s: %w", proposed.ID, err)
	}
	return p.Confirm(ctx, proposed.ID, basis), nil
}

func versionOf(s *config.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.State.Version
}

// append returns an error only if nothing was stored. After any other failure
// the record may be stored, and reading back tells.
func (p *Publisher) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.ReadTimeout)
	defer cancel()
	_, err := p.log.Append(ctx, backing.ConfigStream, data)
	var unavailable *backing.UnavailableError
	if errors.As(err, &unavailable) {
		return err
	}
	return nil
}

// Confirm reads the log from the basis on until the fate of the publication is
// known or the context ends. The basis must be from before the publication was
// appended; with nil, reading begins at the oldest retained record.
func (p *Publisher) Confirm(ctx context.Context, id string, basis *config.Snapshot) Result {
	c := &confirmation{id: id, order: config.NewOrder()}
	if basis != nil {
		c.order = config.Resume(*basis)
	}
	const missing = "its record is not in the log"
	failures := 0
	for {
		verdicts, more, err := feed(c.order, time.Now(), read(ctx, p.log, c.order.ReadFrom(), p.options.ReadTimeout))
		if result, done := c.conclude(verdicts); done {
			return result
		}
		wait, detail := p.options.PollInterval, missing
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

// confirmation looks for the fate of one publication.
type confirmation struct {
	id     string
	order  *config.Order
	jumped bool // records were dropped that may have held the publication
}

func (c *confirmation) conclude(verdicts []config.Verdict) (Result, bool) {
	result := Result{Outcome: OutcomeAccepted, ID: c.id}
	c.jumped = c.jumped || c.order.Gap()
	if s, ok := c.order.Snapshot(); ok && s.State.ID == c.id {
		result.Version = s.State.Version
		return result, true
	}
	for _, v := range verdicts {
		ours := v.ID == c.id
		switch {
		case ours && v.Kind == config.Accepted:
			result.Version = v.Version
			return result, true
		case ours && v.Kind == config.Rejected && c.jumped:
			// This may be a duplicate of a record that was accepted and dropped.
			return Result{
				Outcome: OutcomeUncertain, ID: c.id, Version: v.Version,
				Detail: "older records that may have held it were dropped from the log",
			}, true
		case ours && v.Kind == config.Rejected:
			result.Outcome, result.Version, result.Reason = OutcomeRejected, v.Version, v.Reason
			result.Detail, result.Problems, result.Changes = v.Detail, v.Problems, v.Changes
			return result, true
		}
	}
	return result, false
}
