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

// serviceLoad compares today's load of a service with what the rest can bear.
type serviceLoad struct {
	Service  string `json:"service"`
	InFlight int    `json:"in_flight"`
	Waiting  int    `json:"waiting"`
	// Unknown lists the instances whose part of the load is not known.
	Unknown     []string `json:"unknown_at,omitempty"`
	SlotsBefore int      `json:"slots_before"`
	SlotsAfter  int      `json:"slots_after"`
	// Missing is how many slots the rest is short of.
	Missing int `json:"missing_slots"`
	// Empty is true if no target is left.
	Empty bool `json:"empty"`
}

func (l serviceLoad) String() string {
	text := fmt.Sprintf("service %s: %d requests (%d in flight, %d waiting), %d of %d slots remain",
		l.Service, l.InFlight+l.Waiting, l.InFlight, l.Waiting, l.SlotsAfter, l.SlotsBefore)
	if len(l.Unknown) > 0 {
		text += "; the load at " + strings.Join(l.Unknown, ", ") + " is unknown"
	}
	if l.Missing > 0 {
		text += fmt.Sprintf("; %d slots are missing", l.Missing)
	}
	if l.Empty {
		text += "; no target is left"
	}
	return text
}

// loadAt is the load of all services at one instance; nil if unknown.
type loadAt struct {
	instance string
	inFlight map[string]float64
	waiting  map[string]float64
}

// compare tells, for each service that loses slots from one configuration to the
// other, whether the rest bears the load. An unknown load counts as 0 and is
// named.
func compare(before, after *config.Configuration, loads []loadAt) []serviceLoad {
	var result []serviceLoad
	for i := range after.Services {
		s := &after.Services[i]
		old, found := before.Service(s.Name)
		if !found {
			continue
		}
		was, rest := inService(before, old), inService(after, s)
		if rest.slots >= was.slots {
			continue
		}
		l := serviceLoad{Service: s.Name, SlotsBefore: was.slots, SlotsAfter: rest.slots, Empty: rest.targets == 0}
		for _, at := range loads {
			flight, knownFlight := at.inFlight[s.Name]
			waiting, knownWaiting := at.waiting[s.Name]
			l.InFlight += int(flight)
			l.Waiting += int(waiting)
			if !knownFlight || !knownWaiting {
				l.Unknown = append(l.Unknown, at.instance)
			}
		}
		l.Missing = max(0, l.InFlight+l.Waiting-l.SlotsAfter)
		result = append(result, l)
	}
	return result
}

// metricsTimeout bounds the metrics call to one instance.
const metricsTimeout = 2 * time.Second

// measure asks all instances for their load.
func measure(ctx context.Context, instances []*caller.Instance) []loadAt {
	loads := make([]loadAt, len(instances))
	var group sync.WaitGroup
	for n, i := range instances {
		group.Go(func() { loads[n] = measureOne(ctx, i) })
	}
	group.Wait()
	slices.SortFunc(loads, func(a, b loadAt) int { return strings.Compare(a.instance, b.instance) })
	return loads
}

func measureOne(ctx context.Context, i *caller.Instance) loadAt {
	load := loadAt{instance: i.ID}
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	status, body, err := getFrom(ctx, i.Address, "/metrics", maxMetricsBytes)
	if err != nil || status != http.StatusOK {
		return load
	}
	load.inFlight = gauge(body, "fulmarhoist_in_flight")
	load.waiting = gauge(body, "fulmarhoist_waiting")
	return load
}

// gauge reads the values of a metric by service from Prometheus text.
func gauge(text []byte, name string) map[string]float64 {
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
