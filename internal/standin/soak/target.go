package soak

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhoist.example/internal/standin/endpoint"
	"fulmarhoist.example/internal/standin/keyedstore"
)

// Headers of the platform that the stand-ins of this package speak.
const (
	headerID        = "X-Fulmarhoist-Request-Id"
	headerDeadline  = "X-Fulmarhoist-Deadline-Ms"
	headerExpected  = "X-Fulmarhoist-Expected-Instance"
	headerSignature = "X-Fulmarhoist-Server-Signature"
	headerNotRun    = "X-Fulmarhoist-Not-Executed"
	headerInstance  = "X-Fulmarhoist-Instance-Id"
	headerLoad      = "X-Fulmarhoist-Server-Load"
	headerColdLeft  = "X-Fulmarhoist-Warmup-Ms"
)

const (
	// slots and queue are the requests that a target runs and lets wait.
	slots = 4
	queue = 4
	// coldTime is how long a new process is cold; coldRate is what it bears a second.
	coldTime = 1500 * time.Millisecond
	coldRate = 4
)

// arrival is one request that a target runs.
type arrival struct {
	at      time.Time // when it reached the target
	id      string
	target  *target
	content string
}

// slot is a place for a target: an address that successive processes, also of
// other services, use.
type slot struct {
	port  *endpoint.Port
	mu    sync.Mutex
	now   *target // nil while nothing runs there
	zone  string
	route *faultyRoute // how entry instances reach it
}

// target is one process of a server: a lifetime with an id of its own.
type target struct {
	id, service, zone string
	born              time.Time
	store             *keyedstore.Store
	ledger            *ledger
	address           string
	sequence          int
	draining          atomic.Bool
	thawed            atomic.Pointer[chan struct{}] // closed at the end of a freeze; nil without one
	work              chan struct{}                 // one element for each request that runs
	inside            atomic.Int32
}

func newTarget(id, service, zone string, store *keyedstore.Store, l *ledger) *target {
	return &target{
		id: id, service: service, zone: zone, born: time.Now(), store: store, ledger: l, work: make(chan struct{}, slots),
	}
}

// freeze makes the target stand still for a time.
func (t *target) freeze(length time.Duration) {
	thawed := make(chan struct{})
	t.thawed.Store(&thawed)
	pause(length)
	t.thawed.Store(nil)
	close(thawed)
}

// register writes the entry of the target.
func (t *target) register(state string) {
	t.sequence++
	t.store.Put("keyed.servers", t.id, map[string]any{
		"address": t.address, "born": t.born.UnixMilli(),
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": slots},
		"status": map[string]any{"state": state, "seq": t.sequence, "warmup_left_ms": t.coldLeft().Milliseconds()},
	})
}

func (t *target) coldLeft() time.Duration { return max(0, coldTime-time.Since(t.born)) }

// ServeHTTP runs whatever process is at the address now.
func (s *slot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.now
	s.mu.Unlock()
	if t == nil {
		panic(http.ErrAbortHandler)
	}
	if thawed := t.thawed.Load(); thawed != nil {
		<-*thawed
	}
	t.serve(w, r)
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	reached := time.Now()
	h := w.Header()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", len(t.work), max(0, t.inside.Load()-slots), slots))
	if r.URL.Path == "/health" {
		h.Set(headerInstance, t.id)
		h.Set(headerColdLeft, strconv.FormatInt(t.coldLeft().Milliseconds(), 10))
		if t.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerID)
	h.Set(headerID, id)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer t.inside.Add(-1)
	if t.inside.Add(1) > slots+queue {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	content := contentOf(r.Method, r.URL.RequestURI(), body)
	left, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	end := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer end.Stop()
	select {
	case t.work <- struct{}{}:
	case <-end.C:
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-t.work }()
	t.ledger.ran(&arrival{reached, id, t, content})
	pause(workOf(id))
	h.Set(headerSignature, t.id+"."+id)
	out := bufio.NewWriter(w)
	_, _ = out.WriteString(answerTo(id, content))
	_ = out.Flush()
}

// contentOf is a digest of what must reach a target unchanged.
func contentOf(method, uri string, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(method + " " + uri + " "))
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// answerTo is the whole body of a target's answer.
func answerTo(id, content string) string {
	line := id + " " + content + "\n"
	text := make([]byte, 0, 64*len(line))
	for range 64 {
		text = append(text, line...)
	}
	return string(text)
}

// workOf is the time that a request takes: 10 to 90 ms, by its id.
func workOf(id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return time.Duration(10+h.Sum32()%80) * time.Millisecond
}

// openSlot listens for the targets of one place.
func openSlot(zone string) (*slot, error) {
	port, err := endpoint.Open("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a target: %w", err)
	}
	s := &slot{port: port, zone: zone}
	if s.route, err = openRoute(port.Address()); err != nil {
		_ = port.Close()
		return nil, err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(port) }()
	return s, nil
}

// crash ends the process at once: its connections are reset.
func (s *slot) crash() *target {
	s.mu.Lock()
	old := s.now
	s.now = nil
	s.mu.Unlock()
	s.port.Refuse()
	s.port.ResetAll()
	return old
}

// begin starts a process with a new id.
func (s *slot) begin(t *target) error {
	t.address = s.route.relay.Address()
	s.mu.Lock()
	s.now = t
	s.mu.Unlock()
	if err := s.port.Admit(); err != nil {
		return fmt.Errorf("start target %s: %w", t.id, err)
	}
	t.register("ready")
	return nil
}

func (s *slot) current() *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *slot) close() {
	s.crash()
	s.route.relay.Close()
	_ = s.port.Close()
}
