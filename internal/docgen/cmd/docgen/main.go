// Command docgen writes the generated files; run it at the root of the
// repository.
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
