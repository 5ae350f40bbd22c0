package target

import (
	"math"
	"time"

	"fulmarhoist.example/monotime"
)

// Report is what a server says of its own load.
type Report struct {
	// Running and Waiting are the requests inside the server.
	Running, Waiting int
	// Slots is how many requests it runs at the same time.
	Slots int
	// Slowdown is how long work takes on its machine now; 1 means as usual.
	Slowdown float64
}

// observed is a report with the time and the requests of this instance that it
// already counts. It is immutable.
type observed struct {
	Report
	at  int64 // monotime nanoseconds
	own int   // requests of this instance in flight when it was made
}

const (
	// reportHalfLife discounts a report towards the average of earlier ones: the
	// load of a shared machine changes several times a second.
	reportHalfLife = 100 * time.Millisecond
	// averageHalfLife is the same for the average of the reports.
	averageHalfLife = 2 * time.Second
	// crowding is how much longer a request takes on a server whose slots are
	// all but full, relative to an idle one.
	crowding = 0.6
	// maxSlowdown bounds a reported slowdown, which one wrong report could
	// otherwise set to any value.
	maxSlowdown = 20
	// failureWeight is the weight of one answer in the share of failures.
	failureWeight = 0.15
	// failureCost is the relative delay that a server costs which fails every
	// request: a request that fails there starts again elsewhere.
	failureCost = 8
	// promptAnswer is the time in which a server answers a question for its load,
	// and silenceCost the relative delay of one that does not: its process hangs
	// or its machine cannot be reached.
	promptAnswer = 2 * time.Millisecond
	silenceCost  = 3
)

// Observe records a report of the server.
func (t *Target) Observe(now time.Time, report Report) {
	if math.IsNaN(report.Slowdown) || report.Slowdown <= 0 {
		report.Slowdown = 1
	}
	report.Slowdown = min(report.Slowdown, maxSlowdown)
	inside := min(report.Running+report.Waiting, maxReported*max(1, t.Spec.Slots))
	own := t.InFlight()
	if last := t.report.Load(); last != nil {
		passed := max(0, time.Duration(monotime.Nanos(now)-last.at))
		weight := 1 - halved(passed, averageHalfLife)
		average(&t.usualSlowdown, report.Slowdown, weight)
		average(&t.usualOthers, float64(max(0, inside-own)), weight)
	} else {
		average(&t.usualSlowdown, report.Slowdown, 1)
		average(&t.usualOthers, float64(max(0, inside-own)), 1)
	}
	t.report.Store(&observed{Report: report, at: monotime.Nanos(now), own: own})
}

// ReportAge returns the age of the newest report, and false if there is none.
func (t *Target) ReportAge(now time.Time) (time.Duration, bool) {
	last := t.report.Load()
	if last == nil {
		return 0, false
	}
	return time.Duration(monotime.Nanos(now) - last.at), true
}

// Judge records whether a request that the server answered, or lost, failed.
func (t *Target) Judge(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	average(&t.failing, value, failureWeight)
}

// RelativeDelay estimates how long one more request would take, relative to an
// idle server on an undisturbed machine. A report counts fully when it is new;
// with age it gives way to the average of the reports before it.
func (t *Target) RelativeDelay(now time.Time) float64 {
	load, slowdown := t.estimate(now)
	slots := float64(max(1, t.Spec.Slots))
	crowd := 1 + crowding*min(1, load/slots)
	if load+1 > slots {
		crowd += (load + 1 - slots) / slots
	}
	delay := slowdown * crowd * (1 + failureCost*math.Float64frombits(t.failing.Load()))
	if since := t.askedAt.Load(); since != 0 && monotime.Nanos(now)-since > int64(promptAnswer) {
		delay *= silenceCost
	}
	return delay
}

// Crowded tells whether the slots of the server are taken and the given number of
// requests wait there, so that one more is better kept here, where it can be
// ordered by urgency.
func (t *Target) Crowded(now time.Time, waiting int) bool {
	load, _ := t.estimate(now)
	return load >= float64(t.Spec.Slots+waiting)
}

// estimate returns the requests inside the server and the slowdown of its machine.
func (t *Target) estimate(now time.Time) (load, slowdown float64) {
	load, slowdown = float64(t.InFlight()), 1
	last := t.report.Load()
	if last == nil {
		return load, slowdown
	}
	fresh := halved(max(0, time.Duration(monotime.Nanos(now)-last.at)), reportHalfLife)
	reported := float64(max(0, last.Running+last.Waiting-last.own))
	load += fresh*reported + (1-fresh)*math.Float64frombits(t.usualOthers.Load())
	slowdown = fresh*last.Slowdown + (1-fresh)*math.Float64frombits(t.usualSlowdown.Load())
	return load, slowdown
}

// Asked records that the server was asked for a report, and Replied that it
// answered or the question ended.
func (t *Target) Asked(now time.Time) { t.askedAt.CompareAndSwap(0, monotime.Nanos(now)) }

// Replied ends the question that Asked began.
func (t *Target) Replied() { t.askedAt.Store(0) }

// halved returns the weight that is left after the given time.
func halved(passed, halfLife time.Duration) float64 {
	return math.Exp2(-passed.Seconds() / halfLife.Seconds())
}
