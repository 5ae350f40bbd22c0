package node

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/relay"
)

// Group is the store's group of the entry instances.
type Group interface {
	// Join joins the group or stays in it for the given lifetime. The generation
	// that it returns grows with each change of the members.
	Join(ctx context.Context, m fleet.Member, ttl time.Duration, generation uint64) (uint64, error)
	Leave(ctx context.Context, m fleet.Member) error
	Members(ctx context.Context) ([]fleet.Member, error)
}

const (
	// joinInterval and joinTTL let an instance that ended go from the directory
	// within about 5 s, and allow for one lost call.
	joinInterval = 1500 * time.Millisecond
	joinTTL      = 3300 * time.Millisecond
	// relayInterval is the time between two joins of an instance that reads for its
	// zone, or that other instances asked for records within relayUse.
	relayInterval = 400 * time.Millisecond
	relayUse      = 2 * time.Second
	// earlyInterval is the time between the first joins, earlyJoins in number. The
	// store lists a member only after others have joined again; after these joins
	// all that started at the same moment are known.
	earlyInterval = 500 * time.Millisecond
	earlyJoins    = 4
	// callTimeout bounds one step.
	callTimeout = 2 * time.Second
	// leaveTries is how often a leaving instance tells the store.
	leaveTries = 3
)

// membership keeps this instance in the group and the roster up to date.
type membership struct {
	self    fleet.Member
	group   Group
	roster  *fleet.Roster
	health  *feed.Health
	members *relay.Members
	buffers relay.Buffers
	ttl     time.Duration
	logger  zerolog.Logger

	generation uint64
	joins      int // so far
}

// run joins until the context ends, then leaves.
func (m *membership) run(ctx context.Context) {
	for {
		began := time.Now()
		m.step(ctx)
		timer := time.NewTimer(time.Until(began.Add(m.interval(began))))
		select {
		case <-ctx.Done():
			timer.Stop()
			m.leave()
			return
		case <-timer.C:
		}
	}
}

// interval is the time between two joins. An instance that reads for others joins
// often, because it must know within about a second that it lost the store.
func (m *membership) interval(now time.Time) time.Duration {
	if m.joins < earlyJoins {
		return earlyInterval
	}
	if m.roster.Relays() || m.buffers.Used(now, relayUse) {
		return relayInterval
	}
	return joinInterval
}

func (m *membership) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	generation, err := m.group.Join(ctx, m.self, m.ttl, m.generation)
	if err != nil {
		m.report(err)
		return
	}
	m.joins++
	m.health.Took(time.Since(began))
	m.buffers.Heard(time.Now())
	m.health.Succeeded(time.Now())
	if generation == m.generation {
		m.settle()
		return
	}
	settled, err := m.refresh(ctx, generation)
	if err != nil {
		m.report(err)
		return
	}
	if settled {
		m.generation = generation
		m.settle()
	}
}

// settle tells the roster that all members are known, once enough joins were made.
func (m *membership) settle() {
	if m.joins >= earlyJoins && !m.roster.View().Settled {
		m.roster.Settle()
	}
}

func (m *membership) report(err error) {
	if m.health.Failed(time.Now()) {
		m.logger.Warn().Str("event", "store_lost").Err(err).Msg("store does not answer")
	}
}

// refresh reads the members. Soon after an outage those that have not returned yet
// stay, and the result is false: the members have to be read again.
func (m *membership) refresh(ctx context.Context, generation uint64) (settled bool, err error) {
	members, err := m.members.At(ctx, generation)
	if err != nil {
		return false, fmt.Errorf("read the members: %w", err)
	}
	now := time.Now()
	settled = !m.health.Settling(now)
	if !settled {
		members = append(members, m.roster.View().Members...)
	}
	if m.roster.Replace(now, members) {
		m.logger.Info().Str("event", "members_changed").Int("members", len(m.roster.View().Members)).
			Int("peak", m.roster.View().Peak).Msg("entry instances changed")
	}
	return settled, nil
}

// leave tells the store that this instance is leaving, so that no caller is sent
// to it any more.
func (m *membership) leave() {
	for range leaveTries {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout/leaveTries)
		err := m.group.Leave(ctx, m.self)
		cancel()
		if err == nil {
			return
		}
		m.logger.Warn().Str("event", "leave_failed").Err(err).Msg("store was not told that this instance leaves")
	}
}
