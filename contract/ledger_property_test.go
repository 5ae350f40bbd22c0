package contract_test

import (
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/contract"
)

// expired returns a time at which the first ValidEpochs epochs of a ledger that
// started at the given time have expired.
func expired(start time.Time) time.Time {
	return start.Add(2 * contract.ValidEpochs * contract.EpochLength)
}

// dropExpired opens a key at the given time, which makes the ledger drop its
// expired tables.
func dropExpired(l *contract.Ledger, now time.Time) {
	_, _, _ = l.Open(now, contract.Key{Ticket: l.Ticket(now), Name: "drop"})
}

var _ = Describe("Ledger under random events", func() {
	start := time.Unix(1_000_000, 0)

	// Guards against a key that is opened first twice after the clock jumped in
	// either direction, and against retained bytes that are never subtracted.
	It("opens each key first once and releases all bytes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ledger := contract.NewLedger("entry-1", 7, start)
			now := start
			firsts := map[contract.Key]*contract.Entry{}
			var open []contract.Key
			var known []contract.Key
			t.Repeat(map[string]func(*rapid.T){
				"jump": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(-40, 60).Draw(t, "minutes")) * time.Minute / 2)
				},
				"far": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "direction")) * 1000 * time.Hour)
				},
				"open": func(t *rapid.T) {
					k := contract.Key{Ticket: ledger.Ticket(now), Name: rapid.StringMatching(`[a-d]`).Draw(t, "name")}
					if len(known) > 0 && rapid.Bool().Draw(t, "resend") {
						k = rapid.SampledFrom(known).Draw(t, "known")
					}
					known = append(known, k)
					entry, first, err := ledger.Open(now, k)
					if err != nil {
						if refusal := (*contract.Refusal)(nil); !errors.As(err, &refusal) || refusal.Outcome != contract.OutcomeTooOld {
							t.Fatalf("open %v: %v", k, err)
						}
						return
					}
					if first {
						if firsts[k] != nil {
							t.Fatalf("%v was opened first twice", k)
						}
						firsts[k] = entry
						open = append(open, k)
					} else if firsts[k] != entry {
						t.Fatalf("%v joined an entry that nobody opened first", k)
					}
				},
				"settle": func(t *rapid.T) {
					if len(open) == 0 {
						t.Skip("no open entry")
					}
					k := open[0]
					open = open[1:]
					size := rapid.IntRange(0, contract.MaxAnswerBytes+1).Draw(t, "size")
					ledger.Settle(k, firsts[k], contract.Answer{Status: 200, Body: make([]byte, size)})
					if answer := firsts[k].Answer(); answer.Status != 200 || (size > 0 && answer.Body == nil) != answer.BodyDropped {
						t.Fatalf("recorded %+v for a body of %d bytes", answer, size)
					}
				},
				"": func(t *rapid.T) {
					if retained := ledger.RetainedBytes(); retained < 0 || retained > contract.MaxLedgerBytes {
						t.Fatalf("%d bytes retained, want 0 to %d", retained, contract.MaxLedgerBytes)
					}
				},
			})
			dropExpired(ledger, start.Add(1_000_000*time.Hour))
			for _, k := range open {
				ledger.Settle(k, firsts[k], contract.Answer{Body: []byte("late")})
			}
			if retained := ledger.RetainedBytes(); retained != 0 {
				t.Fatalf("%d bytes retained after all tables expired", retained)
			}
		})
	})

	// Guards against bytes that leak when a table is dropped after Settle has
	// reserved space in the ledger and before it reserves space in the table.
	It("leaks no bytes when tables are dropped during Settle", func() {
		for round := range 20_000 {
			ledger := contract.NewLedger("entry-1", 7, start)
			k := contract.Key{Ticket: ledger.Ticket(start), Name: "a"}
			entry, _, err := ledger.Open(start, k)
			Expect(err).NotTo(HaveOccurred())
			var group sync.WaitGroup
			group.Go(func() { ledger.Settle(k, entry, contract.Answer{Body: make([]byte, 100)}) })
			group.Go(func() { dropExpired(ledger, expired(start)) })
			group.Wait()
			if retained := ledger.RetainedBytes(); retained != 0 {
				Fail(fmt.Sprintf("round %d: %d bytes retained after the table was dropped", round, retained))
			}
		}
	})

	// Guards against opening a key first twice while one goroutine still uses a
	// table that another has dropped.
	It("opens each key first once while epochs are dropped", func() {
		ledger := contract.NewLedger("entry-1", 7, start)
		var clock atomic.Int64 // in units of half an epoch
		var firsts sync.Map    // contract.Key to *atomic.Int32
		var group sync.WaitGroup
		for worker := range 8 {
			group.Go(func() {
				for i := range 4_000 {
					step := clock.Load()
					if worker == 0 && i%4 == 0 {
						step = clock.Add(1)
					}
					now := start.Add(time.Duration(step) * contract.EpochLength / 2)
					k := contract.Key{Ticket: ledger.Ticket(now), Name: fmt.Sprint(i % 16)}
					k.Ticket.Epoch -= min(k.Ticket.Epoch, uint64(i%(contract.ValidEpochs+2)))
					entry, first, err := ledger.Open(now, k)
					if err != nil || !first {
						continue
					}
					count, _ := firsts.LoadOrStore(k, new(atomic.Int32))
					count.(*atomic.Int32).Add(1)
					ledger.Settle(k, entry, contract.Answer{Body: make([]byte, 64)})
				}
			})
		}
		group.Wait()
		firsts.Range(func(k, count any) bool {
			Expect(count.(*atomic.Int32).Load()).To(Equal(int32(1)), "%v", k)
			return true
		})
		dropExpired(ledger, start.Add(time.Duration(clock.Load())*contract.EpochLength).Add(24*time.Hour))
		Expect(ledger.RetainedBytes()).To(BeZero())
	})

	// Guards against a waiter that misses a concurrent Settle and blocks forever.
	It("wakes all waiters, whether they wait before, during or after Settle", func() {
		ledger := contract.NewLedger("entry-1", 7, start)
		var group sync.WaitGroup
		for i := range 2_000 {
			k := contract.Key{Ticket: ledger.Ticket(start), Name: fmt.Sprint(i)}
			entry, _, err := ledger.Open(start, k)
			Expect(err).NotTo(HaveOccurred())
			for range 3 {
				group.Go(func() { <-entry.Done() })
			}
			group.Go(func() { ledger.Settle(k, entry, contract.Answer{Status: 200}) })
		}
		group.Wait()
	})

	// Guards against headers that are retained without a size limit.
	It("counts headers and drops them with the body if they are too large", func() {
		ledger := contract.NewLedger("entry-1", 7, start)
		k := contract.Key{Ticket: ledger.Ticket(start), Name: "a"}
		entry, _, err := ledger.Open(start, k)
		Expect(err).NotTo(HaveOccurred())
		header := map[string][]string{"X-Large": {string(make([]byte, contract.MaxAnswerBytes+1))}}
		ledger.Settle(k, entry, contract.Answer{Status: 200, Header: header})
		Expect(entry.Answer().Header).To(BeNil())
		Expect(entry.Answer().BodyDropped).To(BeTrue())
		Expect(entry.Answer().Status).To(Equal(200))
	})

	// Guards against a panic or a changed outcome if two code paths settle the
	// same entry.
	It("keeps the first outcome of an entry", func() {
		ledger := contract.NewLedger("entry-1", 7, start)
		k := contract.Key{Ticket: ledger.Ticket(start), Name: "a"}
		entry, _, err := ledger.Open(start, k)
		Expect(err).NotTo(HaveOccurred())
		ledger.Settle(k, entry, contract.Answer{Status: 200, Body: []byte("ab")})
		ledger.Settle(k, entry, contract.Answer{Status: 502, Body: []byte("abcd")})
		Expect(entry.Answer().Status).To(Equal(200))
		Expect(ledger.RetainedBytes()).To(Equal(int64(2)))
	})
})

