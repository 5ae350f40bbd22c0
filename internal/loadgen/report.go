package loadgen

import "github.com/HdrHistogram/hdrhistogram-go"

// Report is the result of a run. Its JSON format is stable: fields may be
// added, but not changed. Latencies are in microseconds, are measured from the
// time at which a request was due, and cover answered requests only.
type Report struct {
	Seed           uint64   `json:"seed"`
	Rate           float64  `json:"rate"`
	Arrival        Arrival  `json:"arrival"`
	DurationMS     int64    `json:"duration_ms"`
	MaxOutstanding int      `json:"max_outstanding"`
	Interrupted    bool     `json:"interrupted"`
	Total          Group    `json:"total"`
	Classes        []Group  `json:"classes"`
	Seconds        []Second `json:"seconds"`
}

// Counts holds numbers of requests. Outcomes and Statuses cover the requests that
// started.
type Counts struct {
	Scheduled  int            `json:"scheduled"`
	Late       int            `json:"late"`
	NotStarted int            `json:"not_started"`
	Outcomes   map[string]int `json:"outcomes"`
	Statuses   map[int]int    `json:"statuses"`
}

// Group is the result of the whole run or of one class.
type Group struct {
	Name string `json:"name"`
	Counts
	Latency Latency `json:"latency"`
	// StartDelay is the delay from the due time to the start, over all started
	// requests. It is the part of the latency that the load generator adds.
	StartDelay Latency `json:"start_delay"`
}

// Latency is a summary of a latency histogram, in microseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanUS float64 `json:"mean_us"`
	P50US  int64   `json:"p50_us"`
	P99US  int64   `json:"p99_us"`
	P999US int64   `json:"p99_9_us"`
	MaxUS  int64   `json:"max_us"`
}

// Second is the result of the requests that were due in one second of the run.
type Second struct {
	Second int `json:"second"`
	Counts
	P99US int64 `json:"p99_us"`
	MaxUS int64 `json:"max_us"`
}

// Report returns a report of the samples so far. The caller fills in the
// settings of the run.
func (r *Recorder) Report(classes []Class) *Report {
	report := &Report{Total: r.total.group("total"), Classes: []Group{}, Seconds: []Second{}}
	for n, class := range classes {
		report.Classes = append(report.Classes, r.classes[n].group(class.Name))
	}
	for n, t := range r.seconds {
		report.Seconds = append(report.Seconds, Second{
			Second: n, Counts: t.counts, P99US: t.latencies.ValueAtQuantile(99), MaxUS: t.latencies.Max(),
		})
	}
	return report
}

func (t *tally) group(name string) Group {
	return Group{Name: name, Counts: t.counts, Latency: summarize(t.latencies), StartDelay: summarize(t.startDelays)}
}

func summarize(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), MeanUS: h.Mean(), P50US: h.ValueAtQuantile(50), P99US: h.ValueAtQuantile(99),
		P999US: h.ValueAtQuantile(99.9), MaxUS: h.Max(),
	}
}

// FailureRatio returns the fraction, from 0 to 1, of scheduled requests that
// did not start or did not end with a response of a status below 500.
func (r *Report) FailureRatio() float64 {
	if r.Total.Scheduled == 0 {
		return 0
	}
	good := r.Total.Outcomes[OutcomeAnswered]
	for status, count := range r.Total.Statuses {
		if status >= 500 {
			good -= count
		}
	}
	return 1 - float64(good)/float64(r.Total.Scheduled)
}
