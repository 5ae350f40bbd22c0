// Package e2e holds end-to-end specs, which run the built programs as separate
// processes.
package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// binDir is the directory with the programs under test.
var binDir string

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "end to end")
}

var _ = BeforeSuite(func() {
	binDir = filepath.Join(GinkgoT().TempDir(), "bin")
	build := exec.Command("go", "build", "-o", binDir+string(os.PathSeparator), "./cmd/...", "./internal/standin/cmd/...")
	build.Dir = filepath.Join("..", "..")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})
