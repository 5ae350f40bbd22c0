package targetconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/targetconn"
)

func TestTargetconn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targetconn")
}

// serve starts a TCP server that runs the function on each connection, and
// returns its address.
func serve(run func(conn net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { defer func() { _ = conn.Close() }(); run(conn, bufio.NewReader(conn)) }()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads a request and its body.
func readRequest(reader *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(request.Body)
	return request, string(body)
}

func newRequest(id string) *targetconn.Request {
	return &targetconn.Request{
		Method: "GET", Target: "/x", Host: "a.example", Header: http.Header{"Id": {id}},
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

var _ = Describe("Conn", func() {
	dial := func(address string) *targetconn.Conn {
		GinkgoHelper()
		c, err := targetconn.Dial(context.Background(), address, targetconn.Options{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	withTimeout := func(d time.Duration) context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		DeferCleanup(cancel)
		return ctx
	}
	const okHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: "

	// Guards against a request that is modified on its way to the target.
	It("sends path, header and body unchanged", func() {
		got := make(chan string, 1)
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			request, body := readRequest(reader)
			got <- request.Method + " " + request.RequestURI + " " + request.Host + " " + request.Header.Get("X-A") + " " + body
			_, _ = io.WriteString(conn, okHead+"1\r\n\r\nhi")
		})
		r := newRequest("1")
		r.Method, r.Target, r.Header = "POST", "/a%2Fb//c?q=%20&r", http.Header{"X-A": {"b c"}}
		r.Body, r.Size = strings.NewReader("body"), 4
		response, sent, err := dial(address).Do(withTimeout(time.Second), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(sent).To(BeTrue())
		Expect(string(response.Body)).To(Equal("hi"))
		Expect(<-got).To(Equal("POST /a%2Fb//c?q=%20&r a.example b c body"))
	})

	// Guards against a response to an earlier request that is taken for the
	// response to this one.
	It("skips a response to another request and does not reuse the connection", func() {
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, okHead+"other\r\n\r\nno"+okHead+"1\r\n\r\nhi")
			time.Sleep(time.Second)
		})
		c := dial(address)
		response, _, err := c.Do(withTimeout(time.Second), newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("hi"))
		Expect(c.Usable(time.Now())).To(BeFalse())
	})

	// Guards against unsolicited bytes that are parsed as the start of the next
	// response.
	It("closes a connection on which bytes arrive between requests", func() {
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, okHead+"1\r\n\r\nhi")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, okHead+"1\r\n\r\nno")
			time.Sleep(time.Second)
		})
		c := dial(address)
		_, _, err := c.Do(withTimeout(time.Second), newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return c.Usable(time.Now()) }).Should(BeFalse())
	})

	// Guards against a truncated response that is taken for a complete one.
	DescribeTable("reports a missing, malformed or truncated response",
		func(bytes string, noResponse bool) {
			address := serve(func(conn net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				_, _ = io.WriteString(conn, bytes)
			})
			_, sent, err := dial(address).Do(withTimeout(time.Second), newRequest("1"))
			var broken *targetconn.BrokenError
			Expect(errors.As(err, &broken)).To(BeTrue(), "%v", err)
			Expect(broken.NoResponse).To(Equal(noResponse))
			Expect(sent).To(BeTrue())
		},
		Entry("no response", "", true),
		Entry("not HTTP", "no answer at all\r\n\r\n", false),
		Entry("body shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nId: 1\r\n\r\nhi", false),
		Entry("truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n5\r\nhi", false),
		Entry("header above the limit", "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 100_000), false),
	)

	// Guards against a success with an empty or short body that looks complete, because
	// the target closed the connection in the middle of the head.
	It("reports a head that is cut at any byte", func() {
		const head = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: abc\r\nContent-Length: 1500\r\n\r\n"
		var cut atomic.Int64
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, head[:cut.Load()])
		})
		for bytes := range len(head) {
			cut.Store(int64(bytes))
			_, _, err := dial(address).Do(withTimeout(time.Second), newRequest("1"))
			var broken *targetconn.BrokenError
			Expect(errors.As(err, &broken)).To(BeTrue(), "cut after %d bytes: %v", bytes, err)
		}
	})

	// Guards against rejecting a response without a length, and against
	// accepting one that a connection reset truncated.
	It("accepts a response that ends at the connection close, but not at a reset", func() {
		var reset atomic.Bool
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhi")
			if reset.Load() {
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		response, _, err := dial(address).Do(withTimeout(time.Second), newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("hi"))
		reset.Store(true)
		_, _, err = dial(address).Do(withTimeout(time.Second), newRequest("1"))
		Expect(err).To(HaveOccurred())
	})

	// Guards against the rest of a request body that the target parses as the
	// next request.
	It("does not reuse a connection if the target responds before the whole body is sent", func() {
		address := serve(func(conn net.Conn, _ *bufio.Reader) {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(conn, okHead+"1\r\n\r\nhi")
			time.Sleep(time.Second)
		})
		body, bodyWriter := io.Pipe()
		DeferCleanup(bodyWriter.Close)
		c := dial(address)
		r := newRequest("1")
		r.Method, r.Body, r.Size = "POST", body, 1<<20
		response, _, err := c.Do(withTimeout(time.Second), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("hi"))
		Expect(c.Usable(time.Now())).To(BeFalse())
	})

	// Guards against a request that hangs at a target that never responds.
	It("returns when its context ends", func() {
		address := serve(func(net.Conn, *bufio.Reader) { time.Sleep(5 * time.Second) })
		start := time.Now()
		_, _, err := dial(address).Do(withTimeout(50*time.Millisecond), newRequest("1"))
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})

	// Guards against a request on a connection that the target is about to
	// close.
	It("stops reusing a connection before the announced keep-alive time is over", func() {
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=3\r\nId: 1\r\n\r\n")
			time.Sleep(time.Second)
		})
		c := dial(address)
		_, _, err := c.Do(withTimeout(time.Second), newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Usable(time.Now().Add(2 * time.Second))).To(BeTrue())
		Expect(c.Usable(time.Now().Add(2600 * time.Millisecond))).To(BeFalse())
	})
})
