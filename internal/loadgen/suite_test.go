package loadgen_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test that runs the suite. synctest needs it to run specs in
// virtual time.
var suiteT *testing.T

func TestLoadgen(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadgen")
}
