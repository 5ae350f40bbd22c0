package exchange

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/target"
)

// ReplacedError reports an attempt that was ended because its target was slow and
// another one was found for the request.
type ReplacedError struct {
	Target string
	By     string // name of the other target
}

func (e *ReplacedError) Error() string {
	return fmt.Sprintf("target %s was slow to respond and is replaced by %s", e.Target, e.By)
}

// send sends the request. While the target is slow to respond, it looks for another
// one and ends the attempt only once it has reserved a connection to that one, which
// is then x.replacement. A target at work is thus given up only for another one.
func (x *Exchange) send(ctx context.Context, reserved *reservation, request *Request, body *Body) (*Response, contract.Failure, error) {
	if !x.Contract.MayRetry() || !body.kept() {
		return reserved.Send(ctx, request, body)
	}
	attemptCtx, endAttempt := context.WithCancelCause(ctx)
	search := x.startSearch(ctx, endAttempt, &slowAttempt{
		target: reserved.target, request: request, body: body, began: time.Now(), slowAfter: reserved.SlowAfter(),
	})
	response, failure, err := reserved.Send(attemptCtx, request, body)
	found := search.stop()
	if found != nil && err == nil && response.Rest != nil {
		// The connection was closed just after the first part of the body had been read.
		_ = response.Rest.Close()
		response, failure, err = nil, contract.FailureLost, context.Cause(attemptCtx)
	}
	if err == nil {
		found.abandon()
		return response, failure, nil
	}
	x.replacement = found
	return response, failure, err
}

// slowAttempt describes an attempt for which another target may be needed.
type slowAttempt struct {
	target    *target.Target
	request   *Request
	body      *Body
	began     time.Time
	slowAfter time.Duration // time after which the attempt counts as slow
}

// search looks for a target that replaces a slow one. It runs on a goroutine of its
// own, which starts when the attempt counts as slow. That goroutine alone uses the
// exchange until stop returns, as the goroutine of the request waits for the response.
type search struct {
	timer  *time.Timer
	cancel context.CancelFunc
	done   chan struct{} // closed when the goroutine of the search has ended
	// decided is set by whichever comes first: the end of the attempt or the end of
	// the search with a target.
	decided atomic.Bool
	found   *reservation // nil if there is none; valid once done is closed
}

// startSearch starts the search for a replacement. When one is found, endAttempt ends
// the attempt.
func (x *Exchange) startSearch(ctx context.Context, endAttempt context.CancelCauseFunc, slow *slowAttempt) *search {
	ctx, cancel := context.WithCancel(ctx)
	s := &search{cancel: cancel, done: make(chan struct{})}
	s.timer = time.AfterFunc(slow.slowAfter, func() {
		defer close(s.done)
		found := x.findReplacement(ctx, slow)
		switch {
		case found == nil:
		case !s.decided.CompareAndSwap(false, true):
			found.abandon()
		default:
			s.found = found
			endAttempt(&ReplacedError{Target: slow.target.Spec.Name, By: found.target.Spec.Name})
		}
	})
	return s
}

// stop ends the search after the attempt has ended. It returns the reservation for
// which the search has ended the attempt, if any.
func (s *search) stop() *reservation {
	s.decided.CompareAndSwap(false, true)
	s.cancel()
	if !s.timer.Stop() {
		<-s.done
	}
	return s.found
}

// findReplacement reserves a connection to a target that the request has not been
// tried on, and takes a retry from the budget. It goes on until ctx ends, and then
// returns nil.
func (x *Exchange) findReplacement(ctx context.Context, slow *slowAttempt) *reservation {
	x.markTried(slow.target)
	x.slowSince = slow.began
	for counted := false; ctx.Err() == nil; {
		found, pause := x.tryReplacement(ctx, slow)
		if found != nil {
			return found
		}
		if !counted && ctx.Err() == nil {
			counted = true
			slow.target.RecordResult(true)
		}
		sleep(ctx, pause)
	}
	return nil
}

// tryReplacement looks for a replacement once, waiting in the queue if no target has
// capacity. If it finds none, it returns the time after which to look again.
func (x *Exchange) tryReplacement(ctx context.Context, slow *slowAttempt) (found *reservation, pause time.Duration) {
	if !x.mayReplace(slow) {
		return nil, slow.slowAfter
	}
	permit, err := x.acquirePermit(ctx, x.chooseUntried)
	if err != nil {
		return nil, slow.slowAfter
	}
	attempt := x.Sender.Reserve(ctx, x, permit)
	if attempt == nil {
		x.ReleasePermit(permit)
		return nil, recheckInterval // a connection may be about to be opened
	}
	if !x.mayReplace(slow) || !x.Service.RetryBudget.Allow(time.Now()) {
		attempt.Abandon()
		return nil, slow.slowAfter
	}
	return &reservation{Attempt: attempt, target: permit.Target}, 0
}

// mayReplace reports whether a slow attempt may be ended for one at another target,
// which must be able to respond in time. While this instance drains, none is ended:
// the other target may decline the request, and the response of the slow one would be
// lost.
func (x *Exchange) mayReplace(slow *slowAttempt) bool {
	now := time.Now()
	if x.isolated() || x.Draining != nil && x.Draining() || !x.Service.RetryBudget.Available(now) {
		return false
	}
	if x.Contract.Terms.Deadline.Sub(now) < x.QueueRequest.ExpectedResponseTime {
		return false
	}
	_, refused := x.refusedForCrashes(slow.request, slow.body)
	return !refused
}
