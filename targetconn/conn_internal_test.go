package targetconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Do", func() {
	// Guards against a request that hangs forever: readLoop found the idle
	// connection closed and returned, and the request began before readLoop had
	// marked the connection as closed.
	It("returns an error when the read loop has returned before the call", func() {
		client, server := net.Pipe()
		DeferCleanup(server.Close)
		go func() { _, _ = server.Read(make([]byte, 1024)) }()
		c := &Conn{conn: client, readerDone: make(chan struct{})}
		close(c.readerDone)
		done := make(chan error, 1)
		go func() {
			_, _, err := c.Do(context.Background(), &Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
			done <- err
		}()
		var err error
		Eventually(done, time.Second).Should(Receive(&err))
		var broken *BrokenError
		Expect(errors.As(err, &broken)).To(BeTrue())
	})
})
