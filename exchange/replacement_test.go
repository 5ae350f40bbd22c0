package exchange_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"go.opentelemetry.io/otel/trace/noop"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
	"fulmarhoist.example/service"
	"fulmarhoist.example/target"
	"fulmarhoist.example/zone"
)

// scriptedSender runs a function for each attempt in place of sending it.
type scriptedSender struct {
	unreachable func() bool // whether no connection can be opened
	send        func(ctx context.Context, target string) (*exchange.Response, contract.Failure, error)
}

func (s *scriptedSender) Reserve(_ context.Context, x *exchange.Exchange, permit target.Permit) exchange.Attempt {
	if s.unreachable() {
		return nil
	}
	return &scriptedAttempt{sender: s, x: x, permit: permit}
}

// targetSilentError is the error of an attempt that got no response.
type targetSilentError struct{}

func (*targetSilentError) Error() string { return "no response" }

type scriptedAttempt struct {
	sender *scriptedSender
	x      *exchange.Exchange
	permit target.Permit
}

func (*scriptedAttempt) SlowAfter() time.Duration { return 20 * time.Millisecond }

func (a *scriptedAttempt) Abandon() { a.x.ReleasePermit(a.permit) }

func (a *scriptedAttempt) Send(ctx context.Context, _ *exchange.Request, _ *exchange.Body) (*exchange.Response, contract.Failure, error) {
	defer a.x.ReleasePermit(a.permit)
	return a.sender.send(ctx, a.permit.Target.Spec.Name)
}

