package service

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
)

const (
	// budgetSeconds is the length of the window over which retries are compared
	// with requests, in buckets of 1 s.
	budgetSeconds = 10
	// minimumRetries may be spent per window at any load by default, so that a
	// service with few requests can retry at all.
	minimumRetries = 3
)

// RetryBudget bounds the retries of one service in one entry instance to a
// share of its requests over a sliding window, with a small minimum. Every
// granted retry satisfies the bound at the time it is granted. Times that go
// back count as the latest time seen.
type RetryBudget struct {
	minimum  atomic.Uint64
	percent  atomic.Uint64
	latest   atomic.Int64                 // newest second seen
	requests [budgetSeconds]atomic.Uint64 // second (upper half) and count
	retries  atomic.Pointer[spentRetries]
}

// spentRetries is immutable. One word for all buckets makes check and grant one
// step; only a granted retry allocates a new one.
type spentRetries struct {
	second int64
	counts [budgetSeconds]uint32 // by second modulo the window
}

const countBits = 32

// NewRetryBudget returns a budget of the given percentage of requests.
func NewRetryBudget(percent int) *RetryBudget {
	b := &RetryBudget{}
	b.SetMinimum(minimumRetries)
	b.retries.Store(&spentRetries{})
	b.SetPercent(percent)
	return b
}

// SetPercent changes the percentage; 0 turns retries off.
func (b *RetryBudget) SetPercent(percent int) { b.percent.Store(uint64(max(0, percent))) }

// SetMinimum changes how many retries each window allows at any load.
func (b *RetryBudget) SetMinimum(minimum int) { b.minimum.Store(uint64(max(0, minimum))) }

// Request counts a request, not its retries.
func (b *RetryBudget) Request(now time.Time) {
	second := b.advance(now)
	bucket := &b.requests[second%budgetSeconds]
	for {
		word := bucket.Load()
		if word>>countBits >= uint64(second) {
			// A goroutine that is late by a whole window counts into the newer
			// second.
			bucket.Add(1)
			return
		}
		if bucket.CompareAndSwap(word, uint64(second)<<countBits|1) {
			return
		}
	}
}

// Retry takes one retry from the budget and tells whether there was one.
func (b *RetryBudget) Retry(now time.Time) bool {
	percent := b.percent.Load()
	if percent == 0 {
		return false
	}
	second := b.advance(now)
	for {
		old := b.retries.Load()
		next := old.at(max(second, old.second))
		if (next.total()+1)*100 > b.minimum.Load()*100+percent*b.served(next.second) {
			return false
		}
		granted := next // a copy, so that a refusal allocates nothing
		granted.counts[next.second%budgetSeconds]++
		if b.retries.CompareAndSwap(old, &granted) {
			return true
		}
	}
}

// advance returns the newest second seen, with now. Seconds since the
// base of monotime fit in 32 bits.
func (b *RetryBudget) advance(now time.Time) int64 {
	second := max(0, monotime.Seconds(now))
	for {
		latest := b.latest.Load()
		if second <= latest {
			return latest
		}
		if b.latest.CompareAndSwap(latest, second) {
			return second
		}
	}
}

// served returns the requests in the window that ends with the given second.
func (b *RetryBudget) served(second int64) uint64 {
	var total uint64
	for i := range b.requests {
		word := b.requests[i].Load()
		if int64(word>>countBits) > second-budgetSeconds {
			total += word & (1<<countBits - 1)
		}
	}
	return total
}

// at returns a copy without the buckets that left the window.
func (s *spentRetries) at(second int64) spentRetries {
	next := spentRetries{second: second, counts: s.counts}
	for i := range min(second-s.second, budgetSeconds) {
		next.counts[(second-i)%budgetSeconds] = 0
	}
	return next
}

func (s *spentRetries) total() uint64 {
	var total uint64
	for _, count := range s.counts {
		total += uint64(count)
	}
	return total
}
