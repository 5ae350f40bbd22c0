package demo

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/targetserver"
	"fulmarhoist.example/internal/standin/traffic"
)

// zoneLimit is the time after which a zone that was taken out gets no new work
// (promise P3 of docs/design.md, section 1.2).
const zoneLimit = 3 * time.Second

// maxExamples bounds the errors that are printed.
const maxExamples = 5

// Probes is what is needed to compare load probes with their budget.
type Probes struct {
	Before    traffic.Records
	Window    time.Duration
	Instances int
	Budget    float64 // probes per second and target, over all instances
}

// Evidence is what callers and targets recorded.
type Evidence struct {
	Kinds   []traffic.Kind
	Works   []traffic.Work // of the warm-up as well
	Load    *loadgen.Report
	Targets traffic.Records
	Zone    traffic.Outage
	Probes  Probes
}

// Row is the result of one kind of request.
type Row struct {
	Kind                              string
	Idempotent                        bool
	Answered, NotRun, Unknown, Failed int
	// RanAgain counts the works that ran more than once, warm-up included.
	RanAgain   int
	P50, P99   time.Duration
	NotStarted int
}

// Promise is one count that has to stay within a limit.
type Promise struct {
	Text  string
	Count float64
	Limit float64
	// Decimals is the number of decimals in which the count is printed.
	Decimals int
}

// Kept tells whether the count is within the limit.
func (p Promise) Kept() bool { return p.Count <= p.Limit }

// Result is the outcome of a demo.
type Result struct {
	Rows     []Row
	Promises []Promise
	Notes    []string
	// Unproved lists parts of the scenario that did not happen, without which
	// the counts prove nothing.
	Unproved []string
}

// UnprovedError reports a run in which the scenario did not take place.
type UnprovedError struct{ Missing []string }

func (e *UnprovedError) Error() string {
	return "the run proves nothing: " + strings.Join(e.Missing, "; ")
}

// BrokenError reports promises that were not kept.
type BrokenError struct{ Promises []Promise }

func (e *BrokenError) Error() string {
	texts := make([]string, 0, len(e.Promises))
	for _, p := range e.Promises {
		texts = append(texts, fmt.Sprintf("%s: %.*f, limit %.*f", p.Text, p.Decimals, p.Count, p.Decimals, p.Limit))
	}
	return "promises broken: " + strings.Join(texts, "; ")
}

// Verdict returns a BrokenError if a promise was not kept, and an UnprovedError
// if the run could not have shown it.
func (r *Result) Verdict() error {
	var broken []Promise
	for _, p := range r.Promises {
		if !p.Kept() {
			broken = append(broken, p)
		}
	}
	if len(broken) > 0 {
		return &BrokenError{broken}
	}
	if len(r.Unproved) > 0 {
		return &UnprovedError{r.Unproved}
	}
	return nil
}

// NewResult counts.
func NewResult(e *Evidence) *Result {
	runs := e.runs()
	r := &Result{}
	for i := range e.Kinds {
		r.Rows = append(r.Rows, e.row(i, runs))
	}
	probed := e.probed()
	r.Promises = []Promise{
		{Text: "works that must not be repeated and ran more than once", Count: float64(e.duplicates(runs))},
		{Text: "works refused as not run that ran", Count: float64(e.ranAlthoughRefused(runs))},
		{Text: "answers that belonged to another request", Count: float64(e.foreign())},
		{Text: fmt.Sprintf("requests that reached %s later than %v after it was taken out", e.Zone.Zone, zoneLimit), Count: float64(e.lateInZone())},
		{Text: "requests cut at a target", Count: float64(e.Targets.Cut())},
		{Text: "requests cut at a caller", Count: float64(e.cutAtCallers())},
		{Text: "overloads of cold targets", Count: float64(e.Targets.Overloads())},
		{
			Text: "load probes to the most probed target", Count: float64(probed),
			// Each instance may be ahead of its share by the burst of its token bucket, which is 1.
			Limit: e.Probes.Budget*e.Probes.Window.Seconds() + float64(e.Probes.Instances),
		},
		{Text: "journal entries that were dropped, so that counts would be too low", Count: float64(e.dropped())},
	}
	r.Notes = e.notes(probed)
	r.Unproved = e.missing(r.Rows)
	return r
}

// missing lists the parts of the scenario that did not happen.
func (e *Evidence) missing(rows []Row) []string {
	var missing []string
	for i := range rows {
		if rows[i].Answered == 0 {
			missing = append(missing, "no request of "+rows[i].Kind+" was answered")
		}
	}
	if e.beforeOutage() == 0 {
		missing = append(missing, e.Zone.Zone+" got no request before it was taken out")
	}
	if e.Targets.AfterReturn(e.Zone) == 0 {
		missing = append(missing, e.Zone.Zone+" got no request after it was brought back")
	}
	return missing
}

func (e *Evidence) beforeOutage() int {
	return e.Targets.Count(func(t *traffic.TargetRecord, entry *targetserver.Entry) bool {
		return t.Zone == e.Zone.Zone && entry.Arrived.Before(e.Zone.Accepted)
	})
}

// runs counts the executions of each work.
func (e *Evidence) runs() map[string]int {
	runs := make(map[string]int, len(e.Works))
	for _, t := range e.Targets {
		for i := range t.Journal.Entries {
			if entry := &t.Journal.Entries[i]; entry.Ran() {
				runs[entry.Path]++
			}
		}
	}
	return runs
}

