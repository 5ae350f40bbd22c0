package exchange_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/contract"
)

var _ = Describe("Cancellation", func() {
	// Guards against the outcome "not run" for a request that ran in a process
	// that has ended. The new process at the same address never got the request
	// and therefore confirms that it has not run.
	DescribeTable("counts only if the process that got the request confirms it",
		func(ctx SpecContext, confirmedBy string, outcome contract.Outcome) {
			var runs atomic.Int32
			f := newFixture(1, func(w http.ResponseWriter, request *http.Request) {
				w.Header().Set("Fulmarhoist-Boot-Id", "a")
				switch request.URL.Path {
				case "/fulmarhoist-cancel":
					w.Header().Set("Fulmarhoist-Boot-Id", confirmedBy)
					w.Header().Set("Fulmarhoist-Not-Run", "1")
				case "/refund":
					runs.Add(1)
					<-request.Context().Done()
				}
			})
			_, refusal := f.exchange(nonIdempotentTerms(time.Second)).Run(ctx, get("/first"))
			Expect(refusal).To(BeNil())
			_, refusal = f.exchange(nonIdempotentTerms(time.Second)).Run(context.WithoutCancel(ctx), get("/refund"))
			Expect(refusal).NotTo(BeNil())
			Expect(refusal.Outcome).To(Equal(outcome), refusal.Error())
			Expect(runs.Load()).To(Equal(int32(1)))
		},
		Entry("the same process", "a", contract.OutcomeNotRun),
		Entry("a later process", "b", contract.OutcomeUnknown),
		Entry("an unnamed process", "", contract.OutcomeUnknown),
	)

	// Guards against memory that grows with what a faulty target sends in response to
	// cancel requests: each could read 10 MiB of a head.
	It("does not read a head beyond the limit of other responses", func(ctx SpecContext) {
		const headerBytes = 100 << 10
		f := newFixture(1, func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set("Fulmarhoist-Boot-Id", "a")
			switch request.URL.Path {
			case "/fulmarhoist-cancel":
				w.Header().Set("Fulmarhoist-Not-Run", "1")
				w.Header().Set("X", strings.Repeat("x", headerBytes))
			case "/refund":
				<-request.Context().Done()
			}
		})
		_, refusal := f.exchange(nonIdempotentTerms(time.Second)).Run(ctx, get("/first"))
		Expect(refusal).To(BeNil())
		_, refusal = f.exchange(nonIdempotentTerms(time.Second)).Run(context.WithoutCancel(ctx), get("/refund"))
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Outcome).To(Equal(contract.OutcomeUnknown), refusal.Error())
	})
})
