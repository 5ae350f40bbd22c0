package questionnaire

import (
	"fmt"
	"strings"

	"fulmarhoist.example/config"
)

// Validate returns all mistakes of the answers with their paths in the answers.
func (a *Answers) Validate() []config.Problem {
	var ps config.Problems
	total := 0
	for i := range a.Services {
		s, at := &a.Services[i], fmt.Sprintf("services[%d]", i)
		s.validateServers(&ps, at)
		for j := range s.Classes {
			s.Classes[j].validate(&ps, fmt.Sprintf("%s.classes[%d]", at, j))
		}
		for j := range s.Groups {
			total += min(max(s.Groups[j].Count, 0), config.MaxTargets)
		}
	}
	// A huge count is reported without generating that many targets.
	if total > config.MaxTargets {
		ps.Add("services", "the groups have too many servers together", fmt.Sprintf("use at most %d", config.MaxTargets))
		return ps
	}
	g := newGenerator(a)
	g.trace(&ps, config.Validate(g.configuration()))
	return ps
}

// trace adds problems of the generated configuration under the paths of the
// answers that led to them, once per answer.
func (g *generator) trace(ps *config.Problems, found []config.Problem) {
	reported := map[string]struct{}{}
	for _, p := range *ps {
		reported[p.Path] = struct{}{}
	}
	for _, p := range found {
		origin, known := g.origin[p.Path]
		if !known {
			origin = strings.Replace(p.Path, ".targets", ".groups", 1)
		}
		if _, again := reported[origin]; again {
			continue
		}
		reported[origin] = struct{}{}
		ps.Add(origin, p.Fault, p.Remedy)
	}
}

func (s *Service) validateServers(ps *config.Problems, at string) {
	if len(s.Groups)+len(s.Servers) == 0 {
		ps.Add(at+".groups", "the service has neither groups nor listed servers", "add a group, or list servers")
	}
	for i, group := range s.Groups {
		path := fmt.Sprintf("%s.groups[%d]", at, i)
		ps.CheckInt(path+".count", int64(group.Count), config.Range{Min: 1, Max: config.MaxTargets})
		first, _ := either(group.First, 1)
		ps.CheckInt(path+".first", int64(first), config.Range{Min: 0, Max: 1_000_000})
		if group.Count > 1 && !strings.Contains(group.AddressPattern, placeholder) {
			ps.Add(path+".address_pattern", "all servers of the group would have the same address",
				"put {n} in place of the number that differs")
		}
	}
}

func (c *Class) validate(ps *config.Problems, at string) {
	if c.Repeat != RepeatNever && c.Repeat != RepeatIdempotent {
		ps.Add(at+".repeat", fmt.Sprintf("%q is not an answer", config.Shorten(string(c.Repeat))), "use never or idempotent")
	}
	switch config.Priority(c.Priority) {
	case config.PriorityInteractive:
		if c.MayWait {
			ps.Add(at+".may_wait", "an interactive request cannot wait", "use the priority deferrable, or remove may_wait")
		}
		if c.Upload {
			ps.Add(at+".upload", "an upload needs the priority upload", "use the priority upload, or remove upload")
		}
	case config.PriorityUpload:
		if !c.Upload {
			ps.Add(at+".upload", "only uploads have the priority upload", "set upload to true, or use another priority")
		}
	case config.PriorityDeferrable:
		if !c.MayWait {
			ps.Add(at+".may_wait", "a deferrable request must be allowed to wait",
				"set may_wait to true, or use another priority")
		}
	}
}
