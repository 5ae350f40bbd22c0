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
	// ExpectedResponseTime is the expected response time of the target. JoinAt
	// refuses the request if the expected wait plus this time exceeds the time
	// until Deadline.
	ExpectedResponseTime time.Duration
	// PromoteAfter is the waiting time after which the request goes ahead of
	// the requests that have waited less than their own PromoteAfter, whatever
	// their rank, so that low ranks do not starve; 0 disables this.
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
	promoteAt time.Time   // arrival plus QueueRequest.PromoteAfter; zero without PromoteAfter
	list      *waiterList // nil while not queued
	prev      *Waiter
	next      *Waiter
	heapIndex int           // position in Queue.byPromoteAt, -1 if not in the heap
	woken     bool          // set by wake; cleared by Served, Rejoin and Leave
	displaced bool          // removed in favor of a request of a better rank
	reserved  bool          // holds a place in the queue, also while woken (JoinAt only)
	seenEpoch uint64        // value of Queue.wakeEpoch at the latest wake-up, or on joining
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
	Wait time.Duration // expected wait in the queue plus the expected response time
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
	byRank      [256]waiterList // lists of waiting requests, one for each rank
	occupied    [4]uint64       // bitmap of the ranks with waiting requests
	byPromoteAt promoteHeap     // waiting requests with a PromoteAfter
	length      atomic.Int64    // waiting requests; modified only with mu held
	reserved    int             // places held by JoinAt requests, waiting or woken; Join's count only in length
	sequence    uint64          // sequence number of the latest request
	// wakeEpoch counts the wake-ups that found no waiting request, and the
	// calls of WakeAll. A request that joins or rejoins is woken at once if it
	// read wakeEpoch before the latest change, as it may have missed a wake-up.
	wakeEpoch atomic.Uint64
	// latestTime is the latest time passed to JoinAt or NotifyRelease.
	latestTime time.Time
	// releaseInterval is the moving average of the time between releases.
	releaseInterval releaseInterval
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

// Join adds a request that cannot be displaced. The deadline is stored but not
// checked. Join returns a *QueueFullError if the queue is full. The caller must
// choose again after Join and before it waits, because a permit, the right to
// send one request to a target, may have been released in the meantime.
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
// is displaced, provided that its rank is worse than that of the new request.
// Otherwise JoinAt returns a *QueueFullError.
func (q *Queue) JoinAt(now time.Time, request QueueRequest) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateTime(now)
	if !request.Deadline.IsZero() {
		wait := q.releaseInterval.expectedWait(now, q.ahead(request.Rank)) + request.ExpectedResponseTime
		if left := request.Deadline.Sub(now); left <= 0 || wait > left {
			return nil, &DeadlineError{Wait: wait, Left: left}
		}
	}
	if (q.reserved >= q.limit || q.Len() >= q.limit) && !q.displace(request.Rank) {
		return nil, &QueueFullError{q.limit}
	}
	if q.length.Load() == 0 {
		q.releaseInterval.start(now)
	}
	w := q.add(request, true)
	if request.PromoteAfter > 0 {
		w.promoteAt = now.Add(request.PromoteAfter)
		heap.Push(&q.byPromoteAt, w)
	}
	if request.WakeEpoch != 0 && request.WakeEpoch != q.wakeEpoch.Load() {
		q.wake(w)
	}
	return w, nil
}

// Rejoin puts a woken request that found no target back into its old position.
// A request from JoinAt has kept its place in the meantime. Rejoin has no effect
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
		heap.Push(&q.byPromoteAt, w)
	}
	q.insert(w)
	if w.seenEpoch != q.wakeEpoch.Load() {
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
// estimate of waiting times. It must be called after each release of a
// permit to send a request to a target.
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
	q.updateTime(now)
	if q.length.Load() > 0 {
		q.releaseInterval.record(now)
	}
	q.wakeFirst()
}

// Wake wakes the first request. Unlike NotifyRelease, it records no release.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// WakeAll wakes all requests so that they choose again, for example after the set
// of targets has changed.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeEpoch.Add(1)
	for q.length.Load() > 0 {
		q.wakeFirst()
	}
}

// updateTime updates the latest time seen, which decides which requests have
// waited for their PromoteAfter. The caller holds mu.
func (q *Queue) updateTime(now time.Time) {
	if now.After(q.latestTime) {
		q.latestTime = now
	}
}

// add appends a new request to the list of its rank. The caller holds mu.
func (q *Queue) add(request QueueRequest, reserve bool) *Waiter {
	q.sequence++
	w := &Waiter{request: request, sequence: q.sequence, heapIndex: -1, reserved: reserve, seenEpoch: q.wakeEpoch.Load()}
	w.ready = make(chan struct{})
	if reserve {
		q.reserved++
	}
	q.insert(w)
	return w
}

// releaseReservation gives up the place that a request from JoinAt holds. The
// caller holds mu.
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

// wake removes a request from its list and closes its channel. A request from
// JoinAt keeps its place. The caller holds mu.
func (q *Queue) wake(w *Waiter) {
	q.remove(w)
	w.woken = true
	w.seenEpoch = q.wakeEpoch.Load()
	close(w.ready)
}

// first returns the request that reached its PromoteAfter earliest or, if none has
// reached it, the first by rank and arrival. It returns nil if no request is
// waiting. The caller holds mu.
func (q *Queue) first() *Waiter {
	if len(q.byPromoteAt) > 0 && !q.byPromoteAt[0].promoteAt.After(q.latestTime) {
		return q.byPromoteAt[0]
	}
	for i, word := range q.occupied {
		if word != 0 {
			return q.byRank[i*64+bits.TrailingZeros64(word)].front
		}
	}
	return nil
}

// displace removes one waiting request of a worse rank than the given one, and
// reports whether it found one. Requests that have reached their PromoteAfter are
// not displaced. The caller holds mu.
func (q *Queue) displace(rank Rank) bool {
	for worst := len(q.byRank) - 1; worst > int(rank); worst-- {
		for w := q.byRank[worst].back; w != nil; w = w.prev {
			if w.request.Undisplaceable || (w.heapIndex >= 0 && !w.promoteAt.After(q.latestTime)) {
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

// ahead returns the number of waiting requests that go before a new one of the given
// rank: those of that rank or a better one, and those of worse ranks that have
// reached their PromoteAfter. The caller holds mu.
func (q *Queue) ahead(rank Rank) int {
	count := q.byPromoteAt.countOverdue(0, q.latestTime, rank)
	for r := range int(rank) + 1 {
		count += q.byRank[r].length
	}
	return count
}
