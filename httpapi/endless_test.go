package httpapi_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/hop"
)

var _ = Describe("A response that is returned through another instance", func() {
	// Guards against exhausting the memory of the instance: a faulty target sends
	// bodies without end, and each forwarded request kept up to 3 MiB of one.
	It("takes a share of the memory for bodies, and is dropped once that is used up", func(ctx SpecContext) {
		const (
			requests    = 4
			bodyBytes   = 2 << 20
			budgetBytes = bodyBytes + 512<<10 // one body with its growth steps, not two
		)
		end := make(chan struct{})
		var running, together atomic.Int32 // requests to /first in progress; 1 once all were together
		f := newFront(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				if running.Add(1) == requests {
					together.Store(1)
				}
				time.Sleep(20 * time.Millisecond)
				running.Add(-1)
				return
			}
			_, _ = w.Write(bytes.Repeat([]byte("x"), bodyBytes))
			w.(http.Flusher).Flush()
			<-end
		})
		f.Buffers = hop.NewBufferBudget(budgetBytes)
		var key atomic.Int32
		forward := func(path string) contract.Answer {
			request := reorder(ctx, http.MethodPost, path, nil)
			request.Header.Set("Fulmarhoist-Request-Key", fmt.Sprintf("entry-1.0000000000000001.0/reorder-%d", key.Add(1)))
			return f.ServeForwarded(context.WithoutCancel(ctx), request.Method, path, request.Header, nil)
		}
		// A link is used once a response has shown that its target is warm.
		Eventually(func() int32 {
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() { forward("/first") })
			}
			wg.Wait()
			return together.Load()
		}, "3s").Should(Equal(int32(1)))
		answers := make(chan contract.Answer, requests)
		for range requests {
			go func() { answers <- forward("/orders") }()
		}
		for range requests - 1 {
			var answer contract.Answer
			Eventually(answers, "2s").Should(Receive(&answer), "while the bodies go on")
			Expect(answer.BodyDropped).To(BeTrue())
			Expect(answer.Body).To(BeEmpty())
		}
		close(end)
		Eventually(answers, "2s").Should(Receive(HaveField("Status", http.StatusOK)))
		Expect(f.Buffers.Used()).To(BeZero())
	})
})
