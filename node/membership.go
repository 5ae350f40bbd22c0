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

// Group is the group of all entry instances, which the store maintains.
type Group interface {
	// Join joins the group, or renews the membership, for the duration ttl. The
	// generation that it returns increases with each change of the members.
	Join(ctx context.Context, m fleet.Member, ttl time.Duration, generation uint64) (uint64, error)
	Leave(ctx context.Context, m fleet.Member) error
	Members(ctx context.Context) ([]fleet.Member, error)
}

const (
	// joinInterval and joinTTL remove an instance that has ended from the
	// directory within about 5 s, and allow for one lost call.
	joinInterval = 1500 * time.Millisecond
	joinTTL      = 3300 * time.Millisecond
	// relayJoinInterval is the time between two joins of an instance that is the
	// relay of its zone, or from which other instances requested records within
	// relayActiveWindow.
	relayJoinInterval = 400 * time.Millisecond
	relayActiveWindow = 2 * time.Second
	// downJoinInterval is the time between two joins while the store does not
	// respond, and downJoinTimeout the timeout of one. A join costs a tenth of
	// another call, so it is what tells when the store is back.
	downJoinInterval = 500 * time.Millisecond
	downJoinTimeout  = 800 * time.Millisecond
	// initialJoinInterval is the time between the first initialJoins joins. The
	// store lists a member only after the others have joined again; after these
	// joins all instances that started at the same time are known.
	initialJoinInterval = 500 * time.Millisecond
	initialJoins        = 4
	// storeTimeout limits the duration of one join, including the read of the
	// members.
	storeTimeout = 2 * time.Second
	// leaveAttempts is the maximum number of attempts to leave the group.
	leaveAttempts = 3
)

// membership renews the membership of this instance in the group and keeps the
// roster up to date.
type membership struct {
	self        fleet.Member
	group       Group
	roster      *fleet.Roster
	storeHealth *feed.Health
	members     *relay.Members
	buffers     relay.Buffers
	ttl         time.Duration
	firstStart  bool // all instances of the deployment start for the first time
	probe       *storeProbe
	logger      zerolog.Logger

	generation       uint64 // last one received; a join with it gives up what others own since
	listedGeneration uint64 // of the latest complete list of members
	partlyListed     uint64 // generation of the latest incomplete list
	joinCount        int    // successful joins so far
	probedAt         time.Time
	probedAnswer     bool // whether the store responded at probedAt
}

// run joins the group repeatedly until the context ends, then leaves it.
func (m *membership) run(ctx context.Context) {
	for {
		began := time.Now()
		m.join(ctx, m.joinTimeout())
		if !m.awaitNextJoin(ctx, began) {
			m.leave()
			return
		}
	}
}

// awaitNextJoin waits until the next join is due, and answers probes meanwhile. The
// latest join began at the given time. It returns false if the context ends.
func (m *membership) awaitNextJoin(ctx context.Context, joinedAt time.Time) bool {
	for {
		timer := time.NewTimer(time.Until(joinedAt.Add(m.nextInterval(time.Now()))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
			return true
		case reply := <-m.probe.requests:
			timer.Stop()
			if time.Since(m.probedAt) > probeValidity {
				joinedAt = time.Now()
				m.probedAnswer = m.join(ctx, downJoinTimeout)
				m.probedAt = time.Now()
			}
			reply <- m.probedAnswer
		}
	}
}

// storeProbe asks the membership whether the store responds to this instance now. A
// join costs a tenth of another call.
type storeProbe struct {
	requests chan chan<- bool
}

func newStoreProbe() *storeProbe { return &storeProbe{requests: make(chan chan<- bool)} }

const (
	// probeValidity is how long the answer to a probe is used for further ones.
	probeValidity = 300 * time.Millisecond
	// probeTimeout limits a probe that waits for a join in progress.
	probeTimeout = 2 * downJoinTimeout
)

// responds reports whether the store responds. It returns false if this instance is
// not a member of the group.
func (p *storeProbe) responds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := make(chan bool, 1)
	select {
	case p.requests <- reply:
	case <-ctx.Done():
		return false
	}
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return false
	}
}

