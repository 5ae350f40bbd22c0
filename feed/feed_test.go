package feed_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/feed"
)

// fakeLog is a feed.Log of one topic, whose reads wait in virtual time.
type fakeLog struct {
	mu           sync.Mutex
	newest       []feed.Record
	records      []feed.Record
	firstOffset  uint64
	hang         bool
	missNext     bool // reads that begin while it is set miss all records
	failure      error
	failureDelay time.Duration // duration of a call that fails
	reads        int
	changed      chan struct{}
}

func newFakeLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

func (l *fakeLog) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) Newest(context.Context, string) (feed.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return feed.Batch{Records: l.newest, Next: uint64(len(l.records))}, l.failure
}

func (l *fakeLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (feed.Batch, error) {
	expired := time.After(wait)
	l.mu.Lock()
	l.reads++
	missNext := l.missNext
	l.mu.Unlock()
	if missNext {
		select {
		case <-expired:
			return feed.Batch{Next: from}, nil
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
	for {
		l.mu.Lock()
		changed := l.changed
		switch {
		case l.hang:
			l.mu.Unlock()
			<-ctx.Done()
			return feed.Batch{}, ctx.Err()
		case l.failure != nil:
			failure, delay := l.failure, l.failureDelay
			l.mu.Unlock()
			time.Sleep(delay)
			return feed.Batch{}, failure
		case from < l.firstOffset:
			l.mu.Unlock()
			return feed.Batch{}, &feed.TrimmedError{Topic: topic, From: from}
		case from < uint64(len(l.records)):
			defer l.mu.Unlock()
			return feed.Batch{Records: l.records[from:], Next: uint64(len(l.records))}, nil
		}
		l.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			return feed.Batch{Next: from}, nil
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

// fixture records the events that a follower delivers.
type fixture struct {
	log         *fakeLog
	health      *feed.Health
	mu          sync.Mutex
	events      []feed.Event
	deliveredAt []time.Time
}

// run runs a follower of the log in virtual time while body runs.
func run(t *testing.T, log *fakeLog, body func(f *fixture)) {
	t.Helper()
	runWith(t, log, func(*feed.Follower) {}, body)
}

// runWith is like run with a change of the follower before it starts.
func runWith(t *testing.T, log *fakeLog, change func(*feed.Follower), body func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := &fixture{log: log, health: feed.NewHealth()}
		log.changed = make(chan struct{})
		follower := &feed.Follower{
			Log: log, Health: f.health, Topic: "t", Wait: 10 * time.Second, Interval: 300 * time.Millisecond,
			Deliver: func(_ context.Context, e feed.Event) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.events, f.deliveredAt = append(f.events, e), append(f.deliveredAt, time.Now())
			},
			Report: func(string, error) {},
		}
		change(follower)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		body(f)
		cancel()
		<-done
	})
}

func (f *fixture) keys() (keys []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		for _, record := range e.Records {
			keys = append(keys, record.Key)
		}
	}
	return keys
}

func record(key string) feed.Record { return feed.Record{Key: key, Value: []byte("1")} }

// Guards against losing records between the listing and the first read, and
// against one call per record when many records come together.
func TestFollowerReadsListingThenRecords(t *testing.T) {
	log := newFakeLog()
	log.newest = []feed.Record{record("a")}
	run(t, log, func(f *fixture) {
		time.Sleep(time.Second)
		log.change(func() { log.records = append(log.records, record("b")) })
		time.Sleep(100 * time.Millisecond)
		log.change(func() { log.records = append(log.records, record("c")) })
		log.change(func() { log.records = append(log.records, record("d")) })
		time.Sleep(400 * time.Millisecond)
		Expect(f.keys()).To(Equal([]string{"a", "b", "c", "d"}))
		Expect(f.events).To(HaveLen(3), "c and d come in one batch")
	})
}

// Guards against a follower that misses deletions and changes because the store
// has trimmed the records.
func TestFollowerListsAgainAfterTrim(t *testing.T) {
	log := newFakeLog()
	log.newest = []feed.Record{record("a")}
	run(t, log, func(f *fixture) {
		time.Sleep(time.Second)
		log.change(func() {
			log.records = append(log.records, record("x"), record("y"))
			log.firstOffset = 2
			log.newest = []feed.Record{record("y")}
		})
		time.Sleep(time.Second)
		Expect(f.keys()).To(Equal([]string{"a", "y"}))
		Expect(f.events[1].Listing).To(BeTrue())
	})
}

// Guards against a read that hangs beyond the end of an outage of the store:
// configurations and leaving targets were noticed seconds late.
func TestFollowerCancelsHangingReadWhenAnotherCallFails(t *testing.T) {
	log := newFakeLog()
	run(t, log, func(f *fixture) {
		time.Sleep(time.Second)
		log.change(func() { log.hang = true })
		time.Sleep(2 * time.Second)
		f.health.RecordFailure(time.Now(), time.Now()) // another caller of the store
		time.Sleep(2 * time.Second)
		log.change(func() {
			log.hang = false
			log.records = append(log.records, record("late"))
		})
		back := time.Now()
		time.Sleep(3 * time.Second)
		Expect(f.keys()).To(Equal([]string{"late"}))
		Expect(f.deliveredAt[len(f.deliveredAt)-1].Sub(back)).To(BeNumerically("<", 1600*time.Millisecond))
		Expect(f.health.Down()).To(BeFalse())
	})
}

// Guards against retrying without back-off at a store that refuses calls.
func TestFollowerBacksOff(t *testing.T) {
	log := newFakeLog()
	log.newest = []feed.Record{record("a")}
	run(t, log, func(f *fixture) {
		time.Sleep(time.Second)
		log.change(func() { log.failure = errors.ErrUnsupported })
		log.mu.Lock()
		before := log.reads
		log.mu.Unlock()
		time.Sleep(10 * time.Second)
		log.mu.Lock()
		defer log.mu.Unlock()
		Expect(log.reads - before).To(BeNumerically("<=", 60))
		Expect(f.health.Settling(time.Now())).To(BeTrue())
	})
}

// Guards against a read that began to wait while the store was slow and missed a
// record: a configuration took effect 8 s late.
func TestFollowerWaitsBrieflyWhileStoreIsSlow(t *testing.T) {
	log := newFakeLog()
	run(t, log, func(f *fixture) {
		time.Sleep(time.Second)
		f.health.RecordDuration(140 * time.Millisecond)
		log.mu.Lock()
		before := log.reads
		log.mu.Unlock()
		time.Sleep(3 * time.Second)
		log.mu.Lock()
		slow := log.reads - before
		log.mu.Unlock()
		Expect(slow).To(BeNumerically(">=", 5))
		f.health.RecordDuration(4 * time.Millisecond)
		Expect(f.health.Impaired()).To(BeFalse())
		time.Sleep(time.Second)
		log.mu.Lock()
		before = log.reads
		log.mu.Unlock()
		time.Sleep(5 * time.Second)
		log.mu.Lock()
		defer log.mu.Unlock()
		Expect(log.reads - before).To(BeNumerically("<=", 1))
	})
}

// Guards against a read that began while a record was being appended and missed
// it: with configurations of 1,200 routes one instance was 3 s behind the
// others.
func TestFollowerReadsAgainSoonAfterRecords(t *testing.T) {
	log := newFakeLog()
	run(t, log, func(f *fixture) {
		time.Sleep(time.Second)
		log.change(func() { log.records = append(log.records, record("a")) })
		log.mu.Lock()
		log.missNext = true
		log.mu.Unlock()
		time.Sleep(500 * time.Millisecond) // the next read has begun
		log.change(func() {
			log.records = append(log.records, record("b"))
			log.missNext = false
		})
		time.Sleep(1200 * time.Millisecond)
		Expect(f.keys()).To(Equal([]string{"a", "b"}))
	})
}

// Guards against treating a slow call of this instance as an outage: removed
// entries then stayed in use for another 1.9 s, longer than a leaving server
// allows.
func TestFollowerDoesNotTreatSlowCallAsOutage(t *testing.T) {
	log := newFakeLog()
	run(t, log, func(f *fixture) {
		time.Sleep(time.Second)
		f.health.RecordDuration(60 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		Expect(f.health.Down()).To(BeFalse())
		Expect(f.health.Settling(time.Now())).To(BeFalse())
		log.change(func() { log.records = append(log.records, record("a")) })
		time.Sleep(100 * time.Millisecond)
		Expect(f.keys()).To(Equal([]string{"a"}))
	})
}

// Guards against using a target that has left, because the instance notices late
// that the store is reachable again. An instance may use such a target for up to
// 3 s after a partition; removed entries are kept for 1.9 s and checked every
// 0.2 s.
func TestNoticesTheReturnOfTheStoreSoon(t *testing.T) {
	const bound = 900 * time.Millisecond
	for offset := range 40 {
		away := 5*time.Second + time.Duration(offset)*37*time.Millisecond
		run(t, &fakeLog{failureDelay: 400 * time.Millisecond}, func(f *fixture) {
			time.Sleep(time.Second)
			f.log.change(func() { f.log.failure = errors.New("cut off") })
			time.Sleep(away)
			returned := time.Now()
			f.log.change(func() { f.log.failure, f.log.records = nil, []feed.Record{{Key: "a", Value: []byte("1")}} })
			time.Sleep(5 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			Expect(f.events).To(HaveLen(2))
			Expect(f.deliveredAt[1].Sub(returned)).To(BeNumerically("<=", bound), "away for %v", away)
		})
	}
}

// Guards against sending requests to a target that has left: a call that began in
// an outage failed after the outage had ended, so that the removal of the target
// was taken for an effect of an outage and the target was kept.
func TestHealthIgnoresFailureOfCallOlderThanLastResponse(t *testing.T) {
	RegisterTestingT(t)
	h := feed.NewHealth()
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	Expect(h.RecordFailure(now, at(time.Second))).To(BeTrue())
	Expect(h.RecordSuccess(at(2 * time.Second))).To(BeTrue())
	Expect(h.RecordFailure(at(1900*time.Millisecond), at(3*time.Second))).To(BeFalse())
	Expect(h.Down()).To(BeFalse())
	Expect(h.Settling(at(3600 * time.Millisecond))).To(BeFalse())
	Expect(h.RecordFailure(at(2100*time.Millisecond), at(4*time.Second))).To(BeTrue())
}

// Guards against counting the time that expired entries get from the moment of
// their removal: it begins at the return of the store.
func TestHealthTellsTheEndOfAnOutage(t *testing.T) {
	RegisterTestingT(t)
	h := feed.NewHealth()
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	_, settling := h.OutageEnd(now)
	Expect(settling).To(BeFalse(), "no outage so far")
	h.RecordFailure(now, at(time.Second))
	end, settling := h.OutageEnd(at(2 * time.Second))
	Expect(settling).To(BeTrue())
	Expect(end).To(Equal(at(2*time.Second)), "the store is still down")
	h.RecordSuccess(at(2500 * time.Millisecond))
	h.RecordSuccess(at(2700 * time.Millisecond))
	end, settling = h.OutageEnd(at(3 * time.Second))
	Expect(settling).To(BeTrue())
	Expect(end).To(Equal(at(2500 * time.Millisecond)))
	_, settling = h.OutageEnd(at(4 * time.Second))
	Expect(settling).To(BeFalse())
}

// Guards against reads from the store in the first seconds after the start, before it
// is known which instance reads for this one.
func TestFollowerAwaitsItsSourceBeforeTheFirstRead(t *testing.T) {
	log := newFakeLog()
	log.newest = []feed.Record{record("a")}
	known := make(chan struct{})
	runWith(t, log, func(follower *feed.Follower) {
		known = make(chan struct{})
		follower.AwaitSource = func(context.Context) { <-known }
	}, func(f *fixture) {
		time.Sleep(time.Second)
		Expect(f.keys()).To(Equal([]string{"a"}), "the listing is applied at once")
		Expect(log.reads).To(BeZero())
		log.change(func() { log.records = append(log.records, record("b")) })
		close(known)
		time.Sleep(10 * time.Millisecond)
		Expect(f.keys()).To(Equal([]string{"a", "b"}), "read without a further delay")
		time.Sleep(time.Second)
		log.change(func() {
			log.firstOffset = 2
			log.records = append(log.records, record("c"))
			log.newest = []feed.Record{record("c")}
		})
		time.Sleep(2 * time.Second)
		Expect(f.keys()).To(ContainElement("c"), "awaited only once")
	})
}

// Guards against a configuration that takes effect seconds late: a read that began
// before the record was appended missed it and went on waiting. The store was not
// slow, and no records had come before.
func TestFollowerReadsMissedRecordWithinItsWait(t *testing.T) {
	const wait = 1200 * time.Millisecond
	log := newFakeLog()
	runWith(t, log, func(follower *feed.Follower) { follower.Wait = wait }, func(f *fixture) {
		time.Sleep(time.Second)
		log.change(func() { log.missNext = true })
		time.Sleep(wait) // a read that misses all records has begun
		log.change(func() {
			log.records = append(log.records, record("a"))
			log.missNext = false
		})
		time.Sleep(wait + time.Millisecond)
		Expect(f.keys()).To(Equal([]string{"a"}))
	})
}
