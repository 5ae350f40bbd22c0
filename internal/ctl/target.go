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
	return group("target", "Take single servers out of service and bring them back",
		a.targetAmendCommand(takeOut), a.targetAmendCommand(bringIn), a.targetListCommand())
}

func (a *app) targetAmendCommand(d direction) *cobra.Command {
	var service string
	m := &amendment{app: a, direction: d}
	m.apply = func(c *config.Configuration, name string) error {
		target, err := findTarget(c, service, name)
		if err != nil {
			return err
		}
		target.OutOfService = d == takeOut
		return nil
	}
	command := m.command("target")
	command.Flags().StringVar(&service, "service", "", serviceFlagHelp)
	return command
}

// findTarget returns a target by name, which is unique among all services.
func findTarget(c *config.Configuration, service, name string) (*config.Target, error) {
	if err := knownService(c, service); err != nil {
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

func knownService(c *config.Configuration, name string) error {
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
		Short: "List the servers with their state",
		Long: `List the servers of the configuration in force with their state. A server
whose availability zone is out of service shows as zone-out.`,
		Args: cobra.NoArgs,
		RunE: a.running(l.run),
	}
	l.log.register(command.Flags())
	command.Flags().StringVar(&l.service, "service", "", "show only this service")
	return command
}

// targetRow is one server of the list.
type targetRow struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Out     bool   `json:"out"`
	ZoneOut bool   `json:"zone_out"`
}

// targetsResult is the result of target list as JSON.
type targetsResult struct {
	Version uint64      `json:"version"`
	Targets []targetRow `json:"targets"`
}

func (l *targetLister) run(ctx context.Context) error {
	state, err := l.log.state(ctx)
	if err != nil {
		return err
	}
	if err := knownService(state.Config, l.service); err != nil {
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
