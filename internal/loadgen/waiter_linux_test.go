package loadgen_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/loadgen"
)

var _ = Describe("KernelWaiter", func() {
	// Guards against requests that are sent before they are due, and against a
	// cancellation that has no effect during a long wait.
	It("waits for the whole time unless canceled", func() {
		waiter, err := loadgen.NewKernelWaiter()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(waiter.Close)
		for range 20 {
			start := time.Now()
			Expect(waiter.Wait(context.Background(), 300*time.Microsecond)).To(Succeed())
			Expect(time.Since(start)).To(BeNumerically(">=", 300*time.Microsecond))
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		Expect(waiter.Wait(ctx, time.Hour)).NotTo(Succeed())
	})

	// Guards against a run that ends early because the kernel timer fails.
	DescribeTable("sends all requests of a run", func(prepare func(*loadgen.KernelWaiter)) {
		waiter, err := loadgen.NewKernelWaiter()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(waiter.Close)
		prepare(waiter)
		settings := loadgen.Settings{
			Rate: 1000, Duration: 100 * time.Millisecond, Arrival: loadgen.Even, Classes: classes, MaxOutstanding: 10, Waiter: waiter,
		}
		report, err := loadgen.Run(context.Background(), settings, loadgen.SenderFunc(func(context.Context, loadgen.ScheduledRequest) loadgen.Answer {
			return loadgen.Answer{Outcome: loadgen.OutcomeAnswered}
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Total.Scheduled).To(Equal(100))
	},
		Entry("with a working timer", func(*loadgen.KernelWaiter) {}),
		Entry("with a closed timer", func(w *loadgen.KernelWaiter) { w.Close() }),
	)
})
