// Package docgen generates docs/configuration.md and the JSON Schema of the
// questionnaire from the structs of the packages settings, questionnaire and
// config. The doc comments of the fields become their descriptions.
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

// module is the path of this module, as jsonschema uses it in its comment map.
const module = "fulmarhoist.example"

// Files maps the paths of the generated files, relative to the root of the
// repository, to their content.
type Files map[string][]byte

// UndocumentedError lists the fields that have no doc comment.
type UndocumentedError struct{ Fields []string }

func (e *UndocumentedError) Error() string {
	return "fields without a doc comment: " + strings.Join(e.Fields, ", ")
}

// MissingTypeError reports a struct that is not declared in the expected package.
type MissingTypeError struct{ Type string }

func (e *MissingTypeError) Error() string { return "undeclared struct " + e.Type }

// Generate generates all files. root is the path of the root of the repository.
func Generate(root string) (Files, error) {
	page, err := renderPage(root)
	if err != nil {
		return nil, fmt.Errorf("generating the configuration page: %w", err)
	}
	schema, err := renderSchema(root)
	if err != nil {
		return nil, fmt.Errorf("generating the schema of the answers: %w", err)
	}
	return Files{"docs/configuration.md": page, "examples/answers.schema.json": schema}, nil
}

// field is one field of a struct with a json tag.
type field struct {
	name     string // in JSON
	goName   string
	doc      string
	typeExpr ast.Expr
	optional bool
}

// parsedPackage holds the type declarations of one package.
type parsedPackage struct {
	dir        string
	structs    map[string][]field
	typeDocs   map[string]string // doc comments of types
	namedBasic map[string]string // basic type of named types, such as string for Priority
}

// parsePackage parses the files of the package in dir, without its tests.
func parsePackage(root, dir string) (*parsedPackage, error) {
	p := &parsedPackage{dir: dir, structs: map[string][]field{}, typeDocs: map[string]string{}, namedBasic: map[string]string{}}
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
			if decl, ok := d.(*ast.GenDecl); ok && decl.Tok == token.TYPE {
				p.addTypes(decl)
			}
		}
	}
	return p, nil
}

// addTypes adds the types of a declaration.
func (p *parsedPackage) addTypes(decl *ast.GenDecl) {
	for _, spec := range decl.Specs {
		typeSpec := spec.(*ast.TypeSpec)
		name := typeSpec.Name.Name
		doc := typeSpec.Doc
		if doc == nil {
			doc = decl.Doc
		}
		p.typeDocs[name] = singleLine(doc)
		switch t := typeSpec.Type.(type) {
		case *ast.StructType:
			p.structs[name] = jsonFields(t)
		case *ast.Ident:
			p.namedBasic[name] = t.Name
		}
	}
}

// jsonFields returns the fields of a struct that are encoded as JSON.
func jsonFields(t *ast.StructType) (result []field) {
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
			name: name, goName: f.Names[0].Name, doc: singleLine(f.Doc),
			typeExpr: f.Type, optional: strings.Contains(options, "omitempty"),
		})
	}
	return result
}

// singleLine returns the text of a comment on one line.
func singleLine(doc *ast.CommentGroup) string {
	if doc == nil {
		return ""
	}
	return strings.Join(strings.Fields(doc.Text()), " ")
}

// renderSchema returns the JSON Schema of the answers.
func renderSchema(root string) ([]byte, error) {
	p, err := parsePackage(root, "questionnaire")
	if err != nil {
		return nil, err
	}
	comments := map[string]string{}
	for name, fields := range p.structs {
		typePath := module + "/questionnaire." + name
		comments[typePath] = p.typeDocs[name]
		for _, f := range fields {
			comments[typePath+"."+f.goName] = f.doc
		}
	}
	reflector := &jsonschema.Reflector{CommentMap: comments}
	schema := reflector.Reflect(&questionnaire.Answers{})
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(schema); err != nil {
		return nil, fmt.Errorf("encoding the schema: %w", err)
	}
	return buffer.Bytes(), nil
}
