package config

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Problem is one validation error. Path is the field, for example
// services[1].targets[3].zone, Fault says what is wrong with it, and Remedy how
// to correct it.
type Problem struct {
	Path   string `json:"path"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; %s", p.Path, p.Fault, p.Remedy)
}

// InvalidError reports all problems of a configuration, or of a file from which
// one is generated.
type InvalidError struct {
	Subject  string // what was validated, for example "configuration"
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%s has %d problems", e.Subject, len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n  ")
}

// Problems collects problems in the order in which they are found.
type Problems []Problem

// Add appends a problem.
func (ps *Problems) Add(path, fault, remedy string) {
	*ps = append(*ps, Problem{Path: path, Fault: fault, Remedy: remedy})
}

// Range is a range of allowed numbers; both bounds are inclusive.
type Range struct{ Min, Max int64 }

// CheckInt adds a problem if value is outside the allowed range.
func (ps *Problems) CheckInt(path string, value int64, allowed Range) {
	if value < allowed.Min || value > allowed.Max {
		ps.Add(path, fmt.Sprintf("%d is out of range", value),
			fmt.Sprintf("use a number from %d to %d", allowed.Min, allowed.Max))
	}
}

// CheckFloat adds a problem if value is not between 0 and limit, or is NaN.
func (ps *Problems) CheckFloat(path string, value, limit float64) {
	if value >= 0 && value <= limit {
		return
	}
	ps.Add(path, strconv.FormatFloat(value, 'g', -1, 64)+" is out of range",
		"use a number from 0 to "+strconv.FormatFloat(limit, 'f', -1, 64))
}

// maxNameBytes is the maximum length of a name in bytes, the same as that of a
// DNS label. Names appear in headers, metric labels and command lines.
const maxNameBytes = 63

// CheckName adds a problem if value is not a valid name.
func (ps *Problems) CheckName(path, value string) {
	if !ValidName(value) {
		ps.Add(path, fmt.Sprintf("%q is not a valid name", Shorten(value)),
			"use 1 to 63 of the characters a-z, A-Z, 0-9, '.', '_' and '-', beginning with a letter or digit")
	}
}

// ValidName reports whether s is a valid name: 1 to 63 of the characters a-z,
// A-Z, 0-9, '.', '_' and '-', beginning with a letter or digit.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letterOrDigit := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letterOrDigit && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}

// CheckText adds a problem if value is empty, longer than limit bytes, not
// valid UTF-8 or not printable.
func (ps *Problems) CheckText(path, value string, limit int) {
	ok := value != "" && len(value) <= limit && utf8.ValidString(value)
	for _, r := range value {
		ok = ok && strconv.IsPrint(r)
	}
	if !ok {
		ps.Add(path, fmt.Sprintf("%q is not valid text", Shorten(value)),
			fmt.Sprintf("use 1 to %d bytes of printable UTF-8 text on one line", limit))
	}
}

// CheckAddress adds a problem if value is not host:port.
func (ps *Problems) CheckAddress(path, value string) {
	if !ValidAddress(value) {
		ps.Add(path, fmt.Sprintf("%q is not a valid address", Shorten(value)),
			"use host:port with a port from 1 to 65535, for example 127.0.0.1:9000 or [::1]:9000")
	}
}

// ValidAddress reports whether s is host:port with a port from 1 to 65535. The
// host is not resolved.
func ValidAddress(s string) bool {
	colon := strings.LastIndexByte(s, ':')
	if colon <= 0 || len(s) > 260 {
		return false
	}
	host, port := s[:colon], s[colon+1:]
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || port[0] == '0' || port[0] == '+' {
		return false
	}
	if strings.HasPrefix(host, "[") {
		inner := strings.TrimSuffix(host[1:], "]")
		return len(inner) >= 2 && len(inner) == len(host)-2 && strings.Contains(inner, ":") &&
			strings.Trim(inner, "0123456789abcdefABCDEF:.") == ""
	}
	for i := range len(host) {
		c := host[i]
		letterOrDigit := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letterOrDigit && c != '.' && c != '-' {
			return false
		}
	}
	return true
}

// Shorten truncates s to at most 80 bytes for use in a message, followed by
// "...".
func Shorten(s string) string {
	const limitBytes = 80
	if len(s) <= limitBytes {
		return s
	}
	cut := limitBytes
	for cut > 0 && !utf8.RuneStart(s[cut]) {
		cut--
	}
	return s[:cut] + "..."
}

// UniqueValues finds duplicates among values that must be unique. It maps each
// value to the path at which it was first used.
type UniqueValues map[string]string

// Check records that value is used at path. It adds a problem if the value was
// already used at another path.
func (u UniqueValues) Check(ps *Problems, path, value string) {
	if value == "" {
		return // the check of the value itself reports an empty one
	}
	if first, found := u[value]; found {
		ps.Add(path, fmt.Sprintf("%q is already used at %s", Shorten(value), first), "use a different value")
		return
	}
	u[value] = path
}
