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

// zoneDrainLimit is how long after it was taken out of service a zone may get
// new requests (promise P3 of docs/design.md, section 1.2).
const zoneDrainLimit = 3 * time.Second

// maxExamples is the largest number of errors that the report shows.
const maxExamples = 5

// ProbeUsage holds what is needed to compare the load probes with their budget.
type ProbeUsage struct {
	Before          traffic.Records // journals at the start of the window
	Window          time.Duration
	Instances       int
	BudgetPerSecond float64 // per target, over all instances
}

// Evidence holds what callers and targets recorded.
type Evidence struct {
	Kinds    []traffic.RequestKind
	Requests []traffic.RequestRecord // includes those of the warm-up
	Load     *loadgen.Report
	Targets  traffic.Records
	Zone     traffic.Outage
	Probes   ProbeUsage
}

// Row holds the results of one kind of request.
type Row struct {
	Kind                              string
	Idempotent                        bool
	Answered, NotRun, Unknown, Failed int
	// RanAgain counts the requests that ran more than once, including those of
	// the warm-up.
	RanAgain   int
	P50, P99   time.Duration
	NotStarted int // due, but never sent
}

// Promise is a guarantee to users, checked as a count that must not exceed a
// limit.
type Promise struct {
	Text  string
	Count float64
	Limit float64
	// Decimals is the number of decimal places of the printed count and limit.
	Decimals int
}

// Kept reports whether the count is within the limit.
func (p Promise) Kept() bool { return p.Count <= p.Limit }

// Result is the outcome of a demo.
type Result struct {
	Rows     []Row
	Promises []Promise
	Notes    []string
	// MissingSteps lists the parts of the scenario that did not happen. If there
	// are any, the counts are inconclusive.
	MissingSteps []string
}

// InconclusiveError reports a run in which parts of the scenario did not happen.
type InconclusiveError struct{ Missing []string }

func (e *InconclusiveError) Error() string {
	return "the run is inconclusive: " + strings.Join(e.Missing, "; ")
}

// BrokenError reports broken promises.
type BrokenError struct{ Promises []Promise }

func (e *BrokenError) Error() string {
	texts := make([]string, 0, len(e.Promises))
	for _, p := range e.Promises {
		texts = append(texts, fmt.Sprintf("%s: %.*f, limit %.*f", p.Text, p.Decimals, p.Count, p.Decimals, p.Limit))
	}
	return "promises broken: " + strings.Join(texts, "; ")
}

// Verdict returns a BrokenError if a promise was broken, or else an
// InconclusiveError if a part of the scenario did not happen.
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
	if len(r.MissingSteps) > 0 {
		return &InconclusiveError{r.MissingSteps}
	}
	return nil
}

// NewResult evaluates the evidence.
func NewResult(e *Evidence) *Result {
	executions := e.executionCounts()
	r := &Result{}
	for i := range e.Kinds {
		r.Rows = append(r.Rows, e.row(i, executions))
	}
	maxProbes := e.maxProbesPerTarget()
	r.Promises = []Promise{
		{Text: "requests that must not be repeated and ran more than once", Count: float64(e.countDuplicates(executions))},
		{Text: "requests refused as not run that ran", Count: float64(e.countRanAfterRefusal(executions))},
		{Text: "answers that belonged to another request", Count: float64(e.countMismatchedAnswers())},
		{Text: fmt.Sprintf("requests that reached %s later than %v after it was taken out", e.Zone.Zone, zoneDrainLimit), Count: float64(e.countLateInZone())},
		{Text: "requests cut at a target", Count: float64(e.Targets.Unanswered())},
		{Text: "requests cut at a caller", Count: float64(e.countCutAtCallers())},
		{Text: "overloads of cold targets", Count: float64(e.Targets.Overloads())},
		{
			Text: "load probes to the most probed target", Count: float64(maxProbes),
			// The token bucket of each instance allows a burst of 1 on top of
			// its share.
			Limit: e.Probes.BudgetPerSecond*e.Probes.Window.Seconds() + float64(e.Probes.Instances),
		},
		{Text: "journal entries that were dropped, so that counts would be too low", Count: float64(e.countDropped())},
	}
	r.Notes = e.notes(maxProbes)
	r.MissingSteps = e.missingSteps(r.Rows)
	return r
}

// missingSteps lists the parts of the scenario that did not happen.
func (e *Evidence) missingSteps(rows []Row) []string {
	var missing []string
	for i := range rows {
		if rows[i].Answered == 0 {
			missing = append(missing, "no request of "+rows[i].Kind+" was answered")
		}
	}
	if e.countBeforeOutage() == 0 {
		missing = append(missing, e.Zone.Zone+" got no request before it was taken out")
	}
	if e.Targets.CountAfterReturn(e.Zone) == 0 {
		missing = append(missing, e.Zone.Zone+" got no request after it was brought back")
	}
	return missing
}

// countBeforeOutage counts the requests that reached the zone before the outage.
func (e *Evidence) countBeforeOutage() int {
	return e.Targets.Count(func(t *traffic.TargetRecord, entry *targetserver.Entry) bool {
		return t.Zone == e.Zone.Zone && entry.Arrived.Before(e.Zone.RemovedAt)
	})
}

// executionCounts returns the number of executions of each request, by its path.
func (e *Evidence) executionCounts() map[string]int {
	executions := make(map[string]int, len(e.Requests))
	for _, t := range e.Targets {
		for i := range t.Journal.Entries {
			if entry := &t.Journal.Entries[i]; entry.Executed() {
				executions[entry.Path]++
			}
		}
	}
	return executions
}

