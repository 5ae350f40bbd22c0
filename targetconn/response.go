package targetconn

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fulmarhoist.example/hop"
)

// Response is a target's final response. Body is complete unless Rest is set,
// which then yields the remainder and must be closed.
type Response struct {
	HTTP *http.Response
	Body []byte
	Rest io.ReadCloser

	streamed *streamedBody // Rest as readLoop knows it; nil if Body is complete
}

// readUnsolicited reads the head of a response that arrived on an idle connection.
// It belongs to no request, but may say that the target is leaving.
func (c *Conn) readUnsolicited() {
	_ = c.conn.SetReadDeadline(time.Now().Add(unsolicitedTimeout))
	if head, err := http.ReadResponse(c.reader, nil); err == nil {
		c.notify(head)
	}
}

// notify passes the head of a response to OnResponse.
func (c *Conn) notify(head *http.Response) {
	if c.options.OnResponse != nil {
		c.options.OnResponse(head)
	}
}

// readResponse reads a final response, skipping informational ones; the limit on
// the header applies to all of them together. A body longer than the request's
// BodyLimit is read only in part.
func (c *Conn) readResponse(pending *call) (*Response, error) {
	for {
		head, err := http.ReadResponse(c.reader, pending.httpRequest)
		if err != nil {
			return nil, &BrokenError{Problem: "no valid response header", Err: err}
		}
		c.notify(head)
		if head.StatusCode < http.StatusOK {
			if head.StatusCode == http.StatusSwitchingProtocols {
				return nil, &BrokenError{Problem: "switched to another protocol"}
			}
			continue
		}
		c.limit.SetLimit(hop.Unlimited)
		body := hop.NewBodyBuffer(c.options.Buffers, pending.request.bodyLimit(head))
		complete, err := body.Fill(head.Body)
		if err != nil {
			body.Release()
			return nil, &BrokenError{Problem: "response body ended early", Err: err}
		}
		response := &Response{HTTP: head, Body: body.Data}
		if complete {
			body.Release()
		} else {
			response.streamed = &streamedBody{ReadCloser: head.Body, buffer: body, complete: make(chan bool, 1)}
			response.Rest = response.streamed
		}
		return response, nil
	}
}

// discard closes the unread rest of a response.
func (r *Response) discard() {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
}

// updateKeepAlive reports whether the target keeps the connection open after the
// response, and sets idleTimeout from the Keep-Alive header.
func (c *Conn) updateKeepAlive(response *Response) bool {
	head := response.HTTP
	if head.Close {
		return false
	}
	for field := range strings.SplitSeq(head.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			// The margin of 0.5 s lets a request arrive before the target
			// closes.
			c.idleTimeout = max(time.Millisecond, time.Duration(seconds)*time.Second-500*time.Millisecond)
		}
	}
	return true
}

// streamedBody is the unread rest of a long response. It tells readLoop how the
// body ended.
type streamedBody struct {
	io.ReadCloser
	buffer   *hop.BodyBuffer // the part of the body before the rest
	complete chan bool       // receives whether the body was read to its end; capacity 1
	onEnd    func() bool     // stops closing the connection at the end of the context
	done     bool
}

func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. It does not close the underlying body, which would
// read it to its end.
func (s *streamedBody) Close() error {
	s.finish(false)
	return nil
}

func (s *streamedBody) finish(complete bool) {
	if !s.done {
		s.done = true
		if s.onEnd != nil {
			s.onEnd()
		}
		s.buffer.Release()
		s.complete <- complete
	}
}
