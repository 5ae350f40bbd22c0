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

// asTree returns the decoded JSON of a value.
func asTree(value any) (tree any) {
	data, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(data, &tree)).To(Succeed())
	return tree
}

// leaves lists the paths of all values that are neither objects nor lists.
func leaves(path string, tree any) (paths []string) {
	switch tree := tree.(type) {
	case map[string]any:
		for name, value := range tree {
			paths = append(paths, leaves(strings.TrimPrefix(path+"."+name, "."), value)...)
		}
	case []any:
		for i, value := range tree {
			paths = append(paths, leaves(fmt.Sprintf("%s[%d]", path, i), value)...)
		}
	default:
		paths = append(paths, path)
	}
	return paths
}
