package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"fulmarhoist.example/contract"
)

// Headers of requests to entry instances and of their responses.
const (
	headerPrefix      = "Fulmarhoist-"
	headerService     = headerPrefix + "Service"
	headerClass       = headerPrefix + "Class"
	headerKey         = headerPrefix + "Request-Key"
	headerDeadline    = headerPrefix + "Deadline"
	headerDepth       = headerPrefix + "Depth"
	headerRetriesLeft = headerPrefix + "Retries-Left"
	headerOutcome     = headerPrefix + "Outcome"
	headerInstance    = headerPrefix + "Instance"
	headerAttempts    = headerPrefix + "Attempts"
	headerReplayed    = headerPrefix + "Replayed"
)

// Request is a request to a service. By default it is executed at most once; a
// request that may be executed more than once must be marked as Idempotent.
type Request struct {
	Service string
	Class   string // request class of the service
	// Idempotent means that the request may be executed any number of times.
	Idempotent bool

	Method string // GET if empty
	Path   string // path and query; must begin with a slash
	Header http.Header
	Body   []byte

	// Deadline is the time limit for the whole call, including resends. If it
	// is 0, Options.Deadline applies. An earlier deadline of the context takes
	// precedence.
	Deadline time.Duration
	// AttemptLimit is the time limit for one copy, so that an instance that
	// hangs does not use up the whole deadline. 0 means no limit. A copy that
	// exceeds the limit is canceled at the instance, so the limit should be
	// well above the execution time of the request.
	AttemptLimit time.Duration
	// Key is the request key of an earlier call that ended with an
	// UnknownError. The call returns the outcome recorded under this key; if
	// there is none, the request is executed under this key.
	Key string

	inherited inheritance
}

// inheritance holds the properties that a request takes over from the request
// that a target is serving when it sends this one.
type inheritance struct {
	depth          string // value of the Depth header
	traceparent    string // value of the traceparent header
	retriesLeft    int    // retries left; valid only if hasRetriesLeft is true
	hasRetriesLeft bool   // the served request has a Retries-Left header
}

// InheritFrom makes the request a nested request of the one that a target is
// serving. It takes over the depth, the remaining retries, the trace context
// and the remaining time until the deadline from the headers of the served
// request.
func (r *Request) InheritFrom(served http.Header) {
	r.inherited.depth = served.Get(headerDepth)
	r.inherited.traceparent = served.Get("traceparent")
	if left, err := strconv.Atoi(served.Get(headerRetriesLeft)); err == nil {
		r.inherited.retriesLeft, r.inherited.hasRetriesLeft = max(0, left), true
	}
	if ms, err := strconv.ParseInt(served.Get(headerDeadline), 10, 64); err == nil && ms > 0 {
		remaining := time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
		if r.Deadline == 0 || remaining < r.Deadline {
			r.Deadline = remaining
		}
	}
}

// maxDeadline is the longest permitted time limit. It keeps arithmetic on
// deadlines from overflowing.
const maxDeadline = 24 * time.Hour

// Validate returns a RequestError for the first invalid field, or nil. Do calls
// it.
func (r *Request) Validate() error {
	switch {
	case r.Service == "":
		return &RequestError{"Service", "must not be empty"}
	case r.Class == "":
		return &RequestError{"Class", "must not be empty"}
	case !strings.HasPrefix(r.Path, "/"):
		return &RequestError{"Path", fmt.Sprintf("is %q, but must begin with a slash", r.Path)}
	case strings.HasPrefix(r.Path, "/fulmarhoist/"):
		return &RequestError{"Path", fmt.Sprintf("is %q, but /fulmarhoist/ is reserved for entry instances", r.Path)}
	case r.Deadline < 0 || r.Deadline > maxDeadline:
		return &RequestError{"Deadline", fmt.Sprintf("is %v, but must be between 0 and 24 h", r.Deadline)}
	case r.AttemptLimit < 0:
		return &RequestError{"AttemptLimit", fmt.Sprintf("is %v, but must not be negative", r.AttemptLimit)}
	case r.Key != "" && r.Idempotent:
		return &RequestError{"Key", "must not be set on an idempotent request"}
	}
	if r.Key != "" {
		if _, err := contract.ParseKey(r.Key); err != nil {
			return &RequestError{"Key", err.Error()}
		}
	}
	return r.validateEncoding()
}

// validateEncoding returns a RequestError for values that net/http would refuse
// to write, so that such a failure is not attributed to an instance.
func (r *Request) validateEncoding() error {
	if _, err := http.NewRequest(r.Method, "http://instance"+r.Path, nil); err != nil {
		return &RequestError{"Method or Path", err.Error()}
	}
	for field, value := range map[string]string{"Service": r.Service, "Class": r.Class, "Key": r.Key} {
		if !httpguts.ValidHeaderFieldValue(value) {
			return &RequestError{field, "has characters that are not allowed in a header value"}
		}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &RequestError{"Header", fmt.Sprintf("has the invalid name %q", name)}
		}
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			return &RequestError{"Header", "contains " + name + ", which only the library may set"}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &RequestError{"Header", "has an invalid value for " + name}
			}
		}
	}
	return nil
}

// Response is the complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	// Instance is the ID of the entry instance that sent the response.
	Instance string
	// Attempts is the number of attempts that the instance started at targets.
	// It is 0 if the response was recorded earlier or comes from another
	// instance.
	Attempts int
	// Sends is the number of copies that this call may have sent to instances.
	Sends int
	// Key is the request key; empty for idempotent requests.
	Key string
	// Replayed means that the response was recorded for an earlier copy with
	// the same key.
	Replayed bool
}
