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
	var c *cell
	ctx := context.Background()

	BeforeEach(func() { c = newCell() })

	notRun := func(w http.ResponseWriter, retryAfterMS int) {
		outcome(w, http.StatusServiceUnavailable, map[string]any{"outcome": "not-run", "reason": "queue-full", "retry_after_ms": retryAfterMS})
	}
	unknown := func(w http.ResponseWriter) {
		outcome(w, http.StatusBadGateway, map[string]any{"outcome": "unknown", "reason": "answer-lost"})
	}

	// Guards against headers and bodies that are changed or dropped on the way.
	It("returns the whole answer of the target", func() {
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("X-Box", "7")
			w.Header().Set("Fulmarhoist-Outcome", "answered")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte("done"))
		})
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { hangUp(w) })
		request := once()
		request.Header = http.Header{"X-Caller": {"pharmacy"}}
		request.Within(http.Header{"Fulmarhoist-Depth": {"3"}, "Fulmarhoist-Retries-Left": {"2"}, "Fulmarhoist-Deadline": {"800"}})
		response, err := c.client(nil).Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusCreated))
		Expect(string(response.Body)).To(Equal("done"))
		Expect(response.Header.Get("X-Box")).To(Equal("7"))
		Expect(response.Sends).To(Equal(1))
		sent := c.seen()[0]
		Expect(sent.key).To(HavePrefix("entry-1.00000000000000aa.1/"))
		Expect(sent.header.Get("X-Caller")).To(Equal("pharmacy"))
		Expect(sent.header.Get("Fulmarhoist-Depth")).To(Equal("3"))
		Expect(sent.header.Get("Fulmarhoist-Retries-Left")).To(Equal("2"))
		Expect(sent.header.Get("Fulmarhoist-Deadline")).To(HaveLen(3), "the deadline of the served request is kept")
	})

	// Guards against an outcome that is reported as another one or sent again
	// against the table of the protocol.
	DescribeTable("final outcomes", func(name string, status int, matches func(error) bool) {
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) {
			outcome(w, status, map[string]any{"outcome": name, "reason": "r", "field": "f"})
		})
		_, err := c.client(nil).Do(ctx, idempotent())
		Expect(matches(err)).To(BeTrue(), "%v", err)
		var refusal *caller.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Outcome).To(Equal(name))
		Expect(caller.OutcomeOf(err)).To(Equal(name))
		trail, found := caller.TrailOf(err)
		Expect(found).To(BeTrue())
		Expect(trail.Sends).To(Equal(1))
		Expect(c.seen()).To(HaveLen(1))
	},
		Entry("too-old", "too-old", 409, func(err error) bool { _, ok := errors.AsType[*caller.TooOldError](err); return ok }),
		Entry("crashes-targets", "crashes-targets", 422, func(err error) bool { _, ok := errors.AsType[*caller.CrashesTargetsError](err); return ok }),
		Entry("invalid", "invalid", 400, func(err error) bool { _, ok := errors.AsType[*caller.InvalidError](err); return ok }),
	)

	// Guards against a resend under a refused key, and before the time that the
	// refusal names.
	It("sends work that did not run again under a new key after retry-after", func() {
		for range 2 {
			c.add(func(w http.ResponseWriter, _ *http.Request, _ int) {
				if len(c.seen()) == 1 {
					notRun(w, 60)
					return
				}
				answered(w, "ok")
			})
		}
		_, err := c.client(nil).Do(ctx, once())
		Expect(err).NotTo(HaveOccurred())
		copies := c.seen()
		Expect(copies).To(HaveLen(2))
		Expect(copies[0].key).NotTo(Equal(copies[1].key))
		Expect(copies[1].at.Sub(copies[0].at)).To(BeNumerically(">=", 60*time.Millisecond))
	})

	// Guards against unbounded retries and a wait that cannot end in time.
	It("gives up with NotRunError", func() {
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { notRun(w, 0) })
		_, err := c.client(func(o *caller.Options) { o.MaxSends = 3 }).Do(ctx, once())
		refused, ok := errors.AsType[*caller.NotRunError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(refused.Sends).To(Equal(3))
		Expect(c.seen()).To(HaveLen(3))
	})

	// Guards against a new key for work that may have run.
	It("asks with the same key for the recorded outcome of unknown work", func() {
		c.add(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 0 {
				unknown(w)
				return
			}
			w.Header().Set("Fulmarhoist-Replayed", "1")
			answered(w, "recorded")
		})
		response, err := c.client(nil).Do(ctx, once())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Replayed).To(BeTrue())
		copies := c.seen()
		Expect(copies).To(HaveLen(2))
		Expect(copies[1].key).To(Equal(copies[0].key))
	})

	// Guards against a caller that cannot look its outcome up later.
	It("returns the key of work that stays unknown, and looks it up again", func() {
		c.add(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n < 4 {
				unknown(w)
				return
			}
			answered(w, "late")
		})
		client := c.client(nil)
		_, err := client.Do(ctx, once())
		open, ok := errors.AsType[*caller.UnknownError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		request := once()
		request.Key = open.Key
		_, err = client.Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		for _, copied := range c.seen() {
			Expect(copied.key).To(Equal(open.Key))
		}
	})

	// Guards against a wait for an instance that is gone, and against a key of
	// one instance that is sent to another for the first time.
	It("skips an instance that refuses the connection", func() {
		gone := c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { answered(w, "") })
		other := c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { answered(w, "other") })
		gone.Close()
		client := c.client(func(o *caller.Options) { o.Instances = []string{other.Listener.Addr().String()} })
		response, err := client.Do(ctx, once())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Key).To(HavePrefix("entry-2."))
		Expect(response.Sends).To(Equal(1))
	})

	// Guards against "unknown" for a request that certainly was not sent.
	It("reports UnreachableError when all instances refuse", func() {
		listing := c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { answered(w, "") })
		gone := httptest.NewServer(http.NotFoundHandler())
		gone.Close()
		c.change(func() { c.listed[0]["address"] = gone.Listener.Addr().String() })
		client := c.client(func(o *caller.Options) { o.Instances = []string{listing.Listener.Addr().String()} })
		_, err := client.Do(ctx, once())
		failure, ok := errors.AsType[*caller.UnreachableError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(failure.Sends).To(BeZero())
	})

	// Guards against a truncated answer that looks whole.
	DescribeTable("broken answers", func(breakOff func(w http.ResponseWriter)) {
		c.add(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 0 {
				breakOff(w)
				return
			}
			answered(w, "the whole answer")
		})
		response, err := c.client(nil).Do(ctx, once())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("the whole answer"))
		copies := c.seen()
		Expect(copies).To(HaveLen(2))
		Expect(copies[1].key).To(Equal(copies[0].key))
	},
		Entry("shorter than its length", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "16")
			answered(w, "the wh")
		}),
		Entry("chunks without an end", func(w http.ResponseWriter) {
			answered(w, "the wh")
			_ = http.NewResponseController(w).Flush()
			hangUp(w)
		}),
		Entry("ended by the connection", func(w http.ResponseWriter) { raw(w, "Fulmarhoist-Outcome: answered\r\n\r\nthe wh") }),
		Entry("not from an instance", func(w http.ResponseWriter) { _, _ = w.Write([]byte("welcome")) }),
		Entry("no answer at all", hangUp),
	)

	// Guards against an answer that is cut to the limit.
	It("reports an answer that is too large", func() {
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { answered(w, strings.Repeat("x", 101)) })
		_, err := c.client(func(o *caller.Options) { o.MaxAnswerBytes = 100 }).Do(ctx, once())
		_, ok := errors.AsType[*caller.AnswerTooLargeError](err)
		Expect(ok).To(BeTrue(), "%v", err)
	})

	// Guards against a refusal body that is taken for the target's answer, and
	// against work that is sent again although it ran.
	It("reports an answer that is no longer held", func() {
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Fulmarhoist-Outcome", "answer-not-kept")
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write([]byte(`{"outcome":"answer-not-kept"}`))
		})
		_, err := c.client(nil).Do(ctx, once())
		_, ok := errors.AsType[*caller.AnswerNotKeptError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(c.seen()).To(HaveLen(1))
	})

	// Guards against a caller that hangs on a frozen instance.
	It("moves on from an instance that does not answer, with the same key", func() {
		release := make(chan struct{})
		c.add(func(_ http.ResponseWriter, r *http.Request, _ int) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { answered(w, "forwarded") })
		DeferCleanup(func() { close(release) })
		request := once()
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

	// Guards against the resend of net/http on a fresh connection: it must carry
	// the same key.
	It("sends the same key when net/http resends by itself", func() {
		c.add(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 1 { // on a reused connection, after the work was done
				hangUp(w)
			}
			answered(w, "ok")
		})
		client := c.client(nil)
		request := once()
		request.Method, request.Body = http.MethodGet, nil // GET is what net/http resends
		for range 2 {
			_, err := client.Do(ctx, request)
			Expect(err).NotTo(HaveOccurred())
		}
		copies := c.seen()
		Expect(copies).To(HaveLen(3))
		Expect(copies[2].key).To(Equal(copies[1].key))
	})

	// Guards against a refused connection that is taken for "nothing was sent"
	// although net/http had written the request to an earlier connection.
	It("keeps the key when the resend of net/http is refused", func() {
		var gone *httptest.Server
		gone = c.add(func(w http.ResponseWriter, _ *http.Request, n int) {
			if n == 1 {
				_ = gone.Listener.Close()
				hangUp(w)
			}
			answered(w, "ok")
		})
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { answered(w, "forwarded") })
		client := c.client(nil)
		request := once()
		request.Method, request.Body = http.MethodGet, nil
		for range 2 {
			_, err := client.Do(ctx, request)
			Expect(err).NotTo(HaveOccurred())
		}
		copies := c.seen()
		Expect(copies).To(HaveLen(3))
		Expect(copies[1].instance).To(Equal("entry-1"))
		Expect(copies[2].instance).To(Equal("entry-2"))
		Expect(copies[2].key).To(Equal(copies[1].key))
	})

	// Guards against "certainly not run" after a copy that net/http had sent by
	// itself, the outcome of which nobody saw.
	It("does not take a new key for an expired one if net/http had resent", func() {
		c.add(func(w http.ResponseWriter, _ *http.Request, n int) {
			switch n {
			case 1:
				hangUp(w)
			case 2:
				outcome(w, http.StatusConflict, map[string]any{"outcome": "too-old", "reason": "ticket-expired"})
			default:
				answered(w, "ok")
			}
		})
		client := c.client(nil)
		request := once()
		request.Method, request.Body = http.MethodGet, nil
		_, err := client.Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Do(ctx, request)
		_, ok := errors.AsType[*caller.TooOldError](err)
		Expect(ok).To(BeTrue(), "%v", err)
	})

	// Guards against work that is refused for good only because the directory
	// answer was old.
	It("takes a new ticket if the first copy finds its ticket expired", func() {
		c.add(func(w http.ResponseWriter, r *http.Request, _ int) {
			if strings.HasPrefix(r.Header.Get("Fulmarhoist-Request-Key"), "entry-1.00000000000000aa.1/") {
				c.change(func() { c.listed[0]["ticket"] = "entry-1.00000000000000aa.99" })
				outcome(w, http.StatusConflict, map[string]any{"outcome": "too-old", "reason": "ticket-expired"})
				return
			}
			answered(w, "ok")
		})
		response, err := c.client(nil).Do(ctx, once())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Key).To(HavePrefix("entry-1.00000000000000aa.99/"))
	})

	// Guards against requests that net/http cannot write and that would be
	// counted as failures of instances.
	It("refuses requests that cannot be sent", func() {
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
			request := once()
			change(&request)
			_, err := client.Do(ctx, request)
			_, ok := errors.AsType[*caller.RequestError](err)
			Expect(ok).To(BeTrue(), "%v", err)
		}
	})
})

