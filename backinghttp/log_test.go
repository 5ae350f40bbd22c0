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

// short bounds an operation in specs that wait for a timeout.
var short = backinghttp.Settings{Timeout: 200 * time.Millisecond}

func startLog(settings logservice.Settings) *logservice.Service {
	settings.Listen, settings.Control = loopback, loopback
	service, err := logservice.Start(settings)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(service.Close)
	return service
}

func logClient(address string, settings backinghttp.Settings) *backinghttp.LogClient {
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

// unavailability gives the details of an error that must be unavailable.
func unavailability(err error) *backing.UnavailableError {
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
		service = startLog(logservice.Settings{MaxRecords: 100})
		client = logClient(service.Address(), backinghttp.Settings{})
	})

	set := func(faults logservice.Faults) {
		GinkgoHelper()
		_, err := control.NewLog(service.ControlAddress()).SetFaults(ctx, faults)
		Expect(err).NotTo(HaveOccurred())
	}
	appendOne := func(text string) error {
		_, err := client.Append(ctx, backing.ConfigStream, []byte(text))
		return err
	}
	stored := func() []string {
		GinkgoHelper()
		page, err := client.Read(ctx, backing.ConfigStream, 0, 100)
		Expect(err).NotTo(HaveOccurred())
		texts := make([]string, len(page.Records))
		for i, r := range page.Records {
			texts[i] = string(r.Data)
		}
		return texts
	}

	// Guards against records that change or move on their way.
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

	// Guards against a refusal that is reported as a possible effect, which
	// would make a publisher read the log back for nothing.
	It("reports refused appends as unavailable, without effect", func() {
		for _, outage := range []logservice.Outage{logservice.OutageUnavailable, logservice.OutageRefuse} {
			set(logservice.Faults{Outage: outage})
			expectUnavailable(appendOne("refused"))
			_, err := client.Read(ctx, backing.ConfigStream, 0, 10)
			expectUnavailable(err)
		}
		set(logservice.Faults{})
		Expect(stored()).To(BeEmpty())
	})

	// Guards against a rate limit that looks like a lost answer.
	It("reports an append over the rate limit as unavailable, without effect", func() {
		service = startLog(logservice.Settings{AppendsPerSecond: 0.001})
		client = logClient(service.Address(), backinghttp.Settings{})
		Expect(appendOne("first")).To(Succeed())
		Expect(unavailability(appendOne("second")).Err).To(Succeed())
		Expect(stored()).To(Equal([]string{"first"}))
	})

	// Guards against an append that took effect but is reported as refused, and
	// against one that the library sends again.
	DescribeTable("reports an append as uncertain when its connection breaks",
		func(faults logservice.Faults, after []string) {
			Expect(stored()).To(BeEmpty()) // leaves an idle connection behind
			set(faults)
			expectUncertain(appendOne("record"))
			set(logservice.Faults{})
			Expect(service.State().Counters.AppendsReceived).To(Equal(int64(1)))
			Expect(stored()).To(Equal(after))
		},
		Entry("after the append took effect", logservice.Faults{LoseAnswers: 1}, []string{"record"}),
		Entry("before the append took effect", logservice.Faults{LoseRequests: 1}, []string{}),
		Entry("because the service resets connections", logservice.Faults{Outage: logservice.OutageReset}, []string{}),
	)

	// Guards against an append that fails, or is sent twice, because a
	// connection of an earlier append broke while it was idle.
	It("appends after the service has reset idle connections", func() {
		for i := range 5 {
			Expect(appendOne(fmt.Sprint(i))).To(Succeed())
			set(logservice.Faults{Outage: logservice.OutageReset})
			set(logservice.Faults{})
		}
		Expect(service.State().Counters.AppendsReceived).To(Equal(int64(5)))
	})

	// Guards against an append that takes effect after its client gave up, and
	// was reported as without effect.
	It("reports an append as uncertain when the answer takes too long", func() {
		patient := client
		client = logClient(service.Address(), short)
		set(logservice.Faults{DelayMS: 400})
		expectUncertain(appendOne("slow"))
		set(logservice.Faults{})
		client = patient
		Eventually(stored).Should(Equal([]string{"slow"}))
	})

	// Guards against a cancellation that hides whether the append was sent.
	It("tells a cancellation before the connection from one after it", func() {
		canceled, cancel := context.WithCancel(ctx)
		set(logservice.Faults{DelayMS: 60_000})
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

	// Guards against a connection that goes silent and holds up every later
	// operation.
	It("gives up on a silent connection and works on a new one", func() {
		r, err := relay.Start(relay.Settings{Listen: loopback, Control: loopback, Upstream: service.Address()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		client = logClient(r.Address(), short)
		Expect(stored()).To(BeEmpty())
		Expect(r.Set(relay.Behavior{Mode: relay.ModeSilence})).To(Succeed())
		_, err = client.Read(ctx, backing.ConfigStream, 0, 10)
		expectUnavailable(err)
		Expect(appendOne("on a new connection")).To(Succeed())
		Expect(stored()).To(Equal([]string{"on a new connection"}))

		Expect(r.Set(relay.Behavior{Mode: relay.ModeSilenceAll})).To(Succeed())
		expectUncertain(appendOne("into silence"))
		Expect(r.Set(relay.Behavior{Mode: relay.ModeCut})).To(Succeed())
		expectUnavailable(appendOne("into a cut"))
		Expect(service.State().Counters.AppendsReceived).To(Equal(int64(1)))
	})

	// Guards against a reader that skips records without noticing.
	It("reports a read below the retained records", func() {
		service = startLog(logservice.Settings{MaxRecords: 2})
		client = logClient(service.Address(), backinghttp.Settings{})
		for i := range 5 {
			Expect(appendOne(fmt.Sprint(i))).To(Succeed())
		}
		_, err := client.Read(ctx, backing.ConfigStream, 1, 10)
		var trimmed *backing.TrimmedError
		Expect(errors.As(err, &trimmed)).To(BeTrue())
		Expect(*trimmed).To(Equal(backing.TrimmedError{Stream: backing.ConfigStream, From: 1, First: 3}))
	})

	// Guards against a long poll that misses a record or never returns.
	It("polls until a record arrives or the time is over", func() {
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
		Expect(appendOne("news")).To(Succeed())
		Eventually(pages).Should(Receive(HaveField("Records", HaveLen(1))))
	})

	// Guards against a long poll that outlives an outage of the service.
	It("ends a poll with an error when the service goes down", func() {
		result := make(chan error, 1)
		go func() {
			_, err := client.Poll(ctx, backing.ConfigStream, 0, 10, time.Minute)
			result <- err
		}()
		Eventually(func() int64 { return service.State().Counters.Reads }).Should(Equal(int64(1)))
		set(logservice.Faults{Outage: logservice.OutageReset})
		var err error
		Eventually(result).Should(Receive(&err))
		expectUnavailable(err)
	})

	// Guards against an error type that does not match what happened: a
	// success that is not stored, a refusal that is, or a record stored twice.
	It("reports truthfully under any sequence of faults", func() {
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
			checkTruth(t, log, c)
		})
	})
})

