package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/ingress"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// handler adapts a function to ingress.Handler.
type handler func(ctx context.Context, r *ingress.Request) *ingress.Response

func (h handler) Serve(ctx context.Context, r *ingress.Request) *ingress.Response { return h(ctx, r) }

func newResponse(status int, body string) *ingress.Response {
	return &ingress.Response{Status: status, Header: http.Header{}, Body: []byte(body)}
}

var _ = Describe("Server", func() {
	var server *ingress.Server
	var address string
	var idle atomic.Int64

	start := func(h handler) {
		idle.Store(int64(5 * time.Second))
		server = &ingress.Server{Handler: h, MaxConnections: 10, Limits: func() ingress.Limits {
			return ingress.Limits{
				MaxHeaderBytes: 2048, MaxBodyBytes: 3 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Duration(idle.Load()),
			}
		}}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(listener) }()
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			server.Shutdown(ctx)
			<-done
		})
	}
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		return conn, bufio.NewReader(conn)
	}
	readResponse := func(reader *bufio.Reader) (*http.Response, string) {
		GinkgoHelper()
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(body)
	}
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

	// Guards against one request that ends the process, and with it the requests of all
	// other connections.
	It("answers 500 if the handler panics, and goes on", func() {
		var panics atomic.Int32
		start(func(_ context.Context, r *ingress.Request) *ingress.Response {
			if r.Target == "/panic" {
				panic("unexpected")
			}
			return newResponse(200, "")
		})
		server.OnPanic = func(value any, stack []byte) {
			if value == "unexpected" && len(stack) > 0 {
				panics.Add(1)
			}
		}
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/panic"))
		response, _ := readResponse(reader)
		Expect(response.StatusCode).To(Equal(500))
		Expect(response.Close).To(BeTrue())
		Expect(panics.Load()).To(Equal(int32(1)))
		conn, reader = dial()
		_, _ = io.WriteString(conn, get("/"))
		response, _ = readResponse(reader)
		Expect(response.StatusCode).To(Equal(200))
	})

	// Guards against chunks sent to an HTTP/1.0 caller, which would take the sizes for
	// content, and against a truncated response that looks complete to it.
	DescribeTable("ends a streamed response to an HTTP/1.0 caller with the connection",
		func(rest io.Reader, complete bool) {
			start(func(context.Context, *ingress.Request) *ingress.Response {
				response := newResponse(200, "begin ")
				response.Rest = io.NopCloser(rest)
				return response
			})
			conn, reader := dial()
			_, _ = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: a.example\r\n\r\n")
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.TransferEncoding).To(BeEmpty())
			body, err := io.ReadAll(response.Body)
			if complete {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(body)).To(Equal("begin end"))
			} else {
				Expect(err).To(HaveOccurred())
			}
		},
		Entry("complete", strings.NewReader("end"), true),
		Entry("truncated", io.MultiReader(strings.NewReader("en"), iotest.ErrReader(io.ErrUnexpectedEOF)), false),
	)

	// Guards against pipelined requests that run one after the other, and
	// against responses in the wrong order.
	It("runs pipelined requests concurrently and responds in order", func() {
		release := make(chan struct{})
		start(func(_ context.Context, r *ingress.Request) *ingress.Response {
			if r.Target == "/1" {
				<-release
			}
			if r.Target == "/3" {
				close(release)
			}
			return newResponse(200, r.Target)
		})
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/1")+get("/2")+get("/3"))
		for _, path := range []string{"/1", "/2", "/3"} {
			_, body := readResponse(reader)
			Expect(body).To(Equal(path))
		}
	})

	// Guards against running a request that must not run twice after a response
	// that closes the connection: its caller resends it.
	It("delays a request with a body until all earlier responses are written", func() {
		var mu sync.Mutex
		var order []string
		start(func(_ context.Context, r *ingress.Request) *ingress.Response {
			time.Sleep(20 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			order = append(order, r.Method)
			out := newResponse(200, "")
			out.Close = r.Method == http.MethodGet
			return out
		})
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/1")+"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
		response, _ := readResponse(reader)
		Expect(response.Close).To(BeTrue())
		_, err := http.ReadResponse(reader, nil)
		Expect(err).To(HaveOccurred())
		mu.Lock()
		defer mu.Unlock()
		Expect(order).To(Equal([]string{"GET"}))
	})

	// Guards against targets that keep working for a caller that has
	// disconnected.
	It("cancels the context when the caller disconnects", func() {
		ended := make(chan struct{})
		start(func(ctx context.Context, _ *ingress.Request) *ingress.Response {
			<-ctx.Done()
			close(ended)
			return newResponse(503, "")
		})
		conn, _ := dial()
		_, _ = io.WriteString(conn, get("/1"))
		time.Sleep(10 * time.Millisecond)
		_ = conn.Close()
		Eventually(ended).Should(BeClosed())
	})

	// Guards against modified bodies, and against keeping long ones completely
	// in memory.
	DescribeTable("passes a body to the handler unchanged",
		func(size int, chunked bool) {
			start(func(_ context.Context, r *ingress.Request) *ingress.Response {
				var got bytes.Buffer
				_, err := got.ReadFrom(r.Body)
				if err != nil {
					return newResponse(500, err.Error())
				}
				return newResponse(200, fmt.Sprint(got.Len(), " ", strings.Count(got.String(), "x")))
			})
			conn, reader := dial()
			body := strings.Repeat("x", size)
			if chunked {
				_, _ = fmt.Fprintf(conn, "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
			} else {
				_, _ = fmt.Fprintf(conn, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, body)
			}
			_, got := readResponse(reader)
			Expect(got).To(Equal(fmt.Sprint(size, " ", size)))
			_, _ = io.WriteString(conn, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
			_, got = readResponse(reader)
			Expect(got).To(Equal("1 1"), "the connection should still be usable")
		},
		Entry("short", 100, false),
		Entry("short, chunked", 100, true),
		Entry("longer than the buffer", 2<<20, false),
		Entry("longer than the buffer, chunked", 2<<20, true),
	)

	// Guards against input that uses unbounded memory or blocks the connection.
	DescribeTable("rejects malformed requests and requests above the limits",
		func(request string, status int) {
			start(func(context.Context, *ingress.Request) *ingress.Response { return newResponse(200, "") })
			conn, reader := dial()
			_, _ = io.WriteString(conn, request)
			response, _ := readResponse(reader)
			Expect(response.StatusCode).To(Equal(status))
			Expect(response.Close).To(BeTrue())
		},
		Entry("header too long", "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 10_000)+"\r\n\r\n", 431),
		Entry("body too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n", 413),
		Entry("not HTTP", "hello\r\n\r\n", 400),
		Entry("conflicting Content-Length headers", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
	)

	// Guards against a truncated response that is taken for a complete one.
	It("closes the connection when the rest of a response fails", func() {
		start(func(context.Context, *ingress.Request) *ingress.Response {
			out := newResponse(200, "part")
			out.Rest = io.NopCloser(io.MultiReader(strings.NewReader("more"), failingReader{}))
			return out
		})
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/1"))
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	})

	// Guards against idle connections that stay open forever, and against
	// closing them earlier than callers expect.
	It("closes an idle connection after the idle timeout", func() {
		start(func(context.Context, *ingress.Request) *ingress.Response { return newResponse(200, "") })
		idle.Store(int64(100 * time.Millisecond))
		_, reader := dial()
		startTime := time.Now()
		_, err := reader.ReadByte()
		Expect(err).To(Equal(io.EOF))
		Expect(time.Since(startTime)).To(BeNumerically(">=", 95*time.Millisecond))
	})

	// Guards against a graceful shutdown that interrupts a request or waits for
	// idle callers.
	It("finishes requests in flight and closes idle connections on Shutdown", func() {
		handlerStarted, release := make(chan struct{}), make(chan struct{})
		start(func(context.Context, *ingress.Request) *ingress.Response {
			close(handlerStarted)
			<-release
			return newResponse(200, "done")
		})
		_, idleReader := dial()
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/1"))
		Eventually(server.OpenConnections).Should(Equal(2))
		Eventually(handlerStarted).Should(BeClosed()) // a request that has not been read yet may be lost at the close
		shutdownDone := make(chan struct{})
		go func() { defer close(shutdownDone); server.Shutdown(context.Background()) }()
		_, err := idleReader.ReadByte()
		Expect(err).To(Equal(io.EOF))
		Consistently(shutdownDone, "50ms").ShouldNot(BeClosed())
		close(release)
		response, body := readResponse(reader)
		Expect(body).To(Equal("done"))
		Expect(response.Close).To(BeTrue())
		Eventually(shutdownDone).Should(BeClosed())
	})

	// Guards against a panic at shutdown when a connection is accepted while
	// the last one ends: the WaitGroup of connections was incremented from 0
	// during Wait.
	It("shuts down while callers connect", func() {
		for range 60 {
			s := &ingress.Server{
				Handler:        handler(func(context.Context, *ingress.Request) *ingress.Response { return newResponse(200, "") }),
				MaxConnections: 100,
				Limits:         func() ingress.Limits { return ingress.Limits{MaxHeaderBytes: 100, IdleTimeout: time.Second} },
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			var group sync.WaitGroup
			group.Go(func() { _ = s.Serve(listener) })
			for range 8 {
				group.Go(func() {
					for range 30 {
						conn, err := net.Dial("tcp", listener.Addr().String())
						if err != nil {
							return
						}
						_ = conn.Close()
					}
				})
			}
			time.Sleep(time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			s.Shutdown(ctx)
			cancel()
			group.Wait()
		}
	})

	// Guards against a listener that stays open because Shutdown was called
	// before Serve.
	It("does not accept connections after Shutdown", func() {
		s := &ingress.Server{}
		s.Shutdown(context.Background())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(listener) }()
		Eventually(ended).Should(Receive(BeNil()))
		_, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).To(HaveOccurred())
	})
})

// failingReader fails every read.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
