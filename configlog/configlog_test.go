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
	It("are decoded as they were encoded", func() {
		p := proposal("a", 7)
		c := config.Checkpoint{State: config.State{Version: 2, ID: "b", Offset: 3, Config: sample(1)}, AsOf: 9, WrittenAt: time.UnixMilli(5)}
		for _, r := range []config.Record{p, c} {
			data, err := configlog.Encode(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(configlog.Decode(data)).To(Equal(r))
		}
	})

	DescribeTable("that cannot be decoded are skipped with a reason", func(data, reason string) {
		Expect(configlog.Decode([]byte(data))).To(HaveField("Reason", ContainSubstring(reason)))
	},
		Entry(nil, "", "unexpected end"), Entry(nil, "{} {}", "after top-level value"),
		Entry(nil, `{"kind":"vote"}`, `unknown kind of record "vote"`),
		Entry(nil, `{"kind":"publication","base":-1}`, "base"),
		Entry(nil, `{"kind":"publication","id":"`+strings.Repeat("a", configlog.MaxPublicationBytes)+`"}`, "exceeds the limit"),
		Entry(nil, `{"kind":"checkpoint","state":[]}`, "state"),
	)

	It("are refused when they are too large or have no encoding", func() {
		var large *configlog.TooLargeError
		_, err := configlog.Encode(config.Publication{ID: strings.Repeat("a", configlog.MaxPublicationBytes)})
		Expect(err).To(MatchError(ContainSubstring("exceeds")))
		Expect(err).To(BeAssignableToTypeOf(large))
		_, err = configlog.Encode(config.Unreadable{})
		Expect(err).To(HaveOccurred())
	})
})

// bench runs in virtual time.
type bench struct {
	*WithT
	log       *memoryLog
	publisher *configlog.Publisher
	ctx       context.Context
}

// virtual runs a spec in virtual time; its readers end with it.
func virtual(spec func(b *bench)) func() {
	return func() {
		synctest.Test(suiteT, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			log := &memoryLog{}
			spec(&bench{NewWithT(t), log, configlog.NewPublisher(log, configlog.Options{}), ctx})
			cancel()
			synctest.Wait()
		})
	}
}

func (b *bench) reader(options configlog.Options) *configlog.Reader {
	r := configlog.NewReader(b.log, options)
	go r.Run(b.ctx)
	return r
}

func (b *bench) publish(id string, base uint64, limit time.Duration) (configlog.Result, error) {
	ctx, cancel := context.WithTimeout(b.ctx, limit)
	defer cancel()
	return b.publisher.Publish(ctx, proposal(id, base), nil)
}

