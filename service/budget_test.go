package service_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/service"
)

var _ = Describe("RetryBudget", func() {
	start := time.Unix(1_000_000, 0)

	// Guards against granting more retries than the percentage allows in any window
	// of whole seconds, and against refusing retries that it allows.
	It("grants exactly what the window allows", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			percent := rapid.IntRange(0, 50).Draw(t, "percent")
			b := service.NewRetryBudget(percent)
			clock, latest := int64(100), int64(0) // in seconds; latest is the latest that the budget has seen
			requests, retries := map[int64]int{}, map[int64]int{}
			sum := func(counts map[int64]int) (total int) {
				for s := latest - 9; s <= latest; s++ {
					total += counts[s]
				}
				return total
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				clock += rapid.SampledFrom([]int64{0, 0, 0, 1, 3, 9, 10, 1000}).Draw(t, "pass")
				seen := clock - rapid.SampledFrom([]int64{0, 0, 0, 5, 50}).Draw(t, "back")
				now := start.Add(time.Duration(seen) * time.Second)
				newRequests := rapid.IntRange(0, 40).Draw(t, "requests")
				newRetries := rapid.IntRange(0, 5).Draw(t, "retries")
				if newRequests+newRetries == 0 {
					continue // the budget is not called with this time
				}
				latest = max(latest, seen)
				for range newRequests {
					b.RecordRequest(now)
					requests[latest]++
				}
				for range newRetries {
					want := percent > 0 && (sum(retries)+1)*100 <= 300+percent*sum(requests)
					if got := b.Available(now); got != want {
						t.Fatalf("Available() = %v, want %v after %d retries of %d requests", got, want, sum(retries), sum(requests))
					}
					if got := b.Allow(now); got != want {
						t.Fatalf("Allow() = %v, want %v after %d retries of %d requests", got, want, sum(retries), sum(requests))
					}
					if want {
						retries[latest]++
					}
				}
			}
		})
	})

	// Guards against a race between the check and the grant of a retry.
	It("does not exceed its limit with concurrent retries", func() {
		b := service.NewRetryBudget(10)
		for range 1_000 {
			b.RecordRequest(start)
		}
		var granted atomic.Int32
		var group sync.WaitGroup
		for range 16 {
			group.Go(func() {
				for i := range 100 {
					if b.Allow(start.Add(time.Duration(i%5) * time.Second)) {
						granted.Add(1)
					}
				}
			})
		}
		group.Wait()
		Expect(granted.Load()).To(Equal(int32(103)))
	})
})

func BenchmarkRetryBudgetRequest(b *testing.B) {
	budget, now := service.NewRetryBudget(10), time.Unix(1_000_000, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.RecordRequest(now)
		}
	})
}

// BenchmarkRetryBudgetRetry measures an exhausted budget, as under overload.
func BenchmarkRetryBudgetRetry(b *testing.B) {
	budget, now := service.NewRetryBudget(10), time.Unix(1_000_000, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Allow(now)
		}
	})
}
