package questionnaire

import (
	"fmt"
	"strconv"
	"strings"

	"fulmarhoist.example/config"
)

// Defaults of optional answers.
const (
	DefaultDirectoryLifetimeMs = 30_000
	DefaultRetryPercent        = 10
	DefaultColdAnswers         = 5
	// defaultQueuePerSlot lets a queue hold work for four rounds of all slots.
	defaultQueuePerSlot = 4
)

const placeholder = "{n}"

// Setting tells which answers led to a setting.
type Setting struct {
	Path    string   `json:"path"` // in the configuration
	Value   string   `json:"value"`
	Answers []string `json:"answers"` // paths in the answers
	Rule    string   `json:"rule"`
}

func (s Setting) String() string {
	return fmt.Sprintf("%s = %s: from %s; %s", s.Path, s.Value, strings.Join(s.Answers, ", "), s.Rule)
}

// Generate returns the configuration that the answers describe. The error is a
// *config.InvalidError that lists all mistakes.
func Generate(a Answers) (*config.Configuration, error) {
	if problems := a.Validate(); len(problems) > 0 {
		return nil, &config.InvalidError{Subject: "the questionnaire", Problems: problems}
	}
	return newGenerator(&a).configuration(), nil
}

// Explain tells for each setting of the generated configuration which answers
// led to it, in the order of the configuration.
func Explain(a Answers) ([]Setting, error) {
	if problems := a.Validate(); len(problems) > 0 {
		return nil, &config.InvalidError{Subject: "the questionnaire", Problems: problems}
	}
	g := newGenerator(&a)
	g.configuration()
	return g.settings, nil
}

// generator makes the configuration. It records the origin of each setting, by
// which problems of the configuration are traced back to the answers too.
type generator struct {
	answers  *Answers
	settings []Setting
	origin   map[string]string // path in the configuration to path in the answers
}

func newGenerator(a *Answers) *generator {
	return &generator{answers: a, origin: map[string]string{}}
}

// note records a setting. The first answer is the one to correct if the setting
// is impossible.
func (g *generator) note(path string, value any, rule string, answers ...string) {
	g.settings = append(g.settings, Setting{Path: path, Value: fmt.Sprint(value), Answers: answers, Rule: rule})
	g.origin[path] = answers[0]
}

const taken = "taken as answered"

// either returns the answer, or the default if there is none.
func either(answer *int, fallback int) (int, string) {
	if answer == nil {
		return fallback, "default, as there is no answer"
	}
	return *answer, taken
}

func (g *generator) configuration() *config.Configuration {
	a := g.answers
	c := &config.Configuration{
		Deployment: a.Title, MaxInstances: a.MaxInstances,
		Measuring: config.Measuring{ProbesPerSecond: a.ProbesPerSecond},
	}
	g.note("deployment", strconv.Quote(c.Deployment), taken, "title")
	g.note("max_instances", c.MaxInstances, taken, "max_instances")
	var rule string
	c.DirectoryLifetimeMs, rule = either(a.DirectoryLifetimeMs, DefaultDirectoryLifetimeMs)
	g.note("directory_lifetime_ms", c.DirectoryLifetimeMs, rule, "directory_lifetime_ms")
	g.note("measuring.probes_per_second", c.Measuring.ProbesPerSecond,
		fmt.Sprintf("per server; each entry instance may spend a share of 1/%d", a.MaxInstances),
		"probes_per_second", "max_instances")
	for i, z := range a.Zones {
		at := fmt.Sprintf("zones[%d]", i)
		c.Zones = append(c.Zones, config.Zone{Name: z.Name, Region: z.Region, RoundTripMs: z.RoundTripMs})
		g.note(at+".name", z.Name, taken, at+".name")
		g.note(at+".region", z.Region, taken, at+".region")
		g.note(at+".round_trip_ms", z.RoundTripMs, taken, at+".round_trip_ms")
	}
	for i := range a.Services {
		c.Services = append(c.Services, g.service(fmt.Sprintf("services[%d]", i), &a.Services[i]))
	}
	return c
}

