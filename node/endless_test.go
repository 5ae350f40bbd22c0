package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// flood writes the head, and then the repeated text until the connection is closed.
// It counts the open connections that it serves.
func flood(conn net.Conn, head, repeated string, open *atomic.Int32) {
	open.Add(1)
	defer open.Add(-1)
	block := strings.Repeat(repeated, 16<<10/len(repeated))
	_, err := io.WriteString(conn, head)
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

var _ = Describe("A target that sends bytes without end", func() {
	const (
		callers = 60
		// callerTime is the time of a caller and heapBound the memory that all
		// responses may take: the budget of the instance for bodies and what it may
		// have beside it, twice while buffers grow, and 1 MiB a connection.
		callerTime = 1500 * time.Millisecond
		heapBound  = 2*48<<20 + callers<<20
	)
	ctx := context.Background()
	var c *cluster
	var i *instance
	var open atomic.Int32

	// start starts an instance with a good target and several that flood each
	// connection on which a request arrives. Health requests are flooded too if health
	// is true.
	start := func(head func(b *backend, r *http.Request) string, repeated string, health bool) {
		GinkgoHelper()
		open.Store(0)
		c = newCluster()
		c.configure()
		c.register(newBackend("i-good"), "ready", 1)
		for n := range 8 {
			b := newBackend(fmt.Sprintf("i-%d", n))
			b.setRespond(func(w http.ResponseWriter, r *http.Request) bool {
				if r.URL.Path == "/health" && !health {
					return false
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					flood(conn, head(b, r), repeated, &open)
					_ = conn.Close()
				}
				return true
			})
			c.register(b, "ready", 1)
		}
		i = c.start(2)
		Eventually(i.ready, "5s").Should(Equal(http.StatusOK))
	}
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	// watchHeap reads the size of the heap until stop is called, which returns its
	// maximum.
	watchHeap := func() (stop func() int64) {
		done, result := make(chan struct{}), make(chan int64)
		go func() {
			most := int64(0)
			for {
				most = max(most, heap())
				select {
				case <-done:
					result <- most
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		}()
		return func() int64 { close(done); return <-result }
	}
	signed := func(b *backend, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Fulmarhoist-Request-Id: " + requestID(r) + "\r\nX-Fulmarhoist-Server-Signature: signed." + b.id + "\r\n"
	}

	// Guards against memory that grows with what faulty targets send, connections that
	// stay open, and responses that look complete although they never end.
	DescribeTable("takes a bounded share of the memory, and is cut off at the deadline at the latest",
		func(method, path string, head func(b *backend, r *http.Request) string, repeated string) {
			start(head, repeated, false)
			runtime.GC()
			before := heap()
			stop := watchHeap()
			var wg sync.WaitGroup
			began := time.Now()
			for range callers {
				wg.Go(func() {
					defer GinkgoRecover()
					ctx, cancel := context.WithTimeout(ctx, 2*callerTime)
					defer cancel()
					got := c.sendAndDiscard(ctx, i, method, path, "")
					if got.err == nil && got.status == http.StatusOK {
						Expect(got.header.Get("X-Fulmarhoist-Server-Signature")).To(Equal("signed.i-good"))
					}
				})
			}
			wg.Wait()
			Expect(time.Since(began)).To(BeNumerically("<", callerTime+time.Second))
			Eventually(open.Load, "3s").Should(BeZero())
			Expect(stop() - before).To(BeNumerically("<", int64(heapBound)))
		},
		Entry("head, idempotent", "GET", "/get/1", func(*backend, *http.Request) string { return "HTTP/1.1 200 OK\r\n" }, "X: y\r\n"),
		Entry("head, not idempotent", "POST", "/once/1", func(*backend, *http.Request) string { return "HTTP/1.1 200 OK\r\nX: " }, "x"),
		Entry("interim responses", "GET", "/get/1", func(*backend, *http.Request) string { return "" }, "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("no HTTP at all", "POST", "/once/1", func(*backend, *http.Request) string { return "" }, "x"),
		Entry("body that is not signed", "GET", "/get/1", func(*backend, *http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" }, "x"),
		Entry("body of a rejection", "POST", "/once/1", func(_ *backend, r *http.Request) string {
			return "HTTP/1.1 503 Service Unavailable\r\nX-Fulmarhoist-Not-Executed: 1\r\nX-Fulmarhoist-Request-Id: " + requestID(r) + "\r\n\r\n"
		}, "x"),
		Entry("body of an answer of another process", "POST", "/once/1", func(*backend, *http.Request) string {
			return "HTTP/1.1 421 Misdirected Request\r\n\r\n"
		}, "x"),
		Entry("body without a length, idempotent", "GET", "/get/1", func(b *backend, r *http.Request) string { return signed(b, r) + "\r\n" }, "x"),
		Entry("body without a length, not idempotent", "POST", "/once/1", func(b *backend, r *http.Request) string { return signed(b, r) + "\r\n" }, "x"),
		Entry("body in chunks", "GET", "/get/1", func(b *backend, r *http.Request) string {
			return signed(b, r) + "Transfer-Encoding: chunked\r\n\r\n"
		}, "10\r\n0123456789abcdef\r\n"),
		Entry("body of a failure", "POST", "/once/1", func(b *backend, r *http.Request) string {
			return strings.Replace(signed(b, r), "200 OK", "500 Internal Server Error", 1) + "\r\n"
		}, "x"),
	)

	// Guards against memory that grows with what faulty targets send to health
	// requests, and against a choice of targets that waits for them.
	DescribeTable("to health requests takes a bounded share of the memory",
		func(head, repeated string) {
			start(func(*backend, *http.Request) string { return head }, repeated, true)
			runtime.GC()
			before := heap()
			stop := watchHeap()
			for range 20 {
				Expect(c.sendAndDiscard(ctx, i, "GET", "/get/1", "").err).NotTo(HaveOccurred())
			}
			Expect(stop() - before).To(BeNumerically("<", int64(heapBound)))
			Eventually(open.Load, "3s").Should(BeZero())
		},
		Entry("head", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		Entry("body", "HTTP/1.1 200 OK\r\nX-Fulmarhoist-Instance-Id: i-1\r\n\r\n", "x"),
	)
})
