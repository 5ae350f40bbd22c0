package coldstart_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestColdstart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldstart")
}
