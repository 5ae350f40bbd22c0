package main

import (
	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/instancelist"
)

// newListCommand returns the command that runs the instance list.
func newListCommand() *cobra.Command {
	var s instancelist.Settings
	cmd := &cobra.Command{
		Use:   "list",
		Short: "Run the instance list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			service, err := instancelist.Start(s)
			if err != nil {
				return err
			}
			return serve(cmd, service)
		},
	}
	addAddressFlags(cmd, &s.Listen, &s.Control)
	f := cmd.Flags()
	f.Int64Var(&s.Faults.LagMS, "lag-ms", 0, "time in milliseconds after which readers see a change")
	f.StringVar((*string)(&s.Faults.Outage), "outage", "", "outage from the start: unavailable or refuse")
	return cmd
}
