package ctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhoist.example/config"
)

const serviceFlagHelp = "name of the service that the target must belong to"

func (a *app) targetCommand() *cobra.Command {
	return commandGroup("target", "Take single targets out of service and bring them back",
		a.targetChangeCommand(takeOut), a.targetChangeCommand(bringIn), a.targetListCommand())
}

func (a *app) targetChangeCommand(d direction) *cobra.Command {
	var service string
	change := &outOfServiceCommand{app: a, direction: d}
	change.apply = func(c *config.Configuration, name string) error {
		target, err := findTarget(c, service, name)
		if err != nil {
			return err
		}
		target.OutOfService = d == takeOut
		return nil
	}
	command := change.command("target")
	command.Flags().StringVar(&service, "service", "", serviceFlagHelp)
	return command
}

// findTarget returns a target by its name, which is unique across services. An
// empty service matches any.
func findTarget(c *config.Configuration, service, name string) (*config.Target, error) {
	if err := checkService(c, service); err != nil {
		return nil, err
	}
	for i := range c.Services {
		s := &c.Services[i]
		if service != "" && s.Name != service {
			continue
		}
		for j := range s.Targets {
			if s.Targets[j].Name == name {
				return &s.Targets[j], nil
			}
		}
	}
	where := "the configuration in force"
	if service != "" {
		where = "service " + service
	}
	return nil, &FlagError{"target", fmt.Sprintf("%q is not in %s", name, where)}
}

// checkService returns an error if a service is named and not in the
// configuration.
func checkService(c *config.Configuration, name string) error {
	if _, found := c.Service(name); name != "" && !found {
		return &FlagError{"--service", fmt.Sprintf("%q is not in the configuration in force", name)}
	}
	return nil
}

// targetLister holds the flags of the command target list.
type targetLister struct {
	app     *app
	log     logFlags
	service string
}

func (a *app) targetListCommand() *cobra.Command {
	l := &targetLister{app: a}
	command := &cobra.Command{
		Use:   "list --log-service URL",
		Short: "List the targets with their state",
		Long: `List the targets of the configuration in force with their state. A target
whose availability zone is out of service is shown as zone-out.`,
		Args: cobra.NoArgs,
		RunE: a.runE(l.run),
	}
	l.log.register(command.Flags())
	command.Flags().StringVar(&l.service, "service", "", "show only this service")
	return command
}

// targetRow is one target in the output of target list.
type targetRow struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Out     bool   `json:"out"`
	ZoneOut bool   `json:"zone_out"`
}

// targetsResult is the JSON output of target list.
type targetsResult struct {
	Version uint64      `json:"version"`
	Targets []targetRow `json:"targets"`
}

func (l *targetLister) run(ctx context.Context) error {
	state, err := l.log.state(ctx)
	if err != nil {
		return err
	}
	if err := checkService(state.Config, l.service); err != nil {
		return err
	}
	list := targetList(state.Config, l.service)
	if l.app.output == outputJSON {
		return printJSON(l.app.streams.Out, targetsResult{Version: state.Version, Targets: list})
	}
	rows := [][]string{{"SERVICE", "TARGET", "ZONE", "ADDRESS", "SLOTS", "STATE"}}
	for _, t := range list {
		rows = append(rows, []string{t.Service, t.Name, t.Zone, t.Address, strconv.Itoa(t.Slots), t.state()})
	}
	return printTable(l.app.streams.Out, rows)
}

func (t *targetRow) state() string {
	if !t.Out && t.ZoneOut {
		return "zone-out"
	}
	return serviceState(t.Out)
}

func targetList(c *config.Configuration, service string) []targetRow {
	list := []targetRow{}
	for i := range c.Services {
		s := &c.Services[i]
		if service != "" && s.Name != service {
			continue
		}
		for j := range s.Targets {
			t := &s.Targets[j]
			zone, found := c.Zone(t.Zone)
			list = append(list, targetRow{
				Service: s.Name, Name: t.Name, Zone: t.Zone, Address: t.Address, Slots: t.Slots,
				Out: t.OutOfService, ZoneOut: found && zone.OutOfService,
			})
		}
	}
	return list
}
