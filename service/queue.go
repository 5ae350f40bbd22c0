package service

import (
	"container/heap"
	"fmt"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

// Rank orders waiting requests; a lower rank goes first.
type Rank uint8

// Demand describes a request that is about to wait.
type Demand struct {
	Rank Rank
	// Deadline is the time by which the request must be answered; zero if it
	// has none.
	Deadline time.Time
	// Run is the expected time at a target, which the deadline must leave.
	Run time.Duration
	// MaxWait is the time after which a request that may wait goes ahead of
	// every other; 0 if it never does.
	MaxWait time.Duration
	// Hold is the time after which a request that found no target is refused, so
	// that its caller can come back in time; 0 if it waits until its deadline.
	Hold time.Duration
	// Kept is true for a request that no other may displace, such as an upload.
	Kept bool
	// Seen is the result of Queue.Seen before the choice that found no target.
	// A wake-up that came since then is not lost. Zero means that the request
	// chooses again after it has joined.
	Seen uint64
}

// Waiter is a request that waits for a target.
type Waiter struct {
	demand    Demand
	sequence  uint64
	overdueAt time.Time
	list      *waiterList // nil while not queued
	prev      *Waiter
	next      *Waiter
	index     int // place in the heap of bounded waits, -1 while not there
	woken     bool
	displaced bool
	counted   bool // holds one of the queue's places
	seen      uint64
	ready     chan struct{}
}

// Ready is closed when the request should choose again, or was displaced.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Displaced tells, after Ready was closed, whether a request of a better rank
// took the place of this one. It did not run and must not join again.
func (w *Waiter) Displaced() bool { return w.displaced }

// OverflowError reports a queue that holds as many requests as it may.
type OverflowError struct {
	Limit int
}

func (e *OverflowError) Error() string {
	return fmt.Sprintf("queue holds %d requests already", e.Limit)
}

// LateError reports a request that would miss its deadline in the queue.
type LateError struct {
	Wait time.Duration // expected wait and run time
	Left time.Duration // time to the deadline
}

func (e *LateError) Error() string {
	return fmt.Sprintf("request needs %v and has %v left", e.Wait, e.Left)
}

// Queue holds the requests of one service that wait for a target, ordered by
// rank, then by arrival. Requests that waited past their bound go first. A short
// mutex guards the lists; waiting is on the waiter's channel.
//
// A caller that found no target calls JoinAt, waits for Ready, and chooses
// again. If it then finds a target it calls Taken, otherwise Rejoin. A caller
// that gives up, at any point, calls Leave.
type Queue struct {
	limit int

	mu       sync.Mutex
	ranks    [256]waiterList
	occupied [4]uint64 // one bit per rank with waiters
	bounded  boundedHeap
	length   atomic.Int64 // changed under the mutex
	places   int          // waiters that count against the limit, with woken ones
	sequence uint64
	// unclaimed counts the wake-ups that found nobody, and each WakeAll. A
	// waiter that saw an older count chooses again instead of waiting.
	unclaimed atomic.Uint64
	now       time.Time
	rate      serviceRate
}

// NewQueue returns a queue that holds up to limit requests.
func NewQueue(limit int) *Queue {
	q := &Queue{limit: limit}
	q.unclaimed.Store(1)
	return q
}

// SetLimit changes the bound. Requests above a lower one keep their places.
func (q *Queue) SetLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = limit
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return int(q.length.Load()) }

// Seen returns a mark for Demand.Seen. It is taken before a choice.
func (q *Queue) Seen() uint64 { return q.unclaimed.Load() }

// Join adds a request that cannot be displaced and whose deadline is not checked.
// A full queue gives an *OverflowError. The caller chooses again after Join and
// before it waits, since a permit may have been released in between.
//
// Deprecated: JoinAt checks the deadline and loses no wake-up.
func (q *Queue) Join(rank Rank, deadline time.Time) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.places >= q.limit || q.Len() >= q.limit {
		return nil, &OverflowError{q.limit}
	}
	return q.add(Demand{Rank: rank, Deadline: deadline, Kept: true}, false), nil
}