func checkTruth(t *rapid.T, log *logservice.Service, c *backinghttp.LogClient) {
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
	times := make(map[string]int)
	for _, r := range page.Records {
		name := string(r.Data)
		times[name]++
		if results[name] == nil && offsets[name] != r.Offset {
			t.Fatalf("append %s: reported offset %d, stored at %d", name, offsets[name], r.Offset)
		}
	}
	for name, result := range results {
		var unavailable *backing.UnavailableError
		var uncertain *backing.UncertainAppendError
		switch n := times[name]; {
		case result == nil && n != 1,
			errors.As(result, &unavailable) && n != 0,
			errors.As(result, &uncertain) && n > 1:
			t.Fatalf("append %s is stored %d times, result %v", name, n, result)
		case result != nil && unavailable == nil && uncertain == nil:
			t.Fatalf("append %s: untyped error %v", name, result)
		}
	}
}

var _ = Describe("LogClient with a faulty service", func() {
	serve := func(handler http.HandlerFunc) *backinghttp.LogClient {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		client := logClient(server.Listener.Addr().String(), backinghttp.Settings{Timeout: 300 * time.Millisecond, MaxResponse: 4096})
		return client
	}

	// Guards against the library following a redirect with a second append.
	It("follows no redirect", func(ctx SpecContext) {
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

	// Guards against the library sending an append again after a connection
	// that it kept from an earlier append broke under it.
	It("sends each append once to a service that breaks kept connections", func(ctx SpecContext) {
		var requests atomic.Int32
		var seen sync.Map
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			if _, kept := seen.LoadOrStore(r.RemoteAddr, true); kept {
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

	// Guards against an unexpected answer that is taken for "not stored".
	DescribeTable("reports an append as uncertain after an unclear answer",
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
		Entry("stored, with a cut body", 201, `{"offs`),
		Entry("stored, with a negative offset", 201, `{"offset":-1}`),
		Entry("stored, with a body over the limit", 201, `{"offset":1`+string(bytes.Repeat([]byte(" "), 5000))+"}"),
	)

	// Guards against records that are applied out of order, and against memory
	// that a response can fill.
	DescribeTable("refuses a malformed page",
		func(ctx SpecContext, status int, body string) {
			client := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			})
			_, err := client.Read(ctx, backing.ConfigStream, 5, 10)
			Expect(unavailability(err).Err).To(HaveOccurred())
		},
		Entry("no JSON", 200, "<html>"),
		Entry("no extent", 200, `{"records":[]}`),
		Entry("extent out of order", 200, `{"first":9,"next":8,"records":[]}`),
		Entry("record before the offset", 200, `{"first":0,"next":9,"records":[{"offset":4,"data":""}]}`),
		Entry("record after the end", 200, `{"first":0,"next":9,"records":[{"offset":9,"data":""}]}`),
		Entry("records out of order", 200, `{"first":0,"next":9,"records":[{"offset":7,"data":""},{"offset":6,"data":""}]}`),
		Entry("record without an offset", 200, `{"first":0,"next":9,"records":[{"data":""}]}`),
		Entry("body over the limit", 200, `{"first":0,"next":9,"records":[]`+string(bytes.Repeat([]byte(" "), 5000))+"}"),
		Entry("trimmed, without the first offset", 410, `{}`),
		Entry("trimmed, with an earlier first offset", 410, `{"first":5}`),
		Entry("unknown status", 404, ""),
	)

	// Guards against a response that trickles in for ever.
	It("bounds the time of a response that never ends", func(ctx SpecContext) {
		client := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(`{"first":0,`))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		_, err := client.Read(ctx, backing.ConfigStream, 0, 10)
		expectUnavailable(err)
		Expect(err).To(MatchError(context.DeadlineExceeded))
	}, NodeTimeout(10*time.Second))

	// Guards against a base URL that sends requests to an unexpected place.
	It("refuses a base URL or limits that make no sense", func() {
		for _, base := range []string{"", "127.0.0.1:80", "https://127.0.0.1:80", "http://", "http://127.0.0.1:80?x=1"} {
			_, err := backinghttp.NewLogClient(base, backinghttp.Settings{})
			Expect(err).To(HaveOccurred(), base)
		}
		_, err := backinghttp.NewLogClient("http://127.0.0.1:80", backinghttp.Settings{Timeout: -1})
		Expect(err).To(HaveOccurred())
	})
})
