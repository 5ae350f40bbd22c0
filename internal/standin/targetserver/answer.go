package targetserver

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// writeAnswer sends the answer to a request that has finished, with the answer
// faults in force applied.
func (req *inboundRequest) writeAnswer() {
	s := req.server
	if s.faults.consume(lateAnswers) && !req.delayAnswer(time.Duration(s.faults.load().LateByMS)*time.Millisecond) {
		return
	}
	padding, err := strconv.Atoi(req.r.URL.Query().Get("pad"))
	if err != nil {
		padding = 0
	}
	answer := Answer{
		Service:    s.settings.Service,
		RequestKey: req.entry.RequestKey,
		Path:       req.entry.Path,
		BodySHA256: req.bodySHA256,
		Padding:    strings.Repeat("x", min(max(padding, 0), maxPaddingBytes)),
	}
	attemptID := req.entry.AttemptID
	if s.faults.consume(mismatchedAnswers) {
		attemptID = differentAttemptID(attemptID)
		answer.RequestKey = "another-request"
	}
	req.writeBody(attemptID, answer.Bytes())
}

// writeBody sends a successful answer, or only its first half if the fault for
// truncated answers applies.
func (req *inboundRequest) writeBody(attemptID string, body []byte) {
	req.server.setHeaders(req.w, req.process)
	h := req.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if attemptID != "" {
		h.Set(headerAttempt, attemptID)
	}
	req.w.WriteHeader(http.StatusOK)
	if !req.server.faults.consume(truncateAnswers) {
		_, _ = req.w.Write(body)
		return
	}
	_, _ = req.w.Write(body[:len(body)/2])
	_ = http.NewResponseController(req.w).Flush()
	// The connection closes before all bytes that Content-Length announced are
	// sent.
	panic(http.ErrAbortHandler)
}

// delayAnswer waits before an answer is sent. It returns false if the request's
// context ends first, for example because the client has disconnected.
func (req *inboundRequest) delayAnswer(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-req.r.Context().Done():
		return false
	}
}

// differentAttemptID returns an attempt id that differs from id and has the
// same format.
func differentAttemptID(id string) string {
	if strings.HasSuffix(id, "0") {
		return strings.TrimSuffix(id, "0") + "1"
	}
	if id == "" {
		return "0000000000000000"
	}
	return id[:len(id)-1] + "0"
}