func (e *Evidence) row(index int, runs map[string]int) Row {
	group := &e.Load.Classes[index]
	row := Row{
		Kind: group.Name, Idempotent: e.Kinds[index].Idempotent,
		Answered: group.Outcomes[traffic.OutcomeAnswered], NotRun: group.Outcomes[traffic.OutcomeNotRun],
		Unknown: group.Outcomes[traffic.OutcomeUnknown], Failed: group.Outcomes[traffic.OutcomeFailed],
		P50: time.Duration(group.Latency.P50US) * time.Microsecond, P99: time.Duration(group.Latency.P99US) * time.Microsecond,
		NotStarted: group.NotStarted,
	}
	for i := range e.Works {
		if e.Works[i].Kind == index && runs[e.Works[i].Path] > 1 {
			row.RanAgain++
		}
	}
	return row
}

func (e *Evidence) countWorks(counts func(*traffic.Work) bool) int {
	count := 0
	for i := range e.Works {
		if counts(&e.Works[i]) {
			count++
		}
	}
	return count
}

func (e *Evidence) duplicates(runs map[string]int) int {
	return e.countWorks(func(w *traffic.Work) bool { return !e.Kinds[w.Kind].Idempotent && runs[w.Path] > 1 })
}

func (e *Evidence) ranAlthoughRefused(runs map[string]int) int {
	return e.countWorks(func(w *traffic.Work) bool { return w.Outcome == traffic.OutcomeNotRun && runs[w.Path] > 0 })
}

func (e *Evidence) foreign() int {
	return e.countWorks(func(w *traffic.Work) bool { return w.Foreign })
}

func (e *Evidence) cutAtCallers() int {
	return e.countWorks(func(w *traffic.Work) bool { return w.Cut })
}

func (e *Evidence) lateInZone() int {
	limit := e.Zone.Accepted.Add(zoneLimit)
	return e.Targets.Count(func(t *traffic.TargetRecord, entry *targetserver.Entry) bool {
		return t.Zone == e.Zone.Zone && entry.Arrived.After(limit) && entry.Arrived.Before(e.Zone.Back)
	})
}

func (e *Evidence) dropped() int64 {
	var sum int64
	for i := range e.Targets {
		sum += e.Targets[i].Journal.Dropped
	}
	return sum
}

// probed is the number of probes in the window to the target that got the most.
func (e *Evidence) probed() int64 {
	var most int64
	for i := range e.Targets {
		most = max(most, e.Targets[i].Journal.Counters.LoadProbes-e.Probes.Before[i].Journal.Counters.LoadProbes)
	}
	return most
}

func (e *Evidence) notes(probed int64) []string {
	notes := []string{
		fmt.Sprintf("Load probes: %.2f/s to the most probed target; the budget is %.2f/s per target.",
			float64(probed)/e.Probes.Window.Seconds(), e.Probes.Budget),
		fmt.Sprintf("%s got its last request %v after the publication was accepted, and %d requests after it was brought back.",
			e.Zone.Zone, e.Targets.LastIn(e.Zone).Round(time.Millisecond), e.Targets.AfterReturn(e.Zone)),
	}
	notes = append(notes, e.overloadNotes()...)
	return append(notes, e.failureNotes()...)
}

// failureNotes gives a few different errors as examples, and the number of
// errors of the warm-up, which the table leaves out.
func (e *Evidence) failureNotes() []string {
	var notes []string
	warmUp := 0
	for i := range e.Works {
		w := &e.Works[i]
		if w.Failure == "" {
			continue
		}
		if w.Phase == phaseWarmUp {
			warmUp++
			continue
		}
		if len(notes) == maxExamples {
			continue
		}
		note := fmt.Sprintf("Example of a request without an answer: %s, %s: %s", e.Kinds[w.Kind].Name(), w.Outcome, w.Failure)
		if !slices.Contains(notes, note) {
			notes = append(notes, note)
		}
	}
	if warmUp > 0 {
		notes = append(notes, fmt.Sprintf("%d requests of the warm-up got no answer; the table leaves the warm-up out.", warmUp))
	}
	return notes
}

// overloadNotes tells when each cold target was overloaded, and by whom.
func (e *Evidence) overloadNotes() []string {
	var notes []string
	for i := range e.Targets {
		t := &e.Targets[i]
		for _, overload := range t.Journal.Overloads {
			notes = append(notes, fmt.Sprintf("Cold target %s had %d requests inside %.3f s after %s was brought back; requests to this process came from %s.",
				t.Name, overload.Inside, overload.At.Sub(e.Zone.Back).Seconds(), e.Zone.Zone, strings.Join(senders(t, overload), ", ")))
		}
	}
	return notes
}

// senders lists the instances that sent to the overloaded process.
func senders(t *traffic.TargetRecord, overload targetserver.Overload) []string {
	count := map[string]int{}
	for i := range t.Journal.Entries {
		if entry := &t.Journal.Entries[i]; entry.BootID == overload.BootID {
			count[entry.Instance]++
		}
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(count)) {
		names = append(names, fmt.Sprintf("%s (%d)", name, count[name]))
	}
	return names
}
