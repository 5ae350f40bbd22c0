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
	// defaultQueuePerSlot is the maximum number of waiting requests per slot: a
	// full queue holds four rounds of work for all slots.
	defaultQueuePerSlot = 4
)

// placeholder stands for the number of a server in an address pattern.
const placeholder = "{n}"

// Setting is one setting of the generated configuration, with the answers and
// the rule that determine it.
type Setting struct {
	Path    string   `json:"path"` // in the configuration
	Value   string   `json:"value"`
	Answers []string `json:"answers"` // paths in the answers
	Rule    string   `json:"rule"`
}

func (s Setting) String() string {
	return fmt.Sprintf("%s = %s: from %s; %s", s.Path, s.Value, strings.Join(s.Answers, ", "), s.Rule)
}

// Generate generates the configuration from the answers. The error is a
// *config.InvalidError that lists all problems of the answers.
func Generate(a Answers) (*config.Configuration, error) {
	if problems := a.Validate(); len(problems) > 0 {
		return nil, &config.InvalidError{Subject: "the questionnaire", Problems: problems}
	}
	return newGenerator(&a).configuration(), nil
}

// Explain returns each setting of the generated configuration with the answers
// that determine it, in the order in which they are generated. Its errors are
// those of Generate.
func Explain(a Answers) ([]Setting, error) {
	if problems := a.Validate(); len(problems) > 0 {
		return nil, &config.InvalidError{Subject: "the questionnaire", Problems: problems}
	}
	g := newGenerator(&a)
	g.configuration()
	return g.settings, nil
}

// generator generates the configuration. It records which answers determine
// each setting, so that problems of the configuration can be reported at the
// answers.
type generator struct {
	answers     *Answers
	settings    []Setting
	answerPaths map[string]string // path in the configuration to path in the answers
}

func newGenerator(a *Answers) *generator {
	return &generator{answers: a, answerPaths: map[string]string{}}
}

// record adds a setting. Problems of the setting are reported at the first of
// the answers.
func (g *generator) record(path string, value any, rule string, answers ...string) {
	g.settings = append(g.settings, Setting{Path: path, Value: fmt.Sprint(value), Answers: answers, Rule: rule})
	g.answerPaths[path] = answers[0]
}

// ruleAsAnswered is the rule of settings that are copied from an answer.
const ruleAsAnswered = "taken as answered"

// valueOr returns the value of an optional answer, or the default if it was
// left out, and the rule to record.
func valueOr(answer *int, defaultValue int) (int, string) {
	if answer == nil {
		return defaultValue, "default, as there is no answer"
	}
	return *answer, ruleAsAnswered
}

func (g *generator) configuration() *config.Configuration {
	a := g.answers
	c := &config.Configuration{
		Deployment: a.Title, MaxInstances: a.MaxInstances,
		Measuring: config.Measuring{ProbesPerSecond: a.ProbesPerSecond},
	}
	g.record("deployment", strconv.Quote(c.Deployment), ruleAsAnswered, "title")
	g.record("max_instances", c.MaxInstances, ruleAsAnswered, "max_instances")
	var rule string
	c.DirectoryLifetimeMs, rule = valueOr(a.DirectoryLifetimeMs, DefaultDirectoryLifetimeMs)
	g.record("directory_lifetime_ms", c.DirectoryLifetimeMs, rule, "directory_lifetime_ms")
	g.record("measuring.probes_per_second", c.Measuring.ProbesPerSecond,
		fmt.Sprintf("per server; each entry instance may spend a share of 1/%d", a.MaxInstances),
		"probes_per_second", "max_instances")
	for i, z := range a.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		c.Zones = append(c.Zones, config.Zone{Name: z.Name, Region: z.Region, RoundTripMs: z.RoundTripMs})
		g.record(path+".name", z.Name, ruleAsAnswered, path+".name")
		g.record(path+".region", z.Region, ruleAsAnswered, path+".region")
		g.record(path+".round_trip_ms", z.RoundTripMs, ruleAsAnswered, path+".round_trip_ms")
	}
	for i := range a.Services {
		c.Services = append(c.Services, g.service(fmt.Sprintf("services[%d]", i), &a.Services[i]))
	}
	return c
}

