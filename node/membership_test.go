package node

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/relay"
)

// fakeGroup is a Group whose generation changes with each of the first joins, as it
// does while many instances start.
type fakeGroup struct {
	mu      sync.Mutex
	joins   int
	lists   []int // number of joins before each list
	members []fleet.Member
	changes int // further changes of the generation
	failure error
}

func (g *fakeGroup) Join(ctx context.Context, _ fleet.Member, _ time.Duration, _ uint64) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failure != nil {
		return 0, g.failure
	}
	g.joins++
	return uint64(g.changes + min(g.joins, 3)), ctx.Err()
}

func (g *fakeGroup) Leave(context.Context, fleet.Member) error { return nil }

func (g *fakeGroup) Members(context.Context) ([]fleet.Member, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lists = append(g.lists, g.joins)
	return g.members, nil
}

// runMembership runs a membership in virtual time while body runs.
func runMembership(t *testing.T, firstStart bool, body func(m *membership, g *fakeGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		group, self := &fakeGroup{members: []fleet.Member{{Name: "a"}, {Name: "b"}}}, fleet.Member{Name: "a"}
		buffers := relay.NewBuffers()
		m := &membership{
			self: self, group: group, roster: fleet.NewRoster(self), storeHealth: feed.NewHealth(), buffers: buffers,
			members: &relay.Members{
				Client: relay.Client{RelayAddresses: func() []string { return nil }}, List: group.Members, Buffer: buffers[relay.TopicMembers],
			},
			ttl: joinTTL, firstStart: firstStart, probe: newStoreProbe(), logger: zerolog.New(io.Discard),
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); m.run(ctx) }()
		body(m, group)
		cancel()
		<-done
	})
}

// Guards against a list of members per join while a whole deployment starts: at 188
// instances these were 563 of 1,500 calls.
func TestMembershipListsMembersOnceAtTheFirstStart(t *testing.T) {
	runMembership(t, true, func(m *membership, g *fakeGroup) {
		time.Sleep(5 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		Expect(g.lists).To(Equal([]int{4}))
		Expect(m.roster.View().Complete).To(BeTrue())
	})
}

// Guards against an instance that does not know the others for a second after its
// restart.
func TestMembershipListsMembersAtTheFirstJoinOfARestart(t *testing.T) {
	runMembership(t, false, func(m *membership, g *fakeGroup) {
		time.Sleep(100 * time.Millisecond)
		Expect(m.roster.View().Members).To(HaveLen(2))
		time.Sleep(5 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		Expect(g.lists).To(Equal([]int{1, 4}))
	})
}

// Guards against noticing the return of the store late: while it is down, only joins
// tell of it.
func TestMembershipJoinsOftenWhileTheStoreIsDown(t *testing.T) {
	runMembership(t, false, func(m *membership, g *fakeGroup) {
		time.Sleep(5 * time.Second)
		g.mu.Lock()
		g.failure = io.ErrUnexpectedEOF
		g.mu.Unlock()
		time.Sleep(4 * time.Second)
		Expect(m.storeHealth.Down()).To(BeTrue())
		g.mu.Lock()
		g.failure = nil
		g.mu.Unlock()
		time.Sleep(downJoinInterval + time.Millisecond)
		Expect(m.storeHealth.Down()).To(BeFalse())
	})
}

// Guards against a wrong answer to the question whether only the relay has lost the
// store, and against one join per follower that asks.
func TestMembershipTellsWhetherTheStoreResponds(t *testing.T) {
	runMembership(t, false, func(m *membership, g *fakeGroup) {
		time.Sleep(5*time.Second + 100*time.Millisecond)
		joins := func() int {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.joins
		}
		before := joins()
		Expect(m.probe.responds(context.Background())).To(BeTrue())
		Expect(m.probe.responds(context.Background())).To(BeTrue())
		Expect(joins()).To(Equal(before + 1))
		g.mu.Lock()
		g.failure = io.ErrUnexpectedEOF
		g.mu.Unlock()
		time.Sleep(probeValidity + time.Millisecond)
		Expect(m.probe.responds(context.Background())).To(BeFalse())
		Expect(m.storeHealth.Down()).To(BeTrue())
	})
}

// Guards against a follower that waits for ever for an instance that has left.
func TestStoreProbeEndsWithoutAMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		began := time.Now()
		Expect(newStoreProbe().responds(context.Background())).To(BeFalse())
		Expect(time.Since(began)).To(Equal(probeTimeout))
	})
}

// Guards against a directory that lists an instance which ended during an outage of the
// store, 6 s after its end and 3 s after that of the outage: the list was completed up
// to 1.5 s after the outage had settled.
func TestMembershipCompletesTheListSoonAfterAnOutage(t *testing.T) {
	for phase := range 30 {
		runMembership(t, false, func(m *membership, g *fakeGroup) {
			time.Sleep(5*time.Second + time.Duration(phase)*50*time.Millisecond)
			g.mu.Lock()
			g.failure = io.ErrUnexpectedEOF
			g.mu.Unlock()
			time.Sleep(3 * time.Second)
			Expect(m.storeHealth.Down()).To(BeTrue())
			g.mu.Lock()
			g.failure, g.members = nil, []fleet.Member{{Name: "a"}}
			g.changes++
			lists := len(g.lists)
			g.mu.Unlock()
			time.Sleep(2950 * time.Millisecond)
			Expect(m.roster.View().Members).To(HaveLen(1), "phase %d", phase)
			g.mu.Lock()
			defer g.mu.Unlock()
			Expect(len(g.lists)-lists).To(BeNumerically("<=", 4), "phase %d", phase)
		})
	}
}
