package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog/diode"
)

var _ = Describe("Node", func() {
	var c *cluster
	ctx := context.Background()
	BeforeEach(func() { c = newCluster() })

	// startReady starts one instance with the given targets and waits until it is
	// ready.
	startReady := func(backends ...*backend) *instance {
		GinkgoHelper()
		c.configure()
		for _, b := range backends {
			c.register(b, "ready", 1)
		}
		i := c.start(2)
		Eventually(i.ready, "3s").Should(Equal(http.StatusOK))
		return i
	}
	get := func(i *instance) reply { return c.send(ctx, i, "GET", "/get/1", "") }
	post := func(i *instance) reply { return c.send(ctx, i, "POST", "/once/1", "body") }

	It("forwards a request and its response unchanged", func() {
		b := newBackend("i-1")
		i := startReady(b)
		got := c.send(ctx, i, "POST", "/once/a%2Fb?q=1", "body")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("POST /once/a%2Fb?q=1 4"))
		Expect(got.header.Get("X-Fulmarhoist-Server-Signature")).To(Equal("signed.i-1"))
		Expect(got.header.Get("X-Fulmarhoist-Request-Id")).To(Equal(got.id))
		Expect(c.send(ctx, i, "GET", "/none/1", "").status).To(Equal(404))
		large := c.send(ctx, i, "POST", "/once/large", strings.Repeat("x", 3<<20))
		Expect(large.body).To(Equal("POST /once/large 3145728"))
	})

	// Guards against an instance without a configuration that answers 404 for a
	// route that the configuration has.
	It("answers 503 with Retry-After before it has a configuration", func() {
		i := c.start(2)
		got := get(i)
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(i.ready()).To(Equal(503))
	})

	// Guards against callers that are sent to an instance that has shut down.
	It("lists the running instances in the directory", func() {
		b := newBackend("i-1")
		first := startReady(b)
		second := c.start(3)
		both := []string{first.settings.CallerAddress, second.settings.CallerAddress}
		Eventually(func() []string { return first.addresses("az-1") }, "3s").Should(ConsistOf(both))
		second.stop()
		Eventually(func() []string { return first.addresses("az-1") }, "3s").Should(ConsistOf(first.settings.CallerAddress))
		Expect(second.addresses("az-1")).NotTo(ContainElement(second.settings.CallerAddress))
	})

	// Guards against an operator who cannot see the state of an instance or its
	// calls to the store.
	It("serves metrics of requests, of calls to the store and of its state", func() {
		i := startReady(newBackend("i-1"))
		Expect(get(i).status).To(Equal(200))
		response, err := http.Get("http://" + i.settings.HostIP + ":9464/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		page, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(And(
			ContainSubstring(`fulmarhoist_store_calls_total{call="/v1/log-newest",status="200"} 2`),
			ContainSubstring("fulmarhoist_config_version 1"),
			ContainSubstring("fulmarhoist_members 1"),
			ContainSubstring("fulmarhoist_candidates 1"),
			ContainSubstring(`fulmarhoist_served_total{route="/get/",result="answered"} 1`),
			MatchRegexp(`fulmarhoist_store_age_seconds [0-9.e-]+`),
			MatchRegexp(`fulmarhoist_served_seconds_count\{route="/get/"\} 1`),
		))
	})

	// Guards against requests that block on writing the log when nothing reads it.
	// The command writes its log through the same kind of buffer.
	It("serves requests when nothing reads its log output", func() {
		unreadEnd, logEnd := net.Pipe()
		DeferCleanup(func() { _, _ = unreadEnd.Close(), logEnd.Close() })
		var dropped atomic.Int64
		c.logs = diode.NewWriter(logEnd, 16, 0, func(missed int) { dropped.Add(int64(missed)) })
		i := startReady(newBackend("i-1"))
		for range 100 {
			Expect(get(i).status).To(Equal(200))
		}
		// Closing unblocks the write of the first line. The buffer then counts the
		// lines that it has dropped.
		_ = unreadEnd.Close()
		Eventually(dropped.Load, "2s").Should(BeNumerically(">", 0))
	})

	// Guards against calls to the store that increase with the number of instances
	// of a zone.
	It("reads the store through one instance in a large zone, and follows both topics", func() {
		b := newBackend("i-1")
		first := startReady(b, newBackend("i-2"))
		all := []*instance{first}
		for number := 3; number <= 6; number++ {
			all = append(all, c.start(number))
		}
		for _, i := range all {
			Eventually(func() []string { return i.addresses("az-1") }, "8s").Should(HaveLen(len(all)))
		}
		// An instance that could not use the relay at first tries it again
		// after 3 s.
		reads := func() int {
			before := c.store.Calls("/v1/log-read")
			time.Sleep(3 * time.Second)
			return c.store.Calls("/v1/log-read") - before
		}
		// One instance reads two topics, each at most every 1.2 s while nothing
		// changes.
		Eventually(reads, "20s").Should(BeNumerically("<=", 8))
		c.configure("/new/")
		c.register(b, "draining", 2)
		for _, i := range all {
			Eventually(func() int { return c.send(ctx, i, "GET", "/new/1", "").status }, "2s").Should(Equal(200))
			Eventually(func() int32 {
				before := b.executions.Load()
				Expect(get(i).status).To(Equal(200))
				return b.executions.Load() - before
			}, "2s").Should(BeZero())
		}
	})

	// Guards against new requests to a target that is shutting down.
	It("sends no requests to a draining or removed target", func() {
		a, b := newBackend("i-1"), newBackend("i-2")
		i := startReady(a, b)
		c.register(a, "draining", 2)
		Eventually(func() int32 {
			before := a.executions.Load()
			for range 10 {
				Expect(get(i).status).To(Equal(200))
			}
			return a.executions.Load() - before
		}, "2s").Should(BeZero())
		c.store.Put("keyed.servers", "i-2", nil)
		Eventually(func() int { return get(i).status }, "2s").Should(Equal(503))
	})

	// Guards against a request that is executed by a different process than the
	// chosen target.
	It("does not execute a request if another process has the address of the target", func() {
		a, b := newBackend("i-1"), newBackend("i-2")
		i := startReady(a, b)
		a.id = "i-9"
		for range 10 {
			Expect(post(i).status).To(Equal(200))
		}
		Expect(a.executions.Load()).To(BeZero())
	})

	// Guards against a second execution, and against reporting a request as not
	// executed although it was.
	It("neither retries a non-idempotent request whose response was lost nor reports it as not executed", func() {
		a, b := newBackend("i-1"), newBackend("i-2")
		i := startReady(a, b)
		loseResponse := func(*http.Request) bool { return false }
		a.setOnRequest(loseResponse)
		b.setOnRequest(loseResponse)
		got := post(i)
		Expect(got.status).To(Equal(502))
		Expect(a.executionsOf(got.id) + b.executionsOf(got.id)).To(Equal(1))
	})

	// Guards against a caller that waits or gets an error although another target
	// is free.
	It("sends a request that a target rejected to another target", func() {
		a, b := newBackend("i-1"), newBackend("i-2")
		i := startReady(a, b)
		a.shed.Store(true)
		for range 5 {
			Expect(post(i).status).To(Equal(200))
		}
	})

	// Guards against an idempotent request that fails because one target fails.
	It("retries an idempotent request", func() {
		a, b := newBackend("i-1"), newBackend("i-2")
		i := startReady(a, b)
		a.setOnRequest(func(*http.Request) bool { return false })
		for range 5 {
			Expect(get(i).status).To(Equal(200))
		}
	})

	// Guards against targets that process requests whose callers have
	// disconnected.
	It("cancels a request at the target when its caller disconnects", func() {
		b := newBackend("i-1")
		i := startReady(b)
		canceled := make(chan struct{})
		var once sync.Once
		b.setOnRequest(func(req *http.Request) bool {
			<-req.Context().Done()
			once.Do(func() { close(canceled) })
			return false
		})
		shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(c.send(shortCtx, i, "GET", "/get/1", "").err).To(HaveOccurred())
		Eventually(canceled).Should(BeClosed())
	})

	// Guards against an instance that stops serving when the store is unavailable,
	// and against a configuration that takes effect only seconds after the store
	// is available again.
	DescribeTable("serves during an outage of the store and catches up afterwards",
		func(fail, restore func()) {
			i := startReady(newBackend("i-1"))
			fail()
			for range 15 {
				Expect(get(i).status).To(Equal(200))
				time.Sleep(100 * time.Millisecond)
			}
			c.configure("/new/")
			Expect(c.send(ctx, i, "GET", "/new/1", "").status).To(Equal(404))
			time.Sleep(time.Second)
			restore()
			Eventually(func() int { return c.send(ctx, i, "GET", "/new/1", "").status }, "2s").Should(Equal(200))
		},
		Entry("with error responses", func() { c.store.FailWith(503) }, func() { c.store.FailWith(0) }),
		Entry("without responses", func() { c.store.SetSilent(true) }, func() { c.store.SetSilent(false) }),
	)

	// Guards against an instance that misses changes because the records that it
	// has not read yet were deleted.
	It("lists the newest records if the records to read next were deleted", func() {
		i := startReady(newBackend("i-1"))
		c.store.FailWith(503)
		c.configure("/new/")
		c.store.TruncateLog("keyed.op")
		c.store.FailWith(0)
		Eventually(func() int { return c.send(ctx, i, "GET", "/new/1", "").status }, "3s").Should(Equal(200))
	})

	// Guards against requests that get no response because the instance shuts
	// down.
	It("interrupts no requests when it shuts down", func() {
		b := newBackend("i-1")
		i := startReady(b)
		b.setOnRequest(func(*http.Request) bool { time.Sleep(300 * time.Millisecond); return true })
		var wg sync.WaitGroup
		var mu sync.Mutex
		var interrupted []reply
		for worker := range 4 {
			wg.Go(func() {
				for n := 0; ; n++ {
					got := c.send(ctx, i, "POST", "/once/1", "body")
					switch {
					case got.err != nil && b.executionsOf(got.id) == 0:
						return // the instance no longer accepts connections
					case got.err != nil || got.status != 200 && got.status != 503 || got.status == 503 && b.executionsOf(got.id) > 0:
						mu.Lock()
						interrupted = append(interrupted, got)
						mu.Unlock()
					case got.status == 503:
						time.Sleep(10 * time.Millisecond)
					}
					_, _ = worker, n
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		shutdownStart := time.Now()
		i.stop()
		Eventually(i.ready).ShouldNot(Equal(200))
		Eventually(i.done, "3s").Should(BeClosed())
		Expect(time.Since(shutdownStart)).To(BeNumerically("<", i.settings.Bounds.Grace))
		wg.Wait()
		Expect(interrupted).To(BeEmpty())
	})

	// Guards against a request that is taken late in the shutdown and cut at its end,
	// while a target runs it: it may take until its deadline, which is later.
	DescribeTable("takes no request in its shutdown that it could not finish",
		func(method, path string) {
			logs := gbytes.NewBuffer()
			c.logs = io.MultiWriter(GinkgoWriter, logs)
			b := newBackend("i-1")
			i := startReady(b)
			b.setOnRequest(func(*http.Request) bool { time.Sleep(1300 * time.Millisecond); return true })
			var wg sync.WaitGroup
			send := func() { wg.Go(func() { c.send(ctx, i, method, path, "") }) }
			send()
			Eventually(b.executions.Load, "1s", "1ms").Should(BeNumerically(">", 0))
			shutdownStart := time.Now()
			i.stop()
			// The target runs few requests at a time, so the next ones come as late as
			// the instance accepts any.
			time.Sleep(700 * time.Millisecond)
			for time.Since(shutdownStart) < i.settings.Bounds.Grace {
				send()
				time.Sleep(50 * time.Millisecond)
			}
			wg.Wait()
			Eventually(i.done, "3s").Should(BeClosed())
			Expect(logs).To(gbytes.Say(`"event":"drained","connections":0`))
		},
		Entry("not idempotent", "POST", "/once/1"),
		Entry("idempotent", "GET", "/get/1"),
	)
})
