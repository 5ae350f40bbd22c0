package service

import (
	"container/heap"
	"fmt"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

// Rank is the priority of a waiting request; the lowest rank goes first.
type Rank uint8

// QueueRequest describes a request that is about to join the queue.
type QueueRequest struct {
	Rank Rank
	// Deadline is the time by which the request must be answered; the zero time
	// if it has none.
	Deadline time.Time
	// ExpectedResponseTime is the expected response time of the target. It must
	// fit between the end of the wait and the deadline.
	ExpectedResponseTime time.Duration
	// PromoteAfter is the waiting time after which the request goes ahead of
	// those that are not overdue, whatever their rank, so that low ranks do not
	// starve; 0 disables this.
	PromoteAfter time.Duration
	// QueueTimeout is the waiting time after which a request without a target
	// is refused, early enough for its caller to retry; 0 means that it waits
	// until its deadline. The queue does not enforce it; the caller of JoinAt
	// does.
	QueueTimeout time.Duration
	// Undisplaceable is true for a request that must not be displaced, such as
	// an upload.
	Undisplaceable bool
	// WakeEpoch is the value that Queue.WakeEpoch returned before the failed
	// choice of a target, so that a wake-up between the choice and JoinAt is
	// not lost. With 0, the caller must choose again after JoinAt and before it
	// waits.
	WakeEpoch uint64
}

// Waiter is a request that waits, or has waited, in a Queue.
type Waiter struct {
	request   QueueRequest
	sequence  uint64
	overdueAt time.Time   // arrival plus QueueRequest.PromoteAfter; zero without PromoteAfter
	list      *waiterList // nil while not queued
	prev      *Waiter
	next      *Waiter
	heapIndex int           // position in Queue.byOverdueAt, -1 if not in the heap
	woken     bool          // set by wake; cleared by Served, Rejoin and Leave
	displaced bool          // removed in favor of a request of a better rank
	reserved  bool          // counts towards the limit of the queue
	wakeEpoch uint64        // Queue.wakeEpoch at the latest wake-up, or on joining
	ready     chan struct{} // closed on wake-up or displacement
}

// Ready returns a channel that is closed when the request should choose a target
// again, or has been displaced. Rejoin replaces the channel.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Displaced reports whether the request was removed from a full queue in favor of
// one of a better rank. It is valid once Ready is closed. A displaced request was
// not sent to a target and must not call Rejoin.
func (w *Waiter) Displaced() bool { return w.displaced }

// QueueFullError reports that the queue is full.
type QueueFullError struct {
	Limit int // maximum number of requests in the queue
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue is full: limit of %d requests reached", e.Limit)
}

// DeadlineError reports a request that would miss its deadline if it waited in
// the queue.
type DeadlineError struct {
	Wait time.Duration // expected time in the queue and at the target
	Left time.Duration // time until the deadline; negative if it has passed
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("request would miss its deadline: expected to take %v, %v left", e.Wait, e.Left)
}

// Queue is the bounded priority queue of the requests of one service that wait
// for a target. Requests are woken in order of rank, then of arrival; those
// that have waited longer than their PromoteAfter go first. A mutex guards the
// lists and is held only briefly; a request waits on the channel of its Waiter.
// It is safe for concurrent use.
//
// A caller that found no target calls JoinAt, waits for Ready, and chooses a
// target again. If it then finds one it calls Served, otherwise Rejoin. A
// caller that gives up, at any point, calls Leave.
type Queue struct {
	limit int

	mu          sync.Mutex
	ranks       [256]waiterList
	occupied    [4]uint64    // bitmap of the ranks with waiting requests
	byOverdueAt overdueHeap  // waiting requests with a PromoteAfter
	length      atomic.Int64 // waiting requests; modified only with mu held
	reserved    int          // requests that count towards the limit, including woken ones
	sequence    uint64       // sequence number of the latest request
	// wakeEpoch counts the wake-ups that found no waiting request, and the
	// calls of WakeAll. A request that joins or rejoins with an older count is
	// woken at once, as it may have missed a wake-up.
	wakeEpoch atomic.Uint64
	now       time.Time // latest time passed to JoinAt or NotifyRelease
	releases  releaseInterval
}

// NewQueue returns an empty queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	q := &Queue{limit: limit}
	q.wakeEpoch.Store(1)
	return q
}

// SetLimit changes the limit. Requests already in the queue stay, even if they
// exceed the new limit.
func (q *Queue) SetLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = limit
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return int(q.length.Load()) }

// WakeEpoch returns the value for QueueRequest.WakeEpoch. It must be called
// before the request chooses a target.
func (q *Queue) WakeEpoch() uint64 { return q.wakeEpoch.Load() }

// Join adds a request that cannot be displaced and whose deadline is not checked.
// It returns a *QueueFullError if the queue is full. The caller must choose again
// after Join and before it waits, because a permit may have been released in the
// meantime.
//
// Deprecated: Use JoinAt, which checks the deadline and does not lose wake-ups.
func (q *Queue) Join(rank Rank, deadline time.Time) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reserved >= q.limit || q.Len() >= q.limit {
		return nil, &QueueFullError{q.limit}
	}
	return q.add(QueueRequest{Rank: rank, Deadline: deadline, Undisplaceable: true}, false), nil
}

