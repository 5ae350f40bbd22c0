package node_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An idempotent request that takes much longer than others of its route", func() {
	const (
		targets = 3
		// quickRequests are enough for the average response time of the route.
		quickRequests = 12
		// longTime is within the 1.5 s of the caller, and beyond the time from which on
		// an attempt counts as slow.
		longTime = time.Second
	)
	var c *cluster
	var i *instance
	var backends []*backend
	ctx := context.Background()

	BeforeEach(func() {
		c, backends = newCluster(), nil
		c.configure()
		for _, id := range []string{"i-1", "i-2", "i-3"}[:targets] {
			b := newBackend(id)
			b.setOnRequest(func(r *http.Request) bool {
				if !strings.Contains(r.URL.Path, "long") {
					return true
				}
				select {
				case <-time.After(longTime):
				case <-r.Context().Done():
				}
				return true
			})
			backends = append(backends, b)
			c.register(b, "ready", 1)
		}
	})
	start := func() {
		GinkgoHelper()
		i = c.start(2)
		Eventually(i.ready, "5s").Should(Equal(http.StatusOK))
		for range quickRequests {
			Expect(c.send(ctx, i, "GET", "/get/quick", "").status).To(Equal(http.StatusOK))
		}
	}
	executions := func() (total int32) {
		for _, b := range backends {
			total += b.executions.Load()
		}
		return total
	}
	// sendLong sends requests together, waits until targets run them, and returns their
	// replies once afterStart has returned.
	sendLong := func(count int, method, path, body string, afterStart func()) []reply {
		GinkgoHelper()
		before := executions()
		replies := make([]reply, count)
		var wg sync.WaitGroup
		for n := range count {
			wg.Go(func() { replies[n] = c.send(ctx, i, method, path, body) })
		}
		Eventually(executions, "1s", "1ms").Should(BeNumerically(">=", before+int32(count)))
		afterStart()
		wg.Wait()
		return replies
	}
	expectAnswered := func(replies []reply) {
		GinkgoHelper()
		for _, got := range replies {
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusOK))
		}
	}

	// Guards against a request that is broken off at a target at work and gets an error
	// of the instance, because no retry is left for another attempt.
	DescribeTable("is answered if the retry budget is spent",
		func(afterStart func()) {
			c.retryExtra = 0
			start()
			expectAnswered(sendLong(2*targets, "GET", "/get/long", "", afterStart))
		},
		Entry("in normal operation", func() {}),
		Entry("in a planned stop", func() { i.stop() }),
	)

	// Guards against a request that is broken off at a target at work in a planned stop:
	// the other target may decline it or be slow too.
	It("is left at its target in a planned stop", func() {
		start()
		before := executions()
		expectAnswered(sendLong(targets, "GET", "/get/long", "", func() { i.stop() }))
		Expect(executions() - before).To(Equal(int32(targets)))
	})

	// Guards against a request that is broken off at a target at work and then finds
	// that no other target has capacity.
	It("is answered if all other targets are busy", func() {
		start()
		expectAnswered(sendLong(1, "GET", "/get/long", "", func() {
			expectAnswered(sendLong(2*targets-1, "POST", "/once/long", "", func() {}))
		}))
		runs := 0
		for _, b := range backends {
			runs += b.executionsOfPath("/get/long")
		}
		Expect(runs).To(Equal(1), "the request is not broken off and sent again")
	})

	// Guards against a request that is broken off although its body was not kept, so
	// that it cannot be sent again.
	It("is answered if its body is too long to be sent again", func() {
		start()
		expectAnswered(sendLong(1, "POST", "/get/long", strings.Repeat("x", 1<<20), func() {}))
	})

	// Guards against a request that waits until its deadline at a target that does not
	// respond, although another one is free.
	It("is sent to another target if that one has capacity", func() {
		start()
		silent := backends[0]
		silent.setOnRequest(func(r *http.Request) bool { <-r.Context().Done(); return false })
		began := silent.executions.Load()
		for silent.executions.Load() == began {
			sent := time.Now()
			expectAnswered([]reply{c.send(ctx, i, "GET", "/get/quick", "")})
			Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
		}
	})
})
