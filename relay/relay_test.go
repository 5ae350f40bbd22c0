package relay_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/feed"
	"fulmarhoist.example/fleet"
	"fulmarhoist.example/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// fakeStore counts reads and has one record for each offset below end. It
// implements feed.Log.
type fakeStore struct {
	mu    sync.Mutex
	end   uint64
	reads atomic.Int32
}

func (s *fakeStore) Newest(context.Context, string) (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return feed.Batch{Next: s.end}, nil
}

func (s *fakeStore) Read(_ context.Context, _ string, from uint64, _ time.Duration) (feed.Batch, error) {
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := feed.Batch{Next: max(from, s.end)}
	for offset := from; offset < s.end; offset++ {
		batch.Records = append(batch.Records, feed.Record{Key: fmt.Sprint(offset), Value: []byte("v")})
	}
	return batch, nil
}

// keys returns the keys of the records of a batch.
func keys(batch feed.Batch) (all []string) {
	for _, r := range batch.Records {
		all = append(all, r.Key)
	}
	return all
}

var _ = Describe("Log", func() {
	ctx := context.Background()
	var buffer *relay.Buffer
	var store *fakeStore
	var log *relay.Log
	var lost atomic.Int32
	var storeDown, storeResponds atomic.Bool
	var stop context.CancelFunc

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		buffer, store = relay.NewBuffer(), &fakeStore{end: 3}
		lost.Store(0)
		storeDown.Store(false)
		storeResponds.Store(true)
		var serveCtx context.Context
		serveCtx, stop = context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			(&relay.Server{Buffers: relay.Buffers{"t": buffer}}).Serve(serveCtx, listener)
		}()
		DeferCleanup(func() { stop(); <-done })
		log = &relay.Log{
			Store: store, Buffer: relay.NewBuffer(), Client: relay.Client{
				StoreDown: storeDown.Load, StoreSettling: func() bool { return false },
				StoreResponds:  func(context.Context) bool { return storeResponds.Load() },
				RelayAddresses: func() []string { return []string{listener.Addr().String()} },
				OnRelayLost:    func(string, error) { lost.Add(1) },
			},
		}
	})

	// Guards against an instance that others take for the relay, because their lists of
	// members differ, and that holds no records since it reads through a relay itself.
	It("keeps the records that it reads through the relay for other instances", func() {
		buffer.RecordStoreResponse(time.Now())
		buffer.Reset(0)
		log.Buffer.RecordStoreResponse(time.Now())
		log.Buffer.Reset(0)
		buffer.Add(0, []feed.Record{{Key: "a", Value: []byte("1")}})
		_, err := log.Read(ctx, "t", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serveCtx, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go (&relay.Server{Buffers: relay.Buffers{"t": log.Buffer}}).Serve(serveCtx, listener)
		third := &relay.Log{Store: store, Buffer: relay.NewBuffer(), Client: relay.Client{
			StoreDown: storeDown.Load, StoreSettling: func() bool { return false }, StoreResponds: func(context.Context) bool { return storeResponds.Load() }, RelayAddresses: func() []string { return []string{listener.Addr().String()} }, OnRelayLost: func(string, error) {},
		}}
		batch, err := third.Read(ctx, "t", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"a"}))
		Expect(store.reads.Load()).To(BeZero())
	})

	// Guards against a zone in which all instances call the store, because the first
	// relay does not reach it: 37 instances made 60 calls a second.
	It("reads through the next relay when the first one does not reach the store", func() {
		next := relay.NewBuffer()
		next.RecordStoreResponse(time.Now())
		next.Add(0, []feed.Record{{Key: "a", Value: []byte("1")}})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serveCtx, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go (&relay.Server{Buffers: relay.Buffers{"t": next}}).Serve(serveCtx, listener)
		first := log.RelayAddresses()[0]
		log.RelayAddresses = func() []string { return []string{first, listener.Addr().String()} }
		batch, err := log.Read(ctx, "t", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"a"}))
		Expect(lost.Load()).To(Equal(int32(1)))
		Expect(store.reads.Load()).To(BeZero())
	})

	// Guards against calls of all instances to a store that has just gone silent, while
	// their own latest call was answered.
	It("asks whether the store responds before it reads without a relay", func() {
		storeResponds.Store(false)
		_, err := log.Read(ctx, "t", 0, time.Second)
		var stale *relay.StaleError
		Expect(errors.As(err, &stale)).To(BeTrue(), "%v", err)
		Expect(store.reads.Load()).To(BeZero())
		Expect(lost.Load()).To(BeZero())
	})

	// Guards against unnecessary calls to the store while there is a relay.
	It("reads records from the relay", func() {
		buffer.RecordStoreResponse(time.Now())
		buffer.Add(0, []feed.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Deleted: true}})
		batch, err := log.Read(ctx, "t", 1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch).To(Equal(feed.Batch{Records: []feed.Record{{Key: "b", Deleted: true}}, Next: 2}))
		time.AfterFunc(50*time.Millisecond, func() { buffer.Add(2, []feed.Record{{Key: "c"}}) })
		batch, err = log.Read(ctx, "t", 2, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"c"}))
		Expect(store.reads.Load()).To(BeZero())
		Expect(buffer.UsedWithin(time.Now(), time.Second)).To(BeTrue())
	})

	// Guards against a zone that is out of date because its relay cannot reach the
	// store.
	It("reads from the store when the store has not responded to the relay recently", func() {
		buffer.RecordStoreResponse(time.Now().Add(-2 * time.Second))
		buffer.Add(0, []feed.Record{{Key: "a"}})
		batch, err := log.Read(ctx, "t", 1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
		Expect(lost.Load()).To(Equal(int32(1)))
		_, _ = log.Read(ctx, "t", 1, time.Second)
		Expect(store.reads.Load()).To(Equal(int32(2)), "the relay is bypassed")
		Expect(lost.Load()).To(Equal(int32(1)))
	})

	// Guards against failing to notice that the relay loses the store while a
	// request waits there.
	It("notices within 1 s that the relay has become stale", func() {
		buffer.RecordStoreResponse(time.Now().Add(-900 * time.Millisecond))
		buffer.Reset(1)
		start := time.Now()
		batch, err := log.Read(ctx, "t", 1, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})

	// Guards against one call to the store per instance for each large value: at 188
	// instances, a configuration of 20 KB cost 188 calls.
	It("reads large records from the relay, compressed", func() {
		large := bytes.Repeat([]byte("a route of the configuration "), 10_000)
		buffer.RecordStoreResponse(time.Now())
		buffer.Reset(0)
		_, _ = log.Read(ctx, "t", 0, time.Millisecond) // large values are kept only for relays in use
		buffer.Add(0, []feed.Record{{Key: "a", Value: large}, {Key: "b", Value: []byte("1")}})
		batch, err := log.Read(ctx, "t", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch).To(Equal(feed.Batch{Records: []feed.Record{{Key: "a", Value: large}, {Key: "b", Value: []byte("1")}}, Next: 2}))
		Expect(store.reads.Load()).To(BeZero())
	})

	// Guards against saturating a slow network link of the relay with a large
	// configuration for every instance of its zone.
	It("reads records that are large even if compressed from the store and keeps using the relay", func() {
		incompressible := make([]byte, 100_000)
		_, _ = rand.NewChaCha8([32]byte{}).Read(incompressible)
		buffer.RecordStoreResponse(time.Now())
		buffer.Reset(0)
		_, _ = log.Read(ctx, "t", 0, time.Millisecond)
		buffer.Add(0, []feed.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: incompressible}})
		batch, err := log.Read(ctx, "t", 1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
		Expect(batch.Next).To(Equal(uint64(3)))
		Expect(store.reads.Load()).To(Equal(int32(1)))
		Expect(lost.Load()).To(BeZero())
	})

	// Guards against calls to a store that is down from all instances of a zone: they
	// made several a second each, and refused calls cost as much as others.
	It("waits at the relay while neither of them reaches the store", func() {
		storeDown.Store(true)
		var stale *relay.StaleError
		for range 3 {
			_, err := log.Read(ctx, "t", 3, time.Second)
			Expect(errors.As(err, &stale)).To(BeTrue(), "%v", err)
		}
		Expect(store.reads.Load()).To(BeZero())
		time.AfterFunc(50*time.Millisecond, func() { buffer.Add(3, []feed.Record{{Key: "d"}}); buffer.RecordStoreResponse(time.Now()) })
		batch, err := log.Read(ctx, "t", 3, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"d"}), "as soon as the relay reaches the store again")
		Expect(lost.Load()).To(BeZero())
	})

	It("reads from the store as soon as it responds to this instance, although the relay does not reach it", func() {
		storeDown.Store(true)
		_, err := log.Read(ctx, "t", 1, time.Second)
		Expect(err).To(HaveOccurred())
		storeDown.Store(false)
		batch, err := log.Read(ctx, "t", 1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
	})

	// Guards against returning records of another topic.
	It("reads from the store a topic that the relay does not follow", func() {
		buffer.RecordStoreResponse(time.Now())
		buffer.Add(0, []feed.Record{{Key: "a", Value: []byte("1")}})
		batch, err := log.Read(ctx, "other", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"0", "1", "2"}))
		Expect(lost.Load()).To(BeZero(), "the relay still serves other topics")
	})

	// Guards against skipping records that are older than those in the buffer of
	// the relay.
	It("reads from the store when the relay does not hold the records", func() {
		buffer.RecordStoreResponse(time.Now())
		buffer.Reset(2)
		batch, err := log.Read(ctx, "t", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"0", "1", "2"}))
		Expect(lost.Load()).To(BeZero(), "a restarted relay can serve the next read")
	})

	// Guards against bypassing a relay because the follower was stopped.
	It("keeps the relay when the read is canceled", func() {
		buffer.RecordStoreResponse(time.Now())
		buffer.Reset(3)
		shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := log.Read(shortCtx, "t", 3, time.Second)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(lost.Load()).To(BeZero())
		buffer.Add(3, []feed.Record{{Key: "d"}})
		batch, err := log.Read(ctx, "t", 3, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"d"}))
		Expect(store.reads.Load()).To(BeZero())
	})

	// Guards against waiting for a relay that has stopped.
	It("reads from the store when the relay has stopped", func() {
		buffer.RecordStoreResponse(time.Now())
		buffer.Reset(3)
		time.AfterFunc(100*time.Millisecond, stop)
		batch, err := log.Read(ctx, "t", 1, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
	})
})

