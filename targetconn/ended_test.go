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
	// Guards against a request that waits for ever: the goroutine that reads found
	// the idle connection closed and ended, and the request began before it had
	// marked the connection as closed.
	It("ends when the reading goroutine has ended before it", func() {
		near, far := net.Pipe()
		DeferCleanup(far.Close)
		go func() { _, _ = far.Read(make([]byte, 1024)) }()
		c := &Conn{conn: near, ended: make(chan struct{})}
		close(c.ended)
		ended := make(chan error, 1)
		go func() {
			_, _, err := c.Do(context.Background(), &Message{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
			ended <- err
		}()
		var err error
		Eventually(ended, time.Second).Should(Receive(&err))
		var broken *BrokenError
		Expect(errors.As(err, &broken)).To(BeTrue())
	})
})
