package backinghttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBackingHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backinghttp")
}
