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

// fakeLog is a topic whose reads wait in virtual time.
type fakeLog struct {
	mu      sync.Mutex
	newest  []feed.Record
	records []feed.Record
	first   uint64
	silent  bool
	deaf    bool // reads that begin now miss the next record
	fail    error
	dial    time.Duration // how long a call takes that fails
	reads   int
	changed chan struct{}
}

func newLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

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
	return feed.Batch{Records: l.newest, Next: uint64(len(l.records))}, l.fail
}

func (l *fakeLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (feed.Batch, error) {
	expired := time.After(wait)
	l.mu.Lock()
	l.reads++
	deaf := l.deaf
	l.mu.Unlock()
	if deaf {
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
		case l.silent:
			l.mu.Unlock()
			<-ctx.Done()
			return feed.Batch{}, ctx.Err()
		case l.fail != nil:
			failure, dial := l.fail, l.dial
			l.mu.Unlock()
			time.Sleep(dial)
			return feed.Batch{}, failure
		case from < l.first:
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

// rig runs a follower in virtual time and keeps what it delivers.
type rig struct {
	log    *fakeLog
	health *feed.Health
	mu     sync.Mutex
	events []feed.Event
	at     []time.Time
}

func run(t *testing.T, log *fakeLog, body func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		r := &rig{log: log, health: feed.NewHealth()}
		log.changed = make(chan struct{})
		f := &feed.Follower{
			Log: log, Health: r.health, Topic: "t", Wait: 10 * time.Second, Interval: 300 * time.Millisecond,
			Deliver: func(_ context.Context, e feed.Event) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.events, r.at = append(r.events, e), append(r.at, time.Now())
			},
			Report: func(string, error) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		body(r)
		cancel()
		<-done
	})
}

func (r *rig) keys() (keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		for _, record := range e.Records {
			keys = append(keys, record.Key)
		}
	}
	return keys
}

func record(key string) feed.Record { return feed.Record{Key: key, Value: []byte("1")} }

// Guards against records between the listing and the first read that get lost, and
// against one call for each of many records that come together.
func TestFollowerReadsListingThenRecords(t *testing.T) {
	log := newLog()
	log.newest = []feed.Record{record("a")}
	run(t, log, func(r *rig) {
		time.Sleep(time.Second)
		log.change(func() { log.records = append(log.records, record("b")) })
		time.Sleep(100 * time.Millisecond)
		log.change(func() { log.records = append(log.records, record("c")) })
		log.change(func() { log.records = append(log.records, record("d")) })
		time.Sleep(400 * time.Millisecond)
		Expect(r.keys()).To(Equal([]string{"a", "b", "c", "d"}))
		Expect(r.events).To(HaveLen(3), "c and d come in one batch")
	})
}

// Guards against a follower that misses what a store that forgot its history
// deleted or changed.
func TestFollowerListsAgainAfterTrim(t *testing.T) {
	log := newLog()
	log.newest = []feed.Record{record("a")}
	run(t, log, func(r *rig) {
		time.Sleep(time.Second)
		log.change(func() {
			log.records = append(log.records, record("x"), record("y"))
			log.first = 2
			log.newest = []feed.Record{record("y")}
		})
		time.Sleep(time.Second)
		Expect(r.keys()).To(Equal([]string{"a", "y"}))
		Expect(r.events[1].Listing).To(BeTrue())
	})
}

// Guards against a read that waits at a silent store beyond the end of the outage:
// configurations and leaving targets were seen seconds too late.
func TestFollowerGivesUpSilentReadWhenAnotherCallFails(t *testing.T) {
	log := newLog()
	run(t, log, func(r *rig) {
		time.Sleep(time.Second)
		log.change(func() { log.silent = true })
		time.Sleep(2 * time.Second)
		r.health.Failed(time.Now()) // another caller of the store
		time.Sleep(2 * time.Second)
		log.change(func() {
			log.silent = false
			log.records = append(log.records, record("late"))
		})
		back := time.Now()
		time.Sleep(3 * time.Second)
		Expect(r.keys()).To(Equal([]string{"late"}))
		Expect(r.at[len(r.at)-1].Sub(back)).To(BeNumerically("<", 1600*time.Millisecond))
		Expect(r.health.Down()).To(BeFalse())
	})
}

