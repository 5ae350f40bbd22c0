package node_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("What a target says in its responses", func() {
	var c *cluster
	var i *instance
	ctx := context.Background()

	BeforeEach(func() { c = newCluster() })

	// start starts an instance that knows the given targets.
	start := func(targets ...*backend) {
		GinkgoHelper()
		c.configure()
		for _, b := range targets {
			c.register(b, "ready", 1)
		}
		i = c.start(1)
		Eventually(i.ready, "5s").Should(Equal(200))
	}
	get := func() reply { return c.send(ctx, i, "GET", "/get/1", "") }
	post := func() reply { return c.send(ctx, i, "POST", "/once/1", "x") }
	// expectUnused expects that requests are answered and none reaches the target.
	expectUnused := func(b *backend) {
		GinkgoHelper()
		time.Sleep(50 * time.Millisecond) // health requests that were on their way have arrived
		before := b.arrivals.Load()
		for range 40 {
			Expect(get().status).To(Equal(200))
			Expect(post().status).To(Equal(200))
		}
		Expect(b.arrivals.Load()).To(Equal(before))
	}

	// Guards against requests to a target that says that it is leaving while its
	// entry in the store still says that it is ready.
	DescribeTable("sends nothing more to a target that says that it is leaving",
		func(respond func(w http.ResponseWriter, r *http.Request) bool) {
			a, b := newBackend("i-1"), newBackend("i-2")
			start(a, b)
			var announced atomic.Bool
			a.setRespond(func(w http.ResponseWriter, r *http.Request) bool {
				if r.URL.Path == "/health" && respond != nil {
					return false
				}
				announced.Store(true)
				w.Header().Set("Server-Leaving", "1")
				return respond != nil && respond(w, r)
			})
			Eventually(func() bool { get(); return announced.Load() }, "5s", "1ms").Should(BeTrue())
			expectUnused(a)
			c.register(a, "ready", 2)
			c.configure("/further/")
			i.reload <- syscall.SIGHUP
			Eventually(func() int { return c.send(ctx, i, "GET", "/further/1", "").status }, "5s").Should(Equal(200))
			expectUnused(a)
			c.store.Put("keyed.servers", "i-1", nil)
			c.register(a, "ready", 3)
			Consistently(func() int { return get().status }, "700ms").Should(Equal(200))
			expectUnused(a)
		},
		Entry("in a success or a health response", nil),
		Entry("in a failure", func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("X-Fulmarhoist-Server-Signature", "s")
			w.Header().Set("X-Fulmarhoist-Request-Id", r.Header.Get("X-Fulmarhoist-Request-Id"))
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}),
		Entry("in a rejection", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("X-Fulmarhoist-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}),
		Entry("in a response that another process sends", func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return true
		}),
	)

	// reject makes a target reject every request and ask for a pause.
	reject := func(b *backend, pause time.Duration) {
		b.setRespond(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("X-Fulmarhoist-Not-Executed", "1")
			w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}

	// Guards against requests and health requests to a target during the time for
	// which it has asked to be left alone, and against leaving it alone for longer.
	It("sends nothing to a target during the pause for which it has asked", func() {
		a, b := newBackend("i-1"), newBackend("i-2")
		start(a, b)
		reject(a, 1500*time.Millisecond)
		before := a.arrivals.Load()
		Eventually(func() bool { get(); return a.arrivals.Load() > before }, "5s", "1ms").Should(BeTrue())
		began := time.Now()
		expectUnused(a)
		Expect(time.Since(began)).To(BeNumerically("<", 1400*time.Millisecond), "the pause was not over")
		a.respond.Store(nil)
		executions := a.executions.Load()
		Eventually(func() bool { get(); return a.executions.Load() > executions }, "3s", "5ms").Should(BeTrue())
	})

	// Guards against callers that wait for targets which are known to take no
	// request in time.
	It("refuses requests at once while all targets have asked for a pause", func() {
		a, b := newBackend("i-1"), newBackend("i-2")
		start(a, b)
		reject(a, 30*time.Second)
		reject(b, 30*time.Second)
		Eventually(func() int { return post().status }, "5s").Should(Equal(503))
		time.Sleep(50 * time.Millisecond) // health requests that were on their way have arrived
		before := a.arrivals.Load() + b.arrivals.Load()
		for range 20 {
			began := time.Now()
			got := post()
			Expect(time.Since(began)).To(BeNumerically("<", 40*time.Millisecond), "a request may wait 50 ms for a target")
			Expect(got.status).To(Equal(503))
			retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(retryAfter).To(BeNumerically("~", 1, 0.2), "another instance may have been asked for no pause")
		}
		Expect(a.arrivals.Load() + b.arrivals.Load()).To(Equal(before))
	})
})
