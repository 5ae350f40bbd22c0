package instance_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is passed to rapid, which needs a *testing.T.
var suiteT *testing.T

func TestInstance(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "instance")
}
