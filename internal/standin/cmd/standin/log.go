package main

import (
	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/logservice"
)

// newLogCommand returns the command that runs the log service.
func newLogCommand() *cobra.Command {
	var s logservice.Settings
	cmd := &cobra.Command{
		Use:   "log",
		Short: "Run the append-only log service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			service, err := logservice.Start(s)
			if err != nil {
				return err
			}
			return serve(cmd, service)
		},
	}
	addAddressFlags(cmd, &s.Listen, &s.Control)
	f := cmd.Flags()
	f.IntVar(&s.MaxRecords, "retain-records", 0, "records kept per stream; 0 means no limit")
	f.DurationVar(&s.MaxAge, "retain-for", 0, "age up to which records are kept; 0 means no limit")
	f.Float64Var(&s.AppendsPerSecond, "appends-per-second", 0, "limit of appends per second over all streams; 0 means no limit")
	f.IntVar(&s.AppendBurst, "append-burst", 1, "burst of appends that the rate limit allows")
	f.StringVar((*string)(&s.Faults.Outage), "outage", "", "outage from the start: unavailable, reset or refuse")
	f.Int64Var(&s.Faults.DelayMS, "delay-ms", 0, "delay of each request in milliseconds")
	return cmd
}