// nextInterval returns the time until the next join. An instance that is a
// relay for others joins more often, because it must detect within about a
// second that it has lost the store.
func (m *membership) nextInterval(now time.Time) time.Duration {
	if m.joinCount < initialJoins {
		return initialJoinInterval
	}
	if m.storeHealth.Down() {
		return downJoinInterval
	}
	if m.generation != m.listedGeneration {
		return relayJoinInterval // the list is completed as soon as the outage has settled
	}
	if m.roster.IsRelay() || m.buffers.UsedWithin(now, relayActiveWindow) {
		return relayJoinInterval
	}
	return joinInterval
}

// joinTimeout returns the timeout of the next join.
func (m *membership) joinTimeout() time.Duration {
	if m.storeHealth.Down() {
		return downJoinTimeout
	}
	return storeTimeout
}

// join renews the membership once, and reads the members if they have changed. It
// reports whether the store responded to the renewal.
func (m *membership) join(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	generation, err := m.group.Join(ctx, m.self, m.ttl, m.generation)
	if err != nil {
		m.reportFailure(began, err)
		return false
	}
	m.joinCount++
	m.generation = generation
	m.storeHealth.RecordDuration(time.Since(began))
	m.buffers.RecordStoreResponse(time.Now())
	m.storeHealth.RecordSuccess(time.Now())
	if generation == m.listedGeneration {
		m.markRosterComplete()
	} else if m.listWorthwhile() {
		m.listMembers(ctx, generation)
	}
	return true
}

// listMembers reads the members at the given generation.
func (m *membership) listMembers(ctx context.Context, generation uint64) {
	began := time.Now()
	complete, err := m.refreshMembers(ctx, generation)
	if err != nil {
		m.reportFailure(began, err)
		return
	}
	if !complete {
		m.partlyListed = generation
		return
	}
	m.listedGeneration = generation
	m.markRosterComplete()
}

// listWorthwhile reports whether to read the list of members, which has changed.
// During the initial joins, members that started at the same time are still missing
// from it. It is read at the first one, for the members that were there before, and
// at the last one; in between only if that costs no call to the store. A list that was
// read shortly after an outage is read again when the outage has settled.
func (m *membership) listWorthwhile() bool {
	switch {
	case m.generation == m.partlyListed && m.storeHealth.Settling(time.Now()):
		return false
	case m.joinCount >= initialJoins, len(m.roster.Relays()) > 0:
		return true
	case m.joinCount == 1:
		return !m.firstStart
	default:
		return false
	}
}

// markRosterComplete tells the roster that all members are known, once this
// instance has joined initialJoins times.
func (m *membership) markRosterComplete() {
	if m.joinCount >= initialJoins && !m.roster.View().Complete {
		m.roster.MarkComplete()
	}
}

// reportFailure records the failure of a call to the store that began at the given
// time.
func (m *membership) reportFailure(began time.Time, err error) {
	if m.storeHealth.RecordFailure(began, time.Now()) {
		m.logger.Warn().Str("event", "store_lost").Err(err).Msg("store is unavailable")
	}
}

// refreshMembers reads the members. Shortly after an outage it keeps members
// that have not joined again yet and returns false: the members must be read
// again.
func (m *membership) refreshMembers(ctx context.Context, generation uint64) (complete bool, err error) {
	members, err := m.members.AtGeneration(ctx, generation)
	if err != nil {
		return false, fmt.Errorf("read the members of the group: %w", err)
	}
	now := time.Now()
	complete = !m.storeHealth.Settling(now)
	if !complete {
		members = append(members, m.roster.View().Members...)
	}
	if m.roster.Replace(now, members) {
		m.logger.Info().Str("event", "members_changed").Int("members", len(m.roster.View().Members)).
			Int("peak", m.roster.View().RecentMembers).Msg("members of the group changed")
	}
	return complete, nil
}

// leave removes this instance from the group, so that callers are no longer
// sent to it.
func (m *membership) leave() {
	for range leaveAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout/leaveAttempts)
		err := m.group.Leave(ctx, m.self)
		cancel()
		if err == nil {
			return
		}
		m.logger.Warn().Str("event", "leave_failed").Err(err).Msg("attempt to leave the group failed")
	}
}