// BenchmarkLedgerOpenSettle measures one non-idempotent request without a body.
func BenchmarkLedgerOpenSettle(b *testing.B) {
	start := time.Unix(1_000_000, 0)
	ledger := contract.NewLedger("entry-1", 7, start)
	ticket := ledger.Ticket(start)
	b.ReportAllocs()
	names := make([]string, b.N)
	for i := range names {
		names[i] = fmt.Sprintf("request-%d", i)
	}
	b.ResetTimer()
	for _, name := range names {
		k := contract.Key{Ticket: ticket, Name: name}
		entry, _, _ := ledger.Open(start, k)
		ledger.Settle(k, entry, contract.Answer{Status: 200})
	}
}

// BenchmarkLedgerMemory fills a ledger with 100 requests/s for 15 minutes, with
// key names of 36 bytes, and reports the heap per entry, without bodies and with
// bodies of 512 bytes.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, size := range []int{0, 512} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			start := time.Unix(1_000_000, 0)
			for b.Loop() {
				ledger := contract.NewLedger("entry-1", 7, start)
				before := heapBytes()
				const entries = 100 * 15 * 60
				for i := range entries {
					now := start.Add(time.Duration(i) * 10 * time.Millisecond)
					k := contract.Key{Ticket: ledger.Ticket(now), Name: fmt.Sprintf("%036d", i)}
					entry, _, _ := ledger.Open(now, k)
					ledger.Settle(k, entry, contract.Answer{Status: 200, Body: make([]byte, size)})
				}
				used := float64(heapBytes() - before)
				b.ReportMetric(used/entries, "B/entry")
				b.ReportMetric(used/(1<<20), "MiB")
				runtime.KeepAlive(ledger)
			}
		})
	}
}

// heapBytes returns the number of live heap bytes after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
