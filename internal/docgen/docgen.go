// Package docgen generates docs/configuration.md and the JSON Schema of the
// questionnaire from the typed structs of the settings, questionnaire and config
// packages. The field docs are the manual.
package docgen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/invopop/jsonschema"

	"fulmarhoist.example/questionnaire"
)

const module = "fulmarhoist.example"

// Files are the generated files, by path from the root of the repository.
type Files map[string][]byte

// UndocumentedError lists fields without a description.
type UndocumentedError struct{ Fields []string }

func (e *UndocumentedError) Error() string {
	return "these fields have no description: " + strings.Join(e.Fields, ", ")
}

// MissingTypeError reports a type that is not declared where it is expected.
type MissingTypeError struct{ Type string }

func (e *MissingTypeError) Error() string { return "there is no struct " + e.Type }

// Generate returns all generated files. Root is the root of the repository.
func Generate(root string) (Files, error) {
	page, err := page(root)
	if err != nil {
		return nil, fmt.Errorf("generating the configuration page: %w", err)
	}
	schema, err := schema(root)
	if err != nil {
		return nil, fmt.Errorf("generating the schema of the answers: %w", err)
	}
	return Files{"docs/configuration.md": page, "examples/answers.schema.json": schema}, nil
}

// field is one field of a struct.
type field struct {
	name     string // in JSON
	goName   string
	doc      string
	kind     ast.Expr
	optional bool
}

// source is the parsed source of one package.
type source struct {
	dir     string
	structs map[string][]field
	docs    map[string]string // of types
	basic   map[string]string // named types of basic kinds
}

func parse(root, dir string) (*source, error) {
	s := &source{dir: dir, structs: map[string][]field{}, docs: map[string]string{}, basic: map[string]string{}}
	paths, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	if err != nil {
		return nil, fmt.Errorf("listing %s: %w", dir, err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("listing %s: %w", dir, fs.ErrNotExist)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return nil, fmt.Errorf("parsing %s: %w", path, err)
		}
		for _, d := range file.Decls {
			if general, ok := d.(*ast.GenDecl); ok && general.Tok == token.TYPE {
				s.addTypes(general)
			}
		}
	}
	return s, nil
}

func (s *source) addTypes(d *ast.GenDecl) {
	for _, spec := range d.Specs {
		declared := spec.(*ast.TypeSpec)
		name := declared.Name.Name
		doc := declared.Doc
		if doc == nil {
			doc = d.Doc
		}
		s.docs[name] = line(doc)
		switch t := declared.Type.(type) {
		case *ast.StructType:
			s.structs[name] = fields(t)
		case *ast.Ident:
			s.basic[name] = t.Name
		}
	}
}

func fields(t *ast.StructType) (result []field) {
	for _, f := range t.Fields.List {
		if f.Tag == nil || len(f.Names) != 1 {
			continue
		}
		tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("json")
		name, options, _ := strings.Cut(tag, ",")
		if name == "" || name == "-" {
			continue
		}
		result = append(result, field{
			name: name, goName: f.Names[0].Name, doc: line(f.Doc),
			kind: f.Type, optional: strings.Contains(options, "omitempty"),
		})
	}
	return result
}

// line joins a comment to one line.
func line(doc *ast.CommentGroup) string {
	if doc == nil {
		return ""
	}
	return strings.Join(strings.Fields(doc.Text()), " ")
}

// schema returns the JSON Schema of the answers.
func schema(root string) ([]byte, error) {
	s, err := parse(root, "questionnaire")
	if err != nil {
		return nil, err
	}
	comments := map[string]string{}
	for name, list := range s.structs {
		at := module + "/questionnaire." + name
		comments[at] = s.docs[name]
		for _, f := range list {
			comments[at+"."+f.goName] = f.doc
		}
	}
	reflector := &jsonschema.Reflector{CommentMap: comments}
	reflected := reflector.Reflect(&questionnaire.Answers{})
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(reflected); err != nil {
		return nil, fmt.Errorf("encoding the schema: %w", err)
	}
	return buffer.Bytes(), nil
}
