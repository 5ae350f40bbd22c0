package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// lateThreshold is the maximum delay between the due time and the start of a
	// request that counts as on time. Timers of a busy machine are off by one or
	// two milliseconds.
	lateThreshold = 5 * time.Millisecond
	// progressInterval is the time between calls of Settings.Progress.
	progressInterval = time.Second
)

// Sender sends requests. Send returns when the request has ended. It must have a
// timeout of its own and be safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, request ScheduledRequest) Answer
}

// SenderFunc is an adapter that lets a function be used as a Sender.
type SenderFunc func(ctx context.Context, request ScheduledRequest) Answer

// Send calls f.
func (f SenderFunc) Send(ctx context.Context, request ScheduledRequest) Answer {
	return f(ctx, request)
}

// Waiter blocks for a given time without using the CPU.
type Waiter interface {
	// Wait returns nil after the time d has passed. It returns an error if ctx
	// ends first or it cannot wait.
	Wait(ctx context.Context, d time.Duration) error
}

// Settings are the settings of a run.
type Settings struct {
	Rate     float64 // requests per second
	Duration time.Duration
	Arrival  Arrival
	Seed     uint64
	Classes  []Class
	// MaxOutstanding is the maximum number of requests in flight. While it is
	// reached, requests that are due wait and start late.
	MaxOutstanding int
	// StartTimeout is how long after its due time a request may wait to start. It
	// then counts as not started.
	StartTimeout time.Duration
	// Waiter waits for due times. If it is nil, timers of the Go runtime are
	// used, which are up to a millisecond late.
	Waiter Waiter
	// Progress, if not nil, is called about once per second, always from the same
	// goroutine.
	Progress func(Progress)
}

// Progress is an intermediate result of a run.
type Progress struct {
	Elapsed time.Duration
	// Ended counts the requests that have ended or were not started.
	Ended Counts
	P99US int64 // latency of answered requests in microseconds
}

// SettingError reports an invalid setting.
type SettingError struct {
	Field   string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Problem) }

// Validate returns a joined error with a *SettingError for each invalid setting.
func (s *Settings) Validate() error {
	var failures []error
	check := func(valid bool, field, problem string) {
		if !valid {
			failures = append(failures, &SettingError{field, problem})
		}
	}
	check(s.Rate > 0 && s.Rate <= 1e7, "rate", fmt.Sprintf("must be above 0 and at most 10000000 requests per second, got %v", s.Rate))
	check(s.Duration > 0, "duration", fmt.Sprintf("must be above 0, got %v", s.Duration))
	check(s.Arrival == Poisson || s.Arrival == Even, "arrival", fmt.Sprintf("must be poisson or even, got %q", s.Arrival))
	check(s.MaxOutstanding > 0, "max outstanding", fmt.Sprintf("must be above 0, got %d", s.MaxOutstanding))
	check(s.StartTimeout >= 0, "give up after", fmt.Sprintf("must not be negative, got %v", s.StartTimeout))
	check(len(s.Classes) > 0, "classes", "must not be empty")
	for n, class := range s.Classes {
		check(class.Weight > 0 && !math.IsInf(class.Weight, 0), fmt.Sprintf("classes[%d].weight", n),
			fmt.Sprintf("must be above 0 and finite, got %v", class.Weight))
	}
	return errors.Join(failures...)
}

// engine holds the state of one run.
type engine struct {
	settings Settings
	sender   Sender
	start    time.Time
	timer    *time.Timer
	slots    chan struct{} // semaphore with one token per request in flight
	samples  chan Sample
	inFlight sync.WaitGroup
}

// Run sends the scheduled requests and returns when the last one has ended. If
// ctx ends first, no further request starts, those in flight run to their end,
// and the report says that the run was interrupted.
func Run(ctx context.Context, settings Settings, sender Sender) (*Report, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	e := &engine{
		settings: settings, sender: sender, start: time.Now(), timer: time.NewTimer(0),
		slots: make(chan struct{}, settings.MaxOutstanding), samples: make(chan Sample, 1024),
	}
	defer e.timer.Stop()
	go func() {
		e.dispatch(ctx)
		e.inFlight.Wait()
		close(e.samples)
	}()
	recorder := e.collect()
	report := recorder.Report(settings.Classes)
	report.Seed, report.Rate, report.Arrival = settings.Seed, settings.Rate, settings.Arrival
	report.DurationMS, report.MaxOutstanding = settings.Duration.Milliseconds(), settings.MaxOutstanding
	report.Interrupted = ctx.Err() != nil
	return report, nil
}

// dispatch starts each request at its due time.
func (e *engine) dispatch(ctx context.Context) {
	schedule := NewSchedule(e.settings.Rate, e.settings.Arrival, e.settings.Classes, e.settings.Seed)
	for request := schedule.Next(); request.Due < e.settings.Duration; request = schedule.Next() {
		if !e.waitUntil(ctx, request.Due) {
			return
		}
		if !e.acquireSlot(ctx, request.Due+e.settings.StartTimeout) {
			if ctx.Err() != nil {
				return
			}
			e.samples <- Sample{Request: request, Timeliness: NotStarted}
			continue
		}
		// The request is not canceled with ctx, so that its outcome is known.
		e.inFlight.Go(func() { e.send(context.WithoutCancel(ctx), request) })
	}
}

// waitUntil waits until the given time since the start of the run. It returns
// false if ctx ends first.
func (e *engine) waitUntil(ctx context.Context, due time.Duration) bool {
	wait := due - time.Since(e.start)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	if e.settings.Waiter != nil {
		if err := e.settings.Waiter.Wait(ctx, wait); err == nil || ctx.Err() != nil {
			return err == nil
		}
		wait = due - time.Since(e.start) // the waiter failed; use a runtime timer instead
	}
	e.timer.Reset(wait)
	select {
	case <-e.timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireSlot waits for a free slot. It returns false if there is none by the
// given time since the start of the run, or if ctx ends first.
func (e *engine) acquireSlot(ctx context.Context, until time.Duration) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.timer.Reset(max(0, until-time.Since(e.start)))
	select {
	case e.slots <- struct{}{}:
		return true
	case <-e.timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// send sends one request, releases its slot and reports the sample.
func (e *engine) send(ctx context.Context, request ScheduledRequest) {
	sample := Sample{Request: request, Delay: time.Since(e.start) - request.Due}
	if sample.Delay > lateThreshold {
		sample.Timeliness = Late
	}
	sample.Answer = e.sender.Send(ctx, request)
	sample.Latency = time.Since(e.start) - request.Due
	<-e.slots
	e.samples <- sample
}

// collect records the samples until the last request has ended. Only this
// goroutine uses the recorder.
func (e *engine) collect() *Recorder {
	recorder := NewRecorder(len(e.settings.Classes))
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case sample, open := <-e.samples:
			if !open {
				return recorder
			}
			recorder.Add(sample)
		case <-ticker.C:
			if e.settings.Progress != nil {
				e.settings.Progress(recorder.progress(time.Since(e.start)))
			}
		}
	}
}

// progress returns the counts so far.
func (r *Recorder) progress(elapsed time.Duration) Progress {
	return Progress{Elapsed: elapsed, Ended: r.total.counts, P99US: r.total.latencies.ValueAtQuantile(99)}
}