func (g *generator) service(path string, s *Service) config.Service {
	result := config.Service{Name: s.Name}
	g.record(path+".name", s.Name, ruleAsAnswered, path+".name")
	for i := range s.Classes {
		result.Classes = append(result.Classes, g.class(fmt.Sprintf("%s.classes[%d]", path, i), &s.Classes[i]))
	}
	result.Targets = g.targets(path, s)
	coldStart := &result.ColdStart
	var rule string
	coldStart.MaxConcurrent, coldStart.DurationMs = s.ColdStart.MaxConcurrent, s.ColdStart.DurationMs
	g.record(path+".cold_start.bears", coldStart.MaxConcurrent, "over all entry instances together", path+".cold_start.bears")
	g.record(path+".cold_start.duration_ms", coldStart.DurationMs, ruleAsAnswered, path+".cold_start.for_ms")
	coldStart.Answers, rule = valueOr(s.ColdStart.Answers, DefaultColdAnswers)
	g.record(path+".cold_start.answers", coldStart.Answers, rule, path+".cold_start.answers")
	result.QueueLimit, rule = valueOr(s.QueueLimit, defaultQueuePerSlot*s.Slots*len(result.Targets))
	if s.QueueLimit == nil {
		rule = fmt.Sprintf("%d times the slots of all %d servers", defaultQueuePerSlot, len(result.Targets))
	}
	g.record(path+".queue_limit", result.QueueLimit, rule, path+".queue_limit", path+".slots", path+".groups", path+".servers")
	result.RetryPercent, rule = valueOr(s.RetryPercent, DefaultRetryPercent)
	g.record(path+".retry_percent", result.RetryPercent, rule, path+".retry_percent")
	return result
}

func (g *generator) class(path string, c *Class) config.Class {
	result := config.Class{
		Name: c.Name, Priority: c.priority(), Idempotent: c.Repeat == RepeatIdempotent,
		DeadlineMs: c.DeadlineMs, MaxBodyBytes: c.MaxBodyBytes,
	}
	g.record(path+".name", c.Name, ruleAsAnswered, path+".name")
	rule := ruleAsAnswered
	if c.Priority == "" {
		rule = "upload for uploads, deferrable for requests that may wait, interactive for all others"
	}
	g.record(path+".priority", result.Priority, rule, path+".priority", path+".upload", path+".may_wait")
	g.record(path+".idempotent", result.Idempotent, "true only for repeat = idempotent", path+".repeat")
	g.record(path+".deadline_ms", c.DeadlineMs, ruleAsAnswered, path+".deadline_ms")
	g.record(path+".max_body_bytes", c.MaxBodyBytes, ruleAsAnswered, path+".max_body_bytes")
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

func (g *generator) targets(servicePath string, s *Service) []config.Target {
	var result []config.Target
	add := func(answerPath string, t config.Target, namePath, addressPath string) {
		targetPath := fmt.Sprintf("%s.targets[%d]", servicePath, len(result))
		result = append(result, t)
		g.record(targetPath+".name", t.Name, "servers of a group are named service-zone-number", namePath)
		g.record(targetPath+".address", t.Address, "{n} stands for the number of the server", addressPath)
		g.record(targetPath+".zone", t.Zone, ruleAsAnswered, answerPath+".zone")
		g.record(targetPath+".slots", t.Slots, ruleAsAnswered, servicePath+".slots")
		g.record(targetPath+".connections", t.Connections, "from all entry instances together", servicePath+".connections")
	}
	for i, group := range s.Groups {
		answerPath := fmt.Sprintf("%s.groups[%d]", servicePath, i)
		first, _ := valueOr(group.First, 1)
		for n := first; n < first+min(group.Count, config.MaxTargets); n++ {
			number := strconv.Itoa(n)
			add(answerPath, config.Target{
				Name:    fmt.Sprintf("%s-%s-%s", s.Name, group.Zone, number),
				Address: strings.ReplaceAll(group.AddressPattern, placeholder, number),
				Zone:    group.Zone, Slots: s.Slots, Connections: s.Connections,
			}, answerPath+".first", answerPath+".address_pattern")
		}
	}
	for i, server := range s.Servers {
		answerPath := fmt.Sprintf("%s.servers[%d]", servicePath, i)
		add(answerPath, config.Target{
			Name: server.Name, Address: server.Address, Zone: server.Zone,
			Slots: s.Slots, Connections: s.Connections,
		}, answerPath+".name", answerPath+".address")
	}
	return result
}
