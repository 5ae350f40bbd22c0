package daemon

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("limitedListener", func() {
	// Guards against callers that exhaust the memory and the file descriptors of
	// an instance with connections, and against a shutdown that hangs because
	// Accept waits for a free slot.
	It("accepts connections up to its limit and one more for each that is closed", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := newLimitedListener(raw, 1)
		accepted, ended := make(chan net.Conn, 3), make(chan error, 1)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					ended <- err
					return
				}
				accepted <- conn
			}
		}()
		for range 3 {
			conn, err := net.Dial("tcp", raw.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		var first net.Conn
		Eventually(accepted).Should(Receive(&first))
		Consistently(accepted).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		Expect(first.Close()).To(Succeed())
		_ = first.Close() // a second Close must not free a second slot
		Eventually(accepted).Should(Receive())
		Consistently(accepted).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		Expect(listener.Close()).To(Succeed())
		Eventually(ended).Should(Receive(MatchError(net.ErrClosed)))
	})
})
