package caller_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/caller"
)

var _ = Describe("Client", func() {
	var c *fakeCluster
	ctx := context.Background()

	BeforeEach(func() { c = newFakeCluster() })

	writeNotRun := func(w http.ResponseWriter, retryAfterMS int) {
		writeOutcome(w, http.StatusServiceUnavailable, map[string]any{"outcome": "not-run", "reason": "queue-full", "retry_after_ms": retryAfterMS})
	}
	writeUnknown := func(w http.ResponseWriter) {
		writeOutcome(w, http.StatusBadGateway, map[string]any{"outcome": "unknown", "reason": "answer-lost"})
	}

	// Guards against headers and bodies that are altered or lost in transit.
	It("returns the complete response of the target", func() {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("X-Box", "7")
			w.Header().Set("Fulmarhoist-Outcome", "answered")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte("done"))
		})
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { abortConnection(w) })
		request := nonIdempotentRequest()
		request.Header = http.Header{"X-Caller": {"pharmacy"}}
		request.InheritFrom(http.Header{"Fulmarhoist-Depth": {"3"}, "Fulmarhoist-Retries-Left": {"2"}, "Fulmarhoist-Deadline": {"800"}})
		response, err := c.client(nil).Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusCreated))
		Expect(string(response.Body)).To(Equal("done"))
		Expect(response.Header.Get("X-Box")).To(Equal("7"))
		Expect(response.Sends).To(Equal(1))
		sent := c.receivedCopies()[0]
		Expect(sent.key).To(HavePrefix("entry-1.00000000000000aa.1/"))
		Expect(sent.header.Get("X-Caller")).To(Equal("pharmacy"))
		Expect(sent.header.Get("Fulmarhoist-Depth")).To(Equal("3"))
		Expect(sent.header.Get("Fulmarhoist-Retries-Left")).To(Equal("2"))
		Expect(sent.header.Get("Fulmarhoist-Deadline")).To(HaveLen(3), "the deadline of the served request must apply")
	})

	// Guards against reporting another outcome than the received one, and
	// against a resend after a final outcome.
	DescribeTable("final outcomes", func(name string, status int, matches func(error) bool) {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) {
			writeOutcome(w, status, map[string]any{"outcome": name, "reason": "r", "field": "f"})
		})
		_, err := c.client(nil).Do(ctx, idempotentRequest())
		Expect(matches(err)).To(BeTrue(), "%v", err)
		var refusal *caller.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Outcome).To(Equal(name))
		Expect(caller.OutcomeOf(err)).To(Equal(name))
		details, found := caller.CallDetailsOf(err)
		Expect(found).To(BeTrue())
		Expect(details.Sends).To(Equal(1))
		Expect(c.receivedCopies()).To(HaveLen(1))
	},
		Entry("too-old", "too-old", 409, func(err error) bool { _, ok := errors.AsType[*caller.TooOldError](err); return ok }),
		Entry("crashes-targets", "crashes-targets", 422, func(err error) bool { _, ok := errors.AsType[*caller.CrashesTargetsError](err); return ok }),
		Entry("invalid", "invalid", 400, func(err error) bool { _, ok := errors.AsType[*caller.InvalidError](err); return ok }),
	)

	// Guards against a resend with a refused key, and before the retry-after
	// delay has passed.
	It("resends a request that was not run with a new key after the retry-after delay", func() {
		for range 2 {
			c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) {
				if len(c.receivedCopies()) == 1 {
					writeNotRun(w, 60)
					return
				}
				writeAnswered(w, "ok")
			})
		}
		_, err := c.client(nil).Do(ctx, nonIdempotentRequest())
		Expect(err).NotTo(HaveOccurred())
		copies := c.receivedCopies()
		Expect(copies).To(HaveLen(2))
		Expect(copies[0].key).NotTo(Equal(copies[1].key))
		Expect(copies[1].at.Sub(copies[0].at)).To(BeNumerically(">=", 60*time.Millisecond))
	})

	// Guards against unlimited retries.
	It("returns NotRunError after MaxSends copies", func() {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { writeNotRun(w, 0) })
		_, err := c.client(func(o *caller.Options) { o.MaxSends = 3 }).Do(ctx, nonIdempotentRequest())
		notRunError, ok := errors.AsType[*caller.NotRunError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(notRunError.Sends).To(Equal(3))
		Expect(c.receivedCopies()).To(HaveLen(3))
	})

	// Guards against a new key for a request that may have been executed.
	It("resends with the same key to get the recorded outcome after an unknown one", func() {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 0 {
				writeUnknown(w)
				return
			}
			w.Header().Set("Fulmarhoist-Replayed", "1")
			writeAnswered(w, "recorded")
		})
		response, err := c.client(nil).Do(ctx, nonIdempotentRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Replayed).To(BeTrue())
		copies := c.receivedCopies()
		Expect(copies).To(HaveLen(2))
		Expect(copies[1].key).To(Equal(copies[0].key))
	})

	// Guards against a caller that cannot find out later whether its request
	// was executed.
	It("returns the key of a request whose outcome is unknown, and accepts it again", func() {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n < 4 {
				writeUnknown(w)
				return
			}
			writeAnswered(w, "late")
		})
		client := c.client(nil)
		_, err := client.Do(ctx, nonIdempotentRequest())
		unknownError, ok := errors.AsType[*caller.UnknownError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		request := nonIdempotentRequest()
		request.Key = unknownError.Key
		_, err = client.Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		for _, received := range c.receivedCopies() {
			Expect(received.key).To(Equal(unknownError.Key))
		}
	})

	// Guards against waiting for a stopped instance, and against sending a key
	// with the ticket of one instance to another first.
	It("skips an instance that refuses the connection", func() {
		stopped := c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { writeAnswered(w, "") })
		other := c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { writeAnswered(w, "other") })
		stopped.Close()
		client := c.client(func(o *caller.Options) { o.Instances = []string{other.Listener.Addr().String()} })
		response, err := client.Do(ctx, nonIdempotentRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Key).To(HavePrefix("entry-2."))
		Expect(response.Sends).To(Equal(1))
	})

	// Guards against reporting "unknown" for a request that was not sent.
	It("returns UnreachableError if all instances refuse the connection", func() {
		listing := c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { writeAnswered(w, "") })
		stopped := httptest.NewServer(http.NotFoundHandler())
		stopped.Close()
		c.update(func() { c.listed[0]["address"] = stopped.Listener.Addr().String() })
		client := c.client(func(o *caller.Options) { o.Instances = []string{listing.Listener.Addr().String()} })
		_, err := client.Do(ctx, nonIdempotentRequest())
		failure, ok := errors.AsType[*caller.UnreachableError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(failure.Sends).To(BeZero())
	})

	// Guards against returning a truncated response as complete.
	DescribeTable("resends after a truncated or malformed response", func(writeBroken func(w http.ResponseWriter)) {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 0 {
				writeBroken(w)
				return
			}
			writeAnswered(w, "the whole answer")
		})
		response, err := c.client(nil).Do(ctx, nonIdempotentRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("the whole answer"))
		copies := c.receivedCopies()
		Expect(copies).To(HaveLen(2))
		Expect(copies[1].key).To(Equal(copies[0].key))
	},
		Entry("shorter than its Content-Length", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "16")
			writeAnswered(w, "the wh")
		}),
		Entry("chunked without a last chunk", func(w http.ResponseWriter) {
			writeAnswered(w, "the wh")
			_ = http.NewResponseController(w).Flush()
			abortConnection(w)
		}),
		Entry("delimited by the end of the connection", func(w http.ResponseWriter) { writeRawResponse(w, "Fulmarhoist-Outcome: answered\r\n\r\nthe wh") }),
		Entry("not from an entry instance", func(w http.ResponseWriter) { _, _ = w.Write([]byte("welcome")) }),
		Entry("no response", abortConnection),
	)

	// Guards against returning a response that is truncated to the limit.
	It("returns AnswerTooLargeError for a response above the limit", func() {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { writeAnswered(w, strings.Repeat("x", 101)) })
		_, err := c.client(func(o *caller.Options) { o.MaxAnswerBytes = 100 }).Do(ctx, nonIdempotentRequest())
		_, ok := errors.AsType[*caller.AnswerTooLargeError](err)
		Expect(ok).To(BeTrue(), "%v", err)
	})

	// Guards against returning the body of a refusal as the target's response,
	// and against a resend of a request that was executed.
	It("returns AnswerNotKeptError for a response that was not stored", func() {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Fulmarhoist-Outcome", "answer-not-kept")
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write([]byte(`{"outcome":"answer-not-kept"}`))
		})
		_, err := c.client(nil).Do(ctx, nonIdempotentRequest())
		_, ok := errors.AsType[*caller.AnswerNotKeptError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(c.receivedCopies()).To(HaveLen(1))
	})

	// Guards against a caller that waits for an unresponsive instance until the
	// deadline.
	It("resends to another instance with the same key if one does not respond", func() {
		release := make(chan struct{})
		c.addInstance(func(_ http.ResponseWriter, r *http.Request, _ int) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { writeAnswered(w, "forwarded") })
		DeferCleanup(func() { close(release) })
		request := nonIdempotentRequest()
		request.AttemptLimit = 30 * time.Millisecond
		response, err := c.client(nil).Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Instance).To(Equal("entry-2"))
		Expect(response.Key).To(HavePrefix("entry-1."))

		request.AttemptLimit, request.Deadline = 0, 30*time.Millisecond
		_, err = c.client(nil).Do(ctx, request)
		_, ok := errors.AsType[*caller.UnknownError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
	})

	// Guards against a new key when net/http resends on a new connection.
	It("sends the same key when net/http resends by itself", func() {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 1 { // on a reused connection
				abortConnection(w)
			}
			writeAnswered(w, "ok")
		})
		client := c.client(nil)
		request := nonIdempotentRequest()
		request.Method, request.Body = http.MethodGet, nil // net/http resends GET
		for range 2 {
			_, err := client.Do(ctx, request)
			Expect(err).NotTo(HaveOccurred())
		}
		copies := c.receivedCopies()
		Expect(copies).To(HaveLen(3))
		Expect(copies[2].key).To(Equal(copies[1].key))
	})

	// Guards against taking a refused connection for "nothing was sent"
	// although net/http has written the request to an earlier connection.
	It("keeps the key if net/http resends and the connection is refused", func() {
		var stopped *httptest.Server
		stopped = c.addInstance(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 1 {
				_ = stopped.Listener.Close()
				abortConnection(w)
			}
			writeAnswered(w, "ok")
		})
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { writeAnswered(w, "forwarded") })
		client := c.client(nil)
		request := nonIdempotentRequest()
		request.Method, request.Body = http.MethodGet, nil
		for range 2 {
			_, err := client.Do(ctx, request)
			Expect(err).NotTo(HaveOccurred())
		}
		copies := c.receivedCopies()
		Expect(copies).To(HaveLen(3))
		Expect(copies[1].instance).To(Equal("entry-1"))
		Expect(copies[2].instance).To(Equal("entry-2"))
		Expect(copies[2].key).To(Equal(copies[1].key))
	})

	// Guards against treating a request as not executed although net/http had
	// sent an earlier copy whose outcome is unknown.
	It("does not replace an expired key if net/http has resent the request", func() {
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, n int) {
			switch n {
			case 1:
				abortConnection(w)
			case 2:
				writeOutcome(w, http.StatusConflict, map[string]any{"outcome": "too-old", "reason": "ticket-expired"})
			default:
				writeAnswered(w, "ok")
			}
		})
		client := c.client(nil)
		request := nonIdempotentRequest()
		request.Method, request.Body = http.MethodGet, nil
		_, err := client.Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Do(ctx, request)
		_, ok := errors.AsType[*caller.TooOldError](err)
		Expect(ok).To(BeTrue(), "%v", err)
	})

	// Guards against a request that fails only because the ticket in the cached
	// directory has expired.
	It("uses a new ticket if the first copy is refused because its ticket has expired", func() {
		c.addInstance(func(w http.ResponseWriter, r *http.Request, _ int) {
			if strings.HasPrefix(r.Header.Get("Fulmarhoist-Request-Key"), "entry-1.00000000000000aa.1/") {
				c.update(func() { c.listed[0]["ticket"] = "entry-1.00000000000000aa.99" })
				writeOutcome(w, http.StatusConflict, map[string]any{"outcome": "too-old", "reason": "ticket-expired"})
				return
			}
			writeAnswered(w, "ok")
		})
		response, err := c.client(nil).Do(ctx, nonIdempotentRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Key).To(HavePrefix("entry-1.00000000000000aa.99/"))
	})

	// Guards against reporting a request that net/http cannot write as a failure
	// of the instances.
	It("returns RequestError for requests that cannot be sent", func() {
		client := c.client(func(o *caller.Options) { o.Instances = []string{"127.0.0.1:1"} })
		for _, change := range []func(*caller.Request){
			func(r *caller.Request) { r.Service = "" },
			func(r *caller.Request) { r.Path = "reorder" },
			func(r *caller.Request) { r.Path = "/\x7f" },
			func(r *caller.Request) { r.Method = "GE T" },
			func(r *caller.Request) { r.Header = http.Header{"fulmarhoist-depth": {"0"}} },
			func(r *caller.Request) { r.Header = http.Header{"X": {"a\nb"}} },
			func(r *caller.Request) { r.Key = "no ticket" },
		} {
			request := nonIdempotentRequest()
			change(&request)
			_, err := client.Do(ctx, request)
			_, ok := errors.AsType[*caller.RequestError](err)
			Expect(ok).To(BeTrue(), "%v", err)
		}
	})
})

