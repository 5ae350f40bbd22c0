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

// serve runs the server with the handler and short limits.
func serve(handler http.HandlerFunc) (*http.Server, string) {
	server := httpapi.NewServer(handler)
	Expect(server.ReadTimeout).NotTo(BeZero(), "a body that never comes holds its connection")
	Expect(server.WriteTimeout).NotTo(BeZero(), "a caller that never reads holds its connection")
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
	// Guards against a planned stop that never ends because of a caller that
	// announced a body and does not send it.
	It("stops although a body never comes", func(ctx SpecContext) {
		began := make(chan struct{})
		server, address := serve(func(http.ResponseWriter, *http.Request) { close(began) })
		conn := dial(address)
		_, err := fmt.Fprint(conn, "GET /fulmarhoist/v1/health HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(began).Should(BeClosed())
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		Expect(server.Shutdown(limited)).To(Succeed())
	})

	// Guards against a planned stop that never ends because of a caller that
	// does not read a page of metrics.
	It("stops although an answer is never read", func(ctx SpecContext) {
		began := make(chan struct{})
		server, address := serve(func(w http.ResponseWriter, _ *http.Request) {
			close(began)
			_, _ = w.Write(make([]byte, 64<<20))
		})
		_, err := fmt.Fprint(dial(address), "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(began).Should(BeClosed())
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		Expect(server.Shutdown(limited)).To(Succeed())
	})

	// Guards against a limit of time for all requests that cuts one with a longer
	// deadline of its own.
	DescribeTable("lets a handler take longer than the common limit", func(http2 bool) {
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
		for range 2 { // the second one on the same connection
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
