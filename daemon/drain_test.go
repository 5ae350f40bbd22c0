package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/httpapi"
	"fulmarhoist.example/lease"
	"fulmarhoist.example/peerwire"
)

var _ = Describe("drain", func() {
	newTestDrain := func() *drain { return newDrain(func() time.Duration { return time.Second }) }

	// Guards against a graceful shutdown that aborts a non-idempotent request
	// whose caller has disconnected: over HTTP/2 the server no longer counts it.
	DescribeTable("waits for a request whose caller has disconnected", func(ctx SpecContext, http2 bool) {
		d, started, release := newTestDrain(), make(chan struct{}), make(chan struct{})
		var ended atomic.Bool
		server := httpapi.NewServer(d.trackRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(started)
			<-release
			ended.Store(true)
		})))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		protocols := new(http.Protocols)
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		callCtx, disconnect := context.WithCancel(ctx)
		request, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+listener.Addr().String(), nil)
		Expect(err).NotTo(HaveOccurred())
		go func() { _, _ = client.Do(request) }()
		Eventually(started).Should(BeClosed())
		disconnect()
		client.CloseIdleConnections()
		stopped := make(chan struct{})
		go func() {
			_ = server.Shutdown(context.Background())
			d.finish()
			close(stopped)
		}()
		Consistently(stopped).WithTimeout(time.Second).ShouldNot(BeClosed())
		close(release)
		Eventually(stopped).Should(BeClosed())
		Expect(ended.Load()).To(BeTrue())
	},
		Entry("over HTTP/1.1", false),
		Entry("over HTTP/2", true),
	)

	// Guards against a forwarded request that starts while the connections to
	// peers are being closed, and against a shutdown that does not wait for the
	// last request.
	It("starts no forwarded request after the last request has ended", func(ctx SpecContext) {
		d := newTestDrain()
		h := &inbound{&cluster{deps: clusterDeps{Self: lease.Participant{Instance: "entry-1"}}, drain: d}}
		Expect(d.begin()).To(BeTrue())
		finished := make(chan struct{})
		go func() { d.finish(); close(finished) }()
		Consistently(finished).WithTimeout(50 * time.Millisecond).ShouldNot(BeClosed())
		d.end()
		Eventually(finished).Should(BeClosed())
		reply := h.Forward(ctx, peerwire.Identity{}, &peerwire.Forward{})
		Expect(reply.Outcome).To(Equal(contract.OutcomeUnknown))
	})
})
