// Package ctl holds the commands of fulmarhoistctl, one file per command.
package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Streams are the standard streams of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

const rootHelp = `fulmarhoistctl sends requests through fulmarhoist, shows its state and changes
its configuration.

Exit codes:
  0  the command ran and the result is good
  1  the command ran and the result is bad
  2  usage or settings are wrong
  3  no instance or no log service could be reached; the configuration was not
     changed`

// app is one run of the tool.
type app struct {
	streams Streams
	output  outputFormat
	// started is set when the run function of a command begins; an error before
	// that is one of usage.
	started bool
}

// Run runs the tool with the given arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, streams Streams) ExitCode {
	a := &app{streams: streams, output: outputTable}
	root := a.root()
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err != nil && !a.started {
		err = &UsageError{Err: err}
	}
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "fulmarhoistctl: %v\n", err)
	}
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "fulmarhoistctl",
		Short:         "Tool for operators and callers of fulmarhoist",
		Long:          rootHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetIn(a.streams.In)
	root.SetOut(a.streams.Out)
	root.SetErr(a.streams.Err)
	root.PersistentFlags().Var(&a.output, "output", "output format: table or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]string{string(outputTable), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(a.explainCommand(), a.sendCommand(), a.statusCommand(), a.instancesCommand(), a.loadCommand(),
		a.questionnaireCommand(), a.configCommand(), a.zoneCommand(), a.targetCommand())
	return root
}

// group returns a command that only holds others.
func group(name, short string, commands ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		// Without this, an unknown subcommand would show the help and succeed.
		RunE: func(*cobra.Command, []string) error {
			return &FlagError{name, "needs a subcommand; see --help"}
		},
	}
	parent.AddCommand(commands...)
	return parent
}

// runningWith is running for commands that take arguments.
func (a *app) runningWith(run func(ctx context.Context, arguments []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, arguments []string) error {
		a.started = true
		return run(command.Context(), arguments)
	}
}

// running marks the end of the checks of usage before a command runs.
func (a *app) running(run func(ctx context.Context) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, _ []string) error {
		a.started = true
		return run(command.Context())
	}
}
