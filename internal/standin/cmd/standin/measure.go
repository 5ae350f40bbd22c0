package main

import (
	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/measure"
	"fulmarhoist.example/service"
)

// newMeasureCommand returns the command that runs all measurements, with a
// subcommand for each of them.
func newMeasureCommand() *cobra.Command {
	var s measure.Settings
	var output string
	var policies []string
	run := func(names ...string) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, _ []string) error {
			s.Out, s.Progress, s.Output = cmd.OutOrStdout(), cmd.ErrOrStderr(), measure.Output(output)
			s.Policies = nil
			for _, name := range policies {
				s.Policies = append(s.Policies, service.PolicyName(name))
			}
			return measure.Run(cmd.Context(), &s, names...)
		}
	}
	cmd := &cobra.Command{
		Use:   "measure --bin DIR",
		Short: "Measure tail latency, the cost of load probes, and the outage of an availability zone",
		Args:  cobra.NoArgs,
		RunE:  run("tail", "cost", "zones"),
	}
	cmd.AddCommand(
		&cobra.Command{Use: "tail", Short: "Latencies per class in normal operation and under faults", Args: cobra.NoArgs, RunE: run("tail")},
		&cobra.Command{Use: "cost", Short: "Number and bytes of load probes compared with the budget", Args: cobra.NoArgs, RunE: run("cost")},
		&cobra.Command{Use: "zones", Short: "Outcomes and latencies while a zone is taken out of service and brought back", Args: cobra.NoArgs, RunE: run("zones")},
	)
	f := cmd.PersistentFlags()
	f.StringVar(&s.Bin, "bin", "", "directory with the programs fulmarhoistd and standin")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the load, the service times and the faults")
	f.StringVar(&output, "output", string(measure.OutputTable), "output format: table or json")
	f.StringSliceVar(&policies, "policies", []string{"sed", "rr", "p2c"}, "load-balancing policies; the first one is compared with each of the others")
	_ = cmd.MarkPersistentFlagRequired("bin")
	return cmd
}
