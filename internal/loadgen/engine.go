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
	// lateAfter is how long after its due time a request still counts as on
	// time; timers of a busy machine are off by a millisecond or two.
	lateAfter = 5 * time.Millisecond
	// progressEvery is the time between two calls of Settings.Progress.
	progressEvery = time.Second
)

// Sender sends one request and returns when it has ended. It must bound its own
// time and is called from many goroutines.
type Sender interface {
	Send(ctx context.Context, shot Shot) Answer
}

// SenderFunc is a function that is a Sender.
type SenderFunc func(ctx context.Context, shot Shot) Answer

// Send calls the function.
func (f SenderFunc) Send(ctx context.Context, shot Shot) Answer { return f(ctx, shot) }

// Waiter blocks for a time without using the processor.
type Waiter interface {
	// Wait returns nil after the time has passed.
	Wait(ctx context.Context, d time.Duration) error
}

// Settings of a run.
type Settings struct {
	Rate     float64 // requests per second
	Duration time.Duration
	Arrival  Arrival
	Seed     uint64
	Classes  []Class
	// MaxOutstanding bounds the requests in flight. While it is reached, due
	// requests wait, and start late.
	MaxOutstanding int
	// GiveUpAfter is how long a due request waits before it counts as not
	// started.
	GiveUpAfter time.Duration
	// Waiter waits for due times. Timers of the runtime are used if it is nil;
	// they are up to a millisecond late.
	Waiter Waiter
	// Progress is called about every second, from one goroutine. It may be nil.
	Progress func(Progress)
}

// Progress is the state of a run.
type Progress struct {
	Elapsed time.Duration
	// Ended counts requests that have ended or were not started.
	Ended Counts
	P99US int64
}

// SettingError reports a setting that cannot be used.
type SettingError struct {
	Field   string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Problem) }

// Validate reports all settings that cannot be used.
func (s *Settings) Validate() error {
	var failures []error
	check := func(good bool, field, problem string) {
		if !good {
			failures = append(failures, &SettingError{field, problem})
		}
	}
	check(s.Rate > 0 && s.Rate <= 1e7, "rate", "is not above 0 and at most 10000000")
	check(s.Duration > 0, "duration", "is not above 0")
	check(s.Arrival == Poisson || s.Arrival == Even, "arrival", "is neither poisson nor even")
	check(s.MaxOutstanding > 0, "max outstanding", "is not above 0")
	check(s.GiveUpAfter >= 0, "give up after", "is negative")
	check(len(s.Classes) > 0, "classes", "is empty")
	for n, class := range s.Classes {
		check(class.Weight > 0 && !math.IsInf(class.Weight, 0), fmt.Sprintf("classes[%d].weight", n), "is not above 0")
	}
	return errors.Join(failures...)
}

// engine is one run.
type engine struct {
	settings Settings
	sender   Sender
	start    time.Time
	timer    *time.Timer
	slots    chan struct{} // one token per outstanding request
	samples  chan Sample
	sending  sync.WaitGroup
}

// Run sends the load and returns when the last request has ended. If ctx ends
// first, no further request starts, those in flight end by themselves, and the
// report says that the run was interrupted.
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
		e.sending.Wait()
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
	for shot := schedule.Next(); shot.Due < e.settings.Duration; shot = schedule.Next() {
		if !e.waitUntil(ctx, shot.Due) {
			return
		}
		if !e.takeSlot(ctx, shot.Due+e.settings.GiveUpAfter) {
			if ctx.Err() != nil {
				return
			}
			e.samples <- Sample{Shot: shot, Timeliness: NotStarted}
			continue
		}
		// The request outlives an interrupt, so that its outcome is known.
		e.sending.Go(func() { e.send(context.WithoutCancel(ctx), shot) })
	}
}

// waitUntil returns false if ctx ends first.
func (e *engine) waitUntil(ctx context.Context, due time.Duration) bool {
	wait := due - time.Since(e.start)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	if e.settings.Waiter != nil {
		if err := e.settings.Waiter.Wait(ctx, wait); err == nil || ctx.Err() != nil {
			return err == nil
		}
		wait = due - time.Since(e.start) // the waiter failed; the run goes on
	}
	e.timer.Reset(wait)
	select {
	case <-e.timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeSlot returns false if there was none until the given time.
func (e *engine) takeSlot(ctx context.Context, until time.Duration) bool {
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

func (e *engine) send(ctx context.Context, shot Shot) {
	sample := Sample{Shot: shot, Delay: time.Since(e.start) - shot.Due}
	if sample.Delay > lateAfter {
		sample.Timeliness = Late
	}
	sample.Answer = e.sender.Send(ctx, shot)
	sample.Latency = time.Since(e.start) - shot.Due
	<-e.slots
	e.samples <- sample
}

// collect is the only user of the recorder.
func (e *engine) collect() *Recorder {
	recorder := NewRecorder(len(e.settings.Classes))
	ticker := time.NewTicker(progressEvery)
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

func (r *Recorder) progress(elapsed time.Duration) Progress {
	return Progress{Elapsed: elapsed, Ended: r.total.counts, P99US: r.total.answered.ValueAtQuantile(99)}
}
