package main

import (
	"time"

	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/targetserver"
)

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
	addressFlags(cmd, &s.Listen, &s.Control)
	f := cmd.Flags()
	f.StringVar(&s.Service, "service", "orders", "service name in the answers")
	f.IntVar(&s.Slots, "slots", 2, "requests that run at once")
	f.IntVar(&s.Queue, "queue", 8, "requests that wait for a slot before more are refused")
	f.DurationVar(&s.ServiceMean, "mean", 5*time.Millisecond, "mean of the service time")
	f.DurationVar(&s.ServiceSpread, "spread", 2*time.Millisecond, "standard deviation of the service time")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the service times")
	f.DurationVar(&s.ColdFor, "cold-for", 0, "time after a start for which the server is cold")
	f.IntVar(&s.ColdBears, "cold-bears", 0, "requests that a cold server bears at once; 0 means no limit")
	f.DurationVar(&s.LoadLag, "load-lag", 0, "age of the load that the load endpoint reports")
	f.DurationVar(&s.RestartAfter, "restart-after", 100*time.Millisecond, "time from a crash to the next start")
	return cmd
}
