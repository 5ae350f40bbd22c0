package traffic

import (
	"context"
	"fmt"
	"time"

	"fulmarhoist.example/internal/loadgen"
)

const (
	// maxOutstanding bounds the requests in flight.
	maxOutstanding = 4000
	// startTimeout is how long a due request may wait to be started before it is
	// given up.
	startTimeout = time.Second
)

// Load describes the load of one phase.
type Load struct {
	Rate     float64       // requests per second
	Duration time.Duration // duration of the phase
	Seed     uint64        // seed of the schedule of requests
}

// InterruptedError reports a load whose context ended before the load and its
// operator were done.
type InterruptedError struct{ Cause error }

func (e *InterruptedError) Error() string { return fmt.Sprintf("interrupted: %v", e.Cause) }

func (e *InterruptedError) Unwrap() error { return e.Cause }

// SendLoad sends the load with exponentially distributed times between
// requests, and returns when the last request has ended.
func (s *Sender) SendLoad(ctx context.Context, load Load) (*loadgen.Report, error) {
	waiter, err := loadgen.NewKernelWaiter()
	if err != nil {
		return nil, fmt.Errorf("open a timer for the load: %w", err)
	}
	defer waiter.Close()
	report, err := loadgen.Run(ctx, loadgen.Settings{
		Rate: load.Rate, Duration: load.Duration, Arrival: loadgen.Poisson, Seed: load.Seed, Classes: loadClasses(s.Kinds),
		MaxOutstanding: maxOutstanding, StartTimeout: startTimeout, Waiter: waiter,
	}, s)
	if err != nil {
		return nil, fmt.Errorf("send the load: %w", err)
	}
	if report.Interrupted {
		return nil, &InterruptedError{context.Cause(ctx)}
	}
	return report, nil
}

// SendLoadWhile sends the load while another goroutine runs operate, which acts
// as the operator, and returns when both are done. If operate fails, the load
// is stopped.
func (s *Sender) SendLoadWhile(ctx context.Context, load Load, operate func(context.Context) error) (*loadgen.Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	operatorDone := make(chan struct{})
	go func() {
		defer close(operatorDone)
		if err := operate(ctx); err != nil {
			cancel(err)
		}
	}()
	report, err := s.SendLoad(ctx, load)
	<-operatorDone
	if err == nil && ctx.Err() != nil {
		err = &InterruptedError{context.Cause(ctx)}
	}
	return report, err
}

// WaitUntil waits until the time at which the operator gives the next command,
// or until ctx ends.
func WaitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the operator's next command: %w", context.Cause(ctx))
	}
}
