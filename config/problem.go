package config

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Problem is one fault of a configuration. Path names the field, for example
// services[1].targets[3].zone, and Remedy tells how to correct it.
type Problem struct {
	Path   string `json:"path"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; %s", p.Path, p.Fault, p.Remedy)
}

// InvalidError lists all problems of a configuration or of a file that it is
// made from.
type InvalidError struct {
	What     string // for example "configuration"
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%s has %d problems", e.What, len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n  ")
}

// Problems collects problems in the order in which they are found.
type Problems []Problem

// Add reports a problem.
func (ps *Problems) Add(path, fault, remedy string) {
	*ps = append(*ps, Problem{Path: path, Fault: fault, Remedy: remedy})
}

// Range is an inclusive range of allowed numbers.
type Range struct{ Min, Max int64 }

// Int reports a number outside of the range.
func (ps *Problems) Int(path string, value int64, allowed Range) {
	if value < allowed.Min || value > allowed.Max {
		ps.Add(path, fmt.Sprintf("%d is out of range", value),
			fmt.Sprintf("use a number from %d to %d", allowed.Min, allowed.Max))
	}
}

// Float reports a number outside of 0 to limit, or one that is not a number.
func (ps *Problems) Float(path string, value, limit float64) {
	if value >= 0 && value <= limit {
		return
	}
	ps.Add(path, strconv.FormatFloat(value, 'g', -1, 64)+" is out of range",
		"use a number from 0 to "+strconv.FormatFloat(limit, 'f', -1, 64))
}

// maxName is the limit of a DNS label; names appear in headers, in metric
// labels and in command lines.
const maxName = 63

// Name reports text that cannot be used as a name.
func (ps *Problems) Name(path, value string) {
	if !ValidName(value) {
		ps.Add(path, fmt.Sprintf("%q is not a name", Shorten(value)),
			"use 1 to 63 of the characters a-z, A-Z, 0-9, '.', '_' and '-', beginning with a letter or digit")
	}
}

// ValidName tells whether the text can be used as a name.
func ValidName(s string) bool {
	if s == "" || len(s) > maxName {
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

// Text reports text that is empty, longer than limit bytes, or not printable.
func (ps *Problems) Text(path, value string, limit int) {
	ok := value != "" && len(value) <= limit && utf8.ValidString(value)
	for _, r := range value {
		ok = ok && strconv.IsPrint(r)
	}
	if !ok {
		ps.Add(path, fmt.Sprintf("%q is not a usable text", Shorten(value)),
			fmt.Sprintf("use 1 to %d bytes of printable UTF-8 text on one line", limit))
	}
}

// Address reports text that is not host:port.
func (ps *Problems) Address(path, value string) {
	if !ValidAddress(value) {
		ps.Add(path, fmt.Sprintf("%q is not an address", Shorten(value)),
			"use host:port with a port from 1 to 65535, for example 127.0.0.1:9000 or [::1]:9000")
	}
}

// ValidAddress tells whether the text is host:port. The host is not resolved.
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

// Shorten cuts text for use in a message.
func Shorten(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	cut := limit
	for cut > 0 && !utf8.RuneStart(s[cut]) {
		cut--
	}
	return s[:cut] + "..."
}

// Seen finds values that must be unique.
type Seen map[string]string

// Once reports a value that was used before, at another path.
func (s Seen) Once(ps *Problems, path, value string) {
	if value == "" {
		return // an empty value is reported by its own check
	}
	if first, found := s[value]; found {
		ps.Add(path, fmt.Sprintf("%q is already used at %s", Shorten(value), first), "use a different value")
		return
	}
	s[value] = path
}