// JoinAt adds a request. It gives a *LateError if the request would miss its
// deadline given the requests ahead and the recent service rate. If the queue is
// full, the last request of the worst rank below the new one is displaced; if
// there is none, JoinAt gives an *OverflowError.
func (q *Queue) JoinAt(now time.Time, demand Demand) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	if !demand.Deadline.IsZero() {
		wait := q.rate.wait(now, q.ahead(demand.Rank)) + demand.Run
		if left := demand.Deadline.Sub(now); left <= 0 || wait > left {
			return nil, &LateError{Wait: wait, Left: left}
		}
	}
	if (q.places >= q.limit || q.Len() >= q.limit) && !q.displace(demand.Rank) {
		return nil, &OverflowError{q.limit}
	}
	if q.length.Load() == 0 {
		q.rate.begin(now)
	}
	w := q.add(demand, true)
	if demand.MaxWait > 0 {
		w.overdueAt = now.Add(demand.MaxWait)
		heap.Push(&q.bounded, w)
	}
	if demand.Seen != 0 && demand.Seen != q.unclaimed.Load() {
		q.wake(w)
	}
	return w, nil
}

// Rejoin puts a woken request that found no target back in its old place, which
// it still holds. It has no effect on a request that is waiting or displaced.
func (q *Queue) Rejoin(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.list != nil || w.displaced {
		return
	}
	w.woken = false
	w.ready = make(chan struct{})
	if w.demand.MaxWait > 0 {
		heap.Push(&q.bounded, w)
	}
	q.insert(w)
	if w.seen != q.unclaimed.Load() {
		q.wake(w)
	}
}

// Taken records that a request found a target after its Ready was closed, and
// gives up its place. A request that found a target in another way calls Leave,
// which passes on a wake-up that it may have got meanwhile.
func (q *Queue) Taken(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.woken = false
	q.vacate(w)
	if w.list != nil {
		q.remove(w)
	}
}

// Leave removes a request that no longer waits. If it was woken and did not use
// the wake-up, the next request is woken instead.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.vacate(w)
	if w.list != nil {
		q.remove(w)
		return
	}
	if w.woken {
		w.woken = false
		q.wakeFirst()
	}
}

// Released lets the first request choose again and records the release for the
// service rate. It is called when a permit was released.
//
// While nobody waits it takes no mutex. A request that joins meanwhile is not
// missed: either it sees the new count after it has joined, or the second look at
// the length sees it.
func (q *Queue) Released(now time.Time) {
	if q.length.Load() == 0 {
		q.unclaimed.Add(1)
		if q.length.Load() == 0 {
			return
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	if q.length.Load() > 0 {
		q.rate.record(now)
	}
	q.wakeFirst()
}

// Wake lets the first request choose again, like Released, without a time.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// WakeAll lets every request choose again. It is called when the view changed.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unclaimed.Add(1)
	for q.length.Load() > 0 {
		q.wakeFirst()
	}
}

// advance keeps the latest time, by which waits past their bound are found.
func (q *Queue) advance(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
}

func (q *Queue) add(demand Demand, counted bool) *Waiter {
	q.sequence++
	w := &Waiter{demand: demand, sequence: q.sequence, index: -1, counted: counted, seen: q.unclaimed.Load()}
	w.ready = make(chan struct{})
	if counted {
		q.places++
	}
	q.insert(w)
	return w
}

func (q *Queue) vacate(w *Waiter) {
	if w.counted {
		w.counted = false
		q.places--
	}
}

func (q *Queue) wakeFirst() {
	first := q.first()
	if first == nil {
		q.unclaimed.Add(1)
		return
	}
	q.wake(first)
}

func (q *Queue) wake(w *Waiter) {
	q.remove(w)
	w.woken = true
	w.seen = q.unclaimed.Load()
	close(w.ready)
}

// first returns the request that waited longest past its bound, or else the
// first by rank and arrival.
func (q *Queue) first() *Waiter {
	if len(q.bounded) > 0 && !q.bounded[0].overdueAt.After(q.now) {
		return q.bounded[0]
	}
	for i, word := range q.occupied {
		if word != 0 {
			return q.ranks[i*64+bits.TrailingZeros64(word)].front
		}
	}
	return nil
}

// displace makes room for a request of the given rank. Requests past their
// bound are not displaced.
func (q *Queue) displace(rank Rank) bool {
	for worst := len(q.ranks) - 1; worst > int(rank); worst-- {
		for w := q.ranks[worst].back; w != nil; w = w.prev {
			if w.demand.Kept || (w.index >= 0 && !w.overdueAt.After(q.now)) {
				continue
			}
			q.remove(w)
			q.vacate(w)
			w.displaced = true
			close(w.ready)
			return true
		}
	}
	return false
}

// ahead counts the waiting requests that go before a new one of the given rank.
func (q *Queue) ahead(rank Rank) int {
	count := 0
	for r := range int(rank) + 1 {
		count += q.ranks[r].length
	}
	return count
}