// after lets virtual time pass.
func after(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

var _ = Describe("Reader", func() {
	// P9: an accepted configuration is in force everywhere within 3 s.
	It("has a publication in force within 3 s at every reader", virtual(func(b *bench) {
		readers := []*configlog.Reader{b.reader(configlog.Options{}), b.reader(configlog.Options{})}
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Outcome", configlog.OutcomeAccepted))
		after(3 * second)
		for _, r := range readers {
			b.Expect(r.State()).To(HaveField("ID", "a"))
		}
	}))

	It("keeps its state during an outage, backs off, and goes on afterwards", virtual(func(b *bench) {
		r := b.reader(configlog.Options{})
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		after(2 * second)
		b.log.with(func() { b.log.down = true })
		calls, down := b.log.callCount(), time.Now()
		after(time.Hour)
		b.Expect(r.State().Version).To(Equal(uint64(1)))
		b.Expect(b.log.callCount() - calls).To(And(BeNumerically(">", 1000), BeNumerically("<", 4000)))
		b.Expect(r.LastRead()).To(BeTemporally("<=", down))
		b.log.with(func() { b.log.down = false })
		b.Expect(b.publish("b", 1, 5*second)).To(HaveField("Version", uint64(2)))
		after(3 * second)
		b.Expect(r.State().Version).To(Equal(uint64(2)))
		b.Expect(time.Since(r.LastRead())).To(BeNumerically("<", second))
	}))

	// Guards against a hanging log that keeps a peer's newer state out.
	It("takes a peer's state while the log hangs", virtual(func(b *bench) {
		b.log.with(func() { b.log.hang = true })
		r := b.reader(configlog.Options{})
		after(5 * second)
		b.Expect(r.State()).To(BeNil())
		b.Expect(r.Offer(config.State{Version: 3, ID: "c", Offset: 8, Config: sample(1)}.Snapshot())).To(BeTrue())
		synctest.Wait()
		b.Expect(r.State()).To(HaveField("Version", uint64(3)))
	}))

	It("takes nothing from a trimmed log without checkpoint until a peer's state arrives", virtual(func(b *bench) {
		old := b.reader(configlog.Options{Retention: 24 * 365 * time.Hour})
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		after(5 * second)
		b.log.trim()
		b.log.with(func() { b.log.records = append(b.log.records, b.log.records[0]) })
		r := b.reader(configlog.Options{})
		after(5 * second)
		b.Expect(r.State()).To(BeNil())
		r.Offer(*old.Snapshot())
		after(second)
		b.Expect(r.State()).To(HaveField("ID", "a"))
	}))

	// Guards against seven instances that write seven checkpoints, and against
	// a newcomer that finds none.
	It("keeps one checkpoint per third of the retention, from which a newcomer starts", virtual(func(b *bench) {
		seed := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		random := func() float64 { mu.Lock(); defer mu.Unlock(); return seed.Float64() }
		for range 7 {
			b.reader(configlog.Options{Retention: time.Hour, Random: random})
		}
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		after(3*20*time.Minute + 10*second)
		checkpoints := len(b.log.kinds()) - 1
		b.Expect(checkpoints).To(And(BeNumerically(">=", 4), BeNumerically("<=", 12)))
		for range 12 {
			after(15 * time.Minute)
			b.log.expire(time.Hour)
			r := b.reader(configlog.Options{Retention: time.Hour})
			after(second)
			b.Expect(r.State()).To(HaveField("ID", "a"))
		}
		b.Expect(b.log.first).To(BeNumerically(">", 1), "the publication must have expired")
	}))

	It("reports a log that lost records, and keeps its state", virtual(func(b *bench) {
		var mu sync.Mutex
		var seen error
		r := b.reader(configlog.Options{OnError: func(err error) { mu.Lock(); seen = err; mu.Unlock() }})
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		after(5 * second)
		b.log.with(func() { b.log.records = nil })
		after(5 * second)
		mu.Lock()
		defer mu.Unlock()
		b.Expect(seen).To(MatchError(ContainSubstring("was read before")))
		b.Expect(r.State()).To(HaveField("ID", "a"))
	}))
})

var _ = Describe("Publisher", func() {
	It("tells the loser of two publications with the same base why, and what differs", virtual(func(b *bench) {
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Outcome", configlog.OutcomeAccepted))
		result, err := b.publish("bb", 0, 5*second)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(result.Outcome).To(Equal(configlog.OutcomeRejected))
		b.Expect(result.Reason).To(Equal(config.ReasonStaleBase))
		b.Expect(result.Changes).To(ConsistOf(HaveField("Path", "services[orders].queue_limit")))
	}))

	// Guards against an append whose answer was lost being reported as failed.
	It("finds a publication whose answer was lost", virtual(func(b *bench) {
		b.log.with(func() { b.log.loseNext = true })
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Outcome", configlog.OutcomeAccepted))
	}))

	It("stays uncertain until the deadline when the record does not appear", virtual(func(b *bench) {
		b.log.with(func() { b.log.dropNext = true })
		start := time.Now()
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Outcome", configlog.OutcomeUncertain))
		b.Expect(time.Since(start)).To(BeNumerically("~", 5*second, second))
	}))

	It("reports that nothing was stored when the log refuses", virtual(func(b *bench) {
		b.log.with(func() { b.log.down = true })
		_, err := b.publish("a", 0, 5*second)
		var unavailable *backing.UnavailableError
		b.Expect(errors.As(err, &unavailable)).To(BeTrue())
	}))

	It("appends nothing that is invalid or ahead of the order", virtual(func(b *bench) {
		b.Expect(b.publish("a", 3, 5*second)).To(HaveField("Reason", config.ReasonUnknownBase))
		b.Expect(b.publisher.Publish(b.ctx, config.Publication{ID: "a"}, nil)).To(HaveField("Reason", config.ReasonInvalid))
		b.Expect(b.publish("a b", 0, 5*second)).To(HaveField("Reason", config.ReasonMalformed))
		b.Expect(b.log.kinds()).To(BeEmpty())
	}))

	It("finds out later by id, and admits where retention hides the answer", virtual(func(b *bench) {
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		b.Expect(b.publish("b", 1, 5*second)).To(HaveField("Version", uint64(2)))
		b.Expect(b.publisher.Confirm(b.ctx, "a", nil)).To(HaveField("Version", uint64(1)))
		b.log.trim()
		b.log.with(func() { b.log.records = append(b.log.records, b.log.records[0]) })
		data, _ := configlog.Encode(config.Checkpoint{State: config.State{Version: 2, ID: "b", Offset: 1, Config: sample(1)}, AsOf: 1})
		b.log.with(func() { b.log.records = append(b.log.records, data) })
		b.Expect(b.publisher.Confirm(b.ctx, "a", nil)).To(HaveField("Outcome", configlog.OutcomeUncertain))
		b.Expect(b.publisher.Confirm(b.ctx, "b", nil)).To(HaveField("Outcome", configlog.OutcomeAccepted))
	}))

	It("fails with a typed error on a trimmed log without checkpoint", virtual(func(b *bench) {
		b.Expect(b.publish("a", 0, 5*second)).To(HaveField("Version", uint64(1)))
		b.log.trim()
		_, err := b.publisher.Current(b.ctx)
		b.Expect(err).To(MatchError(ContainSubstring("holds no checkpoint")))
	}))
})

// Guards against a confirmed publication that some reader does not have, with
// concurrent publishers, lost answers, outages and trims.
func TestPublishersAndReaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { runPublishers(t, rt, seed) })
	})
}

