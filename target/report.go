package target

import (
	"math"
	"time"

	"fulmarhoist.example/monotime"
)

// Report is the load of a server as reported by the server itself.
type Report struct {
	// Running and Waiting are the numbers of requests that the server is
	// executing and has queued.
	Running, Waiting int
	// Slots is the number of requests that the server executes concurrently.
	Slots int
	// Slowdown is the current execution time on the server's machine relative to
	// the usual one; 1 means no slowdown.
	Slowdown float64
}

// receivedReport is a report with the state of this instance on its arrival. It
// is immutable.
type receivedReport struct {
	Report
	at          int64 // time of arrival, monotime nanoseconds
	ownInFlight int   // requests in flight from this instance, which the report includes
}

const (
	// reportHalfLife is the half-life with which the newest report gives way to
	// the average of all reports. It is short, because the load of a shared
	// machine changes several times a second.
	reportHalfLife = 100 * time.Millisecond
	// averageHalfLife is the half-life of a report in the average.
	averageHalfLife = 2 * time.Second
	// fullSlotsPenalty is the relative increase of the execution time on a server
	// that has nearly all slots in use, compared to an idle server.
	fullSlotsPenalty = 0.6
	// maxSlowdown bounds a reported slowdown, so that a single wrong report has a
	// limited effect.
	maxSlowdown = 20
	// failureWeight is the weight of one request in the moving average of the
	// failure rate.
	failureWeight = 0.15
	// failurePenalty is the relative increase of the delay of a server that fails
	// all requests: a request that fails there has to be retried elsewhere.
	failurePenalty = 8
	// unresponsiveAfter is the age of an unanswered load probe above which the
	// server counts as unresponsive. A healthy server answers sooner.
	unresponsiveAfter = 2 * time.Millisecond
	// unresponsivePenalty multiplies the delay of an unresponsive server: its
	// process hangs or its machine is unreachable.
	unresponsivePenalty = 3
)

// Observe records a load report from the server.
func (t *Target) Observe(now time.Time, report Report) {
	if math.IsNaN(report.Slowdown) || report.Slowdown <= 0 {
		report.Slowdown = 1
	}
	report.Slowdown = min(report.Slowdown, maxSlowdown)
	report.Running = min(report.Running, maxReportedLoad*max(1, t.Spec.Slots))
	report.Waiting = min(report.Waiting, maxReportedLoad*max(1, t.Spec.Slots)-report.Running)
	reported := report.Running + report.Waiting
	ownInFlight := t.InFlight()
	if last := t.report.Load(); last != nil {
		elapsed := max(0, time.Duration(monotime.Nanos(now)-last.at))
		weight := 1 - decay(elapsed, averageHalfLife)
		updateAverage(&t.avgSlowdown, report.Slowdown, weight)
		updateAverage(&t.avgOtherLoad, float64(max(0, reported-ownInFlight)), weight)
	} else {
		updateAverage(&t.avgSlowdown, report.Slowdown, 1)
		updateAverage(&t.avgOtherLoad, float64(max(0, reported-ownInFlight)), 1)
	}
	t.report.Store(&receivedReport{Report: report, at: monotime.Nanos(now), ownInFlight: ownInFlight})
}

// ReportAge returns the age of the newest report, and false if there is none.
func (t *Target) ReportAge(now time.Time) (time.Duration, bool) {
	last := t.report.Load()
	if last == nil {
		return 0, false
	}
	return time.Duration(monotime.Nanos(now) - last.at), true
}

// RecordResult records whether a request to the server failed.
func (t *Target) RecordResult(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	updateAverage(&t.failureRate, sample, failureWeight)
}

// RelativeDelay estimates the delay of one more request relative to that on an
// idle server without a slowdown. A new report determines the estimate; as it
// ages, it gives way to the average of all reports.
func (t *Target) RelativeDelay(now time.Time) float64 {
	load, slowdown := t.estimate(now)
	slots := float64(max(1, t.Spec.Slots))
	loadFactor := 1 + fullSlotsPenalty*min(1, load/slots)
	if load+1 > slots {
		loadFactor += (load + 1 - slots) / slots
	}
	delay := slowdown * loadFactor * (1 + failurePenalty*math.Float64frombits(t.failureRate.Load()))
	if since := t.probeSentAt.Load(); since != 0 && monotime.Nanos(now)-since > int64(unresponsiveAfter) {
		delay *= unresponsivePenalty
	}
	return delay
}

// Saturated reports whether all slots of the server are in use and at least the
// given number of requests wait there. Another request should then rather wait
// in the queue of this instance, which orders requests by priority.
func (t *Target) Saturated(now time.Time, waiting int) bool {
	load, _ := t.estimate(now)
	return load >= float64(t.Spec.Slots+waiting)
}

// estimate returns the estimated number of requests at the server and the
// slowdown of its machine.
func (t *Target) estimate(now time.Time) (load, slowdown float64) {
	load, slowdown = float64(t.InFlight()), 1
	last := t.report.Load()
	if last == nil {
		return load, slowdown
	}
	weight := decay(max(0, time.Duration(monotime.Nanos(now)-last.at)), reportHalfLife)
	otherLoad := float64(max(0, last.Running+last.Waiting-last.ownInFlight))
	load += weight*otherLoad + (1-weight)*math.Float64frombits(t.avgOtherLoad.Load())
	slowdown = weight*last.Slowdown + (1-weight)*math.Float64frombits(t.avgSlowdown.Load())
	return load, slowdown
}

// ProbeSent records that a load probe was sent to the server. Until ProbeEnded
// is called, the server counts as unresponsive once the probe is older than
// unresponsiveAfter.
func (t *Target) ProbeSent(now time.Time) { t.probeSentAt.CompareAndSwap(0, monotime.Nanos(now)) }

// ProbeEnded records that the load probe was answered or has failed.
func (t *Target) ProbeEnded() { t.probeSentAt.Store(0) }

// decay returns the weight that remains of 1 after the given time.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}
