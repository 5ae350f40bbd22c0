// Package backinghttp implements the interfaces of package backing as HTTP
// clients of the log service and the instance list. The wire format is
// specified in docs/protocol.md, section 3.
package backinghttp

import "fmt"

// SettingError reports an invalid setting of a client.
type SettingError struct {
	Name    string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("%s: %s", e.Name, e.Problem) }

// StatusError reports a response with a status that the protocol does not
// define for the operation.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// ResponseSizeError reports a response body that is larger than the limit.
type ResponseSizeError struct {
	Limit int64 // bytes
}

func (e *ResponseSizeError) Error() string {
	return fmt.Sprintf("response body is larger than the limit of %d bytes", e.Limit)
}

// MalformedResponseError reports a response that violates the protocol.
type MalformedResponseError struct {
	Problem string
}

func (e *MalformedResponseError) Error() string { return "malformed response: " + e.Problem }
