package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes the report: a table of outcomes, a table of promises, and notes.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "\nREQUEST\tANSWERED\tNOT RUN\tUNKNOWN\tFAILED\tNOT SENT\tRAN AGAIN\tP50\tP99\t")
	for i := range r.Rows {
		row := &r.Rows[i]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", row.Kind, row.Answered, row.NotRun, row.Unknown,
			row.Failed, row.NotStarted, row.RanAgain, formatMillis(row.P50), formatMillis(row.P99))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the outcomes: %w", err)
	}
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nPROMISE\tCOUNT\tLIMIT\t")
	for _, p := range r.Promises {
		verdict := "kept"
		if !p.Kept() {
			verdict = "BROKEN"
		}
		_, _ = fmt.Fprintf(w, "%s\t%.*f\t%.*f\t%s\n", p.Text, p.Decimals, p.Count, p.Decimals, p.Limit, verdict)
	}
	_, _ = fmt.Fprintln(w)
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(w, note)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the promises: %w", err)
	}
	return nil
}

// formatMillis formats a duration in milliseconds with one decimal place.
func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
