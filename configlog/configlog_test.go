package configlog_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
	"fulmarhoist.example/configlog"
)

var decode = configlog.Decode

var _ = Describe("Records", func() {
	It("are unchanged after encoding and decoding", func() {
		p := newPublication("a", 7)
		c := config.Checkpoint{State: config.State{Version: 2, ID: "b", Offset: 3, Config: sampleConfig(1)}, AsOf: 9, WrittenAt: time.UnixMilli(5)}
		for _, r := range []config.Record{p, c} {
			data, err := configlog.Encode(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(configlog.Decode(data)).To(Equal(r))
		}
	})

	DescribeTable("that cannot be decoded become Unreadable with a reason", func(data, reason string) {
		Expect(configlog.Decode([]byte(data))).To(HaveField("Reason", ContainSubstring(reason)))
	},
		Entry(nil, "", "unexpected end"), Entry(nil, "{} {}", "after top-level value"),
		Entry(nil, `{"kind":"vote"}`, `unknown kind of record "vote"`),
		Entry(nil, `{"kind":"publication","base":-1}`, "base"),
		Entry(nil, `{"kind":"publication","id":"`+strings.Repeat("a", configlog.MaxPublicationBytes)+`"}`, "exceeds the limit"),
		Entry(nil, `{"kind":"checkpoint","state":[]}`, "state"),
	)

	It("that are too large or of an unknown type are not encoded", func() {
		var large *configlog.RecordTooLargeError
		_, err := configlog.Encode(config.Publication{ID: strings.Repeat("a", configlog.MaxPublicationBytes)})
		Expect(err).To(MatchError(ContainSubstring("exceeds")))
		Expect(err).To(BeAssignableToTypeOf(large))
		_, err = configlog.Encode(config.Unreadable{})
		Expect(err).To(HaveOccurred())
	})
})

// fixture holds a log and a publisher for one spec that runs in virtual time.
type fixture struct {
	*WithT
	log       *memoryLog
	publisher *configlog.Publisher
	ctx       context.Context
}

// inVirtualTime returns a function that runs a spec in virtual time and stops
// its readers afterwards.
func inVirtualTime(spec func(f *fixture)) func() {
	return func() {
		synctest.Test(suiteT, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			log := &memoryLog{}
			spec(&fixture{NewWithT(t), log, configlog.NewPublisher(log, configlog.Options{}), ctx})
			cancel()
			synctest.Wait()
		})
	}
}

func (f *fixture) startReader(options configlog.Options) *configlog.Reader {
	r := configlog.NewReader(f.log, options)
	go r.Run(f.ctx)
	return r
}

func (f *fixture) publish(id string, base uint64, limit time.Duration) (configlog.Result, error) {
	ctx, cancel := context.WithTimeout(f.ctx, limit)
	defer cancel()
	return f.publisher.Publish(ctx, newPublication(id, base), nil)
}

