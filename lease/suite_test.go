package lease_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		// A fixed seed makes the result reproducible in CI.
		_ = flag.Set("rapid.seed", "20261204")
	}
	RunSpecs(t, "lease")
}
