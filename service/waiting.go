package service

import (
	"container/heap"
	"time"
)

// waiterList holds the waiting requests of one rank in order of arrival.
type waiterList struct {
	front, back *Waiter
	length      int
}

// insert puts a request into the list of its rank, by arrival. A request that
// rejoins is among the oldest, so the search starts at the front for it.
func (q *Queue) insert(w *Waiter) {
	list := &q.ranks[w.demand.Rank]
	after := list.back
	if after != nil && after.sequence > w.sequence {
		after = nil
		for at := list.front; at.sequence < w.sequence; at = at.next {
			after = at
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
	q.occupied[w.demand.Rank/64] |= 1 << (w.demand.Rank % 64)
}

// remove takes a request out of its list and out of the heap of bounded waits.
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
		q.occupied[w.demand.Rank/64] &^= 1 << (w.demand.Rank % 64)
	}
	if w.index >= 0 {
		heap.Remove(&q.bounded, w.index)
	}
}

// boundedHeap orders the requests with a bound on their wait by the end of that
// bound. It implements heap.Interface.
type boundedHeap []*Waiter

func (h boundedHeap) Len() int { return len(h) }

func (h boundedHeap) Less(i, j int) bool {
	if !h[i].overdueAt.Equal(h[j].overdueAt) {
		return h[i].overdueAt.Before(h[j].overdueAt)
	}
	return h[i].sequence < h[j].sequence
}

func (h boundedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *boundedHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *boundedHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

const (
	// rateWeight is the weight of a new interval in the moving average.
	rateWeight = 0.1
	// rateSamples is the number of intervals before the average is used.
	rateSamples = 8
	// rateLifetime is the age after which the average is forgotten.
	rateLifetime = 10 * time.Second
)

// serviceRate is the moving average of the time between releases. Only intervals
// during which requests waited count: otherwise they measure the arrivals.
type serviceRate struct {
	interval time.Duration
	samples  int
	last     time.Time // last release, or the time at which waiting began
}

// begin records that a request waits in a queue that was empty.
func (r *serviceRate) begin(now time.Time) {
	if now.Sub(r.last) > rateLifetime {
		r.samples = 0
	}
	r.last = now
}

func (r *serviceRate) record(now time.Time) {
	if !r.last.IsZero() {
		r.interval = r.averaged(max(0, now.Sub(r.last)))
		r.samples++
	}
	r.last = now
}

// averaged returns the average with one more interval. The first intervals have
// equal weights, so that a long first one does not dominate.
func (r *serviceRate) averaged(passed time.Duration) time.Duration {
	weight := max(rateWeight, 1/float64(r.samples+1))
	return r.interval + time.Duration(weight*float64(passed-r.interval))
}

// wait estimates the time until a request with so many ahead is woken. A
// request with none ahead is never held back, so that the rate goes on being
// measured. While releases stop for longer than the average, the pause counts as
// its next interval: one pause, for example while targets start cold, says
// little about the time that each of the requests ahead will take.
func (r *serviceRate) wait(now time.Time, ahead int) time.Duration {
	if ahead == 0 || r.samples < rateSamples {
		return 0
	}
	interval := r.interval
	if pause := now.Sub(r.last); pause > interval {
		interval = r.averaged(pause)
	}
	return time.Duration(ahead+1) * interval
}
