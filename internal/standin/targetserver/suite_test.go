package targetserver_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTargetServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targetserver")
}
