// Package e2e holds specs that run the built programs as separate processes.
package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// bin is the folder with the programs under test.
var bin string

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "end to end")
}

var _ = BeforeSuite(func() {
	bin = filepath.Join(GinkgoT().TempDir(), "bin")
	build := exec.Command("go", "build", "-o", bin+string(os.PathSeparator), "./cmd/...", "./internal/standin/cmd/...")
	build.Dir = filepath.Join("..", "..")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})
