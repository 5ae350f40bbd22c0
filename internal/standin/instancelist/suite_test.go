package instancelist_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestInstanceList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "instancelist")
}
