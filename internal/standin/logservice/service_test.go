package logservice_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/logservice"
)

// The specs of backinghttp cover the faults of the log service through its
// client; these cover what a client cannot observe.
var _ = Describe("Service", func() {
	start := func(settings logservice.Settings) *logservice.Service {
		GinkgoHelper()
		settings.Listen, settings.Control = "127.0.0.1:0", "127.0.0.1:0"
		service, err := logservice.Start(settings)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		return service
	}
	call := func(s *logservice.Service, method, path, body string) (int, string) {
		GinkgoHelper()
		r, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.Address()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, strings.TrimSpace(string(text))
	}

	// Guards against a wire format that differs from docs/protocol.md.
	It("follows the documented format", func() {
		s := start(logservice.Settings{MaxRecords: 2})
		for i := range 3 {
			status, body := call(s, http.MethodPost, "/streams/config", fmt.Sprint("r", i))
			Expect(status).To(Equal(http.StatusCreated))
			Expect(body).To(MatchJSON(fmt.Sprintf(`{"offset":%d}`, i)))
		}
		_, body := call(s, http.MethodGet, "/streams/config?from=2&limit=5", "")
		Expect(body).To(MatchJSON(`{"first":1,"next":3,"records":[{"offset":2,"data":"cjI="}]}`))
		status, body := call(s, http.MethodGet, "/streams/config?from=0", "")
		Expect(status).To(Equal(http.StatusGone))
		Expect(body).To(MatchJSON(`{"first":1}`))
		status, _ = call(s, http.MethodGet, "/streams/config?from=x", "")
		Expect(status).To(Equal(http.StatusBadRequest))
	})

	// Guards against records that stay available beyond the maximum age.
	It("drops records that exceed the maximum age", func() {
		s := start(logservice.Settings{MaxAge: time.Millisecond})
		call(s, http.MethodPost, "/streams/config", "old")
		Eventually(func() int {
			status, _ := call(s, http.MethodGet, "/streams/config?from=0", "")
			return status
		}).Should(Equal(http.StatusGone))
	})

	// Guards against a page that is too large for a client.
	It("limits the bytes of a page and of a record", func() {
		s := start(logservice.Settings{})
		for range 6 {
			call(s, http.MethodPost, "/streams/config", strings.Repeat("x", 1<<20))
		}
		_, body := call(s, http.MethodGet, "/streams/config?from=0&limit=10", "")
		Expect(strings.Count(body, `"offset"`)).To(Equal(4))
		status, _ := call(s, http.MethodPost, "/streams/config", strings.Repeat("x", 1<<20+1))
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	// Guards against a test that misspells a fault and runs without it.
	It("refuses unknown faults", func(ctx SpecContext) {
		s := start(logservice.Settings{})
		_, err := control.NewLog(s.ControlAddress()).SetFaults(ctx, logservice.Faults{Outage: "storm"})
		Expect(err).To(MatchError(ContainSubstring("unknown value")))
	})
})
