package relay_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/relay"
)

var _ = Describe("Relay", func() {
	var r *relay.Relay
	var ctl *control.RelayClient

	BeforeEach(func() {
		upstream, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(upstream.Close)
		go echo(upstream)
		r, err = relay.Start(relay.Settings{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Upstream: upstream.Addr().String()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		ctl = control.NewRelay(r.ControlAddress())
	})

	dial := func() net.Conn {
		GinkgoHelper()
		conn, err := net.Dial("tcp4", r.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	exchange := func(conn net.Conn, timeout time.Duration) error {
		GinkgoHelper()
		Expect(conn.SetDeadline(time.Now().Add(timeout))).To(Succeed())
		if _, err := fmt.Fprintln(conn, "ping"); err != nil {
			return err
		}
		_, err := bufio.NewReader(conn).ReadString('\n')
		return err
	}
	timedOut := WithTransform(func(err error) bool {
		var netErr net.Error
		return errors.As(err, &netErr) && netErr.Timeout()
	}, BeTrue())
	set := func(ctx SpecContext, behavior relay.Behavior) {
		GinkgoHelper()
		_, err := ctl.SetBehavior(ctx, behavior)
		Expect(err).NotTo(HaveOccurred())
	}

	// Guards against a relay that loses bytes or the end of a stream.
	It("forwards bytes and the end of the stream", func() {
		conn := dial()
		Expect(exchange(conn, time.Minute)).To(Succeed())
		tcp, ok := conn.(*net.TCPConn)
		Expect(ok).To(BeTrue())
		Expect(tcp.CloseWrite()).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against a cut that lets a connection through or cannot be ended.
	It("cuts connections and forwards again at the same address", func(ctx SpecContext) {
		conn := dial()
		Expect(exchange(conn, time.Minute)).To(Succeed())
		set(ctx, relay.Behavior{Mode: relay.ModeCut})
		Expect(exchange(conn, time.Minute)).To(MatchError(ContainSubstring("reset")))
		_, err := net.Dial("tcp4", r.Address())
		Expect(err).To(MatchError(ContainSubstring("refused")))
		set(ctx, relay.Behavior{Mode: relay.ModePass})
		Expect(exchange(dial(), time.Minute)).To(Succeed())
	})

	// Guards against a silent connection that closes or carries bytes again.
	It("silences open connections, or open and new ones", func(ctx SpecContext) {
		old := dial()
		Expect(exchange(old, time.Minute)).To(Succeed())
		set(ctx, relay.Behavior{Mode: relay.ModeSilence})
		Expect(exchange(old, 20*time.Millisecond)).To(timedOut)
		Expect(exchange(dial(), time.Minute)).To(Succeed())
		set(ctx, relay.Behavior{Mode: relay.ModeSilenceAll})
		Expect(exchange(dial(), 20*time.Millisecond)).To(timedOut)
		set(ctx, relay.Behavior{Mode: relay.ModePass})
		Expect(exchange(old, 20*time.Millisecond)).To(timedOut)
		Expect(exchange(dial(), time.Minute)).To(Succeed())
	})

	// Guards against a delay that applies to one direction only.
	It("delays both directions", func(ctx SpecContext) {
		set(ctx, relay.Behavior{Mode: relay.ModePass, DelayMS: 20})
		start := time.Now()
		Expect(exchange(dial(), time.Minute)).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically(">=", 40*time.Millisecond))
	})
})

// echo sends back what each connection sends.
func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}()
	}
}
