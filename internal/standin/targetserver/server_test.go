package targetserver_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarhoist.example/internal/standin/control"
	"fulmarhoist.example/internal/standin/targetserver"
)

const (
	attemptA = "00000000000000aa"
	attemptB = "00000000000000bb"
	forever  = time.Hour
)

// reply is a complete response, or the error of the request.
type reply struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

var _ = Describe("Server", func() {
	var (
		ctx      context.Context
		settings targetserver.Settings
		server   *targetserver.Server
		ctl      *control.TargetClient
		client   *http.Client
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		settings = targetserver.Settings{
			Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Service: "orders",
			Slots: 1, Queue: 1, Seed: 1, RestartDelay: time.Millisecond,
		}
	})

	start := func() {
		GinkgoHelper()
		var err error
		server, err = targetserver.Start(settings)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		ctl = control.NewTarget(server.ControlAddress())
		transport := &http.Transport{}
		DeferCleanup(transport.CloseIdleConnections)
		client = &http.Client{Transport: transport}
	}
	send := func(ctx context.Context, path string, header ...string) reply {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+path, strings.NewReader("body"))
		if err != nil {
			return reply{Err: err}
		}
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		response, err := client.Do(r)
		if err != nil {
			return reply{Err: err}
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return reply{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
	}
	sendAsync := func(ctx context.Context, path string, header ...string) <-chan reply {
		replies := make(chan reply, 1)
		go func() { replies <- send(ctx, path, header...) }()
		return replies
	}
	state := func() targetserver.State {
		GinkgoHelper()
		s, err := ctl.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		return s
	}
	setFaults := func(faults targetserver.Faults) {
		GinkgoHelper()
		_, err := ctl.SetFaults(ctx, faults)
		Expect(err).NotTo(HaveOccurred())
	}
	inFlight := func() int64 { return state().InFlight }
	executions := func() int64 { return state().Counters.Executions }
	outcomes := func() []targetserver.Outcome {
		GinkgoHelper()
		journal, err := ctl.Journal(ctx)
		Expect(err).NotTo(HaveOccurred())
		result := make([]targetserver.Outcome, len(journal.Entries))
		for i, e := range journal.Entries {
			result[i] = e.Outcome
		}
		return result
	}

	// Guards against an echo that would let a test accept the answer to another
	// request.
	It("echoes the request in the answer and records it in the journal", func() {
		start()
		got := send(ctx, "/a/b?pad=10", "Fulmarhoist-Attempt-Id", attemptA, "Fulmarhoist-Request-Key", "t/1",
			"Fulmarhoist-Class", "reorder", "Fulmarhoist-Instance", "entry-1")
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(got.Body).To(Equal(string(targetserver.ExpectedAnswer("orders", "t/1", "/a/b", []byte("body"), 10).Bytes())))
		Expect(got.Header.Get("Fulmarhoist-Attempt-Id")).To(Equal(attemptA))
		Expect(got.Header.Get("Fulmarhoist-Boot-Id")).To(Equal(state().BootID))
		Expect(got.Header.Get("Fulmarhoist-Load")).To(Equal("0/1"))

		journal, err := ctl.Journal(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(journal.Entries).To(HaveLen(1))
		e := journal.Entries[0]
		Expect([]string{e.RequestKey, e.Class, e.AttemptID, e.Instance, e.Path}).To(
			Equal([]string{"t/1", "reorder", attemptA, "entry-1", "/a/b"}))
		Expect(e.Executed()).To(BeTrue())
		Expect(e.Ended).NotTo(BeZero())
		Expect(e.Outcome).To(Equal(targetserver.OutcomeAnswered))
	})

	// Guards against an unbounded queue, and against a refused request that ran.
	It("refuses a request as not run when slots and queue are full", func() {
		settings.MeanServiceTime = forever
		start()
		sendAsync(ctx, "/1")
		sendAsync(ctx, "/2")
		Eventually(inFlight).Should(Equal(int64(2)))
		got := send(ctx, "/3")
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Fulmarhoist-Not-Run")).To(Equal("1"))
		Expect(state().Counters).To(And(HaveField("Executions", int64(1)), HaveField("Shed", int64(1))))
	})

	// Guards against an overload of a cold process that has no effect.
	It("crashes when more requests are in flight than it can handle while cold", func() {
		settings.MeanServiceTime, settings.ColdDuration, settings.ColdCapacity, settings.Slots = forever, forever, 1, 4
		start()
		boot := state().BootID
		first := sendAsync(ctx, "/1")
		Eventually(inFlight).Should(Equal(int64(1)))
		Expect(send(ctx, "/2").Err).To(HaveOccurred())
		Eventually(first).Should(Receive(HaveField("Err", HaveOccurred())))
		Eventually(state).Should(And(HaveField("Up", true), HaveField("Cold", true), HaveField("BootID", Not(Equal(boot)))))
		Expect(state().Counters).To(And(HaveField("OverloadsWhileCold", int64(1)), HaveField("MaxInFlightWhileCold", int64(2))))
		Expect(outcomes()).To(HaveEach(targetserver.OutcomeCrashed))
	})

	// Guards against a crash that leaves other requests running, and against a
	// restart without a new boot id.
	It("crashes on the configured path and aborts the other running requests", func() {
		settings.MeanServiceTime, settings.Slots = forever, 2
		start()
		boot := state().BootID
		setFaults(targetserver.Faults{CrashOnPath: "poison"})
		bystander := sendAsync(ctx, "/good")
		Eventually(executions).Should(Equal(int64(1)))
		Expect(send(ctx, "/poison/1").Err).To(HaveOccurred())
		Eventually(bystander).Should(Receive(HaveField("Err", HaveOccurred())))
		Eventually(outcomes).Should(Equal([]targetserver.Outcome{targetserver.OutcomeCrashed, targetserver.OutcomeCrashed}))
		Eventually(state).Should(And(HaveField("Up", true), HaveField("BootID", Not(Equal(boot)))))
		_, err := ctl.Restart(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against confirming the cancellation of a request that ran.
	It("confirms a cancellation only if the request has not started", func() {
		settings.MeanServiceTime = forever
		start()
		running := sendAsync(ctx, "/1", "Fulmarhoist-Attempt-Id", attemptA)
		Eventually(executions).Should(Equal(int64(1)))
		waiting := sendAsync(ctx, "/2", "Fulmarhoist-Attempt-Id", attemptB)
		Eventually(inFlight).Should(Equal(int64(2)))

		got := send(ctx, "/fulmarhoist-cancel", "Fulmarhoist-Attempt-Id", attemptB)
		Expect(got.Status).To(Equal(http.StatusOK))
		Expect(got.Header.Get("Fulmarhoist-Not-Run")).To(Equal("1"))
		var refused reply
		Eventually(waiting).Should(Receive(&refused))
		Expect(refused.Header.Get("Fulmarhoist-Not-Run")).To(Equal("1"))

		for _, id := range []string{attemptA, "00000000000000cc"} {
			got = send(ctx, "/fulmarhoist-cancel", "Fulmarhoist-Attempt-Id", id)
			Expect(got.Status).To(Equal(http.StatusConflict))
			Expect(got.Header.Get("Fulmarhoist-Not-Run")).To(BeEmpty())
		}
		Eventually(running).Should(Receive(HaveField("Status", http.StatusInternalServerError)))
		Expect(outcomes()).To(Equal([]targetserver.Outcome{targetserver.OutcomeCanceled, targetserver.OutcomeShed}))
	})

	// Guards against requests that keep running after their client stopped
	// waiting.
	It("stops a request at its deadline and when its connection closes", func() {
		settings.MeanServiceTime = forever
		start()
		got := send(ctx, "/1", "Fulmarhoist-Deadline", "20")
		Expect(got.Status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.Header.Get("Fulmarhoist-Not-Run")).To(BeEmpty())

		disconnectable, disconnect := context.WithCancel(ctx)
		sendAsync(disconnectable, "/2")
		Eventually(executions).Should(Equal(int64(2)))
		got = send(ctx, "/3", "Fulmarhoist-Deadline", "20")
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Fulmarhoist-Not-Run")).To(Equal("1"))
		disconnect()
		Eventually(outcomes).Should(Equal([]targetserver.Outcome{
			targetserver.OutcomeCanceled, targetserver.OutcomeCanceled, targetserver.OutcomeShed,
		}))
	})

	// Guards against a draining server that accepts requests.
	It("refuses new requests while draining", func() {
		start()
		_, err := ctl.Drain(ctx, true)
		Expect(err).NotTo(HaveOccurred())
		got := send(ctx, "/1")
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Fulmarhoist-Draining")).To(Equal("1"))
		Expect(got.Header.Get("Fulmarhoist-Not-Run")).To(Equal("1"))
		response, err := client.Get("http://" + server.Address() + "/fulmarhoist-load")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(state().Counters.LoadProbes).To(Equal(int64(1)))
	})

	// Guards against a load endpoint that reports the load without the
	// configured lag.
	It("reports its load with the configured lag", func() {
		settings.MeanServiceTime, settings.LoadLag = forever, forever
		start()
		sendAsync(ctx, "/1")
		Eventually(inFlight).Should(Equal(int64(1)))
		response, err := client.Get("http://" + server.Address() + "/fulmarhoist-load")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusNoContent))
		Expect(response.Header.Get("Fulmarhoist-Load")).To(Equal("0/1"))
	})

	// Guards against faults that affect too many answers or none.
	It("applies a fault to the configured number of answers", func() {
		start()
		setFaults(targetserver.Faults{MismatchedAnswers: 1})
		Expect(send(ctx, "/1", "Fulmarhoist-Attempt-Id", attemptA).Header.Get("Fulmarhoist-Attempt-Id")).NotTo(Equal(attemptA))
		Expect(send(ctx, "/2", "Fulmarhoist-Attempt-Id", attemptA).Header.Get("Fulmarhoist-Attempt-Id")).To(Equal(attemptA))
		setFaults(targetserver.Faults{TruncateAnswers: 1})
		Expect(send(ctx, "/3").Err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(send(ctx, "/4").Err).NotTo(HaveOccurred())
		setFaults(targetserver.Faults{FailFast: true})
		Expect(send(ctx, "/5").Status).To(Equal(http.StatusInternalServerError))
		setFaults(targetserver.Faults{LateAnswers: 1, LateByMS: 3_600_000})
		cancelable, cancel := context.WithCancel(ctx)
		late := sendAsync(cancelable, "/6")
		Eventually(outcomes).Should(And(HaveLen(6), HaveEach(targetserver.OutcomeAnswered)))
		Consistently(late, "20ms").ShouldNot(Receive())
		cancel()
	})

	// Guards against a silenced connection that closes or still carries answers.
	It("silences open connections and serves new ones", func() {
		start()
		Expect(send(ctx, "/1").Status).To(Equal(http.StatusOK))
		_, err := ctl.Silence(ctx)
		Expect(err).NotTo(HaveOccurred())
		silent := sendAsync(ctx, "/2")
		Consistently(silent, "20ms").ShouldNot(Receive())
		Expect(send(ctx, "/3").Status).To(Equal(http.StatusOK))
		Expect(outcomes()).To(HaveLen(2))
	})

	// Guards against a server that cannot accept connections again after
	// refusing them.
	It("refuses connections and accepts them again at the same address", func() {
		start()
		setFaults(targetserver.Faults{RefuseConnections: true})
		Expect(send(ctx, "/1").Err).To(MatchError(ContainSubstring("connection refused")))
		setFaults(targetserver.Faults{})
		Expect(send(ctx, "/2").Status).To(Equal(http.StatusOK))
	})
})
