package measure

import (
	"fmt"
	"strings"
	"time"

	"fulmarhoist.example/internal/loadgen"
	"fulmarhoist.example/internal/standin/traffic"
)

// Row is the result of one class in one part of a measurement. Latencies are
// those of answered requests, in milliseconds from the time at which the
// requests were due.
type Row struct {
	Policy   string  `json:"policy"`
	Part     string  `json:"part"`
	Class    string  `json:"class"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	Failed   int     `json:"failed"`
	NotSent  int     `json:"not_sent"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p99_9_ms"`
}

// newRow returns the row of one class, or of all classes together.
func newRow(d *deployment, part string, group *loadgen.Group) Row {
	return Row{
		Policy: string(d.policy), Part: part, Class: group.Name,
		Answered: group.Outcomes[traffic.OutcomeAnswered], NotRun: group.Outcomes[traffic.OutcomeNotRun],
		Unknown: group.Outcomes[traffic.OutcomeUnknown], Failed: group.Outcomes[traffic.OutcomeFailed],
		NotSent: group.NotStarted,
		P50:     microsToMillis(group.Latency.P50US), P99: microsToMillis(group.Latency.P99US), P999: microsToMillis(group.Latency.P999US),
	}
}

// newRows returns a row per class and one over all classes.
func newRows(d *deployment, part string, report *loadgen.Report) []Row {
	rows := make([]Row, 0, len(report.Classes)+1)
	for i := range report.Classes {
		rows = append(rows, newRow(d, part, &report.Classes[i]))
	}
	return append(rows, newRow(d, part, &report.Total))
}

// p99PerSecond lists the p99 of each second in milliseconds, which tells a
// stall of the test machine from a slow scenario.
func p99PerSecond(report *loadgen.Report) string {
	var text strings.Builder
	for _, second := range report.Seconds {
		_, _ = fmt.Fprintf(&text, " %.0f", microsToMillis(second.P99US))
	}
	return text.String()
}

func microsToMillis(us int64) float64 { return float64(us) / 1000 }

func toMillis(d time.Duration) float64 { return microsToMillis(d.Microseconds()) }

// rowHeader holds the headings of the columns that Row.String prints.
const rowHeader = "PART\tCLASS\tPOLICY\tANSWERED\tNOT RUN\tUNKNOWN\tFAILED\tNOT SENT\tP50 MS\tP99 MS\tP99.9 MS\t"

// String returns the row as tab-separated columns.
func (r *Row) String() string {
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t", r.Part, r.Class, r.Policy,
		r.Answered, r.NotRun, r.Unknown, r.Failed, r.NotSent, r.P50, r.P99, r.P999)
}