// row returns the results of one kind of request.
func (e *Evidence) row(index int, executions map[string]int) Row {
	group := &e.Load.Classes[index]
	row := Row{
		Kind: group.Name, Idempotent: e.Kinds[index].Idempotent,
		Answered: group.Outcomes[traffic.OutcomeAnswered], NotRun: group.Outcomes[traffic.OutcomeNotRun],
		Unknown: group.Outcomes[traffic.OutcomeUnknown], Failed: group.Outcomes[traffic.OutcomeFailed],
		P50: time.Duration(group.Latency.P50US) * time.Microsecond, P99: time.Duration(group.Latency.P99US) * time.Microsecond,
		NotStarted: group.NotStarted,
	}
	for i := range e.Requests {
		if e.Requests[i].Kind == index && executions[e.Requests[i].Path] > 1 {
			row.RanAgain++
		}
	}
	return row
}

func (e *Evidence) countRequests(matches func(*traffic.RequestRecord) bool) int {
	count := 0
	for i := range e.Requests {
		if matches(&e.Requests[i]) {
			count++
		}
	}
	return count
}

func (e *Evidence) countDuplicates(executions map[string]int) int {
	return e.countRequests(func(r *traffic.RequestRecord) bool { return !e.Kinds[r.Kind].Idempotent && executions[r.Path] > 1 })
}

func (e *Evidence) countRanAfterRefusal(executions map[string]int) int {
	return e.countRequests(func(r *traffic.RequestRecord) bool {
		return r.Outcome == traffic.OutcomeNotRun && executions[r.Path] > 0
	})
}

func (e *Evidence) countMismatchedAnswers() int {
	return e.countRequests(func(r *traffic.RequestRecord) bool { return r.AnswerMismatch })
}

func (e *Evidence) countCutAtCallers() int {
	return e.countRequests(func(r *traffic.RequestRecord) bool { return r.BrokenAnswer })
}

// countLateInZone counts the requests that reached the zone during the outage,
// but after zoneDrainLimit.
func (e *Evidence) countLateInZone() int {
	limit := e.Zone.RemovedAt.Add(zoneDrainLimit)
	return e.Targets.Count(func(t *traffic.TargetRecord, entry *targetserver.Entry) bool {
		return t.Zone == e.Zone.Zone && entry.Arrived.After(limit) && entry.Arrived.Before(e.Zone.ReturnedAt)
	})
}

// countDropped counts the entries for which the journals had no room.
func (e *Evidence) countDropped() int64 {
	var sum int64
	for i := range e.Targets {
		sum += e.Targets[i].Journal.Dropped
	}
	return sum
}

// maxProbesPerTarget returns the number of load probes in the window to the
// target that got the most.
func (e *Evidence) maxProbesPerTarget() int64 {
	var most int64
	for i := range e.Targets {
		most = max(most, e.Targets[i].Journal.Counters.LoadProbes-e.Probes.Before[i].Journal.Counters.LoadProbes)
	}
	return most
}

func (e *Evidence) notes(maxProbes int64) []string {
	notes := []string{
		fmt.Sprintf("Load probes: %.2f/s to the most probed target; the budget is %.2f/s per target.",
			float64(maxProbes)/e.Probes.Window.Seconds(), e.Probes.BudgetPerSecond),
		fmt.Sprintf("%s got its last request %v after the publication was accepted, and %d requests after it was brought back.",
			e.Zone.Zone, e.Targets.LastArrivalAfter(e.Zone).Round(time.Millisecond), e.Targets.CountAfterReturn(e.Zone)),
	}
	notes = append(notes, e.overloadNotes()...)
	return append(notes, e.failureNotes()...)
}

// failureNotes returns up to maxExamples distinct errors as examples, and the
// number of errors during the warm-up, which the table leaves out.
func (e *Evidence) failureNotes() []string {
	var notes []string
	warmUpFailures := 0
	for i := range e.Requests {
		r := &e.Requests[i]
		if r.Failure == "" {
			continue
		}
		if r.Phase == phaseWarmUp {
			warmUpFailures++
			continue
		}
		if len(notes) == maxExamples {
			continue
		}
		note := fmt.Sprintf("Example of a request without an answer: %s, %s: %s", e.Kinds[r.Kind].Name(), r.Outcome, r.Failure)
		if !slices.Contains(notes, note) {
			notes = append(notes, note)
		}
	}
	if warmUpFailures > 0 {
		notes = append(notes, fmt.Sprintf("%d requests of the warm-up got no answer; the table leaves the warm-up out.", warmUpFailures))
	}
	return notes
}

// overloadNotes returns a note for each overload of a cold target: when it
// happened, and which instances had sent requests to the target.
func (e *Evidence) overloadNotes() []string {
	var notes []string
	for i := range e.Targets {
		t := &e.Targets[i]
		for _, overload := range t.Journal.Overloads {
			notes = append(notes, fmt.Sprintf("Cold target %s had %d requests inside %.3f s after %s was brought back; requests to this process came from %s.",
				t.Name, overload.InFlight, overload.At.Sub(e.Zone.ReturnedAt).Seconds(), e.Zone.Zone, strings.Join(sendersTo(t, overload), ", ")))
		}
	}
	return notes
}

// sendersTo lists the instances that sent requests to the overloaded process,
// with the number of requests.
func sendersTo(t *traffic.TargetRecord, overload targetserver.Overload) []string {
	requests := map[string]int{}
	for i := range t.Journal.Entries {
		if entry := &t.Journal.Entries[i]; entry.BootID == overload.BootID {
			requests[entry.Instance]++
		}
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		names = append(names, fmt.Sprintf("%s (%d)", name, requests[name]))
	}
	return names
}
