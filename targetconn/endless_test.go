package targetconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/hop"
	"fulmarhoist.example/targetconn"
)

// endless returns a function that reads a request, writes the head, and then the
// repeated text until the connection is closed, which it reports on closed.
func endless(head, repeated string, closed chan<- struct{}) func(net.Conn, *bufio.Reader) {
	block := strings.Repeat(repeated, max(1, 4096/len(repeated)))
	return func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, err := io.WriteString(conn, head)
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
		closed <- struct{}{}
	}
}

var _ = Describe("A target that sends bytes without end", func() {
	const limit = 2 * time.Second
	var closed chan struct{}

	BeforeEach(func() { closed = make(chan struct{}, 1000) })

	do := func(address string, options targetconn.Options) (*targetconn.Response, error) {
		GinkgoHelper()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		DeferCleanup(cancel)
		c, err := targetconn.Dial(ctx, address, options)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		response, _, err := c.Do(ctx, newRequest("1"))
		return response, err
	}

	// Guards against memory that grows, and a connection that stays open, while a
	// faulty target sends bytes that are no response.
	DescribeTable("is cut off before the deadline of the request",
		func(head, repeated string) {
			response, err := do(serve(endless(head, repeated, closed)), targetconn.Options{})
			Expect(response).To(BeNil())
			var broken *targetconn.BrokenError
			Expect(errors.As(err, &broken)).To(BeTrue(), "%v", err)
			Expect(broken.NoResponse).To(BeFalse())
			Eventually(closed, limit/2).Should(Receive())
		},
		Entry("status line", "HTTP/1.1 200 ", "x"),
		Entry("not HTTP", "", "x"),
		Entry("header line", "HTTP/1.1 200 OK\r\nX: ", "x"),
		Entry("header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		Entry("interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("chunk extension", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"),
		Entry("chunk extensions", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;x="+strings.Repeat("y", 200)+"\r\nz\r\n"),
		Entry("trailers", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
		Entry("responses to other requests", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 9\r\n\r\n"),
		Entry("body of a response to another request", "HTTP/1.1 200 OK\r\nId: 9\r\n\r\n", "x"),
	)

	// Guards against an attempt that goes on for ever because every byte counts as
	// progress.
	It("is cut off at the deadline if it sends one byte at a time", func() {
		address := serve(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
			for err == nil {
				time.Sleep(10 * time.Millisecond)
				_, err = io.WriteString(conn, "x")
			}
			closed <- struct{}{}
		})
		began := time.Now()
		_, err := do(address, targetconn.Options{})
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("~", limit, limit/4))
		Eventually(closed, limit).Should(Receive())
	})

	// Guards against passing an endless body on as a complete one.
	DescribeTable("never ends a body as complete",
		func(head, repeated string) {
			response, err := do(serve(endless(head, repeated, closed)), targetconn.Options{})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Rest).NotTo(BeNil())
			Expect(len(response.Body)).To(BeNumerically("<=", targetconn.MaxBufferedBodyBytes+1))
			_, err = io.CopyN(io.Discard, response.Rest, 16<<20)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Rest.Close()).To(Succeed())
			Eventually(closed, limit).Should(Receive())
		},
		Entry("without a length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"),
		Entry("with a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9000000000000\r\n\r\n", "x"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "100\r\n"+strings.Repeat("x", 256)+"\r\n"),
	)

	// Guards against a connection, and a place at the target, that are taken for ever
	// because the body never ends and its reader never leaves.
	DescribeTable("is cut off at the deadline in the middle of the body",
		func(head, repeated string) {
			began := time.Now()
			response, err := do(serve(endless(head, repeated, closed)), targetconn.Options{})
			Expect(err).NotTo(HaveOccurred())
			done := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, response.Rest)
				done <- err
			}()
			Eventually(done, 2*limit).Should(Receive(HaveOccurred()), "a body that is cut must not look complete")
			Expect(time.Since(began)).To(BeNumerically("~", limit, limit/4))
			Eventually(closed, limit).Should(Receive())
			Expect(response.Rest.Close()).To(Succeed())
		},
		Entry("without a length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "100\r\n"+strings.Repeat("x", 256)+"\r\n"),
	)

	// Guards against exhausting the memory of the instance: 200 connections buffered
	// 1 MiB and more each.
	It("gets a bounded share of the memory on 200 connections together", func() {
		const connections, budgetBytes = 200, 16 << 20
		// Each connection has read buffers and up to 64 KiB of body outside of the
		// budget, and a buffer and its successor exist together while it grows.
		const bound = 2*budgetBytes + connections*(2*64<<10+32<<10)
		address := serve(endless("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x", closed))
		budget := hop.NewBufferBudget(budgetBytes)
		runtime.GC()
		before := heapInUse()
		var mu sync.Mutex
		var group sync.WaitGroup
		var open []*targetconn.Response
		buffered := 0
		// All connections are open before the first target begins to send: opening one
		// beside many that send can take longer than its timeout.
		conns := make([]*targetconn.Conn, connections)
		for i := range conns {
			var err error
			conns[i], err = targetconn.Dial(context.Background(), address, targetconn.Options{Buffers: budget})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conns[i].Close)
		}
		for _, c := range conns {
			group.Go(func() {
				defer GinkgoRecover()
				response, _, err := c.Do(context.Background(), newRequest("1"))
				Expect(err).NotTo(HaveOccurred())
				mu.Lock()
				defer mu.Unlock()
				open, buffered = append(open, response), buffered+len(response.Body)
			})
		}
		group.Wait()
		Expect(budget.Used()).To(And(BeNumerically(">", budgetBytes/2), BeNumerically("<=", budgetBytes)))
		Expect(buffered).To(BeNumerically("<=", budgetBytes+connections*(64<<10)))
		runtime.GC()
		inUse := heapInUse() - before
		AddReportEntry(fmt.Sprintf("%d connections use %d KiB of heap, bound %d KiB", connections, inUse>>10, bound>>10))
		Expect(inUse).To(BeNumerically("<", bound))
		for _, response := range open {
			_ = response.Rest.Close()
		}
		Eventually(budget.Used).Should(BeZero())
		for range connections {
			Eventually(closed, limit).Should(Receive())
		}
	})
})

