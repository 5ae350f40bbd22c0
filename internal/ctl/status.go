package ctl

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"fulmarhoist.example/caller"
)

const statusHelp = `Ask every instance of the directory for its health.

With --watch, ask again and again until interrupted; the exit code is then that of
the last complete round.

The exit code is 0 if all listed instances are serving, 1 if one is not, and 3 if
no instance answers.`

// healthDetailBytes bounds the part of a health answer that is shown.
const healthDetailBytes = 200

// status holds the flags of the command status.
type status struct {
	app        *app
	connection connection
	timeout    time.Duration
	watch      bool
	interval   time.Duration
}

func (a *app) statusCommand() *cobra.Command {
	s := &status{app: a}
	command := &cobra.Command{
		Use:   "status --instance HOST:PORT",
		Short: "Show the health of all instances",
		Long:  statusHelp,
		Args:  cobra.NoArgs,
		RunE:  a.running(s.run),
	}
	s.register(command.Flags())
	command.Flags().BoolVar(&s.watch, "watch", false, "ask again and again until interrupted")
	command.Flags().DurationVar(&s.interval, "interval", 2*time.Second, "time between two rounds of --watch")
	return command
}

func (s *status) register(flags *pflag.FlagSet) {
	s.connection.register(flags)
	flags.DurationVar(&s.timeout, "timeout", 2*time.Second, "time for each instance to answer")
}

// States of an instance as status shows them.
const (
	stateServing     = "serving"
	stateNotServing  = "not-serving"
	stateUnreachable = "unreachable"
)

// instanceHealth is one row of the result.
type instanceHealth struct {
	ID        string  `json:"id"`
	Zone      string  `json:"zone"`
	Address   string  `json:"address"`
	State     string  `json:"state"`
	Status    int     `json:"status,omitempty"`
	LatencyMS float64 `json:"latency_ms"`
	// ConfigVersion is absent if the instance does not report it.
	ConfigVersion *uint64 `json:"config_version,omitempty"`
	Leaving       bool    `json:"leaving"`
	Isolated      bool    `json:"isolated"`
	Detail        string  `json:"detail,omitempty"`
}

// statusResult is the result of status as JSON.
type statusResult struct {
	DirectoryVersion uint64           `json:"directory_version"`
	Instances        []instanceHealth `json:"instances"`
}

func (s *status) run(ctx context.Context) error {
	if s.watch {
		return s.repeat(ctx)
	}
	result, err := s.ask(ctx)
	if err != nil {
		return err
	}
	if err := s.print(result); err != nil {
		return err
	}
	return result.judge()
}

// repeat asks until the context ends and returns the error of the last complete
// round.
func (s *status) repeat(ctx context.Context) error {
	if s.interval <= 0 {
		return &FlagError{"--interval", "must be above 0"}
	}
	var last error
	for {
		result, err := s.ask(ctx)
		if ctx.Err() != nil {
			return last
		}
		switch {
		case exitCode(err) == ExitUsage:
			return err
		case err != nil:
			last = err
			_, _ = fmt.Fprintf(s.app.streams.Err, "fulmarhoistctl: %v\n", err)
		default:
			last = result.judge()
			if err := s.printRound(result); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(s.interval):
		}
	}
}

func (s *status) printRound(result *statusResult) error {
	if s.app.output == outputTable {
		_, _ = fmt.Fprintf(s.app.streams.Out, "\n%s\n", time.Now().Format(time.TimeOnly))
	}
	return s.print(result)
}

// ask asks the directory and every instance that it lists.
func (s *status) ask(ctx context.Context) (*statusResult, error) {
	if s.timeout <= 0 {
		return nil, &FlagError{"--timeout", "must be above 0"}
	}
	client, err := s.connection.client(0)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	directory, err := client.Directory(ctx)
	if err != nil {
		return nil, err
	}
	return &statusResult{DirectoryVersion: directory.Version, Instances: s.askAll(ctx, directory.Instances)}, nil
}

func (s *status) askAll(ctx context.Context, instances []*caller.Instance) []instanceHealth {
	rows := make([]instanceHealth, len(instances))
	var group sync.WaitGroup
	for n, instance := range instances {
		group.Go(func() { rows[n] = s.askOne(ctx, instance) })
	}
	group.Wait()
	return rows
}

func (s *status) askOne(ctx context.Context, instance *caller.Instance) instanceHealth {
	row := instanceHealth{ID: instance.ID, Zone: instance.Zone, Address: instance.Address, State: stateUnreachable}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	began := time.Now()
	answer, err := getHealth(ctx, instance.Address)
	row.LatencyMS = float64(time.Since(began).Microseconds()) / 1000
	if err != nil {
		row.Detail = err.Error()
		return row
	}
	row.Status, row.Detail, row.State = answer.status, answer.detail(), stateNotServing
	row.ConfigVersion, row.Leaving, row.Isolated = answer.ConfigVersion, answer.Leaving, answer.Isolated
	if answer.status == http.StatusOK {
		row.State = stateServing
	}
	return row
}

// detail is the start of the answer on one line.
func (h *health) detail() string {
	return strings.Join(strings.Fields(string(h.body[:min(len(h.body), healthDetailBytes)])), " ")
}

func (s *status) print(result *statusResult) error {
	if s.app.output == outputJSON {
		return printJSON(s.app.streams.Out, result)
	}
	rows := [][]string{{"INSTANCE", "ZONE", "ADDRESS", "STATE", "TIME", "DETAIL"}}
	for _, i := range result.Instances {
		rows = append(rows, []string{i.ID, i.Zone, i.Address, i.State, fmt.Sprintf("%.3f ms", i.LatencyMS), i.Detail})
	}
	return printTable(s.app.streams.Out, rows)
}

// judge returns nil if all instances are serving.
func (r *statusResult) judge() error {
	bad, reached := 0, 0
	for _, i := range r.Instances {
		if i.State != stateServing {
			bad++
		}
		if i.State != stateUnreachable {
			reached++
		}
	}
	switch {
	case bad == 0:
		return nil
	case reached == 0:
		return &NoInstanceError{"none of the listed instances answers"}
	default:
		return &ResultError{fmt.Sprintf("%d of %d instances are not serving", bad, len(r.Instances))}
	}
}
