package httpapi_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/httpapi"
)

// serve starts a server with short time limits for transfers.
func serve(handler http.HandlerFunc) (*http.Server, string) {
	server := httpapi.NewServer(handler)
	Expect(server.ReadTimeout).NotTo(BeZero(), "a caller that never sends its body would occupy its connection")
	Expect(server.WriteTimeout).NotTo(BeZero(), "a caller that never reads the response would occupy its connection")
	server.ReadTimeout, server.WriteTimeout = 200*time.Millisecond, 200*time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return server, listener.Addr().String()
}

func dial(address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

var _ = Describe("Server", func() {
	// Guards against a graceful shutdown that never completes because a caller
	// has announced a body and does not send it.
	It("shuts down although a request body never arrives", func(ctx SpecContext) {
		started := make(chan struct{})
		server, address := serve(func(http.ResponseWriter, *http.Request) { close(started) })
		conn := dial(address)
		_, err := fmt.Fprint(conn, "GET /fulmarhoist/v1/health HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(started).Should(BeClosed())
		shutdownCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		Expect(server.Shutdown(shutdownCtx)).To(Succeed())
	})

	// Guards against a graceful shutdown that never completes because a caller
	// does not read a metrics response.
	It("shuts down although a response is never read", func(ctx SpecContext) {
		started := make(chan struct{})
		server, address := serve(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			_, _ = w.Write(make([]byte, 64<<20))
		})
		_, err := fmt.Fprint(dial(address), "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(started).Should(BeClosed())
		shutdownCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		Expect(server.Shutdown(shutdownCtx)).To(Succeed())
	})

	// Guards against a default timeout that ends a request whose handler has
	// set longer limits.
	DescribeTable("lets a handler extend the default transfer timeout", func(http2 bool) {
		_, address := serve(func(w http.ResponseWriter, r *http.Request) {
			controller := http.NewResponseController(w)
			_ = controller.SetReadDeadline(time.Now().Add(5 * time.Second))
			_ = controller.SetWriteDeadline(time.Now().Add(5 * time.Second))
			select {
			case <-time.After(600 * time.Millisecond):
			case <-r.Context().Done():
				w.WriteHeader(http.StatusBadGateway)
			}
		})
		protocols := new(http.Protocols)
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		for range 2 { // the second request uses the same connection
			response, err := client.Post("http://"+address, "text/plain", strings.NewReader("body"))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	},
		Entry("over HTTP/1.1", false),
		Entry("over HTTP/2", true),
	)
})
