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

// maxPad bounds the padding that a request may ask for.
const maxPad = 64 << 20

// Answer is the body of an answer. It echoes the request, so that a test can
// tell whether a caller got the whole answer to its own request.
type Answer struct {
	Service    string `json:"service"`
	RequestKey string `json:"request_key"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Padding    string `json:"padding,omitempty"`
}

// Bytes is the answer as it is sent.
func (a Answer) Bytes() []byte {
	data, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return append(data, '\n')
}

// AnswerFor gives the answer to a request with this body and padding.
func AnswerFor(service, key, path string, body []byte, pad int) Answer {
	sum := sha256.Sum256(body)
	return Answer{
		Service:    service,
		RequestKey: key,
		Path:       path,
		BodySHA256: hex.EncodeToString(sum[:]),
		Padding:    strings.Repeat("x", pad),
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	p, ok := r.Context().Value(processKey{}).(*process)
	if !ok || p.crashed() {
		endpoint.Abort(w)
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
	s.record.loadProbe()
	s.setHeaders(w, p)
	w.Header().Set(headerLoad, s.loadReport(p.load.lagging(time.Now())))
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request, p *process) {
	s.record.cancel()
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

func (s *Server) setHeaders(w http.ResponseWriter, p *process) {
	h := w.Header()
	h.Set(headerBoot, p.bootID)
	h.Set(headerLoad, s.loadReport(p.inside.Load()))
	if s.draining.Load() {
		h.Set(headerDraining, "1")
		h.Set("Connection", "close")
	}
}

func (s *Server) loadReport(inside int64) string {
	if report := s.faults.load().LoadReport; report != "" {
		return report
	}
	return fmt.Sprintf("%d/%d", inside, s.settings.Slots)
}

// visit is one request on its way through the server.
type visit struct {
	server  *Server
	process *process
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	attempt *attempt
	body    string // hexadecimal SHA-256 of the request's body
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, p *process) {
	v := &visit{server: s, process: p, w: w, r: r, attempt: &attempt{}}
	v.entry = s.record.open(Entry{
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
		v.refuse()
		return
	}
	if s.faults.load().FailFast {
		s.record.start(v.entry)
		s.record.end(v.entry, OutcomeAnswered)
		v.fail(http.StatusInternalServerError, "the target fails fast")
		return
	}
	now := time.Now()
	inside, admission := p.enter(now)
	if p.cold(now) && admission != noRoom {
		s.record.insideWhileCold(inside)
	}
	switch admission {
	case noRoom:
		v.refuse()
	case overloaded:
		if s.crashProcess(p) {
			s.record.overload(Overload{At: now, BootID: p.bootID, Inside: inside})
		}
		v.crash()
	case admitted:
		v.run()
	}
}

// run executes the request and answers it.
func (v *visit) run() {
	ctx, cancel := v.context()
	defer cancel()
	v.attempt.cancel = cancel
	if id := v.entry.AttemptID; id != "" {
		v.process.attempts.Store(id, v.attempt)
		defer v.process.attempts.Delete(id)
	}
	outcome, status := v.execute(ctx)
	v.process.leave(time.Now())
	if v.process.crashed() {
		v.crash()
	}
	v.server.record.end(v.entry, outcome)
	switch outcome {
	case OutcomeShed:
		v.refuse()
	case OutcomeCanceled:
		v.fail(status, "the request was canceled while it ran")
	default:
		v.answer()
	}
}

// context ends with the connection, the process, or the request's deadline.
func (v *visit) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(v.r.Context())
	stop := context.AfterFunc(v.process.alive, cancel)
	done := func() { stop(); cancel() }
	ms, err := strconv.ParseInt(v.r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return ctx, done
	}
	limited, release := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	return limited, func() { release(); done() }
}

// execute reads the body, waits for a slot and spends the service time.
func (v *visit) execute(ctx context.Context) (Outcome, int) {
	hash := sha256.New()
	if _, err := io.Copy(hash, v.r.Body); err != nil {
		return OutcomeShed, 0
	}
	v.body = hex.EncodeToString(hash.Sum(nil))
	select {
	case v.process.slots <- struct{}{}:
	case <-ctx.Done():
		return OutcomeShed, 0
	}
	defer func() { <-v.process.slots }()
	// Both cases of the select may have been ready.
	if ctx.Err() != nil || !v.attempt.state.CompareAndSwap(attemptWaiting, attemptStarted) {
		return OutcomeShed, 0
	}
	v.server.record.start(v.entry)
	faults := v.server.faults.load()
	if faults.CrashOnPath != "" && strings.Contains(v.r.URL.Path, faults.CrashOnPath) {
		v.crash()
	}
	took := v.server.times.draw()
	if faults.SlowFactor > 0 {
		took = time.Duration(float64(took) * faults.SlowFactor)
	}
	timer := time.NewTimer(took)
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

// crash takes the process down and breaks the connection of the request.
func (v *visit) crash() {
	v.server.crashProcess(v.process)
	v.server.record.end(v.entry, OutcomeCrashed)
	endpoint.Abort(v.w)
}

// refuse answers that the request did not run and will not.
func (v *visit) refuse() {
	v.server.record.end(v.entry, OutcomeShed)
	v.server.setHeaders(v.w, v.process)
	v.w.Header().Set(headerAttempt, v.entry.AttemptID)
	v.w.Header().Set(headerNotRun, "1")
	v.w.WriteHeader(http.StatusServiceUnavailable)
}

func (v *visit) fail(status int, problem string) {
	v.server.setHeaders(v.w, v.process)
	v.w.Header().Set(headerAttempt, v.entry.AttemptID)
	endpoint.Reply(v.w, status, endpoint.Problem{Problem: problem})
}
