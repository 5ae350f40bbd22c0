package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/internal/loadgen"
)

const loadHelp = `Send requests at a fixed rate, regardless of whether earlier ones have been
answered (open loop).

--seed, --rate and --arrival determine when requests are due. Latency is measured
from the time at which a request was due, and is shown for answered requests. At
most --outstanding requests are in flight. Due requests above this limit wait and
count as late; after --give-up-after they are dropped and count as not started.

The mix of requests comes from a file, from flags, or from both:

  {"classes":[{"service":"orders","class":"status","idempotent":true,
               "path":"/status","weight":8,"deadline_ms":500}]}

  --request service=orders,class=reorder,method=POST,path=/reorder,weight=2

Fields: name, service, class, weight, idempotent, method, path, body, body_bytes,
deadline_ms (deadline=500ms in --request), headers (in a file only).

An interrupt ends the run early, after the requests in flight have ended. The exit
code is 1 if the share of requests that were not started, were not answered, or
were answered with a status of 500 or above exceeds --max-bad, and 3 if no
instance was reachable.`

// load holds the flags of the command load.
type load struct {
	app        *app
	connection connectionFlags
	settings   loadgen.Settings
	arrival    string
	mixPath    string
	requests   []string
	maxBad     float64
}

func (a *app) loadCommand() *cobra.Command {
	l := &load{app: a}
	command := &cobra.Command{
		Use:   "load --instance HOST:PORT --rate N --duration TIME {--mix FILE | --request FIELDS}",
		Short: "Send requests at a fixed rate and report outcomes and latency",
		Long:  loadHelp,
		Args:  cobra.NoArgs,
		RunE:  a.runE(l.run),
	}
	flags := command.Flags()
	l.connection.register(flags)
	flags.Float64Var(&l.settings.Rate, "rate", 10, "requests per second")
	flags.DurationVar(&l.settings.Duration, "duration", 10*time.Second, "duration of the run")
	flags.StringVar(&l.arrival, "arrival", string(loadgen.Poisson), "distribution of the times between requests: poisson or even")
	flags.Uint64Var(&l.settings.Seed, "seed", 1, "seed for request times and classes")
	flags.IntVar(&l.settings.MaxOutstanding, "outstanding", 1000, "maximum number of requests in flight")
	flags.DurationVar(&l.settings.StartTimeout, "give-up-after", time.Second, "maximum time that a due request waits to start")
	flags.StringVar(&l.mixPath, "mix", "", "JSON file with the classes of requests")
	flags.StringArrayVar(&l.requests, "request", nil, "request class as field=value,...; may be repeated")
	flags.Float64Var(&l.maxBad, "max-bad", 0, "maximum share of bad requests, from 0 to 1, for exit code 0")
	_ = command.RegisterFlagCompletionFunc("arrival", cobra.FixedCompletions(
		[]string{string(loadgen.Poisson), string(loadgen.Even)}, cobra.ShellCompDirectiveNoFileComp))
	return command
}

func (l *load) run(ctx context.Context) error {
	mix, err := loadMix(l.mixPath, l.requests)
	if err != nil {
		return err
	}
	if l.maxBad < 0 || l.maxBad > 1 {
		return &FlagError{"--max-bad", fmt.Sprintf("is %g, not between 0 and 1", l.maxBad)}
	}
	l.settings.Arrival = loadgen.Arrival(l.arrival)
	l.settings.Classes = scheduleClasses(mix)
	l.settings.Progress = l.progress
	if err := l.settings.Validate(); err != nil {
		return &UsageError{err}
	}
	client, err := l.connection.client(l.settings.MaxOutstanding)
	if err != nil {
		return err
	}
	defer client.Close()
	// Fail early: with a wrong address, the run would take its whole duration.
	if _, err := client.Directory(ctx); err != nil {
		return err
	}
	waiter, err := loadgen.NewKernelWaiter()
	if err != nil {
		return err
	}
	defer waiter.Close()
	l.settings.Waiter = waiter
	report, err := loadgen.Run(ctx, l.settings, newLoadSender(client, mix))
	if err != nil {
		return fmt.Errorf("running the load: %w", err)
	}
	if err := l.print(report); err != nil {
		return err
	}
	return l.exitError(report)
}

