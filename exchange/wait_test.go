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

// slowReader gives half of the body, waits, and gives the rest.
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
	// Guards against a request that outlives its deadline in a loop without a
	// pause, because a permit is free but no link is.
	It("ends at the deadline if a target has room but no link", func(ctx SpecContext) {
		r := newRig(2, func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		go func() { _, _ = r.exchange(once(3*time.Second)).Run(ctx, get("/long")) }()
		Eventually(r.target().InFlight).Should(Equal(1))
		began := time.Now()
		_, refusal := r.exchange(repeatable(300*time.Millisecond)).Run(ctx, get("/status"))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(refusal).To(HaveField("Outcome", contract.OutcomeNotRun))
		Expect(refusal).To(HaveField("Reason", contract.ReasonDeadline))
	})

	// Guards against a long answer that is cut because its caller reads slowly:
	// the target was not silent.
	It("does not count a caller that reads slowly as silence of the target", func(ctx SpecContext) {
		r := newRig(1, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 16<<20)) })
		response, refusal := r.exchange(repeatable(5*time.Second)).Run(ctx, get("/report"))
		Expect(refusal).To(BeNil())
		<-time.After(time.Second)
		n, err := io.Copy(io.Discard, response.Rest)
		Expect(err).NotTo(HaveOccurred())
		Expect(n + int64(len(response.Body))).To(Equal(int64(16 << 20)))
		Expect(response.Rest.Close()).To(Succeed())
	})

	// Guards against an upload that is cut because its caller sends slowly.
	It("does not count a caller that sends slowly as silence of the target", func(ctx SpecContext) {
		var got atomic.Int64
		r := newRig(1, func(_ http.ResponseWriter, request *http.Request) {
			n, _ := io.Copy(io.Discard, request.Body)
			got.Store(n)
		})
		half := make([]byte, exchange.MaxReplayBytes)
		request := get("/upload")
		request.Method, request.Size = http.MethodPost, int64(2*len(half))
		request.Body = &slowReader{halves: [][]byte{half, bytes.Clone(half)}, pause: time.Second}
		// The first read takes one byte more than half.
		request.Body = io.MultiReader(bytes.NewReader(half[:1]), request.Body)
		request.Size++
		_, refusal := r.exchange(repeatable(5*time.Second)).Run(ctx, request)
		Expect(refusal).To(BeNil())
		Expect(got.Load()).To(Equal(request.Size))
	})

	// Guards against work that starts after this instance was cut off from
	// changes, because the request had waited in the queue since before.
	It("sends nothing once the instance is isolated", func(ctx SpecContext) {
		var runs atomic.Int32
		var isolated atomic.Bool
		block := make(chan struct{})
		r := newRig(1, func(http.ResponseWriter, *http.Request) { runs.Add(1); <-block })
		go func() { _, _ = r.exchange(once(5*time.Second)).Run(context.WithoutCancel(ctx), get("/long")) }()
		Eventually(runs.Load).Should(Equal(int32(1)))
		refused := make(chan *contract.Refusal, 1)
		go func() {
			x := r.exchange(once(5 * time.Second))
			x.Isolated = isolated.Load
			_, refusal := x.Run(context.WithoutCancel(ctx), get("/waits"))
			refused <- refusal
		}()
		Eventually(r.queued).Should(Equal(1))
		isolated.Store(true)
		close(block)
		Eventually(refused).Should(Receive(HaveField("Reason", contract.ReasonIsolated)))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	// Guards against requests that wait in the queue of a service that a new
	// configuration has replaced, and never get a target.
	It("serves a waiting request after the bounds of its service changed", func(ctx SpecContext) {
		block := make(chan struct{})
		r := newRig(1, func(_ http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/long" {
				<-block
			}
		})
		go func() { _, _ = r.exchange(once(5*time.Second)).Run(context.WithoutCancel(ctx), get("/long")) }()
		Eventually(r.target().InFlight).Should(Equal(1))
		refused := make(chan *contract.Refusal, 1)
		go func() {
			_, refusal := r.exchange(once(3*time.Second)).Run(context.WithoutCancel(ctx), get("/waits"))
			refused <- refusal
		}()
		Eventually(r.queued).Should(Equal(1))
		r.apply(func(c *config.Configuration) { c.Services[0].QueueLimit, c.Services[0].RetryPercent = 20, 20 })
		close(block)
		Eventually(refused).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})

	// Guards against a changed cold start that comes into force only for targets
	// that are added later.
	It("applies a changed cold start to a target that is cold", func() {
		r := newRig(4, func(http.ResponseWriter, *http.Request) {})
		r.apply(func(c *config.Configuration) { c.Services[0].ColdStart.Bears = 2 })
		Eventually(func() int { return r.target().Limit() }).Should(Equal(2))
	})

	// Guards against the refusal of an answer to HEAD that states no length: it
	// has no body that could be cut.
	It("passes on an answer to HEAD without a length", func(ctx SpecContext) {
		r := newRig(1, func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() })
		request := get("/status")
		request.Method = http.MethodHead
		response, refusal := r.exchange(repeatable(time.Second)).Run(ctx, request)
		Expect(refusal).To(BeNil())
		Expect(response.Status).To(Equal(http.StatusOK))
	})
})
