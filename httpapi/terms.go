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

// Headers between callers and entry instances.
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

// defaultRetries is the allowance of a request that names none. Half of it is
// kept at this level, so that a request survives one target that dies and one
// that sheds; the other half travels with the call.
const defaultRetries = 4

// maxRetries bounds the allowance that a caller may name.
const maxRetries = 10

// accepted is a request whose terms are known.
type accepted struct {
	terms   contract.Terms
	service *service.Service
	class   *config.Class
}

// BadRequestError reports a request that is refused before anything is sent on.
type BadRequestError struct {
	Status int
	Field  contract.FieldError
}

func (e *BadRequestError) Error() string { return e.Field.Error() }

func badField(status int, field, problem string) error {
	return &BadRequestError{Status: status, Field: contract.FieldError{Field: field, Problem: problem}}
}

// readTerms reads the terms of a request from its headers.
func readTerms(r *http.Request, snapshot *service.Snapshot, now time.Time) (*accepted, error) {
	if r.Method == http.MethodConnect {
		return nil, badField(http.StatusBadRequest, "method", "CONNECT is not supported")
	}
	if r.Header.Get("Upgrade") != "" {
		return nil, badField(http.StatusBadRequest, "Upgrade", "protocol upgrades are not supported")
	}
	name := r.Header.Get(headerService)
	if name == "" {
		return nil, badField(http.StatusBadRequest, headerService, "is missing")
	}
	owner, known := snapshot.Service(name)
	if !known {
		return nil, badField(http.StatusNotFound, headerService, "names no configured service")
	}
	spec, _ := snapshot.State.Config.Service(name)
	class, known := spec.Class(r.Header.Get(headerClass))
	if !known {
		return nil, badField(http.StatusBadRequest, headerClass, "names no class of the service")
	}
	a := &accepted{service: owner, class: class}
	a.terms = contract.Terms{Service: name, Class: class.Name, Idempotent: class.Idempotent}
	if err := a.readKey(r); err != nil {
		return nil, err
	}
	if err := a.readNumbers(r, now); err != nil {
		return nil, err
	}
	if r.ContentLength > class.MaxBodyBytes {
		return nil, badField(http.StatusRequestEntityTooLarge, "body", fmt.Sprintf("is longer than %d bytes", class.MaxBodyBytes))
	}
	return a, nil
}

func (a *accepted) readKey(r *http.Request) error {
	if a.class.Idempotent {
		return nil
	}
	text := r.Header.Get(headerKey)
	if text == "" {
		return badField(http.StatusBadRequest, headerKey, "is missing; requests of this class must have one")
	}
	key, err := contract.ParseKey(text)
	if err != nil {
		var field *contract.FieldError
		if errors.As(err, &field) {
			return badField(http.StatusBadRequest, headerKey, field.Error())
		}
		return badField(http.StatusBadRequest, headerKey, err.Error())
	}
	a.terms.Key = key
	return nil
}

func (a *accepted) readNumbers(r *http.Request, now time.Time) error {
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

func readNumber(r *http.Request, header string, least, most, absent int64) (int64, error) {
	text := r.Header.Get(header)
	if text == "" {
		return absent, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < least || number > most {
		return 0, badField(http.StatusBadRequest, header, fmt.Sprintf("is not a whole number from %d to %d", least, most))
	}
	return number, nil
}

// passOn returns the headers that pass through, without those of one connection
// and those of the product.
func passOn(header http.Header) http.Header { return hop.EndToEndHeaders(header, headerPrefix) }

// demandOf orders waiting requests: interactive ones go first, uploads are kept
// once they wait, and requests that may wait go first after half of their
// deadline, so that they still arrive.
func demandOf(class *config.Class) service.QueueRequest {
	switch class.Priority {
	case config.PriorityInteractive:
		return service.QueueRequest{Rank: 0}
	case config.PriorityUpload:
		return service.QueueRequest{Rank: 1, Undisplaceable: true}
	default:
		return service.QueueRequest{Rank: 2, PromoteAfter: class.Deadline() / 2}
	}
}
