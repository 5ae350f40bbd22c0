// Command docgen generates the configuration page and the JSON Schema of the
// questionnaire. Run it in the root of the repository.
package main

import (
	"fmt"
	"os"

	"fulmarhoist.example/internal/docgen"
)

func main() {
	files, err := docgen.Generate(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for path, content := range files {
		if err := os.WriteFile(path, content, 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