// Guards against a storm of calls to a store that refuses them.
func TestFollowerBacksOff(t *testing.T) {
	log := newLog()
	log.newest = []feed.Record{record("a")}
	run(t, log, func(r *rig) {
		time.Sleep(time.Second)
		log.change(func() { log.fail = errors.ErrUnsupported })
		log.mu.Lock()
		before := log.reads
		log.mu.Unlock()
		time.Sleep(10 * time.Second)
		log.mu.Lock()
		defer log.mu.Unlock()
		Expect(log.reads - before).To(BeNumerically("<=", 60))
		Expect(r.health.Settling(time.Now())).To(BeTrue())
	})
}

// Guards against a read that began to wait while the store was slow and missed a
// record: a configuration came into force 8 s late.
func TestFollowerWaitsBrieflyWhileStoreIsSlow(t *testing.T) {
	log := newLog()
	run(t, log, func(r *rig) {
		time.Sleep(time.Second)
		r.health.Took(140 * time.Millisecond)
		log.mu.Lock()
		before := log.reads
		log.mu.Unlock()
		time.Sleep(3 * time.Second)
		log.mu.Lock()
		slow := log.reads - before
		log.mu.Unlock()
		Expect(slow).To(BeNumerically(">=", 5))
		r.health.Took(4 * time.Millisecond)
		Expect(r.health.Impaired()).To(BeFalse())
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
// it: with configurations of 1,200 routes one instance was 3 s behind the others.
func TestFollowerReadsAgainSoonAfterRecords(t *testing.T) {
	log := newLog()
	run(t, log, func(r *rig) {
		time.Sleep(time.Second)
		log.change(func() { log.records = append(log.records, record("a")) })
		log.mu.Lock()
		log.deaf = true
		log.mu.Unlock()
		time.Sleep(500 * time.Millisecond) // the next read has begun
		log.change(func() {
			log.records = append(log.records, record("b"))
			log.deaf = false
		})
		time.Sleep(1200 * time.Millisecond)
		Expect(r.keys()).To(Equal([]string{"a", "b"}))
	})
}

// Guards against a slow call of this instance that counts as an outage: entries
// that were removed then stayed in use for 1.9 s more, beyond what a server that
// leaves allows.
func TestSlowCallIsNoOutage(t *testing.T) {
	log := newLog()
	run(t, log, func(r *rig) {
		time.Sleep(time.Second)
		r.health.Took(60 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		Expect(r.health.Down()).To(BeFalse())
		Expect(r.health.Settling(time.Now())).To(BeFalse())
		log.change(func() { log.records = append(log.records, record("a")) })
		time.Sleep(100 * time.Millisecond)
		Expect(r.keys()).To(Equal([]string{"a"}))
	})
}

// Guards against a target that is used after it left because its instance noticed
// late that it reaches the store again. An instance is excused for 3 s after a cut;
// entries that are gone are kept for 1.9 s, and looked at every 0.2 s.
func TestNoticesTheReturnOfTheStoreSoon(t *testing.T) {
	const bound = 900 * time.Millisecond
	for offset := range 40 {
		away := 5*time.Second + time.Duration(offset)*37*time.Millisecond
		run(t, &fakeLog{dial: 400 * time.Millisecond}, func(r *rig) {
			time.Sleep(time.Second)
			r.log.change(func() { r.log.fail = errors.New("cut off") })
			time.Sleep(away)
			returned := time.Now()
			r.log.change(func() { r.log.fail, r.log.records = nil, []feed.Record{{Key: "a", Value: []byte("1")}} })
			time.Sleep(5 * time.Second)
			r.mu.Lock()
			defer r.mu.Unlock()
			Expect(r.events).To(HaveLen(2))
			Expect(r.at[1].Sub(returned)).To(BeNumerically("<=", bound), "away for %v", away)
		})
	}
}
