package ctl_test

import (
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/ctl"
	"fulmarhoist.example/internal/loadgen"
)

var _ = Describe("load", func() {
	runLoad := func(address string, more ...string) (ctl.ExitCode, string, string) {
		return runCtl(append([]string{"load", "--instance", address, "--rate", "200", "--duration", "500ms", "--seed", "9"}, more...)...)
	}
	mixFile := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "mix.json")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	// Guards against a report that cannot be reproduced or compared, and against
	// ignoring either the file or the flags of the mix.
	It("prints a JSON report with the seed and a time series", func() {
		mix := mixFile(`{"classes":[{"service":"orders","class":"status","idempotent":true,"weight":3,"deadline_ms":5000}]}`)
		request := "service=orders,class=reorder,method=POST,path=/refused,deadline=1s"
		code, out, _ := runLoad(fakeInstance(), "--mix", mix, "--request", request, "--output", "json")
		Expect(code).To(Equal(ctl.ExitBadResult), "a quarter of the requests is refused")
		var report loadgen.Report
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		Expect(report.Seed).To(Equal(uint64(9)))
		Expect(report.Classes).To(HaveLen(2))
		Expect(report.Classes[0].Name).To(Equal("orders/status"))
		Expect(report.Classes[0].Outcomes).To(Equal(map[string]int{"answered": report.Classes[0].Scheduled}))
		Expect(report.Classes[1].Outcomes).To(Equal(map[string]int{"not-run": report.Classes[1].Scheduled}))
		Expect(report.Seconds).To(HaveLen(1))
	})

	// Guards against columns missing from the table.
	It("prints a table", func() {
		code, out, _ := runLoad(fakeInstance(), "--request", "service=orders,class=status,idempotent=true")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`CLASS\s+SCHEDULED\s+ANSWERED\s+LATE\s+NOT-STARTED\s+P50\s+P99\s+P99.9\s+MAX\n`))
		Expect(out).To(MatchRegexp(`(?m)^orders/status\s+\d+\s+\d+\s+\d+\s+0\s+\S+ ms`))
		Expect(out).To(ContainSubstring("Seed 9."))
	})

	// Guards against failing although the share of bad requests is within
	// --max-bad.
	It("accepts a share of bad requests up to --max-bad", func() {
		code, _, _ := runLoad(fakeInstance(), "--request", "service=orders,class=status,path=/refused,deadline=1s", "--max-bad", "1")
		Expect(code).To(Equal(ctl.ExitOK))
	})

	// Guards against running for the whole duration without a reachable instance.
	It("ends at once if no instance is reachable", func() {
		code, out, stderr := runLoad(closedAddress(), "--duration", "5s", "--request", "service=orders,class=status")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(out).To(BeEmpty(), "there was no run to report")
		Expect(stderr).NotTo(ContainSubstring("p99"), "there was no progress")
	})

	// Guards against a typo in a mix that silently changes the load.
	DescribeTable("usage", func(problem string, args func() []string) {
		code, _, stderr := runLoad("127.0.0.1:1", args()...)
		Expect(code).To(Equal(ctl.ExitUsage), stderr)
		Expect(stderr).To(ContainSubstring(problem))
	},
		Entry("no mix", "--mix", func() []string { return nil }),
		Entry("no file", "--mix", func() []string { return []string{"--mix", "/nonexistent"} }),
		Entry("unknown field in a file", `unknown field "wieght"`, func() []string {
			return []string{"--mix", mixFile(`{"classes":[{"wieght":2}]}`)}
		}),
		Entry("all wrong fields of a file", "classes[1].weight", func() []string {
			return []string{"--mix", mixFile(`{"classes":[{"service":"s"},{"service":"s","class":"c","weight":-1}]}`)}
		}),
		Entry("request that cannot be sent", "classes[0]", func() []string { return []string{"--request", "service=s,class=c,method=G T"} }),
		Entry("unknown field in a flag", "is not a field", func() []string { return []string{"--request", "service=s,class=c,wieght=2"} }),
		Entry("malformed number in a flag", "weight", func() []string { return []string{"--request", "service=s,class=c,weight=x"} }),
		Entry("zero rate", "rate", func() []string { return []string{"--rate", "0", "--request", "service=s,class=c"} }),
		Entry("share out of range", "--max-bad", func() []string { return []string{"--max-bad", "2", "--request", "service=s,class=c"} }),
	)
})
