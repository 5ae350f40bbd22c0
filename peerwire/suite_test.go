package peerwire_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is passed to synctest, which needs a *testing.T.
var suiteT *testing.T

func TestPeerwire(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerwire")
}
