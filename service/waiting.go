package service

import (
	"container/heap"
	"time"
)

// waiterList is a doubly linked list of the waiting requests of one rank in order
// of arrival.
type waiterList struct {
	front, back *Waiter
	length      int
}

// insert adds a request to the list of its rank in order of arrival. A request that
// rejoins is one of the oldest, so its position is searched from the front. The
// caller holds mu.
func (q *Queue) insert(w *Waiter) {
	list := &q.byRank[w.request.Rank]
	after := list.back
	if after != nil && after.sequence > w.sequence {
		after = nil
		for other := list.front; other.sequence < w.sequence; other = other.next {
			after = other
		}
	}
	w.list, w.prev, w.next = list, after, list.front
	if after != nil {
		w.next = after.next
		after.next = w
	} else {
		list.front = w
	}
	if w.next != nil {
		w.next.prev = w
	} else {
		list.back = w
	}
	list.length++
	q.length.Add(1)
	q.occupied[w.request.Rank/64] |= 1 << (w.request.Rank % 64)
}

// remove takes a request out of its list and out of the heap of requests with a
// PromoteAfter. The caller holds mu.
func (q *Queue) remove(w *Waiter) {
	list := w.list
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		list.front = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		list.back = w.prev
	}
	w.list, w.prev, w.next = nil, nil, nil
	list.length--
	q.length.Add(-1)
	if list.length == 0 {
		q.occupied[w.request.Rank/64] &^= 1 << (w.request.Rank % 64)
	}
	if w.heapIndex >= 0 {
		heap.Remove(&q.byPromoteAt, w.heapIndex)
	}
}

// promoteHeap orders the requests with a PromoteAfter by the time at which they
// reach it, then by arrival. It implements heap.Interface.
type promoteHeap []*Waiter

func (h promoteHeap) Len() int { return len(h) }

func (h promoteHeap) Less(i, j int) bool {
	if !h[i].promoteAt.Equal(h[j].promoteAt) {
		return h[i].promoteAt.Before(h[j].promoteAt)
	}
	return h[i].sequence < h[j].sequence
}

func (h promoteHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *promoteHeap) Push(x any) {
	w := x.(*Waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

func (h *promoteHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}

// countOverdue returns the number of requests of worse ranks than the given one,
// among the heap element i and its descendants, that have reached their
// PromoteAfter. An element that has not done so has no descendants that have.
func (h promoteHeap) countOverdue(i int, now time.Time, rank Rank) int {
	if i >= len(h) || h[i].promoteAt.After(now) {
		return 0
	}
	count := h.countOverdue(2*i+1, now, rank) + h.countOverdue(2*i+2, now, rank)
	if h[i].request.Rank > rank {
		count++
	}
	return count
}

const (
	// intervalWeight is the weight of a new interval in the exponential moving
	// average.
	intervalWeight = 0.1
	// minIntervalSamples is the number of intervals required before the average is
	// used.
	minIntervalSamples = 8
	// intervalExpiry is the time without a release after which the average is
	// discarded when requests start to wait.
	intervalExpiry = 10 * time.Second
)

// releaseInterval is the moving average of the time between releases of permits.
// Only intervals during which requests were waiting count; the others reflect the
// rate of arrivals, not that of the targets.
type releaseInterval struct {
	mean    time.Duration
	samples int
	last    time.Time // latest release, or the time at which requests started to wait
}

// start starts an interval when a request joins an empty queue.
func (r *releaseInterval) start(now time.Time) {
	if now.Sub(r.last) > intervalExpiry {
		r.samples = 0
	}
	r.last = now
}

// record ends an interval with a release and starts the next one.
func (r *releaseInterval) record(now time.Time) {
	if !r.last.IsZero() {
		r.mean = r.meanWith(max(0, now.Sub(r.last)))
		r.samples++
	}
	r.last = now
}

// meanWith returns the average including one more interval. The first intervals
// have equal weights, so that a long first one does not dominate the average.
func (r *releaseInterval) meanWith(interval time.Duration) time.Duration {
	weight := max(intervalWeight, 1/float64(r.samples+1))
	return r.mean + time.Duration(weight*float64(interval-r.mean))
}

// expectedWait estimates the time until a request with the given number of requests
// ahead is woken. It returns 0 with none ahead, so that the queue always accepts a
// request and the measurement continues, and while there are too few samples. If
// the time since the latest release exceeds the average, it counts as one more
// interval only: a single pause, for example while targets are cold, says little
// about the time that each of the requests ahead will take.
func (r *releaseInterval) expectedWait(now time.Time, ahead int) time.Duration {
	if ahead == 0 || r.samples < minIntervalSamples {
		return 0
	}
	interval := r.mean
	if elapsed := now.Sub(r.last); elapsed > interval {
		interval = r.meanWith(elapsed)
	}
	return time.Duration(ahead+1) * interval
}
