package exchange_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/config"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
)

// slowReader returns the first half of the body, waits, and returns the second.
type slowReader struct {
	halves [][]byte
	pause  time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.halves) == 0 {
		return 0, io.EOF
	}
	if len(r.halves) == 1 && r.pause > 0 {
		<-time.After(r.pause)
		r.pause = 0
	}
	n := copy(p, r.halves[0])
	if r.halves[0] = r.halves[0][n:]; len(r.halves[0]) == 0 {
		r.halves = r.halves[1:]
	}
	return n, nil
}

var _ = Describe("Exchange", func() {
	// Guards against a request that loops without a pause beyond its deadline,
	// because there is a permit but no idle link.
	It("ends at the deadline if a target has capacity but no idle link", func(ctx SpecContext) {
		f := newFixture(2, func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		go func() { _, _ = f.exchange(nonIdempotentTerms(3*time.Second)).Run(ctx, get("/long")) }()
		Eventually(f.target().InFlight).Should(Equal(1))
		began := time.Now()
		_, refusal := f.exchange(idempotentTerms(300*time.Millisecond)).Run(ctx, get("/status"))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(refusal).To(HaveField("Outcome", contract.OutcomeNotRun))
		Expect(refusal).To(HaveField("Reason", contract.ReasonDeadline))
	})

	// Guards against truncating a long response because the caller reads slowly,
	// although the target is not silent.
	It("does not treat a target as silent because the caller reads slowly", func(ctx SpecContext) {
		f := newFixture(1, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 16<<20)) })
		response, refusal := f.exchange(idempotentTerms(5*time.Second)).Run(ctx, get("/report"))
		Expect(refusal).To(BeNil())
		<-time.After(time.Second)
		n, err := io.Copy(io.Discard, response.Rest)
		Expect(err).NotTo(HaveOccurred())
		Expect(n + int64(len(response.Body))).To(Equal(int64(16 << 20)))
		Expect(response.Rest.Close()).To(Succeed())
	})

	// Guards against truncating an upload because the caller sends slowly.
	It("does not treat a target as silent because the caller sends slowly", func(ctx SpecContext) {
		var got atomic.Int64
		f := newFixture(1, func(_ http.ResponseWriter, request *http.Request) {
			n, _ := io.Copy(io.Discard, request.Body)
			got.Store(n)
		})
		half := make([]byte, exchange.MaxReplayBytes)
		request := get("/upload")
		request.Method, request.Size = http.MethodPost, int64(2*len(half))
		request.Body = &slowReader{halves: [][]byte{half, bytes.Clone(half)}, pause: time.Second}
		// One byte more than half is buffered before the request is sent.
		request.Body = io.MultiReader(bytes.NewReader(half[:1]), request.Body)
		request.Size++
		_, refusal := f.exchange(idempotentTerms(5*time.Second)).Run(ctx, request)
		Expect(refusal).To(BeNil())
		Expect(got.Load()).To(Equal(request.Size))
	})

	// Guards against sending a request after the instance has become isolated,
	// because the request was already waiting in the queue.
	It("does not send a waiting request once the instance is isolated", func(ctx SpecContext) {
		var runs atomic.Int32
		var isolated atomic.Bool
		block := make(chan struct{})
		f := newFixture(1, func(http.ResponseWriter, *http.Request) { runs.Add(1); <-block })
		go func() {
			_, _ = f.exchange(nonIdempotentTerms(5*time.Second)).Run(context.WithoutCancel(ctx), get("/long"))
		}()
		Eventually(runs.Load).Should(Equal(int32(1)))
		refused := make(chan *contract.Refusal, 1)
		go func() {
			x := f.exchange(nonIdempotentTerms(5 * time.Second))
			x.Isolated = isolated.Load
			_, refusal := x.Run(context.WithoutCancel(ctx), get("/waits"))
			refused <- refusal
		}()
		Eventually(f.queued).Should(Equal(1))
		isolated.Store(true)
		close(block)
		Eventually(refused).Should(Receive(HaveField("Reason", contract.ReasonInstanceIsolated)))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	// Guards against requests that never get a target because they wait in the
	// queue of a service that a new configuration has replaced.
	It("serves a waiting request after the limits of its service have changed", func(ctx SpecContext) {
		block := make(chan struct{})
		f := newFixture(1, func(_ http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/long" {
				<-block
			}
		})
		go func() {
			_, _ = f.exchange(nonIdempotentTerms(5*time.Second)).Run(context.WithoutCancel(ctx), get("/long"))
		}()
		Eventually(f.target().InFlight).Should(Equal(1))
		refused := make(chan *contract.Refusal, 1)
		go func() {
			_, refusal := f.exchange(nonIdempotentTerms(3*time.Second)).Run(context.WithoutCancel(ctx), get("/waits"))
			refused <- refusal
		}()
		Eventually(f.queued).Should(Equal(1))
		f.apply(func(c *config.Configuration) { c.Services[0].QueueLimit, c.Services[0].RetryPercent = 20, 20 })
		close(block)
		Eventually(refused).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})

	// Guards against changed cold-start settings that apply only to targets
	// added later.
	It("applies changed cold-start settings to a target that is cold", func() {
		f := newFixture(4, func(http.ResponseWriter, *http.Request) {})
		f.apply(func(c *config.Configuration) { c.Services[0].ColdStart.MaxConcurrent = 2 })
		Eventually(func() int { return f.target().Limit() }).Should(Equal(2))
	})

	// Guards against rejecting a response to HEAD because it states no length:
	// it has no body that could be truncated.
	It("returns a response to HEAD without a length", func(ctx SpecContext) {
		f := newFixture(1, func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() })
		request := get("/status")
		request.Method = http.MethodHead
		response, refusal := f.exchange(idempotentTerms(time.Second)).Run(ctx, request)
		Expect(refusal).To(BeNil())
		Expect(response.Status).To(Equal(http.StatusOK))
	})
})
