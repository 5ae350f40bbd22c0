package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/relay"
	"fulmarhoist.example/routing"
)

// silentStore is a store with one target that falls silent: calls that are in
// progress or begin while it is silent get no response, not even after its return.
type silentStore struct {
	mu      sync.Mutex
	silent  bool
	removed bool
	changed chan struct{} // closed and replaced when a field changes
}

func newSilentStore() *silentStore { return &silentStore{changed: make(chan struct{})} }

func (s *silentStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns whether the store is silent, whether the target was removed, and a
// channel that is closed when either changes.
func (s *silentStore) state() (silent, removed bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.removed, s.changed
}

func (s *silentStore) Newest(ctx context.Context, _ string) (feed.Batch, error) {
	if silent, _, _ := s.state(); silent {
		<-ctx.Done()
		return feed.Batch{}, ctx.Err()
	}
	return feed.Batch{Records: entries(0, 1), Next: 1}, nil
}

func (s *silentStore) Read(ctx context.Context, _ string, from uint64, wait time.Duration) (feed.Batch, error) {
	expired := time.After(wait)
	for {
		silent, removed, changed := s.state()
		switch {
		case silent:
			<-ctx.Done()
			return feed.Batch{}, ctx.Err()
		case removed && from < 2:
			return feed.Batch{Records: []feed.Record{{Key: "i-0", Deleted: true}}, Next: 2}, nil
		}
		select {
		case <-changed:
		case <-expired:
			return feed.Batch{Next: from}, nil
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

func (s *silentStore) Join(ctx context.Context, _ fleet.Member, _ time.Duration, _ uint64) (uint64, error) {
	if silent, _, _ := s.state(); silent {
		<-ctx.Done()
	}
	return 1, ctx.Err()
}

func (s *silentStore) Leave(context.Context, fleet.Member) error { return nil }

func (s *silentStore) Members(context.Context) ([]fleet.Member, error) {
	return []fleet.Member{{Name: "a"}}, nil
}

// Guards against requests to a target that has left: its entry was removed shortly
// after an outage that only this instance had, was taken for one that had expired in
// the outage, and the target stayed in use for too long.
func TestTargetRemovedAfterAnOutageIsOutOfUseInTime(t *testing.T) {
	const (
		outage = 9 * time.Second
		// A removal must be in force within drainTime of its acceptance, by an
		// instance that has reached the store for contactTime.
		drainTime   = 2 * time.Second
		contactTime = 3 * time.Second
	)
	for phase := range 30 {
		for _, removedAfter := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, 700 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second} {
			runWithSilentStore(t, func(s *silentStore, candidates func() int) {
				time.Sleep(5*time.Second + time.Duration(phase)*50*time.Millisecond)
				Expect(candidates()).To(Equal(1))
				s.set(func() { s.silent = true })
				time.Sleep(outage + min(0, removedAfter))
				s.set(func() { s.removed = removedAfter < 0 })
				time.Sleep(max(0, -removedAfter))
				s.set(func() { s.silent = false })
				returned := time.Now()
				time.Sleep(max(0, removedAfter))
				s.set(func() { s.removed = true })
				due := returned.Add(max(contactTime, removedAfter+drainTime))
				time.Sleep(time.Until(due))
				Expect(candidates()).To(BeZero(), "phase %d, removed %v after the return of the store", phase, removedAfter)
			})
		}
	}
}

// runWithSilentStore runs a follower, the applier and the membership in virtual time
// while body runs. The function candidates returns the number of targets in use.
func runWithSilentStore(t *testing.T, body func(s *silentStore, candidates func() int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		s, a := newSilentStore(), newTestApplier()
		a.events = make(chan feed.Event)
		a.registry.SetConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "orders"}}})
		buffers, self := relay.NewBuffers(), fleet.Member{Name: "a"}
		m := &membership{
			self: self, group: s, roster: fleet.NewRoster(self), storeHealth: a.storeHealth, buffers: buffers,
			members: &relay.Members{
				Client: relay.Client{RelayAddresses: func() []string { return nil }}, List: s.Members, Buffer: buffers[relay.TopicMembers],
			},
			ttl: joinTTL, probe: newStoreProbe(), logger: a.logger,
		}
		follower := &feed.Follower{
			Log: s, Health: a.storeHealth, Topic: "targets", Wait: readMaxWait, Interval: targetsReadInterval,
			Deliver: a.deliver, Report: func(string, error) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { a.run(ctx) })
		wg.Go(func() { follower.Run(ctx) })
		wg.Go(func() { m.run(ctx) })
		body(s, a.registry.Candidates)
		cancel()
		wg.Wait()
	})
}