var _ = Describe("Directory", func() {
	var c *fakeCluster
	ctx := context.Background()

	BeforeEach(func() {
		c = newFakeCluster()
		c.addInstance(func(w http.ResponseWriter, _ *http.Request, _ int) { writeAnswered(w, "ok") })
	})

	// Guards against one directory fetch per request.
	It("is fetched once for many concurrent requests", func() {
		client := c.client(nil)
		var group sync.WaitGroup
		for range 64 {
			group.Go(func() {
				defer GinkgoRecover()
				_, err := client.Do(ctx, idempotentRequest())
				Expect(err).NotTo(HaveOccurred())
			})
		}
		group.Wait()
		Expect(c.directoryRequests()).To(Equal(1))
	})

	// Guards against callers that fail when no instance returns a directory
	// although the instances that they know still serve requests.
	It("is used beyond its lifetime for short periods while no instance returns a new one", func() {
		c.lifetimeMs = 1
		client := c.client(nil)
		fresh, err := client.Directory(ctx)
		Expect(err).NotTo(HaveOccurred())
		c.update(func() { c.failDirectory = true })
		Eventually(func(g Gomega) {
			_, err := client.Do(ctx, nonIdempotentRequest())
			g.Expect(err).NotTo(HaveOccurred())
			stale, err := client.Directory(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(stale.Stale).To(BeTrue())
			g.Expect(stale.Instances).To(Equal(fresh.Instances))
			g.Expect(time.Until(stale.Expires)).To(BeNumerically("<", fresh.Lifetime))
		}).Should(Succeed())
		c.update(func() { c.failDirectory = false })
		Eventually(func(g Gomega) {
			d, err := client.Directory(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Version).To(BeNumerically(">", fresh.Version))
		}).Should(Succeed())
	})

	// Guards against a caller that gives up at the first unreachable instance.
	It("is fetched from another instance if one is unreachable", func() {
		client := c.client(func(o *caller.Options) {
			o.Instances = append(o.Instances, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
		})
		_, err := client.Directory(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against waiting indefinitely when no instance returns a directory.
	It("returns DirectoryError if there is no earlier directory", func() {
		c.failDirectory = true
		_, err := c.client(nil).Do(ctx, nonIdempotentRequest())
		failure, ok := errors.AsType[*caller.DirectoryError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(failure.Addresses).To(HaveLen(1))
	})

	// Guards against accepting a directory that leaves the caller without
	// instances, or with keys that no instance can execute.
	DescribeTable("rejects an invalid directory", func(body string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		DeferCleanup(server.Close)
		client := c.client(func(o *caller.Options) { o.Instances = []string{server.Listener.Addr().String()} })
		_, err := client.Directory(ctx)
		Expect(err).To(BeAssignableToTypeOf(&caller.DirectoryError{}))
	},
		Entry("not JSON", "hello"),
		Entry("no instance", `{"version":1,"lifetime_ms":1000,"instances":[]}`),
		Entry("no lifetime", `{"version":1,"instances":[{"id":"a","address":"127.0.0.1:1","ticket":"a.1.1"}]}`),
		Entry("ticket of another instance", `{"version":1,"lifetime_ms":1000,"instances":[{"id":"a","address":"127.0.0.1:1","ticket":"b.1.1"}]}`),
		Entry("address without port", `{"version":1,"lifetime_ms":1000,"instances":[{"id":"a","address":"127.0.0.1","ticket":"a.1.1"}]}`),
	)
})

// writeRawResponse writes a response that net/http cannot produce and closes
// the connection.
func writeRawResponse(w http.ResponseWriter, headersAndBody string) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n" + headersAndBody)
	_ = buffer.Flush()
	_ = connection.Close()
}
