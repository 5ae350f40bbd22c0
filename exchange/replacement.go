package exchange

import (
	"context"
	"fmt"
	"sync"
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
func (x *Exchange) send(ctx context.Context, reserved reservation, request *Request, body *Body) (*Response, contract.Failure, error) {
	if !x.Contract.MayRetry() || !body.kept() {
		return reserved.Send(ctx, request, body)
	}
	attemptCtx, endAttempt := context.WithCancelCause(ctx)
	search := &search{
		x: x, endAttempt: endAttempt, target: reserved.target, request: request, body: body, began: time.Now(), slowAfter: reserved.SlowAfter(),
	}
	search.timer = time.AfterFunc(search.slowAfter, func() { search.run(ctx) })
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

// search looks for a target that replaces a slow one. It runs on a goroutine of its
// own, which starts when the attempt counts as slow. That goroutine alone uses the
// exchange until stop returns, as the goroutine of the request waits for the response.
type search struct {
	x          *Exchange
	endAttempt context.CancelCauseFunc // ends the attempt
	timer      *time.Timer
	target     *target.Target // that is slow
	request    *Request
	body       *Body
	began      time.Time     // start of the attempt
	slowAfter  time.Duration // time after which the attempt counts as slow

	mu      sync.Mutex
	stopped bool               // stop has been called
	cancel  context.CancelFunc // ends the search; nil until it runs
	done    chan struct{}      // closed when the search has ended; nil until it runs
	// decided is set by whichever comes first: the end of the attempt or the end of
	// the search with a target.
	decided atomic.Bool
	found   *reservation // nil if there is none; valid once done is closed
}

// run looks for a replacement. When it has found one, it ends the attempt.
func (s *search) run(ctx context.Context) {
	ctx, ok := s.start(ctx)
	if !ok {
		return
	}
	defer close(s.done)
	found := s.findReplacement(ctx)
	switch {
	case found == nil:
	case !s.decided.CompareAndSwap(false, true):
		found.abandon()
	default:
		s.found = found
		s.endAttempt(&ReplacedError{Target: s.target.Spec.Name, By: found.target.Spec.Name})
	}
}

// start returns the context of the search, or false if the attempt has ended. Most
// attempts end before they are slow and need no context for a search.
func (s *search) start(ctx context.Context) (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, false
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.done = make(chan struct{})
	return ctx, true
}

// stop ends the search after the attempt has ended. It returns the reservation for
// which the search has ended the attempt, if any.
func (s *search) stop() *reservation {
	if s.timer.Stop() {
		return nil
	}
	s.decided.CompareAndSwap(false, true)
	s.mu.Lock()
	s.stopped = true
	cancel, done := s.cancel, s.done
	s.mu.Unlock()
	if cancel == nil {
		return nil
	}
	cancel()
	<-done
	return s.found
}

// findReplacement reserves a connection to a target that the request has not been
// tried on, and takes a retry from the budget. It goes on until ctx ends, and then
// returns nil.
func (s *search) findReplacement(ctx context.Context) *reservation {
	s.x.markTried(s.target)
	s.x.slowSince = s.began
	for counted := false; ctx.Err() == nil; {
		found, pause := s.tryReplacement(ctx)
		if found != nil {
			return found
		}
		if !counted && ctx.Err() == nil {
			counted = true
			s.target.RecordResult(true)
		}
		sleep(ctx, pause)
	}
	return nil
}

// tryReplacement looks for a replacement once, waiting in the queue if no target has
// capacity. If it finds none, it returns the time after which to look again.
func (s *search) tryReplacement(ctx context.Context) (found *reservation, pause time.Duration) {
	x := s.x
	if !s.mayReplace() {
		return nil, s.slowAfter
	}
	permit, err := x.acquirePermit(ctx, x.chooseUntried)
	if err != nil {
		return nil, s.slowAfter
	}
	attempt := x.Sender.Reserve(ctx, x, permit)
	if attempt == nil {
		x.ReleasePermit(permit)
		return nil, recheckInterval // a connection may be about to be opened
	}
	if !s.mayReplace() || !x.Service.RetryBudget.Allow(time.Now()) {
		attempt.Abandon()
		return nil, s.slowAfter
	}
	return &reservation{Attempt: attempt, target: permit.Target}, 0
}

// mayReplace reports whether a slow attempt may be ended for one at another target,
// which must be able to respond in time. While this instance drains, none is ended:
// the other target may decline the request, and the response of the slow one would be
// lost.
func (s *search) mayReplace() bool {
	x, now := s.x, time.Now()
	if x.isolated() || x.Draining != nil && x.Draining() || !x.Service.RetryBudget.Available(now) {
		return false
	}
	if x.Contract.Terms.Deadline.Sub(now) < x.QueueRequest.ExpectedResponseTime {
		return false
	}
	_, refused := x.refusedForCrashes(s.request, s.body)
	return !refused
}
