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
	writeLog := func() string {
		path := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(path, []byte(explainLog), 0o600)).To(Succeed())
		return path
	}

	// Guards against logs from which the cause of a failed request cannot be
	// found by its id.
	It("shows the lines of a request, the state of its targets and how it ended", func() {
		code, out, _ := runCtl("explain", "9c41", writeLog())
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("target_draining"))
		Expect(out).NotTo(ContainSubstring("target_added"))
		Expect(out).NotTo(ContainSubstring("other"))
		Expect(out).To(HaveSuffix("Ended with status 502 after 1 attempt(s): answer-lost. Last attempt: i-1 lost took=3ms delay=1.00 report_age=2ms.\n"))
	})

	// Guards against missing the state of a target at the second of two instances that
	// a request reached.
	It("shows the state of the targets at each instance that wrote about the request", func() {
		path := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(path, []byte(`
{"time":"2026-01-01T00:00:01Z","instance":"a","event":"target_added","target":"i-1"}
{"time":"2026-01-01T00:00:01Z","instance":"b","event":"target_paused","target":"i-2"}
{"time":"2026-01-01T00:00:02Z","instance":"a","event":"attempt_lost","request":"9c41","target":"i-1"}
{"time":"2026-01-01T00:00:03Z","instance":"b","event":"request_refused","request":"9c41","status":502,"attempts":["i-2 lost took=3ms delay=1.00 report_age=2ms"]}
`), 0o600)).To(Succeed())
		_, out, _ := runCtl("explain", "9c41", path)
		Expect(out).To(And(ContainSubstring("target_added"), ContainSubstring("target_paused")))
	})

	It("reports that no line names the request", func() {
		code, _, stderr := runCtl("explain", "none", writeLog())
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("no line names the request none"))
	})
})
