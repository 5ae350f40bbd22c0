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

const statusHelp = `Query the health of every instance in the directory.

With --watch, repeat the query until interrupted; the exit code is then that of
the last complete round.

The exit code is 0 if all listed instances are serving, 1 if any is not, and 3 if
no instance responds.`

// maxHealthDetailBytes is how much of a health response is shown, in bytes.
const maxHealthDetailBytes = 200

// status holds the flags of the command status.
type status struct {
	app        *app
	connection connectionFlags
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
		RunE:  a.runE(s.run),
	}
	s.register(command.Flags())
	command.Flags().BoolVar(&s.watch, "watch", false, "repeat the query until interrupted")
	command.Flags().DurationVar(&s.interval, "interval", 2*time.Second, "time between rounds of --watch")
	return command
}

func (s *status) register(flags *pflag.FlagSet) {
	s.connection.register(flags)
	flags.DurationVar(&s.timeout, "timeout", 2*time.Second, "time limit for the response of each instance")
}

// States of an instance in the output.
const (
	stateServing     = "serving"
	stateNotServing  = "not-serving"
	stateUnreachable = "unreachable"
)

// instanceHealth is the health of one instance in the output.
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

// statusResult is the JSON output of status and instances.
type statusResult struct {
	DirectoryVersion uint64           `json:"directory_version"`
	Instances        []instanceHealth `json:"instances"`
}

func (s *status) run(ctx context.Context) error {
	if s.watch {
		return s.runWatch(ctx)
	}
	result, err := s.check(ctx)
	if err != nil {
		return err
	}
	if err := s.print(result); err != nil {
		return err
	}
	return result.exitError()
}

// runWatch queries the instances until the context ends. It returns the error of
// the last complete round.
func (s *status) runWatch(ctx context.Context) error {
	if s.interval <= 0 {
		return &FlagError{"--interval", fmt.Sprintf("is %v, must be above 0", s.interval)}
	}
	var last error
	for {
		result, err := s.check(ctx)
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
			last = result.exitError()
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

// check reads the directory and queries the health of every instance in it.
func (s *status) check(ctx context.Context) (*statusResult, error) {
	if s.timeout <= 0 {
		return nil, &FlagError{"--timeout", fmt.Sprintf("is %v, must be above 0", s.timeout)}
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
	return &statusResult{DirectoryVersion: directory.Version, Instances: s.checkAll(ctx, directory.Instances)}, nil
}

func (s *status) checkAll(ctx context.Context, instances []*caller.Instance) []instanceHealth {
	rows := make([]instanceHealth, len(instances))
	var wg sync.WaitGroup
	for i, instance := range instances {
		wg.Go(func() { rows[i] = s.checkInstance(ctx, instance) })
	}
	wg.Wait()
	return rows
}

func (s *status) checkInstance(ctx context.Context, instance *caller.Instance) instanceHealth {
	row := instanceHealth{ID: instance.ID, Zone: instance.Zone, Address: instance.Address, State: stateUnreachable}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	start := time.Now()
	health, err := getHealth(ctx, instance.Address)
	row.LatencyMS = float64(time.Since(start).Microseconds()) / 1000
	if err != nil {
		row.Detail = err.Error()
		return row
	}
	row.Status, row.Detail, row.State = health.status, health.detail(), stateNotServing
	row.ConfigVersion, row.Leaving, row.Isolated = health.ConfigVersion, health.Leaving, health.Isolated
	if health.status == http.StatusOK {
		row.State = stateServing
	}
	return row
}

// detail returns the start of the response body on one line.
func (h *healthResponse) detail() string {
	return strings.Join(strings.Fields(string(h.body[:min(len(h.body), maxHealthDetailBytes)])), " ")
}

func (s *status) print(result *statusResult) error {
	if s.app.output == outputJSON {
		return printJSON(s.app.streams.Out, result)
	}
	rows := [][]string{{"INSTANCE", "ZONE", "ADDRESS", "STATE", "TIME", "DETAIL"}}
	for _, instance := range result.Instances {
		rows = append(rows, []string{instance.ID, instance.Zone, instance.Address, instance.State, fmt.Sprintf("%.3f ms", instance.LatencyMS), instance.Detail})
	}
	return printTable(s.app.streams.Out, rows)
}

// exitError returns the error that determines the exit code, or nil if all
// instances are serving.
func (r *statusResult) exitError() error {
	notServing, reachable := 0, 0
	for _, instance := range r.Instances {
		if instance.State != stateServing {
			notServing++
		}
		if instance.State != stateUnreachable {
			reachable++
		}
	}
	switch {
	case notServing == 0:
		return nil
	case reachable == 0:
		return &NoInstanceError{"none of the listed instances answers"}
	default:
		return &ResultError{fmt.Sprintf("%d of %d instances are not serving", notServing, len(r.Instances))}
	}
}