func (g *generator) service(at string, s *Service) config.Service {
	result := config.Service{Name: s.Name}
	g.note(at+".name", s.Name, taken, at+".name")
	for i := range s.Classes {
		result.Classes = append(result.Classes, g.class(fmt.Sprintf("%s.classes[%d]", at, i), &s.Classes[i]))
	}
	result.Targets = g.targets(at, s)
	cold := &result.ColdStart
	var rule string
	cold.MaxConcurrent, cold.DurationMs = s.ColdStart.Bears, s.ColdStart.ForMs
	g.note(at+".cold_start.bears", cold.MaxConcurrent, "over all entry instances together", at+".cold_start.bears")
	g.note(at+".cold_start.duration_ms", cold.DurationMs, taken, at+".cold_start.for_ms")
	cold.Answers, rule = either(s.ColdStart.Answers, DefaultColdAnswers)
	g.note(at+".cold_start.answers", cold.Answers, rule, at+".cold_start.answers")
	result.QueueLimit, rule = either(s.QueueLimit, defaultQueuePerSlot*s.Slots*len(result.Targets))
	if s.QueueLimit == nil {
		rule = fmt.Sprintf("%d times the slots of all %d servers", defaultQueuePerSlot, len(result.Targets))
	}
	g.note(at+".queue_limit", result.QueueLimit, rule, at+".queue_limit", at+".slots", at+".groups", at+".servers")
	result.RetryPercent, rule = either(s.RetryPercent, DefaultRetryPercent)
	g.note(at+".retry_percent", result.RetryPercent, rule, at+".retry_percent")
	return result
}

func (g *generator) class(at string, c *Class) config.Class {
	result := config.Class{
		Name: c.Name, Priority: c.priority(), Idempotent: c.Repeat == RepeatIdempotent,
		DeadlineMs: c.DeadlineMs, MaxBodyBytes: c.MaxBodyBytes,
	}
	g.note(at+".name", c.Name, taken, at+".name")
	rule := taken
	if c.Priority == "" {
		rule = "upload for uploads, deferrable for requests that may wait, interactive for all others"
	}
	g.note(at+".priority", result.Priority, rule, at+".priority", at+".upload", at+".may_wait")
	g.note(at+".idempotent", result.Idempotent, "true only for repeat = idempotent", at+".repeat")
	g.note(at+".deadline_ms", c.DeadlineMs, taken, at+".deadline_ms")
	g.note(at+".max_body_bytes", c.MaxBodyBytes, taken, at+".max_body_bytes")
	return result
}

func (c *Class) priority() config.Priority {
	switch {
	case c.Priority != "":
		return config.Priority(c.Priority)
	case c.Upload:
		return config.PriorityUpload
	case c.MayWait:
		return config.PriorityDeferrable
	default:
		return config.PriorityInteractive
	}
}

func (g *generator) targets(at string, s *Service) []config.Target {
	var result []config.Target
	add := func(from string, t config.Target, nameFrom, addressFrom string) {
		path := fmt.Sprintf("%s.targets[%d]", at, len(result))
		result = append(result, t)
		g.note(path+".name", t.Name, "servers of a group are named service-zone-number", nameFrom)
		g.note(path+".address", t.Address, "{n} stands for the number of the server", addressFrom)
		g.note(path+".zone", t.Zone, taken, from+".zone")
		g.note(path+".slots", t.Slots, taken, at+".slots")
		g.note(path+".connections", t.Connections, "from all entry instances together", at+".connections")
	}
	for i, group := range s.Groups {
		from := fmt.Sprintf("%s.groups[%d]", at, i)
		first, _ := either(group.First, 1)
		for n := first; n < first+min(group.Count, config.MaxTargets); n++ {
			number := strconv.Itoa(n)
			add(from, config.Target{
				Name:    fmt.Sprintf("%s-%s-%s", s.Name, group.Zone, number),
				Address: strings.ReplaceAll(group.AddressPattern, placeholder, number),
				Zone:    group.Zone, Slots: s.Slots, Connections: s.Connections,
			}, from+".first", from+".address_pattern")
		}
	}
	for i, server := range s.Servers {
		from := fmt.Sprintf("%s.servers[%d]", at, i)
		add(from, config.Target{
			Name: server.Name, Address: server.Address, Zone: server.Zone,
			Slots: s.Slots, Connections: s.Connections,
		}, from+".name", from+".address")
	}
	return result
}
