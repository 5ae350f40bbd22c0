package main

import (
	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/measure"
	"fulmarhoist.example/service"
)

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
		Short: "Measure tail latency, the cost of load measurement, and a zone that leaves and returns",
		Args:  cobra.NoArgs,
		RunE:  run("tail", "cost", "zones"),
	}
	cmd.AddCommand(
		&cobra.Command{Use: "tail", Short: "Latencies per class in normal operation and under faults", Args: cobra.NoArgs, RunE: run("tail")},
		&cobra.Command{Use: "cost", Short: "Load probes and their bytes against the budget", Args: cobra.NoArgs, RunE: run("cost")},
		&cobra.Command{Use: "zones", Short: "Outcomes and latencies while a zone is taken out and brought back", Args: cobra.NoArgs, RunE: run("zones")},
	)
	f := cmd.PersistentFlags()
	f.StringVar(&s.Bin, "bin", "", "folder with the programs fulmarhoistd and standin")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the load, the service times and the faults")
	f.StringVar(&output, "output", string(measure.OutputTable), "table or json")
	f.StringSliceVar(&policies, "policies", []string{"sed", "rr", "p2c"}, "policies to compare; the first one is compared with the others")
	_ = cmd.MarkPersistentFlagRequired("bin")
	return cmd
}
