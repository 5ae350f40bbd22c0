package traffic

import (
	"context"
	"fmt"
	"time"

	"fulmarhoist.example/internal/loadgen"
)

const (
	maxOutstanding = 4000
	giveUpAfter    = time.Second
)

// Load is one part of the load.
type Load struct {
	Rate   float64 // requests per second
	Length time.Duration
	Seed   uint64
}

// InterruptedError reports a load that was ended before it was complete.
type InterruptedError struct{ Cause error }

func (e *InterruptedError) Error() string { return fmt.Sprintf("interrupted: %v", e.Cause) }

func (e *InterruptedError) Unwrap() error { return e.Cause }

// SendLoad sends the load and returns when the last request has ended.
func (s *Sender) SendLoad(ctx context.Context, load Load) (*loadgen.Report, error) {
	waiter, err := loadgen.NewKernelWaiter()
	if err != nil {
		return nil, fmt.Errorf("open a timer for the load: %w", err)
	}
	defer waiter.Close()
	report, err := loadgen.Run(ctx, loadgen.Settings{
		Rate: load.Rate, Duration: load.Length, Arrival: loadgen.Poisson, Seed: load.Seed, Classes: loadClasses(s.Kinds),
		MaxOutstanding: maxOutstanding, GiveUpAfter: giveUpAfter, Waiter: waiter,
	}, s)
	if err != nil {
		return nil, fmt.Errorf("send the load: %w", err)
	}
	if report.Interrupted {
		return nil, &InterruptedError{context.Cause(ctx)}
	}
	return report, nil
}

// SendLoadWhile sends the load while another goroutine acts as the operator. An
// operator's command that fails ends the load. The context of the operator ends
// with the load.
func (s *Sender) SendLoadWhile(ctx context.Context, load Load, operate func(context.Context) error) (*loadgen.Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := operate(ctx); err != nil {
			cancel(err)
		}
	}()
	report, err := s.SendLoad(ctx, load)
	<-ended
	if err == nil && ctx.Err() != nil {
		err = &InterruptedError{context.Cause(ctx)}
	}
	return report, err
}

// WaitUntil waits for the time of the operator's next command.
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
