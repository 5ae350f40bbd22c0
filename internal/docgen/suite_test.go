package docgen_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/docgen"
)

func TestDocgen(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "docgen")
}

var _ = Describe("Generated files", func() {
	const root = "../.."

	// Guards against a page or schema that is not generated again after a change
	// of the structs.
	It("are up to date", func() {
		files, err := docgen.Generate(root)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(2))
		for path, content := range files {
			committed, err := os.ReadFile(filepath.Join(root, path))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(committed)).To(Equal(string(content)), path+" is out of date; run: go run ./internal/docgen/cmd/docgen")
		}
	})

	// Guards against a field that is missing a description on the page.
	It("are not generated if a field has no doc comment", func() {
		dir := GinkgoT().TempDir()
		for _, name := range []string{"settings/Settings", "questionnaire/Answers", "config/Configuration"} {
			pkg, root := filepath.Split(name)
			Expect(os.Mkdir(filepath.Join(dir, pkg), 0o755)).To(Succeed())
			source := "package p\n\ntype " + root + " struct {\n\tField string `json:\"field\"`\n}\n"
			Expect(os.WriteFile(filepath.Join(dir, pkg, "p.go"), []byte(source), 0o600)).To(Succeed())
		}
		_, err := docgen.Generate(dir)
		Expect(err).To(MatchError(ContainSubstring("settings: field, questionnaire: field, config: field")))
	})
})
