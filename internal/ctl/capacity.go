package ctl

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/config"
)

// serviceLoad compares the current load of a service with the slots that it has
// in service before and after a change.
type serviceLoad struct {
	Service  string `json:"service"`
	InFlight int    `json:"in_flight"`
	Waiting  int    `json:"waiting"`
	// UnknownAt lists the instances whose share of the load is unknown.
	UnknownAt   []string `json:"unknown_at,omitempty"`
	SlotsBefore int      `json:"slots_before"`
	SlotsAfter  int      `json:"slots_after"`
	// MissingSlots is by how many slots the remaining capacity falls short.
	MissingSlots int `json:"missing_slots"`
	// NoTargetLeft is true if no target remains in service.
	NoTargetLeft bool `json:"empty"`
}

func (l serviceLoad) String() string {
	text := fmt.Sprintf("service %s: %d requests (%d in flight, %d waiting), %d of %d slots remain",
		l.Service, l.InFlight+l.Waiting, l.InFlight, l.Waiting, l.SlotsAfter, l.SlotsBefore)
	if len(l.UnknownAt) > 0 {
		text += "; the load at " + strings.Join(l.UnknownAt, ", ") + " is unknown"
	}
	if l.MissingSlots > 0 {
		text += fmt.Sprintf("; %d slots are missing", l.MissingSlots)
	}
	if l.NoTargetLeft {
		text += "; no target is left"
	}
	return text
}

// instanceLoad is the load at one instance by service. The maps are nil if the
// load is unknown.
type instanceLoad struct {
	instance string
	inFlight map[string]float64
	waiting  map[string]float64
}

// compareCapacity returns, for each service that has fewer slots in after than in
// before, whether the remaining slots can carry the load. An unknown load counts
// as 0, and its instance is listed.
func compareCapacity(before, after *config.Configuration, loads []instanceLoad) []serviceLoad {
	var result []serviceLoad
	for i := range after.Services {
		s := &after.Services[i]
		old, found := before.Service(s.Name)
		if !found {
			continue
		}
		current, remaining := inService(before, old), inService(after, s)
		if remaining.slots >= current.slots {
			continue
		}
		l := serviceLoad{Service: s.Name, SlotsBefore: current.slots, SlotsAfter: remaining.slots, NoTargetLeft: remaining.targets == 0}
		for _, at := range loads {
			inFlight, inFlightKnown := at.inFlight[s.Name]
			waiting, waitingKnown := at.waiting[s.Name]
			l.InFlight += int(inFlight)
			l.Waiting += int(waiting)
			if !inFlightKnown || !waitingKnown {
				l.UnknownAt = append(l.UnknownAt, at.instance)
			}
		}
		l.MissingSlots = max(0, l.InFlight+l.Waiting-l.SlotsAfter)
		result = append(result, l)
	}
	return result
}

// metricsTimeout is the time limit for fetching the metrics of one instance.
const metricsTimeout = 2 * time.Second

// measureAll queries all instances concurrently for their load.
func measureAll(ctx context.Context, instances []*caller.Instance) []instanceLoad {
	loads := make([]instanceLoad, len(instances))
	var wg sync.WaitGroup
	for i, instance := range instances {
		wg.Go(func() { loads[i] = measureInstance(ctx, instance) })
	}
	wg.Wait()
	slices.SortFunc(loads, func(a, b instanceLoad) int { return strings.Compare(a.instance, b.instance) })
	return loads
}

func measureInstance(ctx context.Context, instance *caller.Instance) instanceLoad {
	load := instanceLoad{instance: instance.ID}
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	status, body, err := httpGet(ctx, instance.Address, "/metrics", maxMetricsBytes)
	if err != nil || status != http.StatusOK {
		return load
	}
	load.inFlight = parseGauge(body, "fulmarhoist_in_flight")
	load.waiting = parseGauge(body, "fulmarhoist_waiting")
	return load
}

// parseGauge returns the values of a metric by service from text in the
// Prometheus exposition format.
func parseGauge(text []byte, name string) map[string]float64 {
	values := map[string]float64{}
	for line := range bytes.Lines(text) {
		labels, found := strings.CutPrefix(string(line), name+"{")
		if !found {
			continue
		}
		_, quoted, found := strings.Cut(labels, `service=`)
		if !found {
			continue
		}
		prefix, err := strconv.QuotedPrefix(quoted)
		if err != nil {
			continue
		}
		service, _ := strconv.Unquote(prefix)
		_, rest, _ := strings.Cut(quoted[len(prefix):], "}")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		value, err := strconv.ParseFloat(fields[0], 64)
		if err != nil || value < 0 || value > math.MaxInt32 || math.IsNaN(value) {
			continue
		}
		values[service] += value
	}
	return values
}