func runPublishers(t *testing.T, rt *rapid.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	random := rand.New(rand.NewPCG(seed, 1))
	log := &memoryLog{}
	var mu sync.Mutex
	chain := map[uint64]string{}
	note := func(version uint64, id string) {
		mu.Lock()
		defer mu.Unlock()
		if old, found := chain[version]; found && old != id {
			rt.Errorf("version %d is %s and %s", version, old, id)
		}
		chain[version] = id
	}
	options := configlog.Options{Retention: 30 * time.Second, OnState: func(s config.State) { note(s.Version, s.ID) }}
	readers := []*configlog.Reader{configlog.NewReader(log, options)}
	go readers[0].Run(ctx)
	publisher := configlog.NewPublisher(log, configlog.Options{})
	var group sync.WaitGroup
	for step := range 30 {
		switch random.IntN(6) {
		case 0:
			r := configlog.NewReader(log, options)
			readers = append(readers, r)
			go r.Run(ctx)
		case 1:
			log.with(func() { log.down = !log.down })
		case 2:
			log.with(func() { log.loseNext = true })
		case 3:
			log.with(func() { log.first += uint64(random.IntN(len(log.records) - int(log.first) + 1)) })
		default:
			basis, id := readers[0].Snapshot(), fmt.Sprintf("p%d", step)
			group.Go(func() {
				limited, stop := context.WithTimeout(ctx, 5*time.Second)
				defer stop()
				p := proposal(id, 0)
				if basis != nil {
					p.Base = basis.State.Version
				}
				if result, err := publisher.Publish(limited, p, basis); err == nil && result.Outcome == configlog.OutcomeAccepted {
					note(result.Version, id)
				}
			})
		}
		after(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	group.Wait()
	log.with(func() { log.down = false })
	before := len(log.kinds())
	after(40 * time.Second)
	// A reader without a gap writes a checkpoint within a third of the
	// retention, and every reader must follow it. If the trims dropped records
	// that no reader had read, there is none, and states spread among peers.
	checkpointed := slices.Contains(log.kinds()[before:], "config.Checkpoint")
	newest, mine := readers[0].State(), readers[0].Snapshot()
	for i, r := range readers {
		if newest == nil {
			break
		}
		if !checkpointed {
			r.Offer(*mine)
			synctest.Wait()
		}
		if s := r.State(); s == nil || s.Version < newest.Version || checkpointed && s.Version != newest.Version {
			rt.Errorf("reader %d has not reached version %d; checkpoint written: %t", i, newest.Version, checkpointed)
		}
	}
}
