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

// RefusalBody is the JSON body of a response with an outcome other than
// "answered".
type RefusalBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Field        string `json:"field,omitempty"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Owner        string `json:"owner,omitempty"`
}

// outcomeInvalid is the outcome of a request that is rejected as malformed. It
// has no contract.Outcome because such a request has no contract.
const outcomeInvalid = "invalid"

// statusOf returns the HTTP status of a refusal.
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

// writeRefusal writes the response to a refused request.
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

// writeNotKept reports that a request was answered, but its response is no
// longer available. An empty body would be mistaken for the complete response.
func writeNotKept(w http.ResponseWriter) {
	writeBody(w, http.StatusGone, &RefusalBody{
		Outcome: string(contract.ReasonAnswerNotKept),
		Reason:  string(contract.ReasonAnswerNotKept),
		Detail:  "the request ran and was answered; the answer is too long to be kept",
	})
}

// writeInvalid writes the rejection of an invalid request.
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

// writeBody writes a response with an outcome other than "answered".
func writeBody(w http.ResponseWriter, status int, body *RefusalBody) {
	w.Header().Set(headerOutcome, body.Outcome)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeResponse writes the response of a target. If the rest of the body cannot
// be copied, it aborts the connection to the caller, so that a truncated
// response never looks complete.
func writeResponse(w http.ResponseWriter, attempts int, response *exchange.Response) {
	header := w.Header()
	for name, values := range endToEndHeaders(response.Header) {
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

// defaultTransferTimeout limits the time for reading a request and for writing
// the response to it, for the directory, health, metrics and rejected requests.
// Requests to services have a deadline and get their own limits; see
// limitTransfer. Without these limits, a caller that stops sending or reading
// would block a graceful shutdown.
const defaultTransferTimeout = 10 * time.Second

// NewServer returns the HTTP server for callers. It serves HTTP/1.1 and HTTP/2
// without TLS, and limits the size of headers and the time for headers,
// transfers and idle connections.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       defaultTransferTimeout,
		WriteTimeout:      defaultTransferTimeout,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
}
