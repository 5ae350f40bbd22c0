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

// newEntryCommand returns the subcommand that runs an entry instance on the
// users' platform.
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

// logBufferLines is the number of log lines that are buffered for the output.
// When the buffer is full, lines are dropped, so that logging never blocks a
// request.
const logBufferLines = 2048

func runEntry(cmd *cobra.Command, _ []string) error {
	// The platform sends SIGHUP when the settings change. Without a handler, the
	// signal would terminate the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		return err
	}
	var droppedLines atomic.Int64
	logs := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) { droppedLines.Add(int64(missed)) })
	defer func() { _ = logs.Close() }()
	n, err := node.New(settings, platform.New(settings), logs)
	if err != nil {
		return err
	}
	n.Gauge("fulmarhoist_log_lines_dropped", func() float64 { return float64(droppedLines.Load()) })
	return n.Run(cmd.Context(), reload)
}
