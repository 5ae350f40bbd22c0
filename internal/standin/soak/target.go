package soak

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/internal/standin/endpoint"
	"fulmarhoist.example/internal/standin/keyedstore"
)

// Headers of the platform's protocol.
const (
	headerRequestID        = "X-Fulmarhoist-Request-Id"
	headerDeadline         = "X-Fulmarhoist-Deadline-Ms"
	headerExpectedInstance = "X-Fulmarhoist-Expected-Instance"
	headerSignature        = "X-Fulmarhoist-Server-Signature"
	headerNotExecuted      = "X-Fulmarhoist-Not-Executed"
	headerInstance         = "X-Fulmarhoist-Instance-Id"
	headerLoad             = "X-Fulmarhoist-Server-Load"
	headerWarmupMS         = "X-Fulmarhoist-Warmup-Ms"
	headerLeaving          = "Server-Leaving"
	headerRetryAfter       = "Retry-After"
)

const (
	// targetSlots is how many requests a target runs at once, and
	// targetQueueLength how many more may wait for a slot before it refuses
	// requests.
	targetSlots       = 4
	targetQueueLength = 4
	// coldDuration is how long a new target is cold, and coldPerSecond the
	// number of requests per second that it can take during this time.
	coldDuration  = 1500 * time.Millisecond
	coldPerSecond = 4
)

// arrival is a request that a target runs.
type arrival struct {
	arrivedAt time.Time // when the request reached the target
	id        string
	target    *target
	content   string // digest of the method, URI and body
}

// targetHost is an address on which one target after another runs, also of
// different services.
type targetHost struct {
	port   *endpoint.Port
	mu     sync.Mutex
	active *target // nil while none runs
	// crashedByRequest is the last target that a request has crashed, until it is
	// replaced.
	crashedByRequest *target
	zone             string
	path             *networkPath // from the entry instances to the target
}

// target simulates one process of a server. A restarted server is a new target
// with a new id.
type target struct {
	id, service, zone string
	startedAt         time.Time
	store             *keyedstore.Store
	checker           *checker
	address           string
	sequence          int          // of its entry in the store
	host              *targetHost  // set when it starts
	path              *networkPath // from the entry instances
	draining          atomic.Bool
	leaving           atomic.Bool                   // says so in all responses
	pausedUntil       atomic.Pointer[time.Time]     // refuses requests until then; nil if it does not
	endless           atomic.Pointer[int]           // index in endlessResponses of what it sends; nil if it responds
	resumed           atomic.Pointer[chan struct{}] // closed when a freeze ends; nil unless frozen
	running           chan struct{}                 // semaphore with one element for each running request
	inFlight          atomic.Int32                  // running and waiting requests
}

func newTarget(id, service, zone string, store *keyedstore.Store, c *checker) *target {
	return &target{
		id: id, service: service, zone: zone, startedAt: time.Now(), store: store, checker: c, running: make(chan struct{}, targetSlots),
	}
}

// freeze holds back all requests that arrive within the given duration until its
// end.
func (t *target) freeze(duration time.Duration) {
	resumed := make(chan struct{})
	t.resumed.Store(&resumed)
	sleep(duration)
	t.resumed.Store(nil)
	close(resumed)
}

// register writes the entry of the target to the store.
func (t *target) register(state string) {
	t.sequence++
	t.store.Put("keyed.servers", t.id, map[string]any{
		"address": t.address, "born": t.startedAt.UnixMilli(),
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": targetSlots},
		"status": map[string]any{"state": state, "seq": t.sequence, "warmup_left_ms": t.coldRemaining().Milliseconds()},
	})
}

// coldRemaining returns how long the target stays cold, or 0 if it is warm.
func (t *target) coldRemaining() time.Duration { return max(0, coldDuration-time.Since(t.startedAt)) }

// ServeHTTP passes the request to the active target.
func (h *targetHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	t := h.active
	h.mu.Unlock()
	if t == nil {
		panic(http.ErrAbortHandler)
	}
	if resumed := t.resumed.Load(); resumed != nil {
		<-*resumed
	}
	t.serve(w, r)
}

