package backinghttp_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/backinghttp"
	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/logservice"
	"fulmarhoist.example/internal/standin/relay"
)

const loopback = "127.0.0.1:0"

// shortTimeout is for specs in which an operation is expected to time out.
var shortTimeout = backinghttp.Settings{Timeout: 200 * time.Millisecond}

func startLogService(settings logservice.Settings) *logservice.Service {
	settings.Listen, settings.Control = loopback, loopback
	service, err := logservice.Start(settings)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(service.Close)
	return service
}

func newLogClient(address string, settings backinghttp.Settings) *backinghttp.LogClient {
	client, err := backinghttp.NewLogClient("http://"+address, settings)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

func expectUnavailable(err error) {
	GinkgoHelper()
	var unavailable *backing.UnavailableError
	Expect(errors.As(err, &unavailable)).To(BeTrue(), "error is %v", err)
}

// asUnavailable expects an *UnavailableError and returns it.
func asUnavailable(err error) *backing.UnavailableError {
	GinkgoHelper()
	expectUnavailable(err)
	var unavailable *backing.UnavailableError
	_ = errors.As(err, &unavailable)
	return unavailable
}

func expectUncertain(err error) {
	GinkgoHelper()
	var uncertain *backing.UncertainAppendError
	Expect(errors.As(err, &uncertain)).To(BeTrue(), "error is %v", err)
	Expect(uncertain.Stream).To(Equal(backing.ConfigStream))
}

var _ = Describe("LogClient", func() {
	var ctx context.Context
	var service *logservice.Service
	var client *backinghttp.LogClient

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		service = startLogService(logservice.Settings{MaxRecords: 100})
		client = newLogClient(service.Address(), backinghttp.Settings{})
	})

	setFaults := func(faults logservice.Faults) {
		GinkgoHelper()
		_, err := control.NewLog(service.ControlAddress()).SetFaults(ctx, faults)
		Expect(err).NotTo(HaveOccurred())
	}
	appendRecord := func(text string) error {
		_, err := client.Append(ctx, backing.ConfigStream, []byte(text))
		return err
	}
	storedRecords := func() []string {
		GinkgoHelper()
		page, err := client.Read(ctx, backing.ConfigStream, 0, 100)
		Expect(err).NotTo(HaveOccurred())
		texts := make([]string, len(page.Records))
		for i, r := range page.Records {
			texts[i] = string(r.Data)
		}
		return texts
	}

	// Guards against records that are altered or reordered in transit.
	It("reads back what it appended, in order", func() {
		records := [][]byte{[]byte("a"), {}, {0, 255, 10}, bytes.Repeat([]byte("x"), 100_000)}
		for i, data := range records {
			offset, err := client.Append(ctx, backing.ConfigStream, data)
			Expect(err).NotTo(HaveOccurred())
			Expect(offset).To(Equal(uint64(i)))
		}
		page, err := client.Read(ctx, backing.ConfigStream, 1, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.First).To(BeZero())
		Expect(page.Next).To(Equal(uint64(4)))
		Expect(page.Records).To(HaveLen(2))
		Expect(page.Records[0].Data).To(BeEmpty())
		Expect(page.Records[1]).To(Equal(backing.Record{Offset: 2, Data: records[2]}))

		page, err = client.Read(ctx, backing.OutcomeStream, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(BeEmpty())
	})

	// Guards against a rejected append that is reported as uncertain, which would
	// make a publisher read the log back needlessly.
	It("reports rejected appends as unavailable, and stores nothing", func() {
		for _, outage := range []logservice.Outage{logservice.OutageUnavailable, logservice.OutageRefuse} {
			setFaults(logservice.Faults{Outage: outage})
			expectUnavailable(appendRecord("refused"))
			_, err := client.Read(ctx, backing.ConfigStream, 0, 10)
			expectUnavailable(err)
		}
		setFaults(logservice.Faults{})
		Expect(storedRecords()).To(BeEmpty())
	})

	// Guards against a rate limit that is mistaken for a lost response.
	It("reports an append over the rate limit as unavailable, and stores nothing", func() {
		service = startLogService(logservice.Settings{AppendsPerSecond: 0.001})
		client = newLogClient(service.Address(), backinghttp.Settings{})
		Expect(appendRecord("first")).To(Succeed())
		Expect(asUnavailable(appendRecord("second")).Err).To(Succeed())
		Expect(storedRecords()).To(Equal([]string{"first"}))
	})

	// Guards against an append that was stored but is reported as rejected, and
	// against one that net/http sends again.
	DescribeTable("reports an append as uncertain when its connection breaks",
		func(faults logservice.Faults, after []string) {
			Expect(storedRecords()).To(BeEmpty()) // leaves an idle connection behind
			setFaults(faults)
			expectUncertain(appendRecord("record"))
			setFaults(logservice.Faults{})
			Expect(service.State().Counters.AppendsReceived).To(Equal(int64(1)))
			Expect(storedRecords()).To(Equal(after))
		},
		Entry("after the record was stored", logservice.Faults{LoseAnswers: 1}, []string{"record"}),
		Entry("before the record was stored", logservice.Faults{LoseRequests: 1}, []string{}),
		Entry("because the service resets connections", logservice.Faults{Outage: logservice.OutageReset}, []string{}),
	)

	// Guards against an append that fails or is sent twice because an idle
	// connection from an earlier append was reset.
	It("appends after the service has reset idle connections", func() {
		for i := range 5 {
			Expect(appendRecord(fmt.Sprint(i))).To(Succeed())
			setFaults(logservice.Faults{Outage: logservice.OutageReset})
			setFaults(logservice.Faults{})
		}
		Expect(service.State().Counters.AppendsReceived).To(Equal(int64(5)))
	})

	// Guards against an append that is stored after its client timed out, but was
	// reported as not stored.
	It("reports an append as uncertain when it times out", func() {
		withDefaultTimeout := client
		client = newLogClient(service.Address(), shortTimeout)
		setFaults(logservice.Faults{DelayMS: 400})
		expectUncertain(appendRecord("slow"))
		setFaults(logservice.Faults{})
		client = withDefaultTimeout
		Eventually(storedRecords).Should(Equal([]string{"slow"}))
	})

	// Guards against a cancellation that hides whether the append was sent.
	It("distinguishes a cancellation before the append was sent from one after it", func() {
		canceled, cancel := context.WithCancel(ctx)
		setFaults(logservice.Faults{DelayMS: 60_000})
		result := make(chan error, 1)
		go func() {
			_, err := client.Append(canceled, backing.ConfigStream, []byte("x"))
			result <- err
		}()
		Eventually(func() int64 { return service.State().Counters.AppendsReceived }).Should(Equal(int64(1)))
		cancel()
		var err error
		Eventually(result).Should(Receive(&err))
		expectUncertain(err)
		Expect(err).To(MatchError(context.Canceled))

		_, err = client.Append(canceled, backing.ConfigStream, []byte("x"))
		expectUnavailable(err)
		Expect(err).To(MatchError(context.Canceled))
		Expect(service.State().Counters.AppendsReceived).To(Equal(int64(1)))
	})

	// Guards against a connection that stops responding and blocks all later
	// operations.
	It("abandons an unresponsive connection and opens a new one", func() {
		r, err := relay.Start(relay.Settings{Listen: loopback, Control: loopback, Upstream: service.Address()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		client = newLogClient(r.Address(), shortTimeout)
		Expect(storedRecords()).To(BeEmpty())
		Expect(r.SetBehavior(relay.Behavior{Mode: relay.ModeSilence})).To(Succeed())
		_, err = client.Read(ctx, backing.ConfigStream, 0, 10)
		expectUnavailable(err)
		Expect(appendRecord("on a new connection")).To(Succeed())
		Expect(storedRecords()).To(Equal([]string{"on a new connection"}))

		Expect(r.SetBehavior(relay.Behavior{Mode: relay.ModeSilenceAll})).To(Succeed())
		expectUncertain(appendRecord("into silence"))
		Expect(r.SetBehavior(relay.Behavior{Mode: relay.ModeCut})).To(Succeed())
		expectUnavailable(appendRecord("into a cut"))
		Expect(service.State().Counters.AppendsReceived).To(Equal(int64(1)))
	})

	// Guards against a reader that misses trimmed records without an error.
	It("reports a read below the oldest retained record", func() {
		service = startLogService(logservice.Settings{MaxRecords: 2})
		client = newLogClient(service.Address(), backinghttp.Settings{})
		for i := range 5 {
			Expect(appendRecord(fmt.Sprint(i))).To(Succeed())
		}
		_, err := client.Read(ctx, backing.ConfigStream, 1, 10)
		var trimmed *backing.TrimmedError
		Expect(errors.As(err, &trimmed)).To(BeTrue())
		Expect(*trimmed).To(Equal(backing.TrimmedError{Stream: backing.ConfigStream, From: 1, First: 3}))
	})

	// Guards against a long poll that misses a record or never returns.
	It("polls until a record arrives or the wait time has passed", func() {
		page, err := client.Poll(ctx, backing.ConfigStream, 0, 10, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(BeEmpty())

		reads := service.State().Counters.Reads
		pages := make(chan backing.Page, 1)
		go func() {
			defer GinkgoRecover()
			page, err := client.Poll(ctx, backing.ConfigStream, 0, 10, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			pages <- page
		}()
		Eventually(func() int64 { return service.State().Counters.Reads }).Should(Equal(reads + 1))
		Consistently(pages, "20ms").ShouldNot(Receive())
		Expect(appendRecord("news")).To(Succeed())
		Eventually(pages).Should(Receive(HaveField("Records", HaveLen(1))))
	})

	// Guards against a long poll that hangs after the service has gone down.
	It("ends a poll with an error when the service goes down", func() {
		result := make(chan error, 1)
		go func() {
			_, err := client.Poll(ctx, backing.ConfigStream, 0, 10, time.Minute)
			result <- err
		}()
		Eventually(func() int64 { return service.State().Counters.Reads }).Should(Equal(int64(1)))
		setFaults(logservice.Faults{Outage: logservice.OutageReset})
		var err error
		Eventually(result).Should(Receive(&err))
		expectUnavailable(err)
	})

	// Guards against a result that does not match what happened: a successful
	// append that is not stored, a rejected one that is, or a record stored twice.
	It("reports the actual outcome under any sequence of faults", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			log, err := logservice.Start(logservice.Settings{Listen: loopback, Control: loopback})
			if err != nil {
				t.Fatal(err)
			}
			defer log.Close()
			c, err := backinghttp.NewLogClient("http://"+log.Address(), backinghttp.Settings{})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			checkReportedOutcomes(t, log, c)
		})
	})
})

// checkReportedOutcomes appends records under random faults and compares the
// result of each append with the content of the log.
func checkReportedOutcomes(t *rapid.T, log *logservice.Service, c *backinghttp.LogClient) {
	outages := rapid.SampledFrom([]logservice.Outage{
		logservice.OutageNone, logservice.OutageNone, logservice.OutageUnavailable, logservice.OutageReset, logservice.OutageRefuse,
	})
	ctx := context.Background()
	results := make(map[string]error)
	offsets := make(map[string]uint64)
	for i := range rapid.IntRange(1, 12).Draw(t, "appends") {
		faults := logservice.Faults{
			Outage:       outages.Draw(t, "outage"),
			LoseAnswers:  rapid.IntRange(0, 1).Draw(t, "lose answers"),
			LoseRequests: rapid.IntRange(0, 1).Draw(t, "lose requests"),
		}
		if err := log.SetFaults(faults); err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprint(i)
		offsets[name], results[name] = c.Append(ctx, backing.ConfigStream, []byte(name))
	}
	if err := log.SetFaults(logservice.Faults{}); err != nil {
		t.Fatal(err)
	}
	page, err := c.Read(ctx, backing.ConfigStream, 0, 100)
	if err != nil {
		t.Fatal(err)
	}
	copies := make(map[string]int)
	for _, r := range page.Records {
		name := string(r.Data)
		copies[name]++
		if results[name] == nil && offsets[name] != r.Offset {
			t.Fatalf("append %s: reported offset %d, stored at %d", name, offsets[name], r.Offset)
		}
	}
	for name, result := range results {
		var unavailable *backing.UnavailableError
		var uncertain *backing.UncertainAppendError
		switch n := copies[name]; {
		case result == nil && n != 1,
			errors.As(result, &unavailable) && n != 0,
			errors.As(result, &uncertain) && n > 1:
			t.Fatalf("append %s is stored %d times, result %v", name, n, result)
		case result != nil && unavailable == nil && uncertain == nil:
			t.Fatalf("append %s: got error %v, want an UnavailableError or UncertainAppendError", name, result)
		}
	}
}

var _ = Describe("LogClient with a misbehaving service", func() {
	serve := func(handler http.HandlerFunc) *backinghttp.LogClient {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		client := newLogClient(server.Listener.Addr().String(), backinghttp.Settings{Timeout: 300 * time.Millisecond, MaxResponseBytes: 4096})
		return client
	}

	// Guards against net/http following a redirect, which would append twice.
	It("does not follow redirects", func(ctx SpecContext) {
		var requests atomic.Int32
		client := serve(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusTemporaryRedirect)
		})
		_, err := client.Append(ctx, backing.ConfigStream, []byte("x"))
		expectUncertain(err)
		Expect(requests.Load()).To(Equal(int32(1)))
	})

	// Guards against net/http retrying an append on a new connection after a
	// reused one broke.
	It("sends each append once to a service that breaks reused connections", func(ctx SpecContext) {
		var requests atomic.Int32
		var seen sync.Map
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			if _, reused := seen.LoadOrStore(r.RemoteAddr, true); reused {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte(`{"offset":1}`))
		})
		for range 3 {
			_, err := client.Append(ctx, backing.ConfigStream, []byte("x"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(requests.Load()).To(Equal(int32(3)))
	})

	// Guards against an unexpected response that is taken for "not stored".
	DescribeTable("reports an append as uncertain after an ambiguous response",
		func(ctx SpecContext, status int, body string) {
			client := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			})
			_, err := client.Append(ctx, backing.ConfigStream, []byte("x"))
			expectUncertain(err)
		},
		Entry("internal error", 500, ""),
		Entry("bad gateway", 502, ""),
		Entry("stored, without an offset", 201, "{}"),
		Entry("stored, with a truncated body", 201, `{"offs`),
		Entry("stored, with a negative offset", 201, `{"offset":-1}`),
		Entry("stored, with a body over the limit", 201, `{"offset":1`+string(bytes.Repeat([]byte(" "), 5000))+"}"),
	)

	// Guards against records that are applied out of order, and against a
	// response that exhausts memory.
	DescribeTable("rejects a malformed page",
		func(ctx SpecContext, status int, body string) {
			client := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			})
			_, err := client.Read(ctx, backing.ConfigStream, 5, 10)
			Expect(asUnavailable(err).Err).To(HaveOccurred())
		},
		Entry("not JSON", 200, "<html>"),
		Entry("no first and next offsets", 200, `{"records":[]}`),
		Entry("first after next", 200, `{"first":9,"next":8,"records":[]}`),
		Entry("record before the requested offset", 200, `{"first":0,"next":9,"records":[{"offset":4,"data":""}]}`),
		Entry("record after the end", 200, `{"first":0,"next":9,"records":[{"offset":9,"data":""}]}`),
		Entry("records out of order", 200, `{"first":0,"next":9,"records":[{"offset":7,"data":""},{"offset":6,"data":""}]}`),
		Entry("record without an offset", 200, `{"first":0,"next":9,"records":[{"data":""}]}`),
		Entry("body over the limit", 200, `{"first":0,"next":9,"records":[]`+string(bytes.Repeat([]byte(" "), 5000))+"}"),
		Entry("trimmed, without the first offset", 410, `{}`),
		Entry("trimmed, with a first offset not after the requested one", 410, `{"first":5}`),
		Entry("unexpected status", 404, ""),
	)

	// Guards against a response that is never completed.
	It("times out on a response that never ends", func(ctx SpecContext) {
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(`{"first":0,`))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		_, err := client.Read(ctx, backing.ConfigStream, 0, 10)
		expectUnavailable(err)
		Expect(err).To(MatchError(context.DeadlineExceeded))
	}, NodeTimeout(10*time.Second))

	// Guards against a base URL that sends requests to an unintended address.
	It("rejects an invalid base URL and invalid limits", func() {
		for _, base := range []string{"", "127.0.0.1:80", "https://127.0.0.1:80", "http://", "http://127.0.0.1:80?x=1"} {
			_, err := backinghttp.NewLogClient(base, backinghttp.Settings{})
			Expect(err).To(HaveOccurred(), base)
		}
		_, err := backinghttp.NewLogClient("http://127.0.0.1:80", backinghttp.Settings{Timeout: -1})
		Expect(err).To(HaveOccurred())
	})
})