var _ = Describe("Buffer", func() {
	// Guards against wrong offsets after old records are dropped.
	It("keeps the newest records at their offsets", func() {
		b := relay.NewBuffer()
		b.RecordStoreResponse(time.Now())
		for i := range 600 {
			b.Add(uint64(i), []feed.Record{{Key: fmt.Sprint(i)}})
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serveCtx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go (&relay.Server{Buffers: relay.Buffers{"t": b}}).Serve(serveCtx, listener)
		log := &relay.Log{
			Store: &fakeStore{}, Buffer: relay.NewBuffer(), Client: relay.Client{
				RelayAddresses: func() []string { return []string{listener.Addr().String()} },
				StoreDown:      func() bool { return false }, StoreSettling: func() bool { return false }, StoreResponds: func(context.Context) bool { return true },
				OnRelayLost: func(string, error) {},
			},
		}
		batch, err := log.Read(context.Background(), "t", 598, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"598", "599"}))
	})
})

var _ = Describe("Members", func() {
	ctx := context.Background()
	newMembers := func(names ...string) (all []fleet.Member) {
		for _, name := range names {
			all = append(all, fleet.Member{Name: name, Zone: "z", Address: name + ":1", Relay: name + ":2"})
		}
		return all
	}
	var follower, relaying *relay.Members // follower reads through the relay
	var reads atomic.Int32
	var stored atomic.Pointer[[]fleet.Member]
	BeforeEach(func() {
		reads.Store(0)
		read := func(context.Context) ([]fleet.Member, error) {
			reads.Add(1)
			return *stored.Load(), nil
		}
		buffers := relay.NewBuffers()
		buffers.RecordStoreResponse(time.Now())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serveCtx, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go (&relay.Server{Buffers: buffers}).Serve(serveCtx, listener)
		relaying = &relay.Members{
			Client: relay.Client{RelayAddresses: func() []string { return nil }, StoreDown: func() bool { return false }}, List: read, Buffer: buffers[relay.TopicMembers],
		}
		follower = &relay.Members{
			Client: relay.Client{
				RelayAddresses: func() []string { return []string{listener.Addr().String()} },
				StoreDown:      func() bool { return false }, StoreSettling: func() bool { return false }, StoreResponds: func(context.Context) bool { return true },
				OnRelayLost: func(string, error) {},
			},
			List: read, Buffer: relay.NewLatestBuffer(),
		}
	})
	set := func(names ...string) { all := newMembers(names...); stored.Store(&all) }

	// Guards against every instance reading the list from the store at each change.
	It("are read from the relay if it has the generation or a later one", func() {
		set("a", "b")
		_, err := relaying.AtGeneration(ctx, 7)
		Expect(err).NotTo(HaveOccurred())
		for _, generation := range []uint64{5, 7} {
			Expect(follower.AtGeneration(ctx, generation)).To(Equal(newMembers("a", "b")))
		}
		Expect(reads.Load()).To(Equal(int32(1)))
	})

	// Guards against returning an older list than this instance has asked for.
	It("are read from the store if the relay does not get the generation in time", func() {
		set("a", "b")
		_, err := relaying.AtGeneration(ctx, 7)
		Expect(err).NotTo(HaveOccurred())
		set("a")
		Expect(follower.AtGeneration(ctx, 8)).To(Equal(newMembers("a")))
		time.AfterFunc(50*time.Millisecond, func() { set("b"); _, _ = relaying.AtGeneration(ctx, 9) })
		Expect(follower.AtGeneration(ctx, 9)).To(Equal(newMembers("b")))
		Expect(reads.Load()).To(Equal(int32(3)))
	})
})
