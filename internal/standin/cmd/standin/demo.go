package main

import (
	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/demo"
)

// newDemoCommand returns the command that runs the demo.
func newDemoCommand() *cobra.Command {
	var s demo.Settings
	cmd := &cobra.Command{
		Use:   "demo --bin DIR",
		Short: "Take an availability zone out of service under load and check the outcome of each request",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s.Out = cmd.OutOrStdout()
			return demo.Run(cmd.Context(), s)
		},
	}
	f := cmd.Flags()
	f.StringVar(&s.Bin, "bin", "", "directory with the programs fulmarhoistd and standin")
	f.IntVar(&s.Instances, "instances", 3, "number of entry instances")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the load and of the service times")
	_ = cmd.MarkFlagRequired("bin")
	return cmd
}
