package exchange

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
)

// NoTargetError reports that a request got no target.
type NoTargetError struct {
	Reason     contract.Reason
	RetryAfter time.Duration // 0 if waiting does not help
}

func (e *NoTargetError) Error() string { return fmt.Sprintf("no target for the request: %s", e.Reason) }

// reserve chooses a target for the next attempt and reserves a connection to it. It
// refuses a request that makes targets crash, or that gets no target.
func (x *Exchange) reserve(ctx context.Context, request *Request, body *Body) (reservation, *contract.Refusal) {
	for {
		replacement := x.replacement
		x.replacement = nil
		if fingerprint, refused := x.refusedForCrashes(request, body); refused {
			replacement.abandon()
			x.fingerprint = fingerprint.String()
			return reservation{}, x.refuseCrashing()
		}
		if replacement != nil {
			return *replacement, nil
		}
		permit, err := x.admit(ctx)
		if err != nil {
			refusal := x.Contract.Refuse(err.Reason)
			refusal.RetryAfter = err.RetryAfter
			return reservation{}, refusal
		}
		if attempt := x.Sender.Reserve(ctx, x, permit); attempt != nil {
			return reservation{Attempt: attempt, target: permit.Target}, nil
		}
		x.ReleasePermit(permit)
		x.markTried(permit.Target)
		sleep(ctx, linkOpenTime)
	}
}

// abandon gives a reservation back unused, unless it is nil.
func (r *reservation) abandon() {
	if r != nil {
		r.Abandon()
	}
}

// refusedForCrashes reports whether the request is refused because it makes targets
// crash, and its fingerprint then. Otherwise it excludes the targets that have crashed
// under it.
func (x *Exchange) refusedForCrashes(request *Request, body *Body) (contract.Fingerprint, bool) {
	if x.Crashes.Empty() {
		return contract.Fingerprint{}, false
	}
	now, fingerprint := time.Now(), FingerprintOf(x, request, body)
	if x.Crashes.Refused(now, fingerprint) {
		return fingerprint, true
	}
	x.excludeCrashed(x.Crashes.Targets(now, fingerprint))
	return contract.Fingerprint{}, false
}

// admit acquires a permit. It fails if this instance became isolated while the
// request was waiting.
func (x *Exchange) admit(ctx context.Context) (target.Permit, *NoTargetError) {
	if ctx.Err() != nil {
		return target.Permit{}, &NoTargetError{Reason: x.contextReason(ctx)}
	}
	permit, err := x.acquirePermit(ctx, x.choose)
	if err == nil && x.isolated() {
		x.ReleasePermit(permit)
		return target.Permit{}, &NoTargetError{Reason: contract.ReasonInstanceIsolated}
	}
	return permit, err
}

func (x *Exchange) isolated() bool { return x.Isolated != nil && x.Isolated() }

// chooseFunc acquires a permit without waiting in the queue, and reports whether it
// got one.
type chooseFunc func(ctx context.Context) (target.Permit, bool)

// acquirePermit acquires a permit, waiting in the queue if no target has
// capacity.
func (x *Exchange) acquirePermit(ctx context.Context, choose chooseFunc) (target.Permit, *NoTargetError) {
	wakeEpoch := x.Service.Queue.WakeEpoch()
	if x.Service.Queue.Len() == 0 {
		if permit, ok := choose(ctx); ok {
			return permit, nil
		}
	}
	return x.waitInQueue(ctx, choose, wakeEpoch)
}

// choose prefers targets that the request has not been tried on. It never
// chooses one that crashed while running the request.
func (x *Exchange) choose(ctx context.Context) (target.Permit, bool) {
	if permit, ok := x.chooseUntried(ctx); ok {
		return permit, true
	}
	if len(x.tried) == len(x.crashedTargets) {
		return target.Permit{}, false
	}
	return x.chooseExcluding(ctx, x.crashedTargets)
}

// chooseUntried chooses among the targets that the request has not been tried on.
func (x *Exchange) chooseUntried(ctx context.Context) (target.Permit, bool) {
	return x.chooseExcluding(ctx, x.tried)
}

