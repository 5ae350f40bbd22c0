package main

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"fulmarhoist.example/node"
	"fulmarhoist.example/platform"
)

// newEntryCommand returns the command that runs an entry instance on the users'
// platform.
func newEntryCommand() *cobra.Command {
	return &cobra.Command{
		Use:           "entry",
		Short:         "Run an entry instance on the users' platform",
		Long:          "Run an entry instance that reads the platform's settings file, whose path is in " + platform.SettingsEnvVar + ".",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          runEntry,
	}
}

// logBuffer is how many log lines wait for the output. Requests never wait for it.
const logBuffer = 2048

func runEntry(cmd *cobra.Command, _ []string) error {
	// The platform sends SIGHUP when the settings change; without a handler it
	// would end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		return err
	}
	var dropped atomic.Int64
	logs := diode.NewWriter(os.Stdout, logBuffer, 0, func(missed int) { dropped.Add(int64(missed)) })
	defer func() { _ = logs.Close() }()
	n, err := node.New(settings, platform.New(settings), logs)
	if err != nil {
		return err
	}
	n.Gauge("fulmarhoist_log_lines_dropped", func() float64 { return float64(dropped.Load()) })
	return n.Run(cmd.Context(), hangup)
}
