// Command fulmarhoistd is an entry instance: it takes requests from callers and
// sends them to targets.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"fulmarhoist.example/daemon"
	"fulmarhoist.example/node"
	"fulmarhoist.example/settings"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var invalid *settings.InvalidError
	var platformSettings *node.SettingsError
	if errors.As(err, &invalid) || errors.As(err, &platformSettings) {
		return exitSettings
	}
	return exitFailure
}

func newCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:           "fulmarhoistd",
		Short:         "Run an entry instance",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "path of the settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	cmd.AddCommand(newEntryCommand())
	return cmd
}

func run(cmd *cobra.Command, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	daemon.TuneRuntime()
	d, err := daemon.New(s, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	return d.Run(cmd.Context(), func(ready daemon.Ready) {
		_ = json.NewEncoder(cmd.OutOrStdout()).Encode(ready)
	})
}
