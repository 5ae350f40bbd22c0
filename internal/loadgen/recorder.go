package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that a histogram can record; larger ones
	// are recorded as this value.
	maxLatency = time.Hour
	// groupSignificantDigits and secondSignificantDigits are the precision of the
	// histograms in decimal digits. A histogram takes about 184 KiB with 3 digits
	// and 26 KiB with 2, and there is one per second of the run.
	groupSignificantDigits  = 3
	secondSignificantDigits = 2
)

// OutcomeAnswered is the outcome of an answered request. Latencies are reported
// for this outcome only.
const OutcomeAnswered = "answered"

// Answer is the result of a request, as a Sender returns it.
type Answer struct {
	Outcome string
	Status  int // status of the response; 0 if there was none
}

// Timeliness says whether a request started on time.
type Timeliness uint8

const (
	// OnTime marks a request that started when it was due.
	OnTime Timeliness = iota
	// Late marks a request that started late, because the maximum number of
	// requests was in flight or the machine was busy.
	Late
	// NotStarted marks a request that was abandoned before it started.
	NotStarted
)

// Sample is the result of one scheduled request.
type Sample struct {
	Request    ScheduledRequest
	Timeliness Timeliness
	Answer     Answer
	Delay      time.Duration // from the due time to the start
	Latency    time.Duration // from the due time to the end
}

// Recorder aggregates samples. It is not safe for concurrent use.
type Recorder struct {
	total   *tally
	classes []*tally
	seconds []*tally
}

// tally aggregates the samples of the whole run, of one class, or of one second.
type tally struct {
	counts      Counts
	latencies   *hdrhistogram.Histogram // of answered requests
	startDelays *hdrhistogram.Histogram // nil in the tally of a second
}

func newTally(digits int) *tally {
	return &tally{
		counts:    Counts{Outcomes: map[string]int{}, Statuses: map[int]int{}},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), digits),
	}
}

// newGroupTally returns a tally for the whole run or for one class.
func newGroupTally() *tally {
	t := newTally(groupSignificantDigits)
	t.startDelays = hdrhistogram.New(1, maxLatency.Microseconds(), groupSignificantDigits)
	return t
}

func (t *tally) add(s Sample) {
	t.counts.Scheduled++
	switch s.Timeliness {
	case NotStarted:
		t.counts.NotStarted++
		return
	case Late:
		t.counts.Late++
	case OnTime:
	}
	t.counts.Outcomes[s.Answer.Outcome]++
	if s.Answer.Status != 0 {
		t.counts.Statuses[s.Answer.Status]++
	}
	if t.startDelays != nil {
		record(t.startDelays, s.Delay)
	}
	if s.Answer.Outcome == OutcomeAnswered {
		record(t.latencies, s.Latency)
	}
}

// record adds a value to a histogram of microseconds.
func record(h *hdrhistogram.Histogram, value time.Duration) {
	// RecordValue cannot fail, as the value is clamped to the range of the
	// histogram.
	_ = h.RecordValue(min(max(1, value.Microseconds()), maxLatency.Microseconds()))
}

// NewRecorder returns a recorder for the given number of classes.
func NewRecorder(classes int) *Recorder {
	r := &Recorder{total: newGroupTally()}
	for range classes {
		r.classes = append(r.classes, newGroupTally())
	}
	return r
}

// Add adds a sample to the tallies of the run, of its class, and of the second in
// which it was due.
func (r *Recorder) Add(s Sample) {
	r.total.add(s)
	r.classes[s.Request.Class].add(s)
	second := int(s.Request.Due / time.Second)
	for len(r.seconds) <= second {
		r.seconds = append(r.seconds, newTally(secondSignificantDigits))
	}
	r.seconds[second].add(s)
}