// advanceTime advances the virtual time and waits until all goroutines are
// blocked.
func advanceTime(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

var _ = Describe("Reader", func() {
	// P9: an accepted configuration is in force on all instances within 3 s.
	It("puts a publication in force on every reader within 3 s", inVirtualTime(func(f *fixture) {
		readers := []*configlog.Reader{f.startReader(configlog.Options{}), f.startReader(configlog.Options{})}
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Outcome", configlog.OutcomeAccepted))
		advanceTime(3 * second)
		for _, r := range readers {
			f.Expect(r.State()).To(HaveField("ID", "a"))
		}
	}))

	It("keeps its state and backs off during an outage, and resumes afterwards", inVirtualTime(func(f *fixture) {
		r := f.startReader(configlog.Options{})
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		advanceTime(2 * second)
		f.log.locked(func() { f.log.unavailable = true })
		calls, outageStart := f.log.callCount(), time.Now()
		advanceTime(time.Hour)
		f.Expect(r.State().Version).To(Equal(uint64(1)))
		f.Expect(f.log.callCount() - calls).To(And(BeNumerically(">", 1000), BeNumerically("<", 4000)))
		f.Expect(r.LastRead()).To(BeTemporally("<=", outageStart))
		f.log.locked(func() { f.log.unavailable = false })
		f.Expect(f.publish("b", 1, 5*second)).To(HaveField("Version", uint64(2)))
		advanceTime(3 * second)
		f.Expect(r.State().Version).To(Equal(uint64(2)))
		f.Expect(time.Since(r.LastRead())).To(BeNumerically("<", second))
	}))

	// Guards against a log that does not respond and thereby keeps the reader from
	// adopting a peer's newer state.
	It("adopts a peer's state while reads of the log hang", inVirtualTime(func(f *fixture) {
		f.log.locked(func() { f.log.hang = true })
		r := f.startReader(configlog.Options{})
		advanceTime(5 * second)
		f.Expect(r.State()).To(BeNil())
		f.Expect(r.Offer(config.State{Version: 3, ID: "c", Offset: 8, Config: sampleConfig(1)}.Snapshot())).To(BeTrue())
		synctest.Wait()
		f.Expect(r.State()).To(HaveField("Version", uint64(3)))
	}))

	It("puts nothing from a trimmed log without a checkpoint in force until a peer's snapshot arrives", inVirtualTime(func(f *fixture) {
		old := f.startReader(configlog.Options{Retention: 24 * 365 * time.Hour})
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		advanceTime(5 * second)
		f.log.trimAll()
		f.log.locked(func() { f.log.records = append(f.log.records, f.log.records[0]) })
		r := f.startReader(configlog.Options{})
		advanceTime(5 * second)
		f.Expect(r.State()).To(BeNil())
		r.Offer(*old.Snapshot())
		advanceTime(second)
		f.Expect(r.State()).To(HaveField("ID", "a"))
	}))

	// Guards against each of seven instances writing a checkpoint of its own, and
	// against a new instance that finds none.
	It("writes about one checkpoint per third of the retention period, from which new readers start", inVirtualTime(func(f *fixture) {
		rng := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		random := func() float64 { mu.Lock(); defer mu.Unlock(); return rng.Float64() }
		for range 7 {
			f.startReader(configlog.Options{Retention: time.Hour, Random: random})
		}
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		advanceTime(3*20*time.Minute + 10*second)
		checkpoints := len(f.log.recordTypes()) - 1
		f.Expect(checkpoints).To(And(BeNumerically(">=", 4), BeNumerically("<=", 12)))
		for range 12 {
			advanceTime(15 * time.Minute)
			f.log.trimOlderThan(time.Hour)
			r := f.startReader(configlog.Options{Retention: time.Hour})
			advanceTime(second)
			f.Expect(r.State()).To(HaveField("ID", "a"))
		}
		f.Expect(f.log.first).To(BeNumerically(">", 1), "the publication must have expired")
	}))

	It("reports a log that has lost records, and keeps its state", inVirtualTime(func(f *fixture) {
		var mu sync.Mutex
		var lastErr error
		r := f.startReader(configlog.Options{OnError: func(err error) { mu.Lock(); lastErr = err; mu.Unlock() }})
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		advanceTime(5 * second)
		f.log.locked(func() { f.log.records = nil })
		advanceTime(5 * second)
		mu.Lock()
		defer mu.Unlock()
		f.Expect(lastErr).To(MatchError(ContainSubstring("was read before")))
		f.Expect(r.State()).To(HaveField("ID", "a"))
	}))
})

var _ = Describe("Publisher", func() {
	It("rejects the second of two publications with the same base, with the reason and the differences", inVirtualTime(func(f *fixture) {
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Outcome", configlog.OutcomeAccepted))
		result, err := f.publish("bb", 0, 5*second)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(result.Outcome).To(Equal(configlog.OutcomeRejected))
		f.Expect(result.Reason).To(Equal(config.ReasonStaleBase))
		f.Expect(result.Changes).To(ConsistOf(HaveField("Path", "services[orders].queue_limit")))
	}))

	// Guards against reporting a publication as failed because the response to its
	// append was lost.
	It("finds a publication whose append got no response", inVirtualTime(func(f *fixture) {
		f.log.locked(func() { f.log.loseNextResponse = true })
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Outcome", configlog.OutcomeAccepted))
	}))

	It("returns an uncertain outcome at the deadline if the record does not appear in the log", inVirtualTime(func(f *fixture) {
		f.log.locked(func() { f.log.dropNextAppend = true })
		start := time.Now()
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Outcome", configlog.OutcomeUncertain))
		f.Expect(time.Since(start)).To(BeNumerically("~", 5*second, second))
	}))

	It("returns an error when the log is unavailable, so that nothing was stored", inVirtualTime(func(f *fixture) {
		f.log.locked(func() { f.log.unavailable = true })
		_, err := f.publish("a", 0, 5*second)
		var unavailable *backing.UnavailableError
		f.Expect(errors.As(err, &unavailable)).To(BeTrue())
	}))

	It("does not append invalid publications or those whose base does not exist yet", inVirtualTime(func(f *fixture) {
		f.Expect(f.publish("a", 3, 5*second)).To(HaveField("Reason", config.ReasonUnknownBase))
		f.Expect(f.publisher.Publish(f.ctx, config.Publication{ID: "a"}, nil)).To(HaveField("Reason", config.ReasonInvalid))
		f.Expect(f.publish("a b", 0, 5*second)).To(HaveField("Reason", config.ReasonMalformed))
		f.Expect(f.log.recordTypes()).To(BeEmpty())
	}))

	It("confirms a publication later by its id, or reports an uncertain outcome if its record was dropped", inVirtualTime(func(f *fixture) {
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		f.Expect(f.publish("b", 1, 5*second)).To(HaveField("Version", uint64(2)))
		f.Expect(f.publisher.Confirm(f.ctx, "a", nil)).To(HaveField("Version", uint64(1)))
		f.log.trimAll()
		f.log.locked(func() { f.log.records = append(f.log.records, f.log.records[0]) })
		data, _ := configlog.Encode(config.Checkpoint{State: config.State{Version: 2, ID: "b", Offset: 1, Config: sampleConfig(1)}, AsOf: 1})
		f.log.locked(func() { f.log.records = append(f.log.records, data) })
		f.Expect(f.publisher.Confirm(f.ctx, "a", nil)).To(HaveField("Outcome", configlog.OutcomeUncertain))
		f.Expect(f.publisher.Confirm(f.ctx, "b", nil)).To(HaveField("Outcome", configlog.OutcomeAccepted))
	}))

	It("returns NoCheckpointError for a trimmed log without a checkpoint", inVirtualTime(func(f *fixture) {
		f.Expect(f.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		f.log.trimAll()
		_, err := f.publisher.Current(f.ctx)
		f.Expect(err).To(MatchError(ContainSubstring("holds no checkpoint")))
	}))
})

// TestPublishersAndReaders guards against a publication that is confirmed as
// accepted although some reader does not have it in force, with concurrent
// publishers, lost responses, outages and trims.
func TestPublishersAndReaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { runPublishersAndReaders(t, rt, seed) })
	})
}

