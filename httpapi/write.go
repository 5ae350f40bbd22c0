package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"fulmarhoist.example/contract"
	"fulmarhoist.example/exchange"
)

// RefusalBody is the JSON body of every outcome other than an answer.
type RefusalBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Field        string `json:"field,omitempty"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Owner        string `json:"owner,omitempty"`
}

const outcomeInvalid = "invalid"

func statusOf(refusal *contract.Refusal) int {
	switch refusal.Outcome {
	case contract.OutcomeNotRun:
		switch refusal.Reason {
		case contract.ReasonDeadline:
			return http.StatusGatewayTimeout
		case contract.ReasonBodyTooLarge:
			return http.StatusRequestEntityTooLarge
		default:
			return http.StatusServiceUnavailable
		}
	case contract.OutcomeTooOld:
		return http.StatusConflict
	case contract.OutcomeCrashesTargets:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusBadGateway
	}
}

func writeRefusal(w http.ResponseWriter, attempts int, refusal *contract.Refusal) {
	setAttempts(w, attempts)
	if refusal.RetryAfter > 0 {
		seconds := int64(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeBody(w, statusOf(refusal), &RefusalBody{
		Outcome:      refusal.Outcome.String(),
		Reason:       string(refusal.Reason),
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Owner:        refusal.Owner,
	})
}

// writeNotKept tells that a request was answered but its answer is not held any
// more. An empty body would look like the whole answer.
func writeNotKept(w http.ResponseWriter) {
	writeBody(w, http.StatusGone, &RefusalBody{
		Outcome: string(contract.ReasonAnswerNotKept),
		Reason:  string(contract.ReasonAnswerNotKept),
		Detail:  "the request ran and was answered; the answer is too long to be kept",
	})
}

func writeInvalid(w http.ResponseWriter, err error) {
	status, body := http.StatusBadRequest, &RefusalBody{Outcome: outcomeInvalid, Reason: "bad-request", Detail: err.Error()}
	var bad *BadRequestError
	var field *contract.FieldError
	switch {
	case errors.As(err, &bad):
		status, body.Field, body.Detail = bad.Status, bad.Field.Field, bad.Field.Problem
	case errors.As(err, &field):
		body.Field, body.Detail = field.Field, field.Problem
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body *RefusalBody) {
	w.Header().Set(headerOutcome, body.Outcome)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeResponse writes a target's answer. If the rest of a long answer breaks,
// the connection to the caller is aborted, so that the answer never looks whole.
func writeResponse(w http.ResponseWriter, attempts int, response *exchange.Response) {
	header := w.Header()
	for name, values := range passOn(response.Header) {
		header[name] = values
	}
	header.Set(headerOutcome, contract.OutcomeAnswered.String())
	setAttempts(w, attempts)
	w.WriteHeader(response.Status)
	_, err := w.Write(response.Body)
	if response.Rest == nil {
		return
	}
	defer func() { _ = response.Rest.Close() }()
	if err == nil {
		_, err = io.Copy(w, response.Rest)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// commonTimeout bounds the transfer of a request that names no deadline, and of
// its answer: the directory, health, metrics and refusals. A request to a target
// gets its own bounds. Without them, a caller that stops to send or to read would
// hold up a planned stop.
const commonTimeout = 10 * time.Second

// NewServer returns the HTTP server for callers, with HTTP/1.1 and HTTP/2 over
// plain TCP and bounds on headers, transfers and idle connections.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       commonTimeout,
		WriteTimeout:      commonTimeout,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
}