// loadSender sends the requests of a mix.
type loadSender struct {
	client   *caller.Client
	requests []caller.Request
}

func newLoadSender(client *caller.Client, mix []mixClass) *loadSender {
	s := &loadSender{client: client}
	for n := range mix {
		s.requests = append(s.requests, mix[n].request())
	}
	return s
}

// Send sends one request and waits until it ends, at the latest at its deadline.
func (s *loadSender) Send(ctx context.Context, request loadgen.ScheduledRequest) loadgen.Answer {
	response, err := s.client.Do(ctx, s.requests[request.Class])
	answer := loadgen.Answer{Outcome: caller.OutcomeOf(err)}
	if err == nil {
		answer.Status = response.Status
	}
	return answer
}

// progress writes a line of progress to standard error.
func (l *load) progress(p loadgen.Progress) {
	_, _ = fmt.Fprintf(l.app.streams.Err, "%4.0f s  ended %d  late %d  not started %d  %s  p99 %s\n",
		p.Elapsed.Seconds(), p.Ended.Scheduled, p.Ended.Late, p.Ended.NotStarted,
		outcomeList(p.Ended.Outcomes), formatMillis(p.P99US))
}

func outcomeList(outcomes map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		parts = append(parts, name+" "+strconv.Itoa(outcomes[name]))
	}
	return strings.Join(parts, "  ")
}

// formatMillis formats microseconds as milliseconds.
func formatMillis(us int64) string { return fmt.Sprintf("%.3f ms", float64(us)/1000) }

func (l *load) print(report *loadgen.Report) error {
	out := l.app.streams.Out
	if l.app.output == outputJSON {
		return printJSON(out, report)
	}
	outcomes := slices.Sorted(maps.Keys(report.Total.Outcomes))
	header := []string{"CLASS", "SCHEDULED"}
	for _, outcome := range outcomes {
		header = append(header, strings.ToUpper(outcome))
	}
	rows := [][]string{append(header, "LATE", "NOT-STARTED", "P50", "P99", "P99.9", "MAX")}
	for _, stats := range append(slices.Clone(report.Classes), report.Total) {
		row := []string{stats.Name, strconv.Itoa(stats.Scheduled)}
		for _, outcome := range outcomes {
			row = append(row, strconv.Itoa(stats.Outcomes[outcome]))
		}
		row = append(row, strconv.Itoa(stats.Late), strconv.Itoa(stats.NotStarted))
		for _, us := range []int64{stats.Latency.P50US, stats.Latency.P99US, stats.Latency.P999US, stats.Latency.MaxUS} {
			row = append(row, formatMillis(us))
		}
		rows = append(rows, row)
	}
	if err := printTable(out, rows); err != nil {
		return err
	}
	delay := report.Total.StartDelay
	_, err := fmt.Fprintf(out, "\nLatency of answered requests, from the time at which they were due. Seed %d.\n"+
		"Requests started %s (p50), %s (p99) after they were due; this is part of the latency.\n",
		report.Seed, formatMillis(delay.P50US), formatMillis(delay.P99US))
	if err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}

// exitError returns the error that determines the exit code, or nil if the share
// of bad requests is within --max-bad.
func (l *load) exitError(report *loadgen.Report) error {
	started := report.Total.Scheduled - report.Total.NotStarted
	if started > 0 && report.Total.Outcomes["unreachable"] == started {
		return &NoInstanceError{"no request reached an instance"}
	}
	if bad := report.FailureRatio(); bad > l.maxBad {
		return &ResultError{fmt.Sprintf("%.3f%% of the requests were bad", 100*bad)}
	}
	return nil
}
