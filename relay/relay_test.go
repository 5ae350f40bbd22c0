package relay_test

import (
	"context"
	"fmt"
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

// store counts reads and returns one record for each offset below its end.
type store struct {
	mu    sync.Mutex
	end   uint64
	reads atomic.Int32
}

func (s *store) Newest(context.Context, string) (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return feed.Batch{Next: s.end}, nil
}

func (s *store) Read(_ context.Context, _ string, from uint64, _ time.Duration) (feed.Batch, error) {
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := feed.Batch{Next: max(from, s.end)}
	for offset := from; offset < s.end; offset++ {
		batch.Records = append(batch.Records, feed.Record{Key: fmt.Sprint(offset), Value: []byte("v")})
	}
	return batch, nil
}

func keys(batch feed.Batch) (all []string) {
	for _, r := range batch.Records {
		all = append(all, r.Key)
	}
	return all
}

var _ = Describe("Log", func() {
	ctx := context.Background()
	var buffer *relay.Buffer
	var behind *store
	var log *relay.Log
	var lost atomic.Int32
	var stop context.CancelFunc

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		buffer, behind = relay.NewBuffer(), &store{end: 3}
		lost.Store(0)
		var running context.Context
		running, stop = context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			(&relay.Server{Buffers: relay.Buffers{"t": buffer}}).Serve(running, listener)
		}()
		DeferCleanup(func() { stop(); <-done })
		log = &relay.Log{
			Store: behind, Buffer: relay.NewBuffer(), Client: relay.Client{
				Relay: func() string { return listener.Addr().String() },
				Lost:  func(string, error) { lost.Add(1) },
			},
		}
	})

	// Guards against calls to the store that a relay makes needless.
	It("reads records from the relay", func() {
		buffer.Heard(time.Now())
		buffer.Add(0, []feed.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Deleted: true}})
		batch, err := log.Read(ctx, "t", 1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch).To(Equal(feed.Batch{Records: []feed.Record{{Key: "b", Deleted: true}}, Next: 2}))
		time.AfterFunc(50*time.Millisecond, func() { buffer.Add(2, []feed.Record{{Key: "c"}}) })
		batch, err = log.Read(ctx, "t", 2, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"c"}))
		Expect(behind.reads.Load()).To(BeZero())
		Expect(buffer.Used(time.Now(), time.Second)).To(BeTrue())
	})

	// Guards against a relay that has lost touch with the store and keeps a zone
	// out of date.
	It("reads for itself when the relay has not heard from the store", func() {
		buffer.Heard(time.Now().Add(-2 * time.Second))
		buffer.Add(0, []feed.Record{{Key: "a"}})
		batch, err := log.Read(ctx, "t", 1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
		Expect(lost.Load()).To(Equal(int32(1)))
		_, _ = log.Read(ctx, "t", 1, time.Second)
		Expect(behind.reads.Load()).To(Equal(int32(2)), "not asked again at once")
		Expect(lost.Load()).To(Equal(int32(1)))
	})

	// Guards against a relay that stops hearing while a question waits there.
	It("notices within a second that the relay goes out of date", func() {
		buffer.Heard(time.Now().Add(-900 * time.Millisecond))
		buffer.Reset(1)
		began := time.Now()
		batch, err := log.Read(ctx, "t", 1, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	// Guards against a large configuration that a relay with a slow link sends to
	// every instance of its zone.
	It("reads large records from the store, and keeps the relay", func() {
		buffer.Heard(time.Now())
		buffer.Add(0, []feed.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: make([]byte, 100_000)}})
		batch, err := log.Read(ctx, "t", 1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
		Expect(batch.Next).To(Equal(uint64(3)))
		Expect(behind.reads.Load()).To(Equal(int32(1)))
		Expect(lost.Load()).To(BeZero())
	})

	// Guards against records of one topic that are taken for those of another.
	It("reads a topic that the relay does not follow from the store", func() {
		buffer.Heard(time.Now())
		buffer.Add(0, []feed.Record{{Key: "a", Value: []byte("1")}})
		batch, err := log.Read(ctx, "other", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"0", "1", "2"}))
	})

	// Guards against records that are missing between what the relay holds and what
	// this instance has read.
	It("reads for itself when the relay does not hold the records", func() {
		buffer.Heard(time.Now())
		buffer.Reset(2)
		batch, err := log.Read(ctx, "t", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"0", "1", "2"}))
		Expect(lost.Load()).To(BeZero(), "a restarted relay is of use for the next read")
	})

	// Guards against a relay that is given up because its follower was stopped.
	It("keeps the relay when the read is canceled", func() {
		buffer.Heard(time.Now())
		buffer.Reset(3)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := log.Read(short, "t", 3, time.Second)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(lost.Load()).To(BeZero())
		buffer.Add(3, []feed.Record{{Key: "d"}})
		batch, err := log.Read(ctx, "t", 3, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"d"}))
		Expect(behind.reads.Load()).To(BeZero())
	})

	// Guards against a zone that waits for an instance that is gone.
	It("reads for itself when the relay is gone", func() {
		buffer.Heard(time.Now())
		buffer.Reset(3)
		time.AfterFunc(100*time.Millisecond, stop)
		batch, err := log.Read(ctx, "t", 1, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"1", "2"}))
	})
})

