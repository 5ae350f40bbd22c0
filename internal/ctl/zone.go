package ctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhoist.example/config"
)

func (a *app) zoneCommand() *cobra.Command {
	return commandGroup("zone", "Take availability zones out of service and bring them back",
		a.zoneChangeCommand(takeOut), a.zoneChangeCommand(bringIn), a.zoneListCommand())
}

func (a *app) zoneChangeCommand(d direction) *cobra.Command {
	change := &outOfServiceCommand{app: a, direction: d}
	change.apply = func(c *config.Configuration, name string) error {
		zone, found := c.Zone(name)
		if !found {
			return &FlagError{"zone", fmt.Sprintf("%q is not in the configuration in force", name)}
		}
		zone.OutOfService = d == takeOut
		return nil
	}
	return change.command("availability zone")
}

// zoneLister holds the flags of the command zone list.
type zoneLister struct {
	app *app
	log logFlags
}

func (a *app) zoneListCommand() *cobra.Command {
	l := &zoneLister{app: a}
	command := &cobra.Command{
		Use:   "list --log-service URL",
		Short: "List the availability zones with their state",
		Long:  "List the availability zones of the configuration in force with their state.",
		Args:  cobra.NoArgs,
		RunE:  a.runE(l.run),
	}
	l.log.register(command.Flags())
	return command
}

// zonesResult is the JSON output of zone list.
type zonesResult struct {
	Version uint64    `json:"version"`
	Zones   []zoneRow `json:"zones"`
}

func (l *zoneLister) run(ctx context.Context) error {
	state, err := l.log.state(ctx)
	if err != nil {
		return err
	}
	if l.app.output == outputJSON {
		return printJSON(l.app.streams.Out, zonesResult{Version: state.Version, Zones: zoneList(state.Config)})
	}
	return printTable(l.app.streams.Out, zoneRows(state.Config))
}

// serviceCapacity is the number of targets of a service that are in service, and
// their slots.
type serviceCapacity struct{ targets, slots int }

// inService returns the capacity of the targets that are in service themselves
// and whose zone is in service.
func inService(c *config.Configuration, s *config.Service) (n serviceCapacity) {
	for i := range s.Targets {
		t := &s.Targets[i]
		if zone, found := c.Zone(t.Zone); t.OutOfService || !found || zone.OutOfService {
			continue
		}
		n.targets++
		n.slots += t.Slots
	}
	return n
}

// zoneRow is one availability zone in the output of zone list.
type zoneRow struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	Out       bool   `json:"out"`
	Targets   int    `json:"targets"`
	InService int    `json:"targets_in_service"`
	Slots     int    `json:"slots_in_service"`
}

func zoneList(c *config.Configuration) []zoneRow {
	rows := make([]zoneRow, len(c.Zones))
	for n := range c.Zones {
		z := &c.Zones[n]
		row := zoneRow{Name: z.Name, Region: z.Region, Out: z.OutOfService}
		for i := range c.Services {
			for j := range c.Services[i].Targets {
				t := &c.Services[i].Targets[j]
				if t.Zone != z.Name {
					continue
				}
				row.Targets++
				if !t.OutOfService && !z.OutOfService {
					row.InService++
					row.Slots += t.Slots
				}
			}
		}
		rows[n] = row
	}
	return rows
}

func zoneRows(c *config.Configuration) [][]string {
	rows := [][]string{{"ZONE", "REGION", "STATE", "TARGETS", "IN SERVICE", "SLOTS IN SERVICE"}}
	for _, z := range zoneList(c) {
		rows = append(rows, []string{
			z.Name, z.Region, serviceState(z.Out), strconv.Itoa(z.Targets),
			strconv.Itoa(z.InService), strconv.Itoa(z.Slots),
		})
	}
	return rows
}

// serviceState returns the state of a zone or target as shown in tables.
func serviceState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
