package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that a histogram can hold; longer ones
	// are recorded as this.
	maxLatency = time.Hour
	// classDigits and secondDigits are the significant digits of a histogram. A
	// histogram takes about 184 KiB with 3 digits and 26 KiB with 2, and there
	// is one per second of the run.
	classDigits  = 3
	secondDigits = 2
)

// OutcomeAnswered is the outcome whose latencies are reported.
const OutcomeAnswered = "answered"

// Answer is how the Sender says that a request ended.
type Answer struct {
	Outcome string
	Status  int // 0 if there was no answer
}

// Timeliness tells whether a request started when it was due.
type Timeliness uint8

const (
	// OnTime is a request that started when it was due.
	OnTime Timeliness = iota
	// Late is a request that started later, because as many requests as allowed
	// were outstanding or the machine was busy.
	Late
	// NotStarted is a request that was given up before it started.
	NotStarted
)

// Sample is the end of one scheduled request.
type Sample struct {
	Shot       Shot
	Timeliness Timeliness
	Answer     Answer
	Delay      time.Duration // from the due time to the start
	Latency    time.Duration // from the due time to the end
}

// Recorder counts samples. It is used by one goroutine at a time.
type Recorder struct {
	total   *tally
	classes []*tally
	seconds []*tally
}

// tally counts the samples of the run, of one class, or of one second.
type tally struct {
	counts   Counts
	answered *hdrhistogram.Histogram
	delays   *hdrhistogram.Histogram // nil in the tally of a second
}

func newTally(digits int) *tally {
	return &tally{
		counts:   Counts{Outcomes: map[string]int{}, Statuses: map[int]int{}},
		answered: hdrhistogram.New(1, maxLatency.Microseconds(), digits),
	}
}

func newGroupTally() *tally {
	t := newTally(classDigits)
	t.delays = hdrhistogram.New(1, maxLatency.Microseconds(), classDigits)
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
	if t.delays != nil {
		record(t.delays, s.Delay)
	}
	if s.Answer.Outcome == OutcomeAnswered {
		record(t.answered, s.Latency)
	}
}

func record(h *hdrhistogram.Histogram, value time.Duration) {
	// The value is within the bounds of the histogram, so there is no error.
	_ = h.RecordValue(min(max(1, value.Microseconds()), maxLatency.Microseconds()))
}

// NewRecorder returns a recorder for a number of classes.
func NewRecorder(classes int) *Recorder {
	r := &Recorder{total: newGroupTally()}
	for range classes {
		r.classes = append(r.classes, newGroupTally())
	}
	return r
}

// Add counts a sample for the run, its class, and the second in which it was due.
func (r *Recorder) Add(s Sample) {
	r.total.add(s)
	r.classes[s.Shot.Class].add(s)
	second := int(s.Shot.Due / time.Second)
	for len(r.seconds) <= second {
		r.seconds = append(r.seconds, newTally(secondDigits))
	}
	r.seconds[second].add(s)
}
