package ctl

import (
	"strings"

	"fulmarhoist.example/config"
)

// conflict is a field that two operators set to different values.
type conflict struct {
	Path   string `json:"path"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// conflicts returns the fields that two lists of changes to the same base
// configuration set to different values. An entry that one of them adds or
// removes conflicts with every change of the other at or below its path.
func conflicts(mine, theirs []config.Change) []conflict {
	var list []conflict
	for _, m := range mine {
		for _, t := range theirs {
			if !overlap(m.Path, t.Path) || sameResult(m, t) {
				continue
			}
			path := m.Path
			if len(t.Path) > len(path) {
				path = t.Path
			}
			list = append(list, conflict{Path: path, Mine: resultOf(m), Theirs: resultOf(t)})
		}
	}
	return list
}

// overlap reports whether the paths are equal or one lies below the other. The
// path of a list itself stands only for the order of its entries.
func overlap(a, b string) bool {
	below := func(path, above string) bool { return strings.HasPrefix(path, above+".") }
	return a == b || below(a, b) || below(b, a)
}

// sameResult reports whether two changes are known to have the same result. A
// change does not hold the content of an added entry or the new order of a list,
// so these never count as equal.
func sameResult(a, b config.Change) bool {
	if a != b {
		return false
	}
	return a.Kind == config.Changed || a.Kind == config.Removed
}

func resultOf(c config.Change) string {
	if c.Kind == config.Changed {
		return c.New
	}
	return string(c.Kind)
}
