package ctl

import (
	"strconv"

	"fulmarhoist.example/config"
)

// serving is what is in service of one service.
type serving struct{ targets, slots int }

// inService counts the targets that neither they nor their zone are out.
func inService(c *config.Configuration, s *config.Service) (n serving) {
	for i := range s.Targets {
		t := &s.Targets[i]
		if zone, found := c.Zone(t.Zone); t.Out || !found || zone.Out {
			continue
		}
		n.targets++
		n.slots += t.Slots
	}
	return n
}

// zoneRow is one availability zone of the list.
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
		row := zoneRow{Name: z.Name, Region: z.Region, Out: z.Out}
		for i := range c.Services {
			for j := range c.Services[i].Targets {
				t := &c.Services[i].Targets[j]
				if t.Zone != z.Name {
					continue
				}
				row.Targets++
				if !t.Out && !z.Out {
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

// serviceState names the state of a zone or target in tables.
func serviceState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