func runPublishersAndReaders(t *testing.T, rt *rapid.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 1))
	log := &memoryLog{}
	var mu sync.Mutex
	accepted := map[uint64]string{} // publication ids by version
	recordAccepted := func(version uint64, id string) {
		mu.Lock()
		defer mu.Unlock()
		if known, found := accepted[version]; found && known != id {
			rt.Errorf("version %d is publication %s and also %s", version, known, id)
		}
		accepted[version] = id
	}
	options := configlog.Options{Retention: 30 * time.Second, OnState: func(s config.State) { recordAccepted(s.Version, s.ID) }}
	readers := []*configlog.Reader{configlog.NewReader(log, options)}
	go readers[0].Run(ctx)
	publisher := configlog.NewPublisher(log, configlog.Options{})
	var wg sync.WaitGroup
	for step := range 30 {
		switch rng.IntN(6) {
		case 0:
			r := configlog.NewReader(log, options)
			readers = append(readers, r)
			go r.Run(ctx)
		case 1:
			log.locked(func() { log.unavailable = !log.unavailable })
		case 2:
			log.locked(func() { log.loseNextResponse = true })
		case 3:
			log.locked(func() { log.first += uint64(rng.IntN(len(log.records) - int(log.first) + 1)) })
		default:
			start, id := readers[0].Snapshot(), fmt.Sprintf("p%d", step)
			wg.Go(func() {
				limited, stop := context.WithTimeout(ctx, 5*time.Second)
				defer stop()
				p := newPublication(id, 0)
				if start != nil {
					p.Base = start.State.Version
				}
				if result, err := publisher.Publish(limited, p, start); err == nil && result.Outcome == configlog.OutcomeAccepted {
					recordAccepted(result.Version, id)
				}
			})
		}
		advanceTime(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
	wg.Wait()
	log.locked(func() { log.unavailable = false })
	recordsBefore := len(log.recordTypes())
	advanceTime(40 * time.Second)
	// A reader without a gap writes a checkpoint within a third of the retention
	// period, and every reader must adopt it. If trims dropped records that no
	// reader had read, no checkpoint is written, and readers get the state from
	// the snapshots of peers.
	checkpointed := slices.Contains(log.recordTypes()[recordsBefore:], "config.Checkpoint")
	newest, snapshot := readers[0].State(), readers[0].Snapshot()
	for i, r := range readers {
		if newest == nil {
			break
		}
		if !checkpointed {
			r.Offer(*snapshot)
			synctest.Wait()
		}
		if s := r.State(); s == nil || s.Version < newest.Version || checkpointed && s.Version != newest.Version {
			rt.Errorf("reader %d has not reached version %d; checkpoint written: %t", i, newest.Version, checkpointed)
		}
	}
}
