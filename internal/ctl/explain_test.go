package ctl_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/ctl"
)

const explainLog = `
  -1.0 front {"time":"2026-01-01T00:00:00Z","instance":"a","event":"target_added","target":"i-1","zone":"z"}
  0.5 front {"time":"2026-01-01T00:00:01Z","instance":"a","event":"target_draining","target":"i-1"}
no json
  0.6 front {"time":"2026-01-01T00:00:01Z","instance":"a","event":"request_answered","request":"other","status":200}
  1.0 front {"time":"2026-01-01T00:00:02Z","instance":"a","event":"attempt_lost","request":"9c41","target":"i-1","error":"EOF"}
  1.1 front {"time":"2026-01-01T00:00:02Z","instance":"a","event":"request_refused","request":"9c41","status":502,"reason":"answer-lost","attempts":["i-1 lost took=3ms delay=1.00 report_age=2ms"]}
`

var _ = Describe("explain", func() {
	log := func() string {
		path := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(path, []byte(explainLog), 0o600)).To(Succeed())
		return path
	}

	// Guards against an engineer who has the id of a request and finds no cause.
	It("shows the lines of a request, the state of its targets and the end", func() {
		code, out, _ := tool("explain", "9c41", log())
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("target_draining"))
		Expect(out).NotTo(ContainSubstring("target_added"))
		Expect(out).NotTo(ContainSubstring("other"))
		Expect(out).To(HaveSuffix("Ended with status 502 after 1 attempt(s): answer-lost. Last attempt: i-1 lost took=3ms delay=1.00 report_age=2ms.\n"))
	})

	It("says that no line names a request", func() {
		code, _, problems := tool("explain", "none", log())
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("no line names the request none"))
	})
})
