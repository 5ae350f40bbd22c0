package ctl

import (
	"cmp"
	"context"
	"slices"
	"strconv"

	"github.com/spf13/cobra"
)

const instancesHelp = `List the instances in the directory with the configuration version that each has
in force, and whether it is leaving or isolated.

An instance that is leaving, frozen or suspected is not in the directory.

The exit code is 0 if all listed instances are serving, 1 if any is not, and 3 if
no instance responds.`

// instances holds the flags of the command instances.
type instances struct{ status }

func (a *app) instancesCommand() *cobra.Command {
	i := &instances{status{app: a}}
	command := &cobra.Command{
		Use:   "instances --instance HOST:PORT",
		Short: "List the instances with their health and configuration version",
		Long:  instancesHelp,
		Args:  cobra.NoArgs,
		RunE:  a.runE(i.run),
	}
	i.register(command.Flags())
	return command
}

func (i *instances) run(ctx context.Context) error {
	result, err := i.check(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(result.Instances, func(a, b instanceHealth) int { return cmp.Compare(a.ID, b.ID) })
	if err := i.print(result); err != nil {
		return err
	}
	return result.exitError()
}

func (i *instances) print(result *statusResult) error {
	out := i.app.streams.Out
	if i.app.output == outputJSON {
		return printJSON(out, result)
	}
	rows := [][]string{{"INSTANCE", "ZONE", "ADDRESS", "STATE", "CONFIG VERSION", "LEAVING", "ISOLATED"}}
	for n := range result.Instances {
		r := &result.Instances[n]
		version, leaving, isolated := "unknown", "unknown", "unknown"
		if r.ConfigVersion != nil {
			version = strconv.FormatUint(*r.ConfigVersion, 10)
			leaving, isolated = strconv.FormatBool(r.Leaving), strconv.FormatBool(r.Isolated)
		}
		rows = append(rows, []string{r.ID, r.Zone, r.Address, r.State, version, leaving, isolated})
	}
	return printTable(out, rows)
}
