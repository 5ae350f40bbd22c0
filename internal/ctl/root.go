// Package ctl implements the commands of fulmarhoistctl.
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
  2  the usage or an input file is wrong
  3  no instance or log service was reachable; the configuration was not
     changed`

// app is one invocation of the tool.
type app struct {
	streams Streams
	output  outputFormat
	// runStarted is set when the run function of a command is called. An error
	// before that is a usage error.
	runStarted bool
}

// Run runs the tool with the given arguments and returns its exit code.
func Run(ctx context.Context, args []string, streams Streams) ExitCode {
	a := &app{streams: streams, output: outputTable}
	root := a.root()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil && !a.runStarted {
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
		Short:         "Command line tool for operators and callers of fulmarhoist",
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

// commandGroup returns a command that only holds subcommands.
func commandGroup(name, short string, commands ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		// Without RunE, an unknown subcommand would show the help text and
		// succeed.
		RunE: func(*cobra.Command, []string) error {
			return &FlagError{name, "needs a subcommand; see --help"}
		},
	}
	parent.AddCommand(commands...)
	return parent
}

// runEWithArgs is runE for commands that take arguments.
func (a *app) runEWithArgs(run func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		a.runStarted = true
		return run(command.Context(), args)
	}
}

// runE returns a RunE function that marks the end of cobra's usage checks and
// calls run.
func (a *app) runE(run func(ctx context.Context) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, _ []string) error {
		a.runStarted = true
		return run(command.Context())
	}
}
