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

	"go.opentelemetry.io/otel/trace/noop"

	"fulmarhoist.example/config"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
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

// noTarget is a Chooser that finds no target.
type noTarget struct{}

func (noTarget) Choose(context.Context, *service.Service, exchange.Criteria) (target.Permit, bool) {
	return target.Permit{}, false
}

var _ = Describe("A request whose targets have all asked for a pause", func() {
	var a, b *target.Target
	var x *exchange.Exchange

	BeforeEach(func() {
		warm := func(name string) *target.Target {
			return target.NewWarm(target.Spec{Name: name, Slots: 1, Links: 2}, 2)
		}
		a, b = warm("a"), warm("b")
		svc := service.New("orders", 10, 10, service.LeastInFlight{})
		svc.Replace(service.NewView(1, []*zone.Zone{{Targets: []*target.Target{a, b}}}))
		x = &exchange.Exchange{
			Contract: contract.New(idempotentTerms(5 * time.Second)), Service: svc, Chooser: noTarget{}, Crashes: contract.NewFingerprints(),
			Tracer: noop.NewTracerProvider().Tracer("test"), QueueRequest: service.QueueRequest{QueueTimeout: 2 * time.Second},
		}
	})
	pause := func(t *target.Target, duration time.Duration) {
		t.ObserveNotice(time.Now(), 1, target.Notice{Pause: duration}, 0)
	}

	// Guards against a request that waits although it is known that no target takes
	// it in time.
	It("is refused at once if the pauses last longer than it could wait", func(ctx SpecContext) {
		pause(a, 4*time.Second)
		pause(b, 3*time.Second)
		began := time.Now()
		_, refusal := x.Run(ctx, get("/status"))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(refusal.Reason).To(Equal(contract.ReasonTargetsPaused))
		Expect(refusal.Outcome).To(Equal(contract.OutcomeNotRun))
		Expect(refusal.RetryAfter).To(BeNumerically("~", 3*time.Second, 500*time.Millisecond), "when the first target takes requests again")
	})

	It("is refused while it waits", func(ctx SpecContext) {
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { pause(a, time.Minute); pause(b, time.Minute) })
		_, refusal := x.Run(ctx, get("/status"))
		Expect(time.Since(began)).To(BeNumerically("~", 150*time.Millisecond, 100*time.Millisecond))
		Expect(refusal.Reason).To(Equal(contract.ReasonTargetsPaused))
		Expect(x.Service.Queue.Len()).To(BeZero())
	})

	// Guards against refusing a request although a target may soon be free for it.
	It("waits if a target takes requests, or will do so in time", func(ctx SpecContext) {
		pause(a, time.Minute)
		pause(b, time.Second)
		began := time.Now()
		_, refusal := x.Run(ctx, get("/status"))
		Expect(time.Since(began)).To(BeNumerically(">=", 2*time.Second))
		Expect(refusal.Reason).To(Equal(contract.ReasonNoTarget))
	})
})
