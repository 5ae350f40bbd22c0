package httpapi

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"fulmarhoist.example/config"
	"fulmarhoist.example/contract"
	"fulmarhoist.example/hop"
	"fulmarhoist.example/service"
)

// Headers of requests from callers and of responses to them.
const (
	headerService  = "Fulmarhoist-Service"
	headerClass    = "Fulmarhoist-Class"
	headerKey      = "Fulmarhoist-Request-Key"
	headerDeadline = "Fulmarhoist-Deadline"
	headerDepth    = "Fulmarhoist-Depth"
	headerRetries  = "Fulmarhoist-Retries-Left"
	headerOutcome  = "Fulmarhoist-Outcome"
	headerInstance = "Fulmarhoist-Instance"
	headerAttempts = "Fulmarhoist-Attempts"
	headerReplayed = "Fulmarhoist-Replayed"
	headerPrefix   = "Fulmarhoist-"
)

// defaultRetries is the retry allowance of a request without a Retries-Left
// header. Half of it is used at this level, so that a request succeeds even if
// one target crashes and another sheds it; the other half is forwarded with the
// request.
const defaultRetries = 4

// maxRetries is the largest retry allowance that a caller may send.
const maxRetries = 10

// acceptedRequest is a request whose headers have been validated.
type acceptedRequest struct {
	terms   contract.Terms
	service *service.Service
	class   *config.Class
}

// BadRequestError reports an invalid request. Nothing was sent to a target.
// Status is the HTTP status of the response.
type BadRequestError struct {
	Status int
	Field  contract.FieldError
}

func (e *BadRequestError) Error() string { return e.Field.Error() }

// badRequest returns a BadRequestError for a field.
func badRequest(status int, field, problem string) error {
	return &BadRequestError{Status: status, Field: contract.FieldError{Field: field, Problem: problem}}
}

// readTerms reads the terms of a request from its headers and validates them.
// It returns a BadRequestError if the request is invalid.
func readTerms(r *http.Request, snapshot *service.Snapshot, now time.Time) (*acceptedRequest, error) {
	if r.Method == http.MethodConnect {
		return nil, badRequest(http.StatusBadRequest, "method", "CONNECT is not supported")
	}
	if r.Header.Get("Upgrade") != "" {
		return nil, badRequest(http.StatusBadRequest, "Upgrade", "protocol upgrades are not supported")
	}
	name := r.Header.Get(headerService)
	if name == "" {
		return nil, badRequest(http.StatusBadRequest, headerService, "is missing")
	}
	svc, known := snapshot.Service(name)
	if !known {
		return nil, badRequest(http.StatusNotFound, headerService, "names no configured service")
	}
	spec, _ := snapshot.State.Config.Service(name)
	class, known := spec.Class(r.Header.Get(headerClass))
	if !known {
		return nil, badRequest(http.StatusBadRequest, headerClass, "names no class of the service")
	}
	a := &acceptedRequest{service: svc, class: class}
	a.terms = contract.Terms{Service: name, Class: class.Name, Idempotent: class.Idempotent}
	if err := a.readKey(r); err != nil {
		return nil, err
	}
	if err := a.readNumbers(r, now); err != nil {
		return nil, err
	}
	if r.ContentLength > class.MaxBodyBytes {
		return nil, badRequest(http.StatusRequestEntityTooLarge, "body", fmt.Sprintf("is longer than %d bytes", class.MaxBodyBytes))
	}
	return a, nil
}

// readKey reads the request key, which requests of idempotent classes do not
// have.
func (a *acceptedRequest) readKey(r *http.Request) error {
	if a.class.Idempotent {
		return nil
	}
	text := r.Header.Get(headerKey)
	if text == "" {
		return badRequest(http.StatusBadRequest, headerKey, "is missing; requests of this class must have one")
	}
	key, err := contract.ParseKey(text)
	if err != nil {
		var field *contract.FieldError
		if errors.As(err, &field) {
			return badRequest(http.StatusBadRequest, headerKey, field.Error())
		}
		return badRequest(http.StatusBadRequest, headerKey, err.Error())
	}
	a.terms.Key = key
	return nil
}

// readNumbers reads the deadline, depth and retry allowance.
func (a *acceptedRequest) readNumbers(r *http.Request, now time.Time) error {
	limit := a.class.Deadline()
	remaining, err := readNumber(r, headerDeadline, 1, 24*time.Hour.Milliseconds(), limit.Milliseconds())
	if err != nil {
		return err
	}
	a.terms.Deadline = now.Add(min(limit, time.Duration(remaining)*time.Millisecond))
	depth, err := readNumber(r, headerDepth, 0, contract.MaxDepth, 0)
	if err != nil {
		return err
	}
	a.terms.Depth = int(depth)
	retries, err := readNumber(r, headerRetries, 0, maxRetries, defaultRetries)
	a.terms.Retries = int(retries)
	return err
}

// readNumber returns the number in a header, or defaultValue if the header is
// missing. It returns an error if the number is not from minimum to maximum.
func readNumber(r *http.Request, header string, minimum, maximum, defaultValue int64) (int64, error) {
	text := r.Header.Get(header)
	if text == "" {
		return defaultValue, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < minimum || number > maximum {
		return 0, badRequest(http.StatusBadRequest, header, fmt.Sprintf("is not a whole number from %d to %d", minimum, maximum))
	}
	return number, nil
}

// endToEndHeaders returns the headers that are forwarded. It omits hop-by-hop
// headers and those with headerPrefix.
func endToEndHeaders(header http.Header) http.Header {
	return hop.EndToEndHeaders(header, headerPrefix)
}

// queueRequestFor returns the place of the class in the queue of requests that
// wait for a target. Interactive requests go first. Uploads come next and are
// not displaced once they are queued. Deferrable requests come last, but are
// promoted after half of their deadline, so that they are still served in time.
func queueRequestFor(class *config.Class) service.QueueRequest {
	switch class.Priority {
	case config.PriorityInteractive:
		return service.QueueRequest{Rank: 0}
	case config.PriorityUpload:
		return service.QueueRequest{Rank: 1, Undisplaceable: true}
	default:
		return service.QueueRequest{Rank: 2, PromoteAfter: class.Deadline() / 2}
	}
}
