package targetserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fulmarhoist.example/internal/standin/endpoint"
)

// Headers of docs/protocol.md, section 2.
const (
	headerAttempt  = "Fulmarhoist-Attempt-Id"
	headerBoot     = "Fulmarhoist-Boot-Id"
	headerClass    = "Fulmarhoist-Class"
	headerDeadline = "Fulmarhoist-Deadline"
	headerDraining = "Fulmarhoist-Draining"
	headerInstance = "Fulmarhoist-Instance"
	headerKey      = "Fulmarhoist-Request-Key"
	headerLoad     = "Fulmarhoist-Load"
	headerNotRun   = "Fulmarhoist-Not-Run"
)

// maxPaddingBytes bounds the padding of an answer, which a request asks for
// with the query parameter pad.
const maxPaddingBytes = 64 << 20

// Answer is the body of an answer. It echoes the request, so that a test can
// check that a caller received the complete answer to its own request.
type Answer struct {
	Service    string `json:"service"`
	RequestKey string `json:"request_key"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Padding    string `json:"padding,omitempty"`
}

// Bytes returns the encoded answer as the server sends it, or nil if the answer
// cannot be encoded.
func (a Answer) Bytes() []byte {
	data, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return append(data, '\n')
}

// ExpectedAnswer returns the expected answer to a request with the given body,
// with pad bytes of padding.
func ExpectedAnswer(service, key, path string, body []byte, pad int) Answer {
	sum := sha256.Sum256(body)
	return Answer{
		Service:    service,
		RequestKey: key,
		Path:       path,
		BodySHA256: hex.EncodeToString(sum[:]),
		Padding:    strings.Repeat("x", pad),
	}
}

// serve handles the requests on the public port. It aborts requests whose
// process has crashed.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	p, ok := r.Context().Value(processKey{}).(*process)
	if !ok || p.crashed() {
		endpoint.ResetConnection(w)
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/fulmarhoist-load":
		s.serveLoad(w, p)
	case r.Method == http.MethodPost && r.URL.Path == "/fulmarhoist-cancel":
		s.serveCancel(w, r, p)
	default:
		s.serveRequest(w, r, p)
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, p *process) {
	s.journal.countLoadProbe()
	s.setHeaders(w, p)
	w.Header().Set(headerLoad, s.loadHeader(p.load.delayed(time.Now())))
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveCancel cancels an attempt. The answer has status 200 if the attempt
// never ran and never will, and 409 otherwise.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request, p *process) {
	s.journal.countCancel()
	s.setHeaders(w, p)
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if id == "" || !p.cancelAttempt(id) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusOK)
}

// setHeaders sets the headers that every answer carries.
func (s *Server) setHeaders(w http.ResponseWriter, p *process) {
	h := w.Header()
	h.Set(headerBoot, p.bootID)
	h.Set(headerLoad, s.loadHeader(p.inFlight.Load()))
	if s.draining.Load() {
		h.Set(headerDraining, "1")
		h.Set("Connection", "close")
	}
}

// loadHeader returns the value of the load header: requests in flight and
// slots, unless a fault replaces it.
func (s *Server) loadHeader(inFlight int64) string {
	if report := s.faults.load().LoadReport; report != "" {
		return report
	}
	return fmt.Sprintf("%d/%d", inFlight, s.settings.Slots)
}

// inboundRequest is a request that the server is handling.
type inboundRequest struct {
	server     *Server
	process    *process
	entry      *Entry
	w          http.ResponseWriter
	r          *http.Request
	attempt    *attempt
	bodySHA256 string // hexadecimal digest of the request body
}

// serveRequest admits, runs and answers a request, or refuses it.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, p *process) {
	req := &inboundRequest{server: s, process: p, w: w, r: r, attempt: &attempt{}}
	req.entry = s.journal.add(Entry{
		Arrived:    time.Now(),
		RequestKey: r.Header.Get(headerKey),
		Class:      r.Header.Get(headerClass),
		AttemptID:  r.Header.Get(headerAttempt),
		Instance:   r.Header.Get(headerInstance),
		BootID:     p.bootID,
		Method:     r.Method,
		Path:       r.URL.Path,
	})
	if s.draining.Load() {
		req.refuse()
		return
	}
	if s.faults.load().FailFast {
		s.journal.markStarted(req.entry)
		s.journal.finish(req.entry, OutcomeAnswered)
		req.fail(http.StatusInternalServerError, "the target fails fast")
		return
	}
	now := time.Now()
	inFlight, admission := p.enter(now)
	if p.isCold(now) && admission != queueFull {
		s.journal.observeColdInFlight(inFlight)
	}
	switch admission {
	case queueFull:
		req.refuse()
	case overloaded:
		if s.crashProcess(p) {
			s.journal.addOverload(Overload{At: now, BootID: p.bootID, InFlight: inFlight})
		}
		req.abortByCrash()
	case admitted:
		req.run()
	}
}

// run executes the request and answers it.
func (req *inboundRequest) run() {
	ctx, cancel := req.context()
	defer cancel()
	req.attempt.cancel = cancel
	if id := req.entry.AttemptID; id != "" {
		req.process.attempts.Store(id, req.attempt)
		defer req.process.attempts.Delete(id)
	}
	outcome, status := req.execute(ctx)
	req.process.leave(time.Now())
	if req.process.crashed() {
		req.abortByCrash()
	}
	req.server.journal.finish(req.entry, outcome)
	switch outcome {
	case OutcomeShed:
		req.refuse()
	case OutcomeCanceled:
		req.fail(status, "the request was canceled while it ran")
	default:
		req.writeAnswer()
	}
}

// context returns a context that ends with the connection, the process or the
// request's deadline.
func (req *inboundRequest) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(req.r.Context())
	stop := context.AfterFunc(req.process.lifetime, cancel)
	release := func() { stop(); cancel() }
	ms, err := strconv.ParseInt(req.r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return ctx, release
	}
	limited, cancelTimeout := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	return limited, func() { cancelTimeout(); release() }
}

// execute reads the body, waits for a slot and then waits for the service time.
func (req *inboundRequest) execute(ctx context.Context) (Outcome, int) {
	hash := sha256.New()
	if _, err := io.Copy(hash, req.r.Body); err != nil {
		return OutcomeShed, 0
	}
	req.bodySHA256 = hex.EncodeToString(hash.Sum(nil))
	select {
	case req.process.slots <- struct{}{}:
	case <-ctx.Done():
		return OutcomeShed, 0
	}
	defer func() { <-req.process.slots }()
	// The context may have ended as well when the slot became free.
	if ctx.Err() != nil || !req.attempt.state.CompareAndSwap(attemptWaiting, attemptStarted) {
		return OutcomeShed, 0
	}
	req.server.journal.markStarted(req.entry)
	faults := req.server.faults.load()
	if faults.CrashOnPath != "" && strings.Contains(req.r.URL.Path, faults.CrashOnPath) {
		req.abortByCrash()
	}
	serviceTime := req.server.serviceTimes.sample()
	if faults.SlowFactor > 0 {
		serviceTime = time.Duration(float64(serviceTime) * faults.SlowFactor)
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return OutcomeAnswered, http.StatusOK
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return OutcomeCanceled, http.StatusGatewayTimeout
		}
		return OutcomeCanceled, http.StatusInternalServerError
	}
}

// abortByCrash crashes the process, if it has not crashed yet, and resets the
// connection of the request.
func (req *inboundRequest) abortByCrash() {
	req.server.crashProcess(req.process)
	req.server.journal.finish(req.entry, OutcomeCrashed)
	endpoint.ResetConnection(req.w)
}

// refuse answers with status 503 and the header that the request did not run
// and never will.
func (req *inboundRequest) refuse() {
	req.server.journal.finish(req.entry, OutcomeShed)
	req.server.setHeaders(req.w, req.process)
	req.w.Header().Set(headerAttempt, req.entry.AttemptID)
	req.w.Header().Set(headerNotRun, "1")
	req.w.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers with an error about a request that may have run.
func (req *inboundRequest) fail(status int, problem string) {
	req.server.setHeaders(req.w, req.process)
	req.w.Header().Set(headerAttempt, req.entry.AttemptID)
	endpoint.WriteJSON(req.w, status, endpoint.Problem{Problem: problem})
}
