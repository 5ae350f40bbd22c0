package service

import (
	"sync/atomic"
	"time"

	"fulmarhoist.example/monotime"
)

const (
	// windowSeconds is the length in seconds of the sliding window. Each bucket
	// counts one second.
	windowSeconds = 10
	// defaultMinRetries is the default number of retries that each window allows
	// regardless of load, so that a service with little traffic can retry at all.
	defaultMinRetries = 3
)

// RetryBudget limits the retries of one service in one instance to a percentage
// of its requests over a sliding window, plus a small minimum. Each retry is
// checked against the limit when it is granted. A time earlier than the latest
// one seen is treated as the latest. It is safe for concurrent use.
type RetryBudget struct {
	minRetries   atomic.Uint64
	percent      atomic.Uint64
	latestSecond atomic.Int64                 // latest second seen
	requests     [windowSeconds]atomic.Uint64 // second in the upper 32 bits, count in the lower 32
	retries      atomic.Pointer[retryCounts]
}

// retryCounts holds the granted retries per second of the window. It is
// immutable: replacing the whole value by compare-and-swap makes the check and the
// grant atomic. Only a granted retry allocates a new one.
type retryCounts struct {
	second int64
	counts [windowSeconds]uint32 // indexed by second modulo the window length
}

// countBits is the width in bits of the count in a word of RetryBudget.requests.
const countBits = 32

// NewRetryBudget returns a budget that allows retries for the given percentage of
// requests.
func NewRetryBudget(percent int) *RetryBudget {
	b := &RetryBudget{}
	b.SetMinimum(defaultMinRetries)
	b.retries.Store(&retryCounts{})
	b.SetPercent(percent)
	return b
}

// SetPercent sets the percentage; 0 disables retries, including the minimum.
func (b *RetryBudget) SetPercent(percent int) { b.percent.Store(uint64(max(0, percent))) }

// SetMinimum sets how many retries each window allows regardless of load.
func (b *RetryBudget) SetMinimum(minimum int) { b.minRetries.Store(uint64(max(0, minimum))) }

// RecordRequest records a request. Retries of a request are not recorded here.
func (b *RetryBudget) RecordRequest(now time.Time) {
	second := b.advance(now)
	bucket := &b.requests[second%windowSeconds]
	for {
		word := bucket.Load()
		if word>>countBits >= uint64(second) {
			// The bucket already counts this second, or a later one if this
			// goroutine was delayed by a whole window.
			bucket.Add(1)
			return
		}
		if bucket.CompareAndSwap(word, uint64(second)<<countBits|1) {
			return
		}
	}
}

// Allow takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) Allow(now time.Time) bool {
	percent := b.percent.Load()
	if percent == 0 {
		return false
	}
	second := b.advance(now)
	for {
		old := b.retries.Load()
		next := old.advancedTo(max(second, old.second))
		if !b.allows(&next, percent) {
			return false
		}
		granted := next // copied so that next does not escape: a refusal allocates nothing
		granted.counts[next.second%windowSeconds]++
		if b.retries.CompareAndSwap(old, &granted) {
			return true
		}
	}
}

// Available reports whether Allow would find a retry in the budget.
func (b *RetryBudget) Available(now time.Time) bool {
	percent := b.percent.Load()
	if percent == 0 {
		return false
	}
	second := b.advance(now)
	current := b.retries.Load()
	next := current.advancedTo(max(second, current.second))
	return b.allows(&next, percent)
}

// allows reports whether one retry more than the granted ones is within the limit.
func (b *RetryBudget) allows(granted *retryCounts, percent uint64) bool {
	return (granted.total()+1)*100 <= b.minRetries.Load()*100+percent*b.requestsInWindow(granted.second)
}

// advance updates the latest second seen with now and returns it. Seconds since
// the base of monotime fit into 32 bits.
func (b *RetryBudget) advance(now time.Time) int64 {
	second := max(0, monotime.Seconds(now))
	for {
		latest := b.latestSecond.Load()
		if second <= latest {
			return latest
		}
		if b.latestSecond.CompareAndSwap(latest, second) {
			return second
		}
	}
}

// requestsInWindow returns the number of requests in the window that ends with the
// given second.
func (b *RetryBudget) requestsInWindow(second int64) uint64 {
	var total uint64
	for i := range b.requests {
		word := b.requests[i].Load()
		if int64(word>>countBits) > second-windowSeconds {
			total += word & (1<<countBits - 1)
		}
	}
	return total
}

// advancedTo returns a copy for the window that ends with the given second. The
// buckets that have left the window are cleared.
func (s *retryCounts) advancedTo(second int64) retryCounts {
	next := retryCounts{second: second, counts: s.counts}
	for i := range min(second-s.second, windowSeconds) {
		next.counts[(second-i)%windowSeconds] = 0
	}
	return next
}

func (s *retryCounts) total() uint64 {
	var total uint64
	for _, count := range s.counts {
		total += uint64(count)
	}
	return total
}
