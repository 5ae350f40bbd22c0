package targetserver

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer sends the answer of a finished execution, spoiled as the faults say.
func (v *visit) answer() {
	s := v.server
	if s.faults.take(lateAnswers) && !v.hold(time.Duration(s.faults.load().LateByMS)*time.Millisecond) {
		return
	}
	pad, err := strconv.Atoi(v.r.URL.Query().Get("pad"))
	if err != nil {
		pad = 0
	}
	answer := Answer{
		Service:    s.settings.Service,
		RequestKey: v.entry.RequestKey,
		Path:       v.entry.Path,
		BodySHA256: v.body,
		Padding:    strings.Repeat("x", min(max(pad, 0), maxPad)),
	}
	attemptID := v.entry.AttemptID
	if s.faults.take(crossAnswers) {
		attemptID = anotherAttempt(attemptID)
		answer.RequestKey = "another-request"
	}
	v.send(attemptID, answer.Bytes())
}

func (v *visit) send(attemptID string, body []byte) {
	v.server.setHeaders(v.w, v.process)
	h := v.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if attemptID != "" {
		h.Set(headerAttempt, attemptID)
	}
	v.w.WriteHeader(http.StatusOK)
	if !v.server.faults.take(truncateAnswers) {
		_, _ = v.w.Write(body)
		return
	}
	_, _ = v.w.Write(body[:len(body)/2])
	_ = http.NewResponseController(v.w).Flush()
	// Closes the connection before the announced length has been sent.
	panic(http.ErrAbortHandler)
}

// hold waits before an answer is sent. It returns false if the connection
// broke in the meantime.
func (v *visit) hold(late time.Duration) bool {
	timer := time.NewTimer(late)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-v.r.Context().Done():
		return false
	}
}

// anotherAttempt gives an attempt id of the same form that differs from id.
func anotherAttempt(id string) string {
	if strings.HasSuffix(id, "0") {
		return strings.TrimSuffix(id, "0") + "1"
	}
	if id == "" {
		return "0000000000000000"
	}
	return id[:len(id)-1] + "0"
}
