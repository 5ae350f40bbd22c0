package main

import (
	"github.com/spf13/cobra"

	"fulmarhoist.example/internal/standin/relay"
)

// newRelayCommand returns the command that runs a relay.
func newRelayCommand() *cobra.Command {
	var s relay.Settings
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Run a TCP relay that injects faults",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := relay.Start(s)
			if err != nil {
				return err
			}
			return serve(cmd, r)
		},
	}
	addAddressFlags(cmd, &s.Listen, &s.Control)
	f := cmd.Flags()
	f.StringVar(&s.Upstream, "upstream", "", "address to which connections are forwarded")
	f.StringVar((*string)(&s.Initial.Mode), "mode", string(relay.ModePass), "initial mode: pass, cut, silence, silence-all or one-way")
	f.Int64Var(&s.Initial.DelayMS, "delay-ms", 0, "delay of each direction in milliseconds")
	return cmd
}
