package ctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhoist.example/config"
)

const configDiffHelp = `Show what publishing a file would change in the configuration in force.

FILE and --answers are as for config publish. The exit code is 0 whether or not
there are differences, 2 if the file is invalid, and 3 if the log service was
unreachable.`

// configDiff holds the flags of the command config diff.
type configDiff struct {
	app     *app
	log     logFlags
	answers string
}

func (a *app) configDiffCommand() *cobra.Command {
	d := &configDiff{app: a}
	command := &cobra.Command{
		Use:   "diff {FILE | --answers FILE} --log-service URL",
		Short: "Compare a configuration with the one in force",
		Long:  configDiffHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE:  a.runEWithArgs(d.run),
	}
	d.log.register(command.Flags())
	command.Flags().StringVar(&d.answers, "answers", "", "questionnaire file to generate the configuration from")
	return command
}

// diffResult is the JSON output of config diff.
type diffResult struct {
	Version uint64          `json:"version"` // version in force
	Changes []config.Change `json:"changes"`
}

func (d *configDiff) run(ctx context.Context, args []string) error {
	proposed, err := d.app.readProposal(args, d.answers)
	if err != nil {
		return err
	}
	ctx, session, err := d.log.open(ctx)
	if err != nil {
		return err
	}
	defer session.close()
	h, err := session.current(ctx)
	if err != nil {
		return err
	}
	state := h.state()
	result := diffResult{Version: state.Version, Changes: []config.Change{}}
	result.Changes = append(result.Changes, config.Diff(state.Config, proposed.configToPublish(state.Config))...)
	if d.app.output == outputJSON {
		return printJSON(d.app.streams.Out, result)
	}
	if len(result.Changes) == 0 {
		_, _ = fmt.Fprintf(d.app.streams.Out, "no difference to version %d\n", state.Version)
		return nil
	}
	rows := [][]string{{"CHANGE", "PATH", "VERSION " + strconv.FormatUint(state.Version, 10), "FILE"}}
	for _, c := range result.Changes {
		rows = append(rows, []string{string(c.Kind), c.Path, c.Old, c.New})
	}
	return printTable(d.app.streams.Out, rows)
}
