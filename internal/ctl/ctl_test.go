package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/ctl"
)

// runCtl runs fulmarhoistctl in this process.
func runCtl(args ...string) (code ctl.ExitCode, stdout, stderr string) {
	var outBuf, errBuf bytes.Buffer
	streams := ctl.Streams{In: strings.NewReader("from stdin"), Out: &outBuf, Err: &errBuf}
	code = ctl.Run(context.Background(), args, streams)
	return code, outBuf.String(), errBuf.String()
}

// fakeInstance starts an instance that serves the directory and the health check,
// and answers requests by path. Its directory also lists the unreachable
// addresses. It returns its own address.
func fakeInstance(unreachable ...string) string {
	var address string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse := func(status int, outcome string) {
			w.Header().Set("Fulmarhoist-Outcome", outcome)
			w.WriteHeader(status)
			_, _ = fmt.Fprintf(w, `{"outcome":%q,"reason":"queue-full","retry_after_ms":100000}`, outcome)
		}
		switch r.URL.Path {
		case "/fulmarhoist/v1/directory":
			listed := fmt.Sprintf(`{"id":"entry-1","zone":"az-1","address":%q,"ticket":"entry-1.aa.1"}`, address)
			for n, other := range unreachable {
				listed += fmt.Sprintf(`,{"id":"gone-%d","zone":"az-2","address":%q,"ticket":"gone-%d.aa.1"}`, n, other, n)
			}
			_, _ = fmt.Fprintf(w, `{"version":4,"lifetime_ms":30000,"instances":[%s]}`, listed)
		case "/fulmarhoist/v1/health":
			_, _ = fmt.Fprint(w, "ready")
		case "/refused":
			refuse(http.StatusServiceUnavailable, "not-run")
		case "/invalid":
			refuse(http.StatusBadRequest, "invalid")
		default:
			w.Header().Set("Fulmarhoist-Outcome", "answered")
			w.Header().Set("Fulmarhoist-Attempts", "2")
			w.Header().Set("Fulmarhoist-Instance", "entry-1")
			if r.URL.Path == "/missing" {
				w.WriteHeader(http.StatusNotFound)
			}
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%s %s", r.Method, body)
		}
	}))
	DeferCleanup(server.Close)
	address = server.Listener.Addr().String()
	return address
}

// closedAddress returns an address that refuses connections.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.Listener.Addr().String()
}

var _ = Describe("send", func() {
	send := func(address string, more ...string) (ctl.ExitCode, string, string) {
		return runCtl(append([]string{"send", "--instance", address, "--service", "orders", "--class", "reorder"}, more...)...)
	}

	// Guards against losing output fields that scripts rely on.
	It("prints outcome, status, attempts and body", func() {
		code, out, _ := send(fakeInstance(), "--method", "POST", "--path", "/reorder", "--body", "@-", "--output", "json")
		Expect(code).To(Equal(ctl.ExitOK))
		var result map[string]any
		Expect(json.Unmarshal([]byte(out), &result)).To(Succeed())
		Expect(result).To(HaveKeyWithValue("outcome", "answered"))
		Expect(result).To(HaveKeyWithValue("status", 200.0))
		Expect(result).To(HaveKeyWithValue("attempts", 2.0))
		Expect(result).To(HaveKeyWithValue("sends", 1.0))
		Expect(result).To(HaveKeyWithValue("body", "POST from stdin"))
		Expect(result["key"]).To(HavePrefix("entry-1.aa.1/"))

		code, out, _ = send(fakeInstance(), "--path", "/reorder", "--body", "x")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`(?s)outcome\s+answered\nstatus\s+200\n.*attempts\s+2\n.*\n\nGET x\n$`))
	})

	// Guards against a refusal that looks like success to a script.
	It("returns the documented exit codes", func() {
		code, out, _ := send(fakeInstance(), "--path", "/refused", "--deadline", "1s")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(MatchRegexp(`outcome\s+not-run`))
		code, out, _ = send(fakeInstance(), "--path", "/invalid", "--output", "json")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(ContainSubstring(`"outcome": "invalid"`))
		code, _, stderr := send(fakeInstance(), "--path", "/missing")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(stderr).To(ContainSubstring("status 404"))
		code, out, _ = send(closedAddress())
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(out).To(MatchRegexp(`outcome\s+unreachable`))
	})

	// Guards against a usage error with the exit code of a bad result.
	DescribeTable("usage", func(args ...string) {
		code, _, stderr := runCtl(args...)
		Expect(code).To(Equal(ctl.ExitUsage), stderr)
		Expect(stderr).To(HavePrefix("fulmarhoistctl: "))
	},
		Entry("unknown command", "sned"),
		Entry("unknown flag", "send", "--instnace", "x"),
		Entry("extra argument", "send", "now"),
		Entry("no instance", "send", "--service", "s", "--class", "c"),
		Entry("malformed instance", "send", "--instance", "x", "--service", "s", "--class", "c"),
		Entry("no service", "send", "--instance", "127.0.0.1:1", "--class", "c"),
		Entry("malformed header", "send", "--instance", "127.0.0.1:1", "--service", "s", "--class", "c", "--header", "x"),
		Entry("missing file", "send", "--instance", "127.0.0.1:1", "--service", "s", "--class", "c", "--body", "@/nonexistent"),
		Entry("unknown format", "status", "--instance", "127.0.0.1:1", "--output", "xml"),
		Entry("zero time-out", "status", "--instance", "127.0.0.1:1", "--timeout", "0s"),
	)
})

var _ = Describe("status", func() {
	// Guards against not showing that an instance is unreachable.
	It("shows every listed instance", func() {
		code, out, _ := runCtl("status", "--instance", fakeInstance())
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`entry-1\s+az-1\s+\S+\s+serving\s+\S+ ms\s+ready`))

		code, out, _ = runCtl("status", "--instance", fakeInstance(closedAddress()), "--output", "json")
		Expect(code).To(Equal(ctl.ExitBadResult))
		var result struct {
			Instances []struct{ ID, State string }
		}
		Expect(json.Unmarshal([]byte(out), &result)).To(Succeed())
		Expect(result.Instances).To(HaveLen(2))
		Expect(result.Instances[0].State).To(Equal("serving"))
		Expect(result.Instances[1].State).To(Equal("unreachable"))
	})

	// Guards against the exit code of a bad result if no instance is reachable.
	It("reports that no instance is reachable", func() {
		code, _, _ := runCtl("status", "--instance", closedAddress())
		Expect(code).To(Equal(ctl.ExitUnreachable))
	})
})

// Guards against losing shell completion.
var _ = It("completes the output formats", func() {
	code, out, _ := runCtl("__complete", "status", "--output", "")
	Expect(code).To(Equal(ctl.ExitOK))
	Expect(out).To(HavePrefix("table\njson\n"))
})
