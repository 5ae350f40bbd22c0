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

// Names of the headers between callers and instances.
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

// Request is one piece of work. The zero value of Idempotent is the safe one: a
// request runs at most once unless the caller says that it may run again.
type Request struct {
	Service string
	Class   string
	// Idempotent says that the request may run any number of times.
	Idempotent bool

	Method string // GET if empty
	Path   string // with query, begins with a slash
	Header http.Header
	Body   []byte

	// Deadline is the time for the whole call with all resends. Options.Deadline
	// applies if it is 0; an earlier deadline of the context wins.
	Deadline time.Duration
	// AttemptLimit bounds the wait for one copy, so that an instance that has
	// frozen does not use up the whole deadline. 0 means no bound. A copy that
	// is given up is canceled at the instance, so the limit should be well above
	// the run time of the request.
	AttemptLimit time.Duration
	// Key is the key of an earlier call that ended with an UnknownError. The
	// outcome is looked up, or the work done, under this key.
	Key string

	nested nested
}

// nested is what a call below another call through the product inherits.
type nested struct {
	depth       string
	traceparent string
	retries     int
	limited     bool
}

// Within makes the request a part of the request that a target is serving:
// depth, retry allowance, trace and remaining deadline are taken over from its
// headers.
func (r *Request) Within(served http.Header) {
	r.nested.depth = served.Get(headerDepth)
	r.nested.traceparent = served.Get("traceparent")
	if left, err := strconv.Atoi(served.Get(headerRetriesLeft)); err == nil {
		r.nested.retries, r.nested.limited = max(0, left), true
	}
	if ms, err := strconv.ParseInt(served.Get(headerDeadline), 10, 64); err == nil && ms > 0 {
		remaining := time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
		if r.Deadline == 0 || remaining < r.Deadline {
			r.Deadline = remaining
		}
	}
}

// maxDeadline bounds deadlines so that arithmetic on them cannot overflow.
const maxDeadline = 24 * time.Hour

// Validate reports the first field that cannot be sent. Do calls it.
func (r *Request) Validate() error {
	switch {
	case r.Service == "":
		return &RequestError{"Service", "is empty"}
	case r.Class == "":
		return &RequestError{"Class", "is empty"}
	case !strings.HasPrefix(r.Path, "/"):
		return &RequestError{"Path", "does not begin with a slash"}
	case strings.HasPrefix(r.Path, "/fulmarhoist/"):
		return &RequestError{"Path", "is reserved for the instances"}
	case r.Deadline < 0 || r.Deadline > maxDeadline:
		return &RequestError{"Deadline", "is not between 0 and 24 h"}
	case r.AttemptLimit < 0:
		return &RequestError{"AttemptLimit", "is negative"}
	case r.Key != "" && r.Idempotent:
		return &RequestError{"Key", "is set on an idempotent request"}
	}
	if r.Key != "" {
		if _, err := contract.ParseKey(r.Key); err != nil {
			return &RequestError{"Key", err.Error()}
		}
	}
	return r.validateEncoding()
}

// validateEncoding reports what net/http would refuse to write, so that such a
// failure is not taken for one of the instance.
func (r *Request) validateEncoding() error {
	if _, err := http.NewRequest(r.Method, "http://instance"+r.Path, nil); err != nil {
		return &RequestError{"Method or Path", err.Error()}
	}
	for field, value := range map[string]string{"Service": r.Service, "Class": r.Class, "Key": r.Key} {
		if !httpguts.ValidHeaderFieldValue(value) {
			return &RequestError{field, "has characters that a header cannot hold"}
		}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &RequestError{"Header", fmt.Sprintf("has the malformed name %q", name)}
		}
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			return &RequestError{"Header", "has " + name + ", which the library sets"}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &RequestError{"Header", "has a malformed value of " + name}
			}
		}
	}
	return nil
}

// Response is the whole answer of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	// Instance is the entry instance that answered.
	Instance string
	// Attempts is how many attempts the product started at targets.
	Attempts int
	// Sends is how many copies this call may have sent to instances.
	Sends int
	// Key is the request key; empty for idempotent requests.
	Key string
	// Replayed means that the answer had been recorded by an earlier copy.
	Replayed bool
}
