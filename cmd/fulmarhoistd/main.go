// Command fulmarhoistd runs an entry instance of the load balancer, which
// forwards requests from callers to targets.
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

// Exit codes of the process.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
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

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var invalid *settings.InvalidError
	var platformSettings *node.SettingsError
	if errors.As(err, &invalid) || errors.As(err, &platformSettings) {
		return exitInvalidSettings
	}
	return exitFailure
}

func newCommand() *cobra.Command {
	var settingsPath string
	cmd := &cobra.Command{
		Use:           "fulmarhoistd",
		Short:         "Run an entry instance",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, settingsPath)
		},
	}
	cmd.Flags().StringVar(&settingsPath, "settings", "", "path of the settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	cmd.AddCommand(newEntryCommand())
	return cmd
}

// run runs an entry instance with the settings file at settingsPath. It writes
// a JSON line to the standard output when the instance is ready.
func run(cmd *cobra.Command, settingsPath string) error {
	s, err := settings.Load(settingsPath)
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
