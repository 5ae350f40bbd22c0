package questionnaire

import (
	"fmt"
	"strings"

	"fulmarhoist.example/config"
)

// Validate returns all problems of the answers, each with its path in the
// answers.
func (a *Answers) Validate() []config.Problem {
	var ps config.Problems
	serversInGroups := 0
	for i := range a.Services {
		s, path := &a.Services[i], fmt.Sprintf("services[%d]", i)
		s.validateServers(&ps, path)
		for j := range s.Classes {
			s.Classes[j].validate(&ps, fmt.Sprintf("%s.classes[%d]", path, j))
		}
		for j := range s.Groups {
			serversInGroups += min(max(s.Groups[j].Count, 0), config.MaxTargets)
		}
	}
	// Report a huge count without generating that many targets.
	if serversInGroups > config.MaxTargets {
		ps.Add("services", fmt.Sprintf("the groups have more than %d servers in total", config.MaxTargets), fmt.Sprintf("use at most %d", config.MaxTargets))
		return ps
	}
	g := newGenerator(a)
	g.addAtAnswers(&ps, config.Validate(g.configuration()))
	return ps
}

// addAtAnswers adds problems of the generated configuration at the paths of the
// answers that they come from, at most one per answer.
func (g *generator) addAtAnswers(ps *config.Problems, found []config.Problem) {
	reported := map[string]struct{}{}
	for _, p := range *ps {
		reported[p.Path] = struct{}{}
	}
	for _, p := range found {
		answerPath, known := g.answerPaths[p.Path]
		if !known {
			answerPath = strings.Replace(p.Path, ".targets", ".groups", 1)
		}
		if _, again := reported[answerPath]; again {
			continue
		}
		reported[answerPath] = struct{}{}
		ps.Add(answerPath, p.Fault, p.Remedy)
	}
}

func (s *Service) validateServers(ps *config.Problems, path string) {
	if len(s.Groups)+len(s.Servers) == 0 {
		ps.Add(path+".groups", "the service has neither groups nor listed servers", "add a group, or list servers")
	}
	for i, group := range s.Groups {
		groupPath := fmt.Sprintf("%s.groups[%d]", path, i)
		ps.CheckInt(groupPath+".count", int64(group.Count), config.Range{Min: 1, Max: config.MaxTargets})
		first, _ := valueOr(group.First, 1)
		ps.CheckInt(groupPath+".first", int64(first), config.Range{Min: 0, Max: 1_000_000})
		if group.Count > 1 && !strings.Contains(group.AddressPattern, placeholder) {
			ps.Add(groupPath+".address_pattern", "all servers of the group would have the same address",
				"put {n} in place of the number of the server")
		}
	}
}

func (c *Class) validate(ps *config.Problems, path string) {
	if c.Repeat != RepeatNever && c.Repeat != RepeatIdempotent {
		ps.Add(path+".repeat", fmt.Sprintf("%q is not an answer", config.Shorten(string(c.Repeat))), "use never or idempotent")
	}
	switch config.Priority(c.Priority) {
	case config.PriorityInteractive:
		if c.MayWait {
			ps.Add(path+".may_wait", "an interactive request cannot wait", "use the priority deferrable, or remove may_wait")
		}
		if c.Upload {
			ps.Add(path+".upload", "an upload needs the priority upload", "use the priority upload, or remove upload")
		}
	case config.PriorityUpload:
		if !c.Upload {
			ps.Add(path+".upload", "only uploads have the priority upload", "set upload to true, or use another priority")
		}
	case config.PriorityDeferrable:
		if !c.MayWait {
			ps.Add(path+".may_wait", "a deferrable request must be allowed to wait",
				"set may_wait to true, or use another priority")
		}
	}
}
