package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// takeOver makes a backend hand each connection on which a request arrives to the
// function, with that request. Health requests that come first are answered.
func (b *backend) takeOver(serve func(conn net.Conn, first *http.Request, next func() *http.Request)) {
	b.setRespond(func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/health" {
			return false
		}
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer func() { _ = conn.Close() }()
		serve(conn, r, func() *http.Request {
			for {
				request, err := http.ReadRequest(buffered.Reader)
				if err != nil {
					return nil
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if request.URL.Path != "/health" {
					return request
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Fulmarhoist-Instance-Id: %s\r\nX-Fulmarhoist-Server-Load: 0,0,2,100\r\nContent-Length: 0\r\n\r\n", b.id)
			}
		})
		return true
	})
}

// requestID returns the ID of a request.
func requestID(r *http.Request) string { return r.Header.Get("X-Fulmarhoist-Request-Id") }

// answer returns a complete response of the backend to a request.
func (b *backend) answer(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Fulmarhoist-Request-Id: %s\r\nX-Fulmarhoist-Server-Signature: signed.%s\r\nContent-Length: %d\r\n\r\n%s",
		requestID(r), b.id, len(body), body)
}

var _ = Describe("A faulty target", func() {
	ctx := context.Background()
	var c *cluster
	var i *instance

	start := func(targets ...*backend) {
		GinkgoHelper()
		c = newCluster()
		c.configure()
		for _, b := range targets {
			c.register(b, "ready", 1)
		}
		i = c.start(2)
		Eventually(i.ready, "5s").Should(Equal(http.StatusOK))
	}

	// Guards against a caller that is told that its request did not run, or a second
	// target that runs it, because a target wrote an earlier refusal once more while it
	// ran the request.
	DescribeTable("that writes an earlier refusal again on a kept connection causes no false refusal and no second run",
		func(targets int, echoesID bool) {
			var backends []*backend
			for number := range targets {
				b := newBackend(fmt.Sprintf("i-%d", number))
				b.takeOver(func(conn net.Conn, first *http.Request, next func() *http.Request) {
					echo := ""
					if echoesID {
						echo = "X-Fulmarhoist-Request-Id: " + requestID(first) + "\r\n"
					}
					refusal := "HTTP/1.1 503 Service Unavailable\r\n" + echo + "X-Fulmarhoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
					_, _ = io.WriteString(conn, refusal)
					for request := next(); request != nil; request = next() {
						increment(&b.executionsByRequest, requestID(request))
						_, _ = io.WriteString(conn, refusal)
						time.Sleep(5 * time.Millisecond)
						_, _ = io.WriteString(conn, b.answer(request, "ran"))
					}
				})
				backends = append(backends, b)
			}
			start(backends...)
			for range 20 {
				got := c.send(ctx, i, "POST", "/once/1", "body")
				time.Sleep(10 * time.Millisecond) // a run that has begun is counted by now
				runs := 0
				for _, b := range backends {
					runs += b.executionsOf(got.id)
				}
				Expect(runs).To(BeNumerically("<=", 1))
				if got.status == http.StatusServiceUnavailable {
					Expect(runs).To(BeZero(), "the caller was told that the request did not run")
				}
			}
		},
		Entry("one target, refusals that name the request", 1, true),
		Entry("one target, refusals that name no request", 1, false),
		Entry("three targets, refusals that name the request", 3, true),
		Entry("three targets, refusals that name no request", 3, false),
	)
})