func (x *Exchange) chooseExcluding(ctx context.Context, tried service.Tried) (target.Permit, bool) {
	if x.Chooser != nil {
		return x.Chooser.Choose(ctx, x.Service, Criteria{Tried: tried, Size: x.size, Urgent: x.Urgent})
	}
	return x.Service.Choose(time.Now(), tried, rand.Uint64())
}

// excludeCrashed excludes the targets with the given names. Once restarted, such
// a target would crash again, and would still count as only one target.
func (x *Exchange) excludeCrashed(names []string) {
	for _, c := range x.Service.View().Candidates {
		if slices.Contains(names, c.Target.Spec.Name) && !x.crashedTargets.Contains(c.Target) {
			x.crashedTargets = append(x.crashedTargets, c.Target)
			x.markTried(c.Target)
		}
	}
}

// waitInQueue waits in the queue of the service until a target has capacity.
func (x *Exchange) waitInQueue(ctx context.Context, choose chooseFunc, wakeEpoch uint64) (target.Permit, *NoTargetError) {
	_, span := x.Tracer.Start(ctx, "queue")
	defer span.End()
	now := time.Now()
	queue := x.Service.Queue
	queued := x.QueueRequest
	queued.Deadline, queued.WakeEpoch = x.Contract.Terms.Deadline, wakeEpoch
	giveUpAt := queued.Deadline
	if queued.QueueTimeout > 0 {
		giveUpAt = earlier(giveUpAt, now.Add(queued.QueueTimeout))
	}
	if err := x.pausedBeyond(now, giveUpAt); err != nil {
		return target.Permit{}, err
	}
	waiter, err := queue.JoinAt(now, queued)
	if err != nil {
		return target.Permit{}, &NoTargetError{Reason: queueReason(err)}
	}
	// The end of a target's back-off releases no permit, so it does not wake a
	// waiter.
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	timeout := newQueueTimer(queued.QueueTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-waiter.Ready():
			if waiter.Displaced() {
				return target.Permit{}, &NoTargetError{Reason: contract.ReasonQueueFull}
			}
			if permit, ok := choose(ctx); ok {
				queue.Served(waiter)
				return permit, nil
			}
			queue.Rejoin(waiter)
		case <-recheck.C:
			if permit, ok := choose(ctx); ok {
				queue.Leave(waiter)
				return permit, nil
			}
			if err := x.pausedBeyond(time.Now(), giveUpAt); err != nil {
				queue.Leave(waiter)
				return target.Permit{}, err
			}
		case <-timeout.C:
			queue.Leave(waiter)
			return target.Permit{}, &NoTargetError{Reason: contract.ReasonNoTarget}
		case <-ctx.Done():
			queue.Leave(waiter)
			return target.Permit{}, &NoTargetError{Reason: x.contextReason(ctx)}
		}
	}
}

// pausedBeyond returns an error if all targets have asked for a pause that ends
// after the time at which the request would stop waiting. It returns nil if the
// request may wait.
func (x *Exchange) pausedBeyond(now, giveUpAt time.Time) *NoTargetError {
	pausedUntil, paused := x.Service.View().PausedUntil(now)
	if !paused || pausedUntil.Before(giveUpAt) {
		return nil
	}
	return &NoTargetError{Reason: contract.ReasonTargetsPaused, RetryAfter: pausedUntil.Sub(now)}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// newQueueTimer returns a timer that ends the wait in the queue. If the timeout
// is 0, it never fires.
func newQueueTimer(timeout time.Duration) *time.Timer {
	if timeout > 0 {
		return time.NewTimer(timeout)
	}
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// recheckInterval is the interval at which a waiting request tries to choose a
// target without having been woken.
const recheckInterval = 25 * time.Millisecond

func queueReason(err error) contract.Reason {
	var deadlineErr *service.DeadlineError
	if errors.As(err, &deadlineErr) {
		return contract.ReasonDeadline
	}
	return contract.ReasonQueueFull
}

// contextReason returns why the context ended. A context that is canceled at the
// deadline counts as expired, because the server's read deadline for the request
// passes at the same moment and cancels it.
func (x *Exchange) contextReason(ctx context.Context) contract.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(x.Contract.Terms.Deadline) {
		return contract.ReasonDeadline
	}
	return contract.ReasonCallerCanceled
}