// heapInUse returns the bytes of live and not yet swept objects.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

var _ = Describe("OnResponse", func() {
	// heads collects the notices of all response heads of one connection.
	heads := func(run func(conn net.Conn, reader *bufio.Reader)) (*targetconn.Conn, chan string) {
		GinkgoHelper()
		seen := make(chan string, 100)
		c, err := targetconn.Dial(context.Background(), serve(run), targetconn.Options{
			OnResponse: func(r *http.Response) { seen <- r.Header.Get("Notice") },
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c, seen
	}
	response := func(id, notice string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: " + id + "\r\nNotice: " + notice + "\r\n\r\n"
	}

	// Guards against missing what a target announces in a response that is not used.
	It("gets the heads of responses to other requests and of interim ones", func() {
		c, seen := heads(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nNotice: a\r\n\r\n"+response("9", "b")+response("1", "c"))
			_, _ = readRequest(reader)
		})
		_, _, err := c.Do(context.Background(), newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect([]string{<-seen, <-seen, <-seen}).To(Equal([]string{"a", "b", "c"}))
	})

	It("gets the head of a response whose body is truncated", func() {
		c, seen := heads(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nId: 1\r\nNotice: a\r\n\r\nhi")
		})
		_, _, err := c.Do(context.Background(), newRequest("1"))
		Expect(err).To(HaveOccurred())
		Expect(seen).To(Receive(Equal("a")))
	})

	It("gets the head of a late response that belongs to no request, and closes the connection", func() {
		sendLate := make(chan struct{})
		c, seen := heads(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, response("1", "a"))
			<-sendLate
			_, _ = io.WriteString(conn, response("1", "b"))
			_, _ = readRequest(reader)
		})
		_, _, err := c.Do(context.Background(), newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-seen).To(Equal("a"))
		close(sendLate)
		Eventually(seen).Should(Receive(Equal("b")))
		Eventually(func() bool { return c.Usable(time.Now()) }).Should(BeFalse())
	})

	// Guards against reading for ever on an idle connection.
	It("closes a connection on which bytes arrive that are no response", func() {
		closed := make(chan struct{}, 1)
		c, seen := heads(endless("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nX: ", "x", closed))
		_, _, err := c.Do(context.Background(), newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-seen).To(BeEmpty())
		Eventually(closed, "2s").Should(Receive())
	})
})