// JoinAt adds a request. It returns a *DeadlineError if the request would miss
// its deadline, given the requests ahead and the recent release rate. If the
// queue is full, the newest request of the worst rank that can be displaced
// gives way, provided that its rank is worse than that of the new request.
// Otherwise JoinAt returns a *QueueFullError.
func (q *Queue) JoinAt(now time.Time, request QueueRequest) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	if !request.Deadline.IsZero() {
		wait := q.releases.expectedWait(now, q.ahead(request.Rank)) + request.ExpectedResponseTime
		if left := request.Deadline.Sub(now); left <= 0 || wait > left {
			return nil, &DeadlineError{Wait: wait, Left: left}
		}
	}
	if (q.reserved >= q.limit || q.Len() >= q.limit) && !q.displace(request.Rank) {
		return nil, &QueueFullError{q.limit}
	}
	if q.length.Load() == 0 {
		q.releases.start(now)
	}
	w := q.add(request, true)
	if request.PromoteAfter > 0 {
		w.overdueAt = now.Add(request.PromoteAfter)
		heap.Push(&q.byOverdueAt, w)
	}
	if request.WakeEpoch != 0 && request.WakeEpoch != q.wakeEpoch.Load() {
		q.wake(w)
	}
	return w, nil
}

// Rejoin puts a woken request that found no target back into its old position.
// The request has counted towards the limit in the meantime. Rejoin has no effect
// on a request that is waiting or displaced.
func (q *Queue) Rejoin(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.list != nil || w.displaced {
		return
	}
	w.woken = false
	w.ready = make(chan struct{})
	if w.request.PromoteAfter > 0 {
		heap.Push(&q.byOverdueAt, w)
	}
	q.insert(w)
	if w.wakeEpoch != q.wakeEpoch.Load() {
		q.wake(w)
	}
}

// Served removes a request that found a target because it was woken. A request
// that found a target without a wake-up must call Leave instead, which passes
// on a wake-up that may have arrived in the meantime.
func (q *Queue) Served(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.woken = false
	q.releaseReservation(w)
	if w.list != nil {
		q.remove(w)
	}
}

// Leave removes a request that gives up waiting. If it was woken and has not used
// the wake-up, the next request is woken instead.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseReservation(w)
	if w.list != nil {
		q.remove(w)
		return
	}
	if w.woken {
		w.woken = false
		q.wakeFirst()
	}
}

// NotifyRelease wakes the first request and records the release for the
// estimate of waiting times. It must be called after each release of a permit.
//
// It does not lock the mutex while the queue is empty. A request that joins
// concurrently does not miss the wake-up: either it sees the new value of
// wakeEpoch after it has joined, or the second check of the length sees the
// request.
func (q *Queue) NotifyRelease(now time.Time) {
	if q.length.Load() == 0 {
		q.wakeEpoch.Add(1)
		if q.length.Load() == 0 {
			return
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	if q.length.Load() > 0 {
		q.releases.record(now)
	}
	q.wakeFirst()
}

// Wake wakes the first request. Unlike NotifyRelease, it records no release.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// WakeAll wakes all requests so that they choose again, for example after the view
// has changed.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeEpoch.Add(1)
	for q.length.Load() > 0 {
		q.wakeFirst()
	}
}

// advance updates the latest time seen, which decides which requests are overdue.
// The caller holds mu.
func (q *Queue) advance(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
}

// add appends a new request to the list of its rank. The caller holds mu.
func (q *Queue) add(request QueueRequest, reserve bool) *Waiter {
	q.sequence++
	w := &Waiter{request: request, sequence: q.sequence, heapIndex: -1, reserved: reserve, wakeEpoch: q.wakeEpoch.Load()}
	w.ready = make(chan struct{})
	if reserve {
		q.reserved++
	}
	q.insert(w)
	return w
}

// releaseReservation stops counting a request towards the limit. The caller holds
// mu.
func (q *Queue) releaseReservation(w *Waiter) {
	if w.reserved {
		w.reserved = false
		q.reserved--
	}
}

// wakeFirst wakes the first request, or counts the wake-up if no request is
// waiting. The caller holds mu.
func (q *Queue) wakeFirst() {
	first := q.first()
	if first == nil {
		q.wakeEpoch.Add(1)
		return
	}
	q.wake(first)
}

// wake removes a request from its list and closes its channel. The request goes on
// to count towards the limit. The caller holds mu.
func (q *Queue) wake(w *Waiter) {
	q.remove(w)
	w.woken = true
	w.wakeEpoch = q.wakeEpoch.Load()
	close(w.ready)
}

// first returns the request that has been overdue for the longest time or, if none
// is overdue, the first by rank and arrival. It returns nil if no request is
// waiting. The caller holds mu.
func (q *Queue) first() *Waiter {
	if len(q.byOverdueAt) > 0 && !q.byOverdueAt[0].overdueAt.After(q.now) {
		return q.byOverdueAt[0]
	}
	for i, word := range q.occupied {
		if word != 0 {
			return q.ranks[i*64+bits.TrailingZeros64(word)].front
		}
	}
	return nil
}

// displace removes one waiting request of a worse rank than the given one, and
// reports whether it found one. Overdue requests are not displaced. The caller
// holds mu.
func (q *Queue) displace(rank Rank) bool {
	for worst := len(q.ranks) - 1; worst > int(rank); worst-- {
		for w := q.ranks[worst].back; w != nil; w = w.prev {
			if w.request.Undisplaceable || (w.heapIndex >= 0 && !w.overdueAt.After(q.now)) {
				continue
			}
			q.remove(w)
			q.releaseReservation(w)
			w.displaced = true
			close(w.ready)
			return true
		}
	}
	return false
}

// ahead returns the number of waiting requests of the given rank or a better one.
// Overdue requests of worse ranks are not counted. The caller holds mu.
func (q *Queue) ahead(rank Rank) int {
	count := 0
	for r := range int(rank) + 1 {
		count += q.ranks[r].length
	}
	return count
}
