package ctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhoist.example/config"
)

const configShowHelp = `Show the configuration in force according to the log.

With --output json the whole configuration is printed, in a form that config
publish accepts after editing.

The exit code is 1 if no configuration has been accepted yet, and 3 if the log
service was unreachable.`

// configShow holds the flags of the command config show.
type configShow struct {
	app *app
	log logFlags
}

func (a *app) configShowCommand() *cobra.Command {
	s := &configShow{app: a}
	command := &cobra.Command{
		Use:   "show --log-service URL",
		Short: "Show the configuration in force",
		Long:  configShowHelp,
		Args:  cobra.NoArgs,
		RunE:  a.runE(s.run),
	}
	s.log.register(command.Flags())
	return command
}

func (s *configShow) run(ctx context.Context) error {
	state, err := s.log.state(ctx)
	if err != nil {
		return err
	}
	if s.app.output == outputJSON {
		return printJSON(s.app.streams.Out, state)
	}
	return s.print(state)
}

// state reads the state in force from the log. It returns an error if no
// configuration has been accepted yet.
func (f *logFlags) state(ctx context.Context) (config.State, error) {
	ctx, session, err := f.open(ctx)
	if err != nil {
		return config.State{}, err
	}
	defer session.close()
	h, err := session.current(ctx)
	if err != nil {
		return config.State{}, err
	}
	return h.inForce()
}

// inForce returns the state in force, or an error if no configuration has been
// accepted yet.
func (h *history) inForce() (config.State, error) {
	state := h.state()
	if state.Version == 0 {
		return state, &ResultError{"no configuration has been accepted yet"}
	}
	return state, nil
}

func (s *configShow) print(state config.State) error {
	c, out := state.Config, s.app.streams.Out
	err := printTable(out, [][]string{
		{"deployment", c.Deployment},
		{"version", strconv.FormatUint(state.Version, 10)},
		{"id", state.ID},
		{"offset", strconv.FormatUint(state.Offset, 10)},
		{"max instances", strconv.Itoa(c.MaxInstances)},
		{"directory lifetime", fmt.Sprintf("%d ms", c.DirectoryLifetimeMs)},
		{"load probes", fmt.Sprintf("%g per second and target", c.Measuring.ProbesPerSecond)},
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out)
	if err := printTable(out, zoneRows(c)); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out)
	rows := [][]string{{"SERVICE", "CLASSES", "TARGETS", "IN SERVICE", "SLOTS IN SERVICE", "QUEUE", "RETRIES", "COLD"}}
	for i := range c.Services {
		svc := &c.Services[i]
		serving := inService(c, svc)
		rows = append(rows, []string{
			svc.Name, strconv.Itoa(len(svc.Classes)), strconv.Itoa(len(svc.Targets)), strconv.Itoa(serving.targets),
			strconv.Itoa(serving.slots), strconv.Itoa(svc.QueueLimit), fmt.Sprintf("%d%%", svc.RetryPercent),
			fmt.Sprintf("%d for %d ms", svc.ColdStart.MaxConcurrent, svc.ColdStart.DurationMs),
		})
	}
	return printTable(out, rows)
}
