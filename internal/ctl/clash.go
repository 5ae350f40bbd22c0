package ctl

import (
	"strings"

	"fulmarhoist.example/config"
)

// clash is a field that two operators changed in different ways.
type clash struct {
	Path   string `json:"path"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// clashes lists the fields that both lists of changes, made from the same
// configuration, set to different values. An entry that one adds or removes
// clashes with every change at or below it that the other makes.
func clashes(mine, theirs []config.Change) []clash {
	var found []clash
	for _, m := range mine {
		for _, t := range theirs {
			if !overlap(m.Path, t.Path) || agree(m, t) {
				continue
			}
			path := m.Path
			if len(t.Path) > len(path) {
				path = t.Path
			}
			found = append(found, clash{Path: path, Mine: outcomeOf(m), Theirs: outcomeOf(t)})
		}
	}
	return found
}

// overlap tells whether one path is the other or lies below it. The path of a
// list stands only for the order of its entries.
func overlap(a, b string) bool {
	below := func(path, above string) bool { return strings.HasPrefix(path, above+".") }
	return a == b || below(a, b) || below(b, a)
}

// agree tells whether two changes have the same result. Whether two added
// entries or two orders are equal cannot be told from the changes.
func agree(a, b config.Change) bool {
	if a != b {
		return false
	}
	return a.Kind == config.Changed || a.Kind == config.Removed
}

func outcomeOf(c config.Change) string {
	if c.Kind == config.Changed {
		return c.New
	}
	return string(c.Kind)
}