var _ = Describe("A slow attempt", func() {
	var a, b *target.Target
	var x *exchange.Exchange
	var sent []string    // names of the targets to which the request was sent
	var unreachable bool // whether no connection can be opened after the first attempt has begun

	BeforeEach(func() {
		warm := func(name string) *target.Target {
			return target.NewWarm(target.Spec{Name: name, Slots: 1, Links: 2}, 2)
		}
		a, b, sent, unreachable = warm("a"), warm("b"), nil, false
		svc := service.New("orders", 10, 10, service.LeastInFlight{})
		svc.Replace(service.NewView(1, []*zone.Zone{{Targets: []*target.Target{a, b}}}))
		x = &exchange.Exchange{
			Contract: contract.New(idempotentTerms(2 * time.Second)), Service: svc, Crashes: contract.NewFingerprints(),
			Tracer: noop.NewTracerProvider().Tracer("test"), Observer: &observer{},
		}
	})
	// run runs the request. The function first is the first attempt; each later one
	// gets a response at once.
	run := func(ctx context.Context, first func(ctx context.Context) (*exchange.Response, contract.Failure, error)) (*exchange.Response, *contract.Refusal) {
		var begun atomic.Bool
		x.Sender = &scriptedSender{unreachable: func() bool { return unreachable && begun.Load() }, send: func(ctx context.Context, name string) (*exchange.Response, contract.Failure, error) {
			begun.Store(true)
			if sent = append(sent, name); len(sent) == 1 {
				return first(ctx)
			}
			return &exchange.Response{Status: http.StatusOK, Body: []byte("second")}, 0, nil
		}}
		return x.Run(ctx, get("/status"))
	}
	expectAllReleased := func() {
		GinkgoHelper()
		Expect([]int{a.InFlight(), b.InFlight()}).To(Equal([]int{0, 0}))
	}

	// Guards against a request that stays at a silent target while another one is free.
	It("is replaced by one at another target, and the reason is reported", func(ctx SpecContext) {
		var reason error
		response, refusal := run(ctx, func(ctx context.Context) (*exchange.Response, contract.Failure, error) {
			<-ctx.Done()
			reason = context.Cause(ctx)
			return nil, contract.FailureLost, reason
		})
		Expect(refusal).To(BeNil())
		Expect(string(response.Body)).To(Equal("second"))
		Expect(sent).To(HaveLen(2))
		Expect(sent[0]).NotTo(Equal(sent[1]))
		var replaced *exchange.ReplacedError
		Expect(errors.As(reason, &replaced)).To(BeTrue())
		Expect([]string{replaced.Target, replaced.By}).To(Equal(sent))
		expectAllReleased()
	})

	// Guards against a response that looks complete although its connection was closed
	// in the middle, because another target was found at the moment at which it began.
	It("gives up a response whose rest can no longer be read", func(ctx SpecContext) {
		response, _ := run(ctx, func(ctx context.Context) (*exchange.Response, contract.Failure, error) {
			<-ctx.Done()
			return &exchange.Response{Status: http.StatusOK, Body: []byte("fi"), Rest: io.NopCloser(strings.NewReader(""))}, 0, nil
		})
		Expect(string(response.Body)).To(Equal("second"))
		expectAllReleased()
	})

	// Guards against a permit that is never released, which takes capacity from the
	// target for ever.
	It("delivers a complete response that came as another target was found", func(ctx SpecContext) {
		response, _ := run(ctx, func(ctx context.Context) (*exchange.Response, contract.Failure, error) {
			<-ctx.Done()
			return &exchange.Response{Status: http.StatusOK, Body: []byte("first")}, 0, nil
		})
		Expect(string(response.Body)).To(Equal("first"))
		Expect(sent).To(HaveLen(1))
		expectAllReleased()
	})

	// Guards against a permit that is never released, because the deadline passes as
	// another target takes over.
	It("gives the other target back if the deadline has passed", func(ctx SpecContext) {
		x.Contract = contract.New(idempotentTerms(100 * time.Millisecond))
		_, refusal := run(ctx, func(ctx context.Context) (*exchange.Response, contract.Failure, error) {
			<-ctx.Done()
			time.Sleep(time.Until(x.Contract.Terms.Deadline))
			return nil, contract.FailureLost, context.Cause(ctx)
		})
		Expect(refusal.Reason).To(Equal(contract.ReasonDeadline))
		Expect(sent).To(HaveLen(1))
		expectAllReleased()
	})

	// Guards against retries that are taken from the budget for requests that have no
	// time left for another attempt.
	It("takes no retry at the end of its time", func(ctx SpecContext) {
		x.Service.RetryBudget.SetMinimum(1)
		x.Contract = contract.New(idempotentTerms(100 * time.Millisecond))
		x.Draining = func() bool { return true }
		_, refusal := run(ctx, func(ctx context.Context) (*exchange.Response, contract.Failure, error) {
			time.Sleep(time.Until(x.Contract.Terms.Deadline.Add(-4 * time.Millisecond)))
			return nil, contract.FailureLost, &targetSilentError{}
		})
		Expect(refusal.Reason).To(Equal(contract.ReasonDeadline))
		Expect(x.Service.RetryBudget.Available(time.Now())).To(BeTrue())
	})

	// Guards against an attempt that is given up for one that cannot succeed.
	DescribeTable("is left alone if no other attempt may follow",
		func(prepare func()) {
			prepare()
			ended := false
			response, refusal := run(context.Background(), func(ctx context.Context) (*exchange.Response, contract.Failure, error) {
				select {
				case <-ctx.Done():
					ended = true
				case <-time.After(200 * time.Millisecond):
				}
				return &exchange.Response{Status: http.StatusOK, Body: []byte("first")}, 0, nil
			})
			Expect(refusal).To(BeNil())
			Expect(string(response.Body)).To(Equal("first"))
			Expect(ended).To(BeFalse())
			expectAllReleased()
		},
		Entry("as the instance drains", func() { x.Draining = func() bool { return true } }),
		Entry("as the instance is isolated", func() {
			started := time.Now()
			x.Isolated = func() bool { return time.Since(started) > 10*time.Millisecond }
		}),
		Entry("as the retry budget is spent", func() { x.Service.RetryBudget.SetPercent(0) }),
		Entry("as the request has no retries", func() { x.Contract.Terms.Retries = 0; x.Contract = contract.New(x.Contract.Terms) }),
		Entry("as the request is not idempotent", func() { x.Contract = contract.New(nonIdempotentTerms(2 * time.Second)) }),
		Entry("as the other target is unreachable", func() { unreachable = true }),
		Entry("as too little time is left", func() { x.QueueRequest.ExpectedResponseTime = 3 * time.Second }),
		Entry("as its only other target is excluded by a crash", func() {
			fingerprint := contract.NewFingerprint("orders", "", http.MethodGet, "/status", nil)
			x.Crashes.Crashed(time.Now(), "a", fingerprint)
		}),
	)
})
