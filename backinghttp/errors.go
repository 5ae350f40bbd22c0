// Package backinghttp holds HTTP clients of the log service and
// instance list. docs/protocol.md, section 3, gives the wire format.
package backinghttp

import "fmt"

// SettingError reports a setting that a client cannot work with.
type SettingError struct {
	Name    string
	Problem string
}

func (e *SettingError) Error() string { return fmt.Sprintf("%s: %s", e.Name, e.Problem) }

// StatusError reports a response with a status that the protocol does not give
// a meaning for the operation.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// SizeError reports a response body above the limit.
type SizeError struct {
	Limit int64
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("the response is larger than %d bytes", e.Limit)
}

// MalformedError reports a response that contradicts the protocol.
type MalformedError struct {
	Problem string
}

func (e *MalformedError) Error() string { return "malformed response: " + e.Problem }
