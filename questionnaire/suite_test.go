package questionnaire_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuestionnaire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "questionnaire")
}

// jsonTree encodes a value as JSON and decodes it into maps and slices.
func jsonTree(value any) (tree any) {
	data, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(data, &tree)).To(Succeed())
	return tree
}

// leafPaths returns the paths of all values that are neither objects nor
// arrays.
func leafPaths(path string, tree any) (paths []string) {
	switch tree := tree.(type) {
	case map[string]any:
		for name, value := range tree {
			paths = append(paths, leafPaths(strings.TrimPrefix(path+"."+name, "."), value)...)
		}
	case []any:
		for i, value := range tree {
			paths = append(paths, leafPaths(fmt.Sprintf("%s[%d]", path, i), value)...)
		}
	default:
		paths = append(paths, path)
	}
	return paths
}