// serve answers health checks and runs requests while there are free slots.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	h := w.Header()
	if t.leaving.Load() {
		h.Set(headerLeaving, "1")
	}
	if index := t.endless.Load(); index != nil {
		respondEndlessly(w, *index)
		return
	}
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", len(t.running), max(0, t.inFlight.Load()-targetSlots), targetSlots))
	if r.URL.Path == "/health" {
		t.serveHealth(w)
		return
	}
	id := r.Header.Get(headerRequestID)
	h.Set(headerRequestID, id)
	if expected := r.Header.Get(headerExpectedInstance); expected != "" && expected != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.checker.recordArrival(&arrival{arrivedAt: arrivedAt, id: id, target: t})
	if crashes(r) {
		t.host.crashRunning(t, r)
		panic(http.ErrAbortHandler)
	}
	if until := t.pausedUntil.Load(); until != nil && arrivedAt.Before(*until) {
		h.Set(headerNotExecuted, "1")
		h.Set(headerRetryAfter, strconv.FormatFloat(time.Until(*until).Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		t.checker.recordPauseRequest(t, id, time.Now(), *until)
		return
	}
	defer t.inFlight.Add(-1)
	if t.inFlight.Add(1) > targetSlots+targetQueueLength {
		h.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.execute(w, r, &arrival{arrivedAt, id, t, contentDigest(r.Method, r.URL.RequestURI(), body)})
}

// execute waits for a slot until the deadline of the request, and runs it.
func (t *target) execute(w http.ResponseWriter, r *http.Request, a *arrival) {
	deadlineMS, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	deadline := time.NewTimer(time.Duration(deadlineMS) * time.Millisecond)
	defer deadline.Stop()
	select {
	case t.running <- struct{}{}:
	case <-deadline.C:
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-t.running }()
	t.checker.recordExecution(a)
	sleep(serviceTime(a.id))
	w.Header().Set(headerSignature, t.id+"."+a.id)
	out := bufio.NewWriter(w)
	_, _ = out.WriteString(answerBody(a.id, a.content))
	_ = out.Flush()
}

// serveHealth answers a health check.
func (t *target) serveHealth(w http.ResponseWriter) {
	w.Header().Set(headerInstance, t.id)
	w.Header().Set(headerWarmupMS, strconv.FormatInt(t.coldRemaining().Milliseconds(), 10))
	if t.draining.Load() || t.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// endlessResponses are what a faulty target sends: one text once, and then the other
// until its connection is closed.
var endlessResponses = []struct{ once, repeated string }{
	{"", "no response "},
	{"HTTP/1.1 200 OK\r\nX: ", "x"},
	{"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
}

// respondEndlessly writes the text with the given index until the connection is
// closed.
func respondEndlessly(w http.ResponseWriter, index int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	response := endlessResponses[index]
	block := []byte(strings.Repeat(response.repeated, 64))
	_, err = io.WriteString(conn, response.once)
	for err == nil {
		_, err = conn.Write(block)
	}
}

// contentDigest returns a digest of those parts of a request that must reach the
// target unchanged.
func contentDigest(method, uri string, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(method + " " + uri + " "))
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// answerBody returns the response body that identifies a request and its
// content.
func answerBody(id, content string) string {
	line := id + " " + content + "\n"
	text := make([]byte, 0, 64*len(line))
	for range 64 {
		text = append(text, line...)
	}
	return string(text)
}

// serviceTime returns how long a target runs a request: from 10 up to 89 ms,
// depending on its id.
func serviceTime(id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return time.Duration(10+h.Sum32()%80) * time.Millisecond
}

// openHost opens the listener of a host, behind a relay. It serves no target
// yet.
func openHost(zone string) (*targetHost, error) {
	port, err := endpoint.Listen("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a target in %s: %w", zone, err)
	}
	h := &targetHost{port: port, zone: zone}
	if h.path, err = openPath(port.Address()); err != nil {
		_ = port.Close()
		return nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(port) }()
	return h, nil
}

// crash ends the active target, resets its connections and returns it, or nil if
// there was none.
func (h *targetHost) crash() *target {
	h.mu.Lock()
	old := h.active
	h.active = nil
	h.mu.Unlock()
	h.port.RefuseConnections()
	h.port.ResetAll()
	return old
}

// startTarget makes the target the active one, accepts connections and
// registers it in the store.
func (h *targetHost) startTarget(t *target) error {
	t.address, t.path, t.host = h.path.relay.Address(), h.path, h
	h.mu.Lock()
	h.active = t
	h.mu.Unlock()
	if err := h.port.Resume(); err != nil {
		return fmt.Errorf("start target %s: %w", t.id, err)
	}
	t.register("ready")
	return nil
}

// current returns the active target, or nil.
func (h *targetHost) current() *target {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

// close ends the active target and closes the relay and the listener.
func (h *targetHost) close() {
	h.crash()
	h.path.relay.Close()
	_ = h.port.Close()
}
