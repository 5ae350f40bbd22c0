// Package strictjson decodes hand-written JSON files. Unlike encoding/json,
// which stops at the first error, it reports all errors at once, each with its
// path in the file. Unknown and repeated fields are errors.
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

// MaxBytes is the maximum size of a file in bytes.
const MaxBytes = 4 << 20

// maxDepth is the maximum nesting depth of a file, well above that of any
// settings.
const maxDepth = 32

// Validator is implemented by types that validate their values after decoding.
type Validator interface {
	Validate() []config.Problem
}

// Decode decodes data into the struct that dst points to and returns all
// problems. If there are any, the content of dst is incomplete. If dst is a
// Validator, its problems are added, except those at, above or below a path
// that already has a problem.
func Decode(data []byte, dst any) []config.Problem {
	d := &decoder{}
	root, ok := d.parse(data)
	if !ok {
		return d.problems
	}
	d.assign("", root, reflect.ValueOf(dst).Elem())
	if v, ok := dst.(Validator); ok {
		decodeProblems := d.problems
		for _, p := range v.Validate() {
			if !isReported(decodeProblems, p.Path) {
				d.problems = append(d.problems, p)
			}
		}
	}
	return d.problems
}

// isReported reports whether there is a problem at path, above it or below it.
func isReported(problems []config.Problem, path string) bool {
	for _, p := range problems {
		if atOrBelow(path, p.Path) || atOrBelow(p.Path, path) {
			return true
		}
	}
	return false
}

// atOrBelow reports whether path is ancestor or a path below it.
func atOrBelow(path, ancestor string) bool {
	return ancestor == "" || path == ancestor || strings.HasPrefix(path, ancestor+".") || strings.HasPrefix(path, ancestor+"[")
}

// node is a parsed JSON value. Unlike a map, it keeps repeated keys and their
// order.
type node struct {
	jsonType string   // as in messages: "an object", "a list", "a string", "a number", "true or false" or "null"
	keys     []string // of an object, one for each child
	children []node
	scalar   string // text of a string, number or boolean
}

type decoder struct {
	problems config.Problems
	tokens   *json.Decoder
}

// parse parses a whole file. It reports false if that fails, and adds a
// problem.
func (d *decoder) parse(data []byte) (node, bool) {
	if len(data) > MaxBytes {
		d.problems.Add("", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("use at most %d bytes", MaxBytes))
		return node{}, false
	}
	if !utf8.Valid(data) {
		d.problems.Add("", "the file is not valid UTF-8", "save it as UTF-8")
		return node{}, false
	}
	d.tokens = json.NewDecoder(bytes.NewReader(data))
	d.tokens.UseNumber()
	root, err := d.parseValue(0)
	if err == nil {
		if _, err = d.tokens.Token(); err == nil {
			err = &trailingError{}
		} else if errors.Is(err, io.EOF) {
			return root, true
		}
	}
	line := 1 + bytes.Count(data[:min(int(d.tokens.InputOffset()), len(data))], []byte("\n"))
	d.problems.Add("", fmt.Sprintf("invalid JSON near line %d: %v", line, err), "correct the syntax")
	return node{}, false
}

type trailingError struct{}

func (*trailingError) Error() string { return "unexpected text after the top-level value" }

type depthError struct{}

func (*depthError) Error() string { return fmt.Sprintf("nested more than %d levels deep", maxDepth) }

func (d *decoder) parseValue(depth int) (node, error) {
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
		return d.parseComposite(t, depth)
	case string:
		return node{jsonType: "a string", scalar: t}, nil
	case json.Number:
		return node{jsonType: "a number", scalar: t.String()}, nil
	case bool:
		return node{jsonType: "true or false", scalar: strconv.FormatBool(t)}, nil
	default:
		return node{jsonType: "null"}, nil
	}
}

