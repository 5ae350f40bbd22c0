package main

import (
	"time"

	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/targetserver"
)

// newTargetCommand returns the command that runs a target.
func newTargetCommand() *cobra.Command {
	var s targetserver.Settings
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Run a target server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			server, err := targetserver.Start(s)
			if err != nil {
				return err
			}
			return serve(cmd, server)
		},
	}
	addAddressFlags(cmd, &s.Listen, &s.Control)
	f := cmd.Flags()
	f.StringVar(&s.Service, "service", "orders", "service name in the responses")
	f.IntVar(&s.Slots, "slots", 2, "requests that run at once")
	f.IntVar(&s.Queue, "queue", 8, "requests that may wait for a slot; further ones are refused")
	f.DurationVar(&s.MeanServiceTime, "mean", 5*time.Millisecond, "mean of the service time")
	f.DurationVar(&s.ServiceTimeStdDev, "spread", 2*time.Millisecond, "standard deviation of the service time")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the service times")
	f.DurationVar(&s.ColdDuration, "cold-for", 0, "how long the server is cold after a start")
	f.IntVar(&s.ColdCapacity, "cold-bears", 0, "requests that a cold server handles at once without a crash; 0 means no limit")
	f.DurationVar(&s.LoadLag, "load-lag", 0, "age of the load values that the load endpoint reports")
	f.DurationVar(&s.RestartDelay, "restart-after", 100*time.Millisecond, "time from a crash to the restart")
	return cmd
}