var _ = Describe("Directory", func() {
	var c *cell
	ctx := context.Background()

	BeforeEach(func() {
		c = newCell()
		c.add(func(w http.ResponseWriter, _ *http.Request, _ int) { answered(w, "ok") })
	})

	// Guards against a directory call per request.
	It("is asked for once by many concurrent requests", func() {
		client := c.client(nil)
		var group sync.WaitGroup
		for range 64 {
			group.Go(func() {
				defer GinkgoRecover()
				_, err := client.Do(ctx, idempotent())
				Expect(err).NotTo(HaveOccurred())
			})
		}
		group.Wait()
		Expect(c.directoryCalls()).To(Equal(1))
	})

	// Guards against callers that stop when no instance answers the directory
	// call although the instances that they know still serve.
	It("uses an expired answer further, with a shorter time, while no instance answers", func() {
		c.lifetime = 1
		client := c.client(nil)
		fresh, err := client.Directory(ctx)
		Expect(err).NotTo(HaveOccurred())
		c.change(func() { c.fail = true })
		Eventually(func(g Gomega) {
			_, err := client.Do(ctx, once())
			g.Expect(err).NotTo(HaveOccurred())
			old, err := client.Directory(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(old.Stale).To(BeTrue())
			g.Expect(old.Instances).To(Equal(fresh.Instances))
			g.Expect(time.Until(old.Expires)).To(BeNumerically("<", fresh.Lifetime))
		}).Should(Succeed())
		c.change(func() { c.fail = false })
		Eventually(func(g Gomega) {
			d, err := client.Directory(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Version).To(BeNumerically(">", fresh.Version))
		}).Should(Succeed())
	})

	// Guards against a caller that stops at the first instance without answer.
	It("is asked for at the other instances if one does not answer", func() {
		client := c.client(func(o *caller.Options) {
			o.Instances = append(o.Instances, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
		})
		_, err := client.Directory(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an endless wait when nobody answers.
	It("gives DirectoryError if there is no earlier answer", func() {
		c.fail = true
		_, err := c.client(nil).Do(ctx, once())
		failure, ok := errors.AsType[*caller.DirectoryError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(failure.Asked).To(HaveLen(1))
	})

	// Guards against answers that would leave the caller without instances or
	// with keys that nobody can run.
	DescribeTable("unusable answers", func(body string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		DeferCleanup(server.Close)
		client := c.client(func(o *caller.Options) { o.Instances = []string{server.Listener.Addr().String()} })
		_, err := client.Directory(ctx)
		Expect(err).To(BeAssignableToTypeOf(&caller.DirectoryError{}))
	},
		Entry("no JSON", "hello"),
		Entry("no instance", `{"version":1,"lifetime_ms":1000,"instances":[]}`),
		Entry("no lifetime", `{"version":1,"instances":[{"id":"a","address":"127.0.0.1:1","ticket":"a.1.1"}]}`),
		Entry("ticket of another instance", `{"version":1,"lifetime_ms":1000,"instances":[{"id":"a","address":"127.0.0.1:1","ticket":"b.1.1"}]}`),
		Entry("address without port", `{"version":1,"lifetime_ms":1000,"instances":[{"id":"a","address":"127.0.0.1","ticket":"a.1.1"}]}`),
	)
})

// raw writes an answer that net/http would not write and closes the connection.
func raw(w http.ResponseWriter, headersAndBody string) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n" + headersAndBody)
	_ = buffer.Flush()
	_ = connection.Close()
}
