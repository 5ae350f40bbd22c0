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

// tool runs fulmarhoistctl in this process.
func tool(arguments ...string) (code ctl.ExitCode, stdout, stderr string) {
	var out, problems bytes.Buffer
	streams := ctl.Streams{In: strings.NewReader("from stdin"), Out: &out, Err: &problems}
	code = ctl.Run(context.Background(), arguments, streams)
	return code, out.String(), problems.String()
}

// fakeInstance answers the directory call, health, and requests by path.
func fakeInstance(gone ...string) string {
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
			for n, other := range gone {
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

// closedAddress is an address that refuses connections.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.Listener.Addr().String()
}

var _ = Describe("send", func() {
	send := func(address string, more ...string) (ctl.ExitCode, string, string) {
		return tool(append([]string{"send", "--instance", address, "--service", "orders", "--class", "reorder"}, more...)...)
	}

	// Guards against fields that scripts rely on and that are lost.
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

	// Guards against a script that takes a refusal or a wrong flag for success.
	It("keeps to its exit codes", func() {
		code, out, _ := send(fakeInstance(), "--path", "/refused", "--deadline", "1s")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(MatchRegexp(`outcome\s+not-run`))
		code, out, _ = send(fakeInstance(), "--path", "/invalid", "--output", "json")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(out).To(ContainSubstring(`"outcome": "invalid"`))
		code, _, problems := send(fakeInstance(), "--path", "/missing")
		Expect(code).To(Equal(ctl.ExitBadResult))
		Expect(problems).To(ContainSubstring("status 404"))
		code, out, _ = send(closedAddress())
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(out).To(MatchRegexp(`outcome\s+unreachable`))
	})

	// Guards against a usage error that looks like a bad result.
	DescribeTable("usage", func(arguments ...string) {
		code, _, problems := tool(arguments...)
		Expect(code).To(Equal(ctl.ExitUsage), problems)
		Expect(problems).To(HavePrefix("fulmarhoistctl: "))
	},
		Entry("unknown command", "sned"),
		Entry("unknown flag", "send", "--instnace", "x"),
		Entry("surplus argument", "send", "now"),
		Entry("no instance", "send", "--service", "s", "--class", "c"),
		Entry("malformed instance", "send", "--instance", "x", "--service", "s", "--class", "c"),
		Entry("no service", "send", "--instance", "127.0.0.1:1", "--class", "c"),
		Entry("malformed header", "send", "--instance", "127.0.0.1:1", "--service", "s", "--class", "c", "--header", "x"),
		Entry("missing file", "send", "--instance", "127.0.0.1:1", "--service", "s", "--class", "c", "--body", "@/nonexistent"),
		Entry("unknown format", "status", "--instance", "127.0.0.1:1", "--output", "xml"),
		Entry("no time", "status", "--instance", "127.0.0.1:1", "--timeout", "0s"),
	)
})

var _ = Describe("status", func() {
	// Guards against an instance that is gone and is not shown as such.
	It("shows every listed instance", func() {
		code, out, _ := tool("status", "--instance", fakeInstance())
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`entry-1\s+az-1\s+\S+\s+serving\s+\S+ ms\s+ready`))

		code, out, _ = tool("status", "--instance", fakeInstance(closedAddress()), "--output", "json")
		Expect(code).To(Equal(ctl.ExitBadResult))
		var result struct {
			Instances []struct{ ID, State string }
		}
		Expect(json.Unmarshal([]byte(out), &result)).To(Succeed())
		Expect(result.Instances).To(HaveLen(2))
		Expect(result.Instances[0].State).To(Equal("serving"))
		Expect(result.Instances[1].State).To(Equal("unreachable"))
	})

	// Guards against "no instance" that looks like a bad result.
	It("says that no instance could be reached", func() {
		code, _, _ := tool("status", "--instance", closedAddress())
		Expect(code).To(Equal(ctl.ExitUnreachable))
	})
})

// Guards against the loss of shell completion.
var _ = It("completes the output formats", func() {
	code, out, _ := tool("__complete", "status", "--output", "")
	Expect(code).To(Equal(ctl.ExitOK))
	Expect(out).To(HavePrefix("table\njson\n"))
})
