// Package knownred tells tests whether KNOWN-RED.txt lists them as failing.
package knownred

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	// listName is the name of the list, at the root of the repository.
	listName = "KNOWN-RED.txt"
	// runEnv is the environment variable that, if set, makes listed tests run.
	runEnv = "FULMARHOIST_RUN_KNOWN_RED"
)

// Skip reports whether the test with the given name is listed, so that it must be
// skipped. The calling test runs in a folder of the repository.
func Skip(test string) (bool, error) {
	if os.Getenv(runEnv) != "" {
		return false, nil
	}
	root, err := repositoryRoot()
	if err != nil {
		return false, err
	}
	listed, err := os.ReadFile(filepath.Join(root, listName))
	if err != nil {
		return false, fmt.Errorf("read the list of tests that fail: %w", err)
	}
	return strings.Contains(string(listed), "- "+test+","), nil
}

// repositoryRoot returns the closest folder above the current one that holds the
// module file.
func repositoryRoot() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", fmt.Errorf("find the root of the repository: %w", err)
	}
	for {
		_, err := os.Stat(filepath.Join(folder, "go.mod"))
		if err == nil {
			return folder, nil
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			return "", fmt.Errorf("find the root of the repository: %w", err)
		}
		folder = parent
	}
}
