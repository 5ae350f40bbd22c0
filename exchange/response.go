package exchange

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"fulmarhoist.example/contract"
)

// Response is the response of a target for the caller. A body of up to
// contract.MaxAnswerBytes has been read completely; a longer one starts in Body
// and continues in Rest.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser // nil if Body is the whole body
}

// InvalidResponseError reports a response that ended early, has no stated end or
// no final status, or belongs to another attempt.
type InvalidResponseError struct {
	Problem string
	Err     error
}

func (e *InvalidResponseError) Error() string {
	if e.Err == nil {
		return "invalid response from target: " + e.Problem
	}
	return fmt.Sprintf("invalid response from target: %s: %v", e.Problem, e.Err)
}

func (e *InvalidResponseError) Unwrap() error { return e.Err }

// checkAttemptID rejects a response that names another attempt.
func checkAttemptID(response *http.Response, attemptID string) error {
	if echoed := response.Header.Get(headerAttemptID); echoed != "" && echoed != attemptID {
		return &InvalidResponseError{Problem: fmt.Sprintf("belongs to attempt %q, want %q", echoed, attemptID)}
	}
	return nil
}

// readResponse reads the first part of a response body. It rejects a body that
// neither is chunked nor has a length: the body would end with the connection,
// so that a truncated one would look complete.
func readResponse(response *http.Response) (*Response, error) {
	if response.StatusCode < http.StatusOK {
		return nil, &InvalidResponseError{Problem: fmt.Sprintf("status %d is not final", response.StatusCode)}
	}
	chunked := len(response.TransferEncoding) > 0
	bodiless := response.Request != nil && response.Request.Method == http.MethodHead
	if response.ContentLength < 0 && !chunked && !bodiless {
		return nil, &InvalidResponseError{Problem: "has neither a length nor chunks"}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, contract.MaxAnswerBytes+1))
	if err != nil {
		return nil, &InvalidResponseError{Problem: "ended early", Err: err}
	}
	r := &Response{Status: response.StatusCode, Header: response.Header, Body: data}
	if len(data) > contract.MaxAnswerBytes {
		r.Rest = response.Body
	}
	return r, nil
}

// streamedBody is the rest of a long response body. It returns the link when it
// has been read to the end, and closes the link otherwise.
type streamedBody struct {
	io.ReadCloser
	finish func(whole bool, at time.Time)
	done   bool
}

func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.end(err == io.EOF)
	}
	return n, err
}

func (s *streamedBody) Close() error {
	s.end(false)
	return s.ReadCloser.Close()
}

func (s *streamedBody) end(whole bool) {
	if s.done {
		return
	}
	s.done = true
	s.finish(whole, time.Now())
}
