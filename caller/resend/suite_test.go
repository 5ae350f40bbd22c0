package resend_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resend")
}
