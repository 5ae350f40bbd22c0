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

// serve accepts connections and runs the function on each.
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

// readRequest reads a request with its body.
func readRequest(reader *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(request.Body)
	return request, string(body)
}

func message(id string) *targetconn.Message {
	return &targetconn.Message{
		Method: "GET", Target: "/x", Host: "a.example", Header: http.Header{"Id": {id}},
		Expected: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

var _ = Describe("Conn", func() {
	open := func(address string) *targetconn.Conn {
		GinkgoHelper()
		c, err := targetconn.Dial(context.Background(), address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	within := func(d time.Duration) context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		DeferCleanup(cancel)
		return ctx
	}
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: "

	// Guards against a request that reaches the target changed.
	It("sends path, header and body unchanged", func() {
		got := make(chan string, 1)
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			request, body := readRequest(reader)
			got <- request.Method + " " + request.RequestURI + " " + request.Host + " " + request.Header.Get("X-A") + " " + body
			_, _ = io.WriteString(conn, ok+"1\r\n\r\nhi")
		})
		m := message("1")
		m.Method, m.Target, m.Header = "POST", "/a%2Fb//c?q=%20&r", http.Header{"X-A": {"b c"}}
		m.Body, m.Size = strings.NewReader("body"), 4
		answer, sent, err := open(address).Do(within(time.Second), m)
		Expect(err).NotTo(HaveOccurred())
		Expect(sent).To(BeTrue())
		Expect(string(answer.Body)).To(Equal("hi"))
		Expect(<-got).To(Equal("POST /a%2Fb//c?q=%20&r a.example b c body"))
	})

	// Guards against an answer to an earlier request that is taken for the answer to
	// this one.
	It("passes over an extra answer and does not use the connection again", func() {
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, ok+"other\r\n\r\nno"+ok+"1\r\n\r\nhi")
			time.Sleep(time.Second)
		})
		c := open(address)
		answer, _, err := c.Do(within(time.Second), message("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal("hi"))
		Expect(c.Usable(time.Now())).To(BeFalse())
	})

	// Guards against bytes that nobody asked for at the head of the next answer.
	It("drops a connection on which bytes arrive between requests", func() {
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, ok+"1\r\n\r\nhi")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, ok+"1\r\n\r\nno")
			time.Sleep(time.Second)
		})
		c := open(address)
		_, _, err := c.Do(within(time.Second), message("1"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return c.Usable(time.Now()) }).Should(BeFalse())
	})

	// Guards against a cut answer that is taken for a whole one.
	DescribeTable("reports an answer that is not whole",
		func(bytes string, silent bool) {
			address := serve(func(conn net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				_, _ = io.WriteString(conn, bytes)
			})
			_, sent, err := open(address).Do(within(time.Second), message("1"))
			var broken *targetconn.BrokenError
			Expect(errors.As(err, &broken)).To(BeTrue(), "%v", err)
			Expect(broken.Silent).To(Equal(silent))
			Expect(sent).To(BeTrue())
		},
		Entry("nothing", "", true),
		Entry("garbage", "no answer at all\r\n\r\n", false),
		Entry("short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nId: 1\r\n\r\nhi", false),
		Entry("cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n5\r\nhi", false),
		Entry("endless header", "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 100_000), false),
	)

	// Guards against an answer without a length that is refused, and against one
	// that was reset and looks whole.
	It("takes an answer that ends with its connection, unless that is reset", func() {
		var reset atomic.Bool
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhi")
			if reset.Load() {
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		answer, _, err := open(address).Do(within(time.Second), message("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal("hi"))
		reset.Store(true)
		_, _, err = open(address).Do(within(time.Second), message("1"))
		Expect(err).To(HaveOccurred())
	})

	// Guards against the rest of a body that a target takes for the next request.
	It("does not use a connection again whose target answered before the body was sent", func() {
		address := serve(func(conn net.Conn, _ *bufio.Reader) {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(conn, ok+"1\r\n\r\nhi")
			time.Sleep(time.Second)
		})
		body, feeder := io.Pipe()
		DeferCleanup(feeder.Close)
		c := open(address)
		m := message("1")
		m.Method, m.Body, m.Size = "POST", body, 1<<20
		answer, _, err := c.Do(within(time.Second), m)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal("hi"))
		Expect(c.Usable(time.Now())).To(BeFalse())
	})

	// Guards against a request that hangs at a target that says nothing.
	It("ends with its context", func() {
		address := serve(func(net.Conn, *bufio.Reader) { time.Sleep(5 * time.Second) })
		began := time.Now()
		_, _, err := open(address).Do(within(50*time.Millisecond), message("1"))
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	// Guards against a request on a connection that the target is about to close.
	It("stops to use a connection before the time that the target keeps it open", func() {
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=3\r\nId: 1\r\n\r\n")
			time.Sleep(time.Second)
		})
		c := open(address)
		_, _, err := c.Do(within(time.Second), message("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Usable(time.Now().Add(2 * time.Second))).To(BeTrue())
		Expect(c.Usable(time.Now().Add(2600 * time.Millisecond))).To(BeFalse())
	})
})
