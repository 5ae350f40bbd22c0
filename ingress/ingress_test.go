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
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/ingress"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// handler runs a function for each request.
type handler func(ctx context.Context, r *ingress.Request) *ingress.Reply

func (h handler) Serve(ctx context.Context, r *ingress.Request) *ingress.Reply { return h(ctx, r) }

func reply(status int, body string) *ingress.Reply {
	return &ingress.Reply{Status: status, Header: http.Header{}, Body: []byte(body)}
}

var _ = Describe("Server", func() {
	var server *ingress.Server
	var address string
	var idle atomic.Int64

	start := func(h handler) {
		idle.Store(int64(5 * time.Second))
		server = &ingress.Server{Handler: h, MaxConnections: 10, Limits: func() ingress.Limits {
			return ingress.Limits{
				HeaderBytes: 2048, BodyBytes: 3 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Duration(idle.Load()),
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
			server.Leave(ctx)
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
	answer := func(reader *bufio.Reader) (*http.Response, string) {
		GinkgoHelper()
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(body)
	}
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

	// Guards against pipelined requests that wait for each other, and against
	// answers that reach the wrong request.
	It("runs pipelined requests at the same time and answers in order", func() {
		release := make(chan struct{})
		start(func(_ context.Context, r *ingress.Request) *ingress.Reply {
			if r.Target == "/1" {
				<-release
			}
			if r.Target == "/3" {
				close(release)
			}
			return reply(200, r.Target)
		})
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/1")+get("/2")+get("/3"))
		for _, path := range []string{"/1", "/2", "/3"} {
			_, body := answer(reader)
			Expect(body).To(Equal(path))
		}
	})

	// Guards against a request that must not run twice and runs behind an answer
	// that closes the connection: its caller sends it again.
	It("holds a request with a body back until the answers before it are written", func() {
		var mu sync.Mutex
		var order []string
		start(func(_ context.Context, r *ingress.Request) *ingress.Reply {
			time.Sleep(20 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			order = append(order, r.Method)
			out := reply(200, "")
			out.Close = r.Method == http.MethodGet
			return out
		})
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/1")+"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
		response, _ := answer(reader)
		Expect(response.Close).To(BeTrue())
		_, err := http.ReadResponse(reader, nil)
		Expect(err).To(HaveOccurred())
		mu.Lock()
		defer mu.Unlock()
		Expect(order).To(Equal([]string{"GET"}))
	})

	// Guards against targets that go on to work for a caller that has left.
	It("ends the context when the caller leaves", func() {
		ended := make(chan struct{})
		start(func(ctx context.Context, _ *ingress.Request) *ingress.Reply {
			<-ctx.Done()
			close(ended)
			return reply(503, "")
		})
		conn, _ := dial()
		_, _ = io.WriteString(conn, get("/1"))
		time.Sleep(10 * time.Millisecond)
		_ = conn.Close()
		Eventually(ended).Should(BeClosed())
	})

	// Guards against bodies that change on the way, and long ones that are held in
	// memory whole.
	DescribeTable("passes a body on unchanged",
		func(size int, chunked bool) {
			start(func(_ context.Context, r *ingress.Request) *ingress.Reply {
				var got bytes.Buffer
				_, err := got.ReadFrom(r.Body)
				if err != nil {
					return reply(500, err.Error())
				}
				return reply(200, fmt.Sprint(got.Len(), " ", strings.Count(got.String(), "x")))
			})
			conn, reader := dial()
			body := strings.Repeat("x", size)
			if chunked {
				_, _ = fmt.Fprintf(conn, "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
			} else {
				_, _ = fmt.Fprintf(conn, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, body)
			}
			_, got := answer(reader)
			Expect(got).To(Equal(fmt.Sprint(size, " ", size)))
			_, _ = io.WriteString(conn, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
			_, got = answer(reader)
			Expect(got).To(Equal("1 1"), "the connection is in order")
		},
		Entry("short", 100, false),
		Entry("short, in chunks", 100, true),
		Entry("longer than the buffer", 2<<20, false),
		Entry("longer than the buffer, in chunks", 2<<20, true),
	)

	// Guards against input that takes memory without bound or hangs the reader.
	DescribeTable("refuses what is beyond the limits",
		func(request string, status int) {
			start(func(context.Context, *ingress.Request) *ingress.Reply { return reply(200, "") })
			conn, reader := dial()
			_, _ = io.WriteString(conn, request)
			response, _ := answer(reader)
			Expect(response.StatusCode).To(Equal(status))
			Expect(response.Close).To(BeTrue())
		},
		Entry("long header", "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 10_000)+"\r\n\r\n", 431),
		Entry("long body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n", 413),
		Entry("no request", "hello\r\n\r\n", 400),
		Entry("two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
	)

	// Guards against a truncated answer that looks whole.
	It("ends the connection when the rest of an answer breaks", func() {
		start(func(context.Context, *ingress.Request) *ingress.Reply {
			out := reply(200, "part")
			out.Rest = io.NopCloser(io.MultiReader(strings.NewReader("more"), broken{}))
			return out
		})
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/1"))
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	})

	// Guards against idle connections without end, and against a close that is
	// earlier than callers rely on.
	It("closes an idle connection after the limit", func() {
		start(func(context.Context, *ingress.Request) *ingress.Reply { return reply(200, "") })
		idle.Store(int64(100 * time.Millisecond))
		_, reader := dial()
		began := time.Now()
		_, err := reader.ReadByte()
		Expect(err).To(Equal(io.EOF))
		Expect(time.Since(began)).To(BeNumerically(">=", 95*time.Millisecond))
	})

	// Guards against a planned stop that cuts a request, or waits for idle callers.
	It("finishes requests in flight and closes idle connections when it leaves", func() {
		began, release := make(chan struct{}), make(chan struct{})
		start(func(context.Context, *ingress.Request) *ingress.Reply {
			close(began)
			<-release
			return reply(200, "done")
		})
		_, idleReader := dial()
		conn, reader := dial()
		_, _ = io.WriteString(conn, get("/1"))
		Eventually(server.Open).Should(Equal(2))
		Eventually(began).Should(BeClosed()) // a request that is not read yet may cross the close
		left := make(chan struct{})
		go func() { defer close(left); server.Leave(context.Background()) }()
		_, err := idleReader.ReadByte()
		Expect(err).To(Equal(io.EOF))
		Consistently(left, "50ms").ShouldNot(BeClosed())
		close(release)
		response, body := answer(reader)
		Expect(body).To(Equal("done"))
		Expect(response.Close).To(BeTrue())
		Eventually(left).Should(BeClosed())
	})

	// Guards against a stop that panics because a connection is accepted while the
	// last one ends: the counter of connections rose from 0 while it was waited for.
	It("stops while callers connect", func() {
		for range 60 {
			s := &ingress.Server{
				Handler:        handler(func(context.Context, *ingress.Request) *ingress.Reply { return reply(200, "") }),
				MaxConnections: 100,
				Limits:         func() ingress.Limits { return ingress.Limits{HeaderBytes: 100, IdleTimeout: time.Second} },
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
			s.Leave(ctx)
			cancel()
			group.Wait()
		}
	})

	// Guards against a listener that stays open because the stop came before the
	// server began to accept.
	It("does not begin after it was told to leave", func() {
		s := &ingress.Server{}
		s.Leave(context.Background())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(listener) }()
		Eventually(ended).Should(Receive(BeNil()))
		_, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).To(HaveOccurred())
	})
})

// broken is a source that fails.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
