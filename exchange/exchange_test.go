package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
)

// run sends a GET request under the terms, which get a deadline of 10 s if they
// have none.
func (f *fixture) run(ctx context.Context, terms contract.Terms) (*exchange.Response, *contract.Refusal) {
	if terms.Deadline.IsZero() {
		terms.Deadline = time.Now().Add(10 * time.Second)
	}
	return f.exchange(terms).Run(ctx, get("/status"))
}

var _ = Describe("Exchange", func() {
	// Guards against a slow caller that makes a healthy link look silent, so
	// that the response is truncated.
	It("streams a long response to a caller that pauses longer than the silence limit", func(ctx SpecContext) {
		long := bytes.Repeat([]byte("scan"), 1<<20)
		f := newFixtureAt(2, serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(long) }))
		terms := contract.Terms{Idempotent: true, Deadline: time.Now().Add(8 * time.Second)}
		response, refusal := f.run(ctx, terms)
		Expect(refusal).To(BeNil())
		Expect(response.Rest).NotTo(BeNil())
		pause := time.NewTimer(2500 * time.Millisecond) // the silence limit is a quarter of 8 s
		<-pause.C
		rest, err := io.ReadAll(response.Rest)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Rest.Close()).To(Succeed())
		Expect(len(response.Body) + len(rest)).To(Equal(len(long)))
	}, SpecTimeout(time.Minute))

	// Guards against accepting a response that ends with its connection: a
	// truncated one would look complete.
	It("rejects a response that has neither a length nor chunks", func(ctx SpecContext) {
		f := newFixtureAt(2, serve(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
				_ = conn.Close()
			}
		}))
		_, refusal := f.run(ctx, contract.Terms{Idempotent: true})
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Outcome).To(Equal(contract.OutcomeUnknown))
		Expect(f.observer.discarded.Load()).To(BeNumerically(">", 0))
	}, SpecTimeout(time.Minute))

	// Guards against running a non-idempotent request twice because its response
	// was lost.
	It("does not retry a non-idempotent request whose response was lost", func(ctx SpecContext) {
		var requests atomic.Int32
		lose := func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}
		f := newFixtureAt(2, serve(lose), serve(lose))
		_, refusal := f.run(ctx, contract.Terms{Retries: 4})
		Expect(refusal.Outcome).To(Equal(contract.OutcomeUnknown))
		Expect(requests.Load()).To(Equal(int32(1)))
	}, SpecTimeout(time.Minute))

	// Guards against a caller that is told that its request did not run, because the
	// target wrote an earlier refusal once more while it ran the request.
	It("takes no refusal that names no attempt for the response to the next attempt", func() {
		var runs atomic.Int32
		const refusal = "HTTP/1.1 503 Service Unavailable\r\nFulmarhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go refuseThenRun(conn, refusal, &runs)
			}
		}()
		f := newFixtureAt(2, listener.Addr().String())
		for range 20 {
			before := runs.Load()
			_, refused := f.exchange(nonIdempotentTerms(200*time.Millisecond)).Run(context.Background(), get("/x"))
			if refused != nil && refused.Outcome == contract.OutcomeNotRun {
				Expect(runs.Load()).To(Equal(before))
			}
		}
	})

	// Guards against refusing a request because one target declined it, although
	// another one has capacity.
	It("tries another target after one declined the request", func(ctx SpecContext) {
		shed := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Fulmarhoist-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		free := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
		f := newFixtureAt(2, shed, free)
		for range 5 {
			response, refusal := f.run(ctx, contract.Terms{Retries: 4})
			Expect(refusal).To(BeNil())
			Expect(string(response.Body)).To(Equal("ok"))
		}
	}, SpecTimeout(time.Minute))

	// Guards against a request that is broken off at a target at work, whose response
	// is lost, although no other attempt may follow.
	DescribeTable("waits for a target that is silent for long if no other attempt may follow",
		func(ctx SpecContext, prepare func(f *fixture, x *exchange.Exchange)) {
			slow := serve(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Second) // the silence limit is a quarter of 3 s
				_, _ = io.WriteString(w, "ok")
			})
			f := newFixtureAt(2, slow, slow)
			x := f.exchange(idempotentTerms(3 * time.Second))
			prepare(f, x)
			response, refusal := x.Run(ctx, get("/status"))
			Expect(refusal).To(BeNil())
			Expect(string(response.Body)).To(Equal("ok"))
			Expect(x.Contract.Attempts()).To(Equal(1))
		},
		Entry("as the request has no retries", func(_ *fixture, x *exchange.Exchange) {
			x.Contract.Terms.Retries = 0
			x.Contract = contract.New(x.Contract.Terms)
		}),
		Entry("as the retry budget is spent", func(_ *fixture, x *exchange.Exchange) { x.Service.RetryBudget.SetPercent(0) }),
		Entry("as the other target is gone", func(f *fixture, _ *exchange.Exchange) {
			f.apply(func(c *config.Configuration) { c.Services[0].Targets = c.Services[0].Targets[:1] })
		}),
	)

	// Guards against a request that hangs until its deadline because a target
	// accepts connections and never responds.
	It("retries an idempotent request on another target if its link is silent", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		f := newFixtureAt(2, listener.Addr().String(), serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
		for range 4 {
			begin := time.Now()
			terms := contract.Terms{Idempotent: true, Retries: 4, Deadline: begin.Add(8 * time.Second)}
			response, refusal := f.run(ctx, terms)
			Expect(refusal).To(BeNil())
			Expect(string(response.Body)).To(Equal("ok"))
			Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
		}
	}, SpecTimeout(time.Minute))
})

var _ = Describe("A request that made a target crash", func() {
	// Guards against a request that makes the same target crash again after its
	// restart because no other target has capacity: the crashes would count as
	// those of one target only.
	It("is not sent to that target again", func(ctx SpecContext) {
		var runs atomic.Int32
		f := newFixture(2, func(w http.ResponseWriter, _ *http.Request) { runs.Add(1); _, _ = io.WriteString(w, "ok") })
		x := f.exchange(idempotentTerms(300 * time.Millisecond))
		x.Crashes.Crashed(time.Now(), "orders-1", contract.NewFingerprint("orders", "class", http.MethodGet, "/status", nil))
		_, refusal := x.Run(ctx, get("/status"))
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Outcome).To(Equal(contract.OutcomeNotRun))
		Expect(runs.Load()).To(BeZero())
	}, SpecTimeout(time.Minute))
})

// refuseThenRun refuses the first request of a connection, and writes the refusal
// again while it runs each later one.
func refuseThenRun(conn net.Conn, refusal string, runs *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if number > 0 {
			runs.Add(1)
		}
		_, _ = io.WriteString(conn, refusal)
	}
}
