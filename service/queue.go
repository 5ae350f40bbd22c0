package service

import (
	"container/heap"
	"fmt"
	"sync"
	"time"
)

// Rank orders waiting requests; a lower rank goes first.
type Rank uint8

// Waiter is a request that waits for a target.
type Waiter struct {
	rank     Rank
	deadline time.Time
	sequence uint64
	index    int // place in the heap, -1 while not queued
	woken    bool
	ready    chan struct{}
}

// Ready is closed when the request should choose again.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// OverflowError reports a queue that holds as many requests as it may.
type OverflowError struct {
	Limit int
}

func (e *OverflowError) Error() string {
	return fmt.Sprintf("queue holds %d requests already", e.Limit)
}

// Queue holds the requests of one service that wait for a target, ordered by
// rank, then by arrival. A short mutex guards the heap; waiting is on the
// waiter's channel.
type Queue struct {
	limit int

	mu       sync.Mutex
	waiting  waiterHeap
	sequence uint64
}

// NewQueue returns a queue that holds up to limit requests.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Join adds a request. A full queue gives an *OverflowError.
func (q *Queue) Join(rank Rank, deadline time.Time) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.limit {
		return nil, &OverflowError{q.limit}
	}
	q.sequence++
	w := &Waiter{rank: rank, deadline: deadline, sequence: q.sequence}
	q.push(w)
	return w, nil
}

// Rejoin puts a woken request that found no target back in its old place. It
// ignores the limit, because the request was admitted before.
func (q *Queue) Rejoin(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.push(w)
}

func (q *Queue) push(w *Waiter) {
	w.ready = make(chan struct{})
	w.woken = false
	heap.Push(&q.waiting, w)
}

// Leave removes a request that no longer waits. If it was woken and did not use
// the wake-up, the next request is woken instead.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&q.waiting, w.index)
		return
	}
	if w.woken {
		q.wakeFirst()
	}
}

// Wake lets the first request choose again. It is called when a permit was
// released.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// WakeAll lets every request choose again. It is called when the view changed.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		q.wakeFirst()
	}
}

func (q *Queue) wakeFirst() {
	if len(q.waiting) == 0 {
		return
	}
	w := heap.Pop(&q.waiting).(*Waiter)
	w.woken = true
	close(w.ready)
}

// waiterHeap implements heap.Interface.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}
