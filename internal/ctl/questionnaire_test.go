package ctl_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/internal/ctl"
	"fulmarhoist.example/questionnaire"
)

// fieldNames returns the JSON names of all fields of a type, including nested
// ones.
func fieldNames(t reflect.Type) (names []string) {
	switch t.Kind() {
	case reflect.Slice, reflect.Pointer:
		return fieldNames(t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			names = append(append(names, name), fieldNames(t.Field(i).Type)...)
		}
	}
	return names
}

var _ = Describe("questionnaire", func() {
	var path string
	BeforeEach(func() { path = filepath.Join(GinkgoT().TempDir(), "answers.jsonc") })

	// Guards against an example that is invalid or lacks a new field.
	It("writes a commented example that is valid and has every field", func() {
		code, _, stderr := runCtl("questionnaire", "new", "--file", path)
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		code, out, _ := runCtl("questionnaire", "check", path)
		Expect(code).To(Equal(ctl.ExitOK), out)
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		for _, name := range fieldNames(reflect.TypeFor[questionnaire.Answers]()) {
			Expect(string(text)).To(ContainSubstring(`"` + name + `":`))
		}
		code, _, _ = runCtl("questionnaire", "new", "--file", path)
		Expect(code).To(Equal(ctl.ExitUsage), "must not overwrite")
	})

	// Guards against embedded copies that differ from the examples.
	It("writes the included deployments", func() {
		examples, err := filepath.Glob("../../examples/*.json")
		Expect(err).NotTo(HaveOccurred())
		included := 0
		for _, example := range examples {
			name := strings.TrimSuffix(filepath.Base(example), ".json")
			if name == "answers.schema" {
				continue
			}
			want, err := os.ReadFile(example)
			Expect(err).NotTo(HaveOccurred())
			code, out, _ := runCtl("questionnaire", "new", "--deployment", name)
			Expect(code).To(Equal(ctl.ExitOK), name)
			Expect(out).To(Equal(string(want)))
			included++
		}
		Expect(included).To(Equal(2))
		for _, name := range []string{"x", "../answers"} {
			code, _, stderr := runCtl("questionnaire", "new", "--deployment", name)
			Expect(code).To(Equal(ctl.ExitUsage))
			Expect(stderr).To(ContainSubstring("hutovissza-gel-pack-returns or tsenher"))
		}
	})

	// Guards against reporting only the first mistake.
	It("lists all mistakes with path and remedy", func() {
		_, text, _ := runCtl("questionnaire", "new")
		text = strings.Replace(text, `"max_instances": 7`, `"max_instances": "7"`, 1)
		text = strings.Replace(text, `"repeat": "never"`, `"repeat": "no"`, 1)
		text = strings.Replace(text, `"title"`, `"titel"`, 1)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		code, out, stderr := runCtl("questionnaire", "check", path)
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(out).To(MatchRegexp(`max_instances +it is a string +use a number`))
		Expect(out).To(MatchRegexp(`services\[0\]\.classes\[1\]\.repeat +"no" is not an answer +use never or idempotent`))
		Expect(out).To(MatchRegexp(`\ntitel +there is no such field`))
		Expect(out).To(MatchRegexp(`\ntitle +the field is missing`))
		Expect(stderr).To(ContainSubstring("has 4 mistakes"))

		code, out, _ = runCtl("questionnaire", "check", path, "--output", "json")
		Expect(code).To(Equal(ctl.ExitUsage))
		var result struct {
			Valid    bool
			Problems []config.Problem
		}
		Expect(json.Unmarshal([]byte(out), &result)).To(Succeed())
		Expect(result.Valid).To(BeFalse())
		Expect(result.Problems).To(HaveLen(4))
		for _, command := range []string{"generate", "explain"} {
			code, out, stderr = runCtl("questionnaire", command, path)
			Expect(code).To(Equal(ctl.ExitUsage))
			Expect(out).To(BeEmpty())
			Expect(stderr).To(ContainSubstring("titel: there is no such field"))
		}
		code, _, _ = runCtl("questionnaire", "check", "/nonexistent")
		Expect(code).To(Equal(ctl.ExitUsage))
	})

	// Guards against comments that shift the reported line of a syntax error.
	It("names the line of a syntax error below comments", func() {
		Expect(os.WriteFile(path, []byte("// one\n  // two\n{\n  \"title\": \"a // b\",\n  oops\n}\n"), 0o600)).To(Succeed())
		_, out, _ := runCtl("questionnaire", "check", path)
		Expect(out).To(ContainSubstring("near line 5"))
	})

	// Guards against output that differs between runs, and against settings
	// without an explanation.
	It("generates the same configuration each time and explains it", func() {
		example := "../../examples/hutovissza-gel-pack-returns.json"
		code, first, _ := runCtl("questionnaire", "generate", example)
		Expect(code).To(Equal(ctl.ExitOK))
		_, again, _ := runCtl("questionnaire", "generate", example)
		Expect(again).To(Equal(first))
		var c config.Configuration
		Expect(json.Unmarshal([]byte(first), &c)).To(Succeed())
		Expect(config.Validate(&c)).To(BeEmpty())

		code, out, _ := runCtl("questionnaire", "explain", example)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`services\[0\]\.targets\[4\]\.address +127\.0\.0\.1:23101 +services\[0\]\.groups\[1\]\.address_pattern +\{n\}`))
		_, out, _ = runCtl("questionnaire", "explain", example, "--output", "json")
		Expect(out).To(ContainSubstring(`"path": "max_instances"`))
	})
})