// parseComposite parses the rest of an object or list.
func (d *decoder) parseComposite(opening json.Delim, depth int) (node, error) {
	n := node{jsonType: "a list"}
	if opening == '{' {
		n.jsonType = "an object"
	}
	for d.tokens.More() {
		if opening == '{' {
			key, err := d.tokens.Token()
			if err != nil {
				return node{}, err
			}
			n.keys = append(n.keys, fmt.Sprint(key))
		}
		child, err := d.parseValue(depth + 1)
		if err != nil {
			return node{}, err
		}
		n.children = append(n.children, child)
	}
	_, err := d.tokens.Token()
	return n, err
}

// jsonType describes the JSON type that a field of type t takes.
func jsonType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return jsonType(t.Elem())
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

// assign stores n in dst if the types match.
func (d *decoder) assign(path string, n node, dst reflect.Value) {
	if want := jsonType(dst.Type()); n.jsonType != want {
		d.problems.Add(path, "it is "+n.jsonType, "use "+want)
		return
	}
	switch dst.Kind() {
	case reflect.Pointer:
		dst.Set(reflect.New(dst.Type().Elem()))
		d.assign(path, n, dst.Elem())
	case reflect.Struct:
		d.assignStruct(path, n, dst)
	case reflect.Slice:
		list := reflect.MakeSlice(dst.Type(), len(n.children), len(n.children))
		for i, child := range n.children {
			d.assign(fmt.Sprintf("%s[%d]", path, i), child, list.Index(i))
		}
		dst.Set(list)
	case reflect.String:
		dst.SetString(n.scalar)
	case reflect.Bool:
		dst.SetBool(n.scalar == "true")
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(n.scalar, 10, 64)
		if err != nil {
			d.problems.Add(path, n.scalar+" is not a 64-bit integer", "use a whole number")
			return
		}
		dst.SetInt(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(n.scalar, 64)
		if err != nil {
			d.problems.Add(path, n.scalar+" is out of range", "use a smaller number")
			return
		}
		dst.SetFloat(number)
	default:
		panic("strictjson: unsupported type " + dst.Type().String())
	}
}

// assignStruct stores the object n in the struct dst and reports unknown,
// repeated and missing fields.
func (d *decoder) assignStruct(path string, n node, dst reflect.Value) {
	fields := map[string]reflect.Value{}
	var required []string
	for i := range dst.NumField() {
		tag, options, _ := strings.Cut(dst.Type().Field(i).Tag.Get("json"), ",")
		fields[tag] = dst.Field(i)
		if !strings.Contains(options, "omitempty") {
			required = append(required, tag)
		}
	}
	seen := map[string]struct{}{}
	for i, name := range n.keys {
		fieldPath := joinPath(path, name)
		field, known := fields[name]
		_, repeated := seen[name]
		seen[name] = struct{}{}
		switch {
		case !known || name == "":
			d.problems.Add(fieldPath, "there is no such field", "remove it or correct its name"+suggest(name, fields))
		case repeated:
			d.problems.Add(fieldPath, "the field is given more than once", "keep one of them")
		default:
			d.assign(fieldPath, n.children[i], field)
		}
	}
	for _, name := range required {
		if _, found := seen[name]; !found {
			d.problems.Add(joinPath(path, name), "the field is missing", "add it; it takes "+jsonType(fields[name].Type()))
		}
	}
}

// joinPath appends the name of a field to a path.
func joinPath(path, name string) string {
	name = config.Shorten(name)
	if path == "" {
		return name
	}
	return path + "." + name
}

// suggest returns the end of a remedy that names the known field which differs
// from name only in case or separators, or an empty string if there is none.
func suggest(name string, fields map[string]reflect.Value) string {
	normalize := func(s string) string {
		return strings.ToLower(strings.NewReplacer("_", "", "-", "", " ", "").Replace(s))
	}
	for known := range fields {
		if normalize(known) == normalize(name) {
			return " to " + known
		}
	}
	return ""
}
