package exchange

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"fulmarhoist.example/contract"
)

// Response is a target's answer on its way to the caller. Up to
// contract.MaxAnswerBytes of the body were read and are known to be whole;
// a longer body continues in Rest.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser // nil if Body is whole
}

// IncompleteError reports an answer that ended early, has no stated end, or
// belongs to another attempt.
type IncompleteError struct {
	Problem string
	Err     error
}

func (e *IncompleteError) Error() string {
	if e.Err == nil {
		return "answer of the target: " + e.Problem
	}
	return fmt.Sprintf("answer of the target: %s: %v", e.Problem, e.Err)
}

func (e *IncompleteError) Unwrap() error { return e.Err }

// checkEcho refuses an answer that names another attempt.
func checkEcho(response *http.Response, attemptID string) error {
	if echoed := response.Header.Get(headerAttemptID); echoed != "" && echoed != attemptID {
		return &IncompleteError{Problem: "belongs to another attempt"}
	}
	return nil
}

// readResponse reads the first part of an answer's body. A body that is neither
// chunked nor has a length would end with the connection, and a cut one would
// look whole; it is refused.
func readResponse(response *http.Response) (*Response, error) {
	if response.StatusCode < http.StatusOK {
		return nil, &IncompleteError{Problem: "has no final status"}
	}
	chunked := len(response.TransferEncoding) > 0
	bodiless := response.Request != nil && response.Request.Method == http.MethodHead
	if response.ContentLength < 0 && !chunked && !bodiless {
		return nil, &IncompleteError{Problem: "has neither a length nor chunks"}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, contract.MaxAnswerBytes+1))
	if err != nil {
		return nil, &IncompleteError{Problem: "ended early", Err: err}
	}
	r := &Response{Status: response.StatusCode, Header: response.Header, Body: data}
	if len(data) > contract.MaxAnswerBytes {
		r.Rest = response.Body
	}
	return r, nil
}

// streamed is the rest of a long answer. It gives the link back when it was read
// to the end and closes it otherwise.
type streamed struct {
	io.ReadCloser
	finish func(whole bool, at time.Time)
	done   bool
}

func (s *streamed) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.end(err == io.EOF)
	}
	return n, err
}

func (s *streamed) Close() error {
	s.end(false)
	return s.ReadCloser.Close()
}

func (s *streamed) end(whole bool) {
	if s.done {
		return
	}
	s.done = true
	s.finish(whole, time.Now())
}
