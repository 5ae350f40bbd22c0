// Package strictjson decodes JSON files that people write. It reports all
// mistakes at once, each with its path in the file, where encoding/json stops at
// the first.
//
// A field is required unless its tag has omitempty.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"fulmarhoist.example/config"
)

// MaxBytes bounds a file.
const MaxBytes = 4 << 20

// maxDepth bounds the nesting of a file; no settings are nested as deeply.
const maxDepth = 32

// Validator is implemented by types that check their values after decoding.
type Validator interface {
	Validate() []config.Problem
}

// Decode fills the struct that into points to and returns all mistakes. Fields
// with a mistake keep their zero value. If into is a Validator, its problems are
// added, but for those at or below a path that is already reported.
func Decode(data []byte, into any) []config.Problem {
	d := &decoder{}
	root, ok := d.parse(data)
	if !ok {
		return d.problems
	}
	d.fill("", root, reflect.ValueOf(into).Elem())
	if v, ok := into.(Validator); ok {
		decoding := d.problems
		for _, p := range v.Validate() {
			if !reported(decoding, p.Path) {
				d.problems = append(d.problems, p)
			}
		}
	}
	return d.problems
}

// reported tells whether the path, one above it, or one below it has a problem.
func reported(problems []config.Problem, path string) bool {
	for _, p := range problems {
		if within(path, p.Path) || within(p.Path, path) {
			return true
		}
	}
	return false
}

func within(path, above string) bool {
	return above == "" || path == above || strings.HasPrefix(path, above+".") || strings.HasPrefix(path, above+"[")
}

// node is a parsed JSON value. Unlike a map, it keeps repeated fields.
type node struct {
	kind   string // "an object", "a list", "a string", "a number", "true or false" or "null"
	names  []string
	nodes  []node
	scalar string
}

type decoder struct {
	problems config.Problems
	tokens   *json.Decoder
}

func (d *decoder) parse(data []byte) (node, bool) {
	if len(data) > MaxBytes {
		d.problems.Add("", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("use at most %d bytes", MaxBytes))
		return node{}, false
	}
	if !utf8.Valid(data) {
		d.problems.Add("", "the file is not UTF-8 text", "save it as UTF-8")
		return node{}, false
	}
	d.tokens = json.NewDecoder(bytes.NewReader(data))
	d.tokens.UseNumber()
	root, err := d.value(0)
	if err == nil {
		if _, err = d.tokens.Token(); err == nil {
			err = &trailingError{}
		} else if errors.Is(err, io.EOF) {
			return root, true
		}
	}
	line := 1 + bytes.Count(data[:min(int(d.tokens.InputOffset()), len(data))], []byte("\n"))
	d.problems.Add("", fmt.Sprintf("the file is not JSON near line %d: %v", line, err), "correct the syntax")
	return node{}, false
}

type trailingError struct{}

func (*trailingError) Error() string { return "there is text after the end of the value" }

type depthError struct{}

func (*depthError) Error() string { return fmt.Sprintf("it is nested more than %d deep", maxDepth) }

func (d *decoder) value(depth int) (node, error) {
	if depth > maxDepth {
		return node{}, &depthError{}
	}
	token, err := d.tokens.Token()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return node{}, err
	}
	switch t := token.(type) {
	case json.Delim:
		return d.composite(t, depth)
	case string:
		return node{kind: "a string", scalar: t}, nil
	case json.Number:
		return node{kind: "a number", scalar: t.String()}, nil
	case bool:
		return node{kind: "true or false", scalar: strconv.FormatBool(t)}, nil
	default:
		return node{kind: "null"}, nil
	}
}

func (d *decoder) composite(open json.Delim, depth int) (node, error) {
	n := node{kind: "a list"}
	if open == '{' {
		n.kind = "an object"
	}
	for d.tokens.More() {
		if open == '{' {
			name, err := d.tokens.Token()
			if err != nil {
				return node{}, err
			}
			n.names = append(n.names, fmt.Sprint(name))
		}
		entry, err := d.value(depth + 1)
		if err != nil {
			return node{}, err
		}
		n.nodes = append(n.nodes, entry)
	}
	_, err := d.tokens.Token()
	return n, err
}

// wanted names what a Go kind takes.
func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return wanted(t.Elem())
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a number"
	}
}

func (d *decoder) fill(path string, n node, into reflect.Value) {
	if want := wanted(into.Type()); n.kind != want {
		d.problems.Add(path, "it is "+n.kind, "use "+want)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.fill(path, n, into.Elem())
	case reflect.Struct:
		d.fillStruct(path, n, into)
	case reflect.Slice:
		list := reflect.MakeSlice(into.Type(), len(n.nodes), len(n.nodes))
		for i, entry := range n.nodes {
			d.fill(fmt.Sprintf("%s[%d]", path, i), entry, list.Index(i))
		}
		into.Set(list)
	case reflect.String:
		into.SetString(n.scalar)
	case reflect.Bool:
		into.SetBool(n.scalar == "true")
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(n.scalar, 10, 64)
		if err != nil {
			d.problems.Add(path, n.scalar+" is not a whole number in range", "use a whole number")
			return
		}
		into.SetInt(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(n.scalar, 64)
		if err != nil {
			d.problems.Add(path, n.scalar+" is out of range", "use a smaller number")
			return
		}
		into.SetFloat(number)
	default:
		panic("strictjson: unsupported type " + into.Type().String())
	}
}

func (d *decoder) fillStruct(path string, n node, into reflect.Value) {
	fields := map[string]reflect.Value{}
	var required []string
	for i := range into.NumField() {
		tag, options, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		fields[tag] = into.Field(i)
		if !strings.Contains(options, "omitempty") {
			required = append(required, tag)
		}
	}
	seen := map[string]struct{}{}
	for i, name := range n.names {
		at := join(path, name)
		field, known := fields[name]
		_, repeated := seen[name]
		seen[name] = struct{}{}
		switch {
		case !known || name == "":
			d.problems.Add(at, "there is no such field", "remove it or correct its name"+suggest(name, fields))
		case repeated:
			d.problems.Add(at, "the field is given more than once", "keep one of them")
		default:
			d.fill(at, n.nodes[i], field)
		}
	}
	for _, name := range required {
		if _, found := seen[name]; !found {
			d.problems.Add(join(path, name), "the field is missing", "add it; it takes "+wanted(fields[name].Type()))
		}
	}
}

func join(path, name string) string {
	name = config.Shorten(name)
	if path == "" {
		return name
	}
	return path + "." + name
}

// suggest names the known field that differs only in case or separators.
func suggest(name string, fields map[string]reflect.Value) string {
	plain := func(s string) string {
		return strings.ToLower(strings.NewReplacer("_", "", "-", "", " ", "").Replace(s))
	}
	for known := range fields {
		if plain(known) == plain(name) {
			return " to " + known
		}
	}
	return ""
}