var _ = Describe("Buffer", func() {
	// Guards against offsets that shift when old records are dropped.
	It("keeps the newest records at their offsets", func() {
		b := relay.NewBuffer()
		b.Heard(time.Now())
		for i := range 600 {
			b.Add(uint64(i), []feed.Record{{Key: fmt.Sprint(i)}})
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		running, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go (&relay.Server{Buffers: relay.Buffers{"t": b}}).Serve(running, listener)
		log := &relay.Log{
			Store: &store{}, Buffer: relay.NewBuffer(), Client: relay.Client{
				Relay: func() string { return listener.Addr().String() },
				Lost:  func(string, error) {},
			},
		}
		batch, err := log.Read(context.Background(), "t", 598, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(batch)).To(Equal([]string{"598", "599"}))
	})
})

var _ = Describe("Members", func() {
	ctx := context.Background()
	list := func(names ...string) (all []fleet.Member) {
		for _, name := range names {
			all = append(all, fleet.Member{Name: name, Zone: "z", Address: name + ":1", Relay: name + ":2"})
		}
		return all
	}
	var behind, reader *relay.Members
	var reads atomic.Int32
	var listed atomic.Pointer[[]fleet.Member]
	BeforeEach(func() {
		reads.Store(0)
		read := func(context.Context) ([]fleet.Member, error) {
			reads.Add(1)
			return *listed.Load(), nil
		}
		buffers := relay.NewBuffers()
		buffers.Heard(time.Now())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		running, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go (&relay.Server{Buffers: buffers}).Serve(running, listener)
		reader = &relay.Members{
			Client: relay.Client{Relay: func() string { return "" }}, List: read, Buffer: buffers[relay.TopicMembers],
		}
		behind = &relay.Members{
			Client: relay.Client{
				Relay: func() string { return listener.Addr().String() },
				Lost:  func(string, error) {},
			},
			List: read, Buffer: relay.NewLatest(),
		}
	})
	set := func(names ...string) { all := list(names...); listed.Store(&all) }

	// Guards against a list that every instance of a zone reads at each change.
	It("come from the relay if it knows the generation, or a later one", func() {
		set("a", "b")
		_, err := reader.At(ctx, 7)
		Expect(err).NotTo(HaveOccurred())
		for _, generation := range []uint64{5, 7} {
			Expect(behind.At(ctx, generation)).To(Equal(list("a", "b")))
		}
		Expect(reads.Load()).To(Equal(int32(1)))
	})

	// Guards against a list that is older than what the store told this instance.
	It("are read from the store if the relay does not know the generation soon", func() {
		set("a", "b")
		_, err := reader.At(ctx, 7)
		Expect(err).NotTo(HaveOccurred())
		set("a")
		Expect(behind.At(ctx, 8)).To(Equal(list("a")))
		time.AfterFunc(50*time.Millisecond, func() { set("b"); _, _ = reader.At(ctx, 9) })
		Expect(behind.At(ctx, 9)).To(Equal(list("b")))
		Expect(reads.Load()).To(Equal(int32(3)))
	})
})
