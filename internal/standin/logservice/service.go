package logservice

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"fulmarhoist.example/internal/standin/endpoint"
)

const (
	// maxRecordBytes bounds a record.
	maxRecordBytes = 1 << 20
	// maxWait bounds the time for which a read waits for a record.
	maxWait = time.Minute
)

// Service is a log service. Its methods are safe for concurrent use.
type Service struct {
	settings      Settings
	requestServer *endpoint.Server
	controlServer *endpoint.Server

	mu            sync.Mutex
	streams       map[string]*stream
	appendLimiter tokenBucket
	faults        Faults
	counters      Counters
	changed       chan struct{} // closed and replaced when a record is stored or a fault changes
}

// Start starts a log service.
func Start(settings Settings) (*Service, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	s := &Service{
		settings:      settings,
		streams:       make(map[string]*stream),
		appendLimiter: newTokenBucket(settings.AppendsPerSecond, settings.AppendBurst, time.Now()),
		faults:        settings.Faults,
		changed:       make(chan struct{}),
	}
	port, err := endpoint.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	if settings.Faults.Outage == OutageRefuse {
		port.RefuseConnections()
	}
	routes := chi.NewRouter()
	routes.Post("/streams/{name}", s.serveAppend)
	routes.Get("/streams/{name}", s.serveRead)
	s.requestServer = endpoint.Serve(port, routes, nil)
	s.controlServer, err = endpoint.ListenAndServe(settings.Control, s.controlRoutes())
	if err != nil {
		s.requestServer.Close()
		return nil, err
	}
	return s, nil
}

// Address returns the host:port for appends and reads.
func (s *Service) Address() string { return s.requestServer.Address() }

// ControlAddress returns the host:port for control requests.
func (s *Service) ControlAddress() string { return s.controlServer.Address() }

// Close stops the service.
func (s *Service) Close() {
	s.controlServer.Close()
	s.requestServer.Close()
}

// SetFaults replaces the faults in force. A fault of the connections applies to
// the open ones immediately.
func (s *Service) SetFaults(faults Faults) error {
	if err := faults.check(); err != nil {
		return err
	}
	s.mu.Lock()
	s.faults = faults
	s.notifyChanged()
	s.mu.Unlock()
	port := s.requestServer.Port
	switch faults.Outage {
	case OutageRefuse:
		port.RefuseConnections()
		port.ResetAll()
		return nil
	case OutageReset:
		port.ResetAll()
	}
	return port.Resume()
}

// notifyChanged wakes the reads that wait. The caller holds s.mu.
func (s *Service) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// injectFaults applies the delay and the outage in force to a request. It
// returns false if it has already answered the request; it does not return if
// the outage aborts the connection.
func (s *Service) injectFaults(w http.ResponseWriter) bool {
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMS) * time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		<-time.After(delay)
	}
	s.mu.Lock()
	outage := s.faults.Outage
	s.mu.Unlock()
	switch outage {
	case OutageNone:
		return true
	case OutageUnavailable:
		endpoint.WriteJSON(w, http.StatusServiceUnavailable, endpoint.Problem{Problem: "outage"})
	default:
		endpoint.ResetConnection(w)
	}
	return false
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counters.AppendsReceived++
	s.mu.Unlock()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		endpoint.WriteJSON(w, http.StatusRequestEntityTooLarge, endpoint.Problem{Problem: err.Error()})
		return
	}
	if !s.injectFaults(w) {
		return
	}
	offset, result := s.append(chi.URLParam(r, "name"), data)
	switch result {
	case appendLimited:
		w.Header().Set("Retry-After", "1")
		endpoint.WriteJSON(w, http.StatusTooManyRequests, endpoint.Problem{Problem: "append rate limit"})
	case appendAborted:
		endpoint.ResetConnection(w)
	case appendStored:
		endpoint.WriteJSON(w, http.StatusCreated, map[string]uint64{"offset": offset})
	}
}

// appendResult is the outcome of an append.
type appendResult uint8

const (
	appendStored  appendResult = iota
	appendLimited              // refused by the append rate limit
	appendAborted              // a fault resets the connection; the record may or may not be stored
)

// append stores a record unless the rate limit or a fault prevents it.
func (s *Service) append(name string, data []byte) (uint64, appendResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.appendLimiter.take(now) {
		s.counters.AppendsLimited++
		return 0, appendLimited
	}
	if consume(&s.faults.LoseRequests) {
		return 0, appendAborted
	}
	offset := s.stream(name, now).append(now, data)
	s.counters.AppendsStored++
	s.notifyChanged()
	if consume(&s.faults.LoseAnswers) {
		return 0, appendAborted
	}
	return offset, appendStored
}

// stream returns the stream, which it creates if needed, after it has applied
// the retention. The caller holds s.mu.
func (s *Service) stream(name string, now time.Time) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{}
		s.streams[name] = st
	}
	st.trim(now, s.settings.MaxRecords, s.settings.MaxAge)
	return st
}

// readQuery is the parsed parameters of a read.
type readQuery struct {
	stream string
	from   uint64        // offset of the first record
	limit  int           // maximum number of records
	wait   time.Duration // time to wait for a record if there is none
}

func parseQuery(r *http.Request) (readQuery, error) {
	q := readQuery{stream: chi.URLParam(r, "name"), limit: defaultPageRecords}
	values := r.URL.Query()
	var err error
	if text := values.Get("from"); text != "" {
		if q.from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return q, &SettingError{Name: "from", Problem: fmt.Sprintf("must be an offset, got %q", text)}
		}
	}
	if text := values.Get("limit"); text != "" {
		if q.limit, err = strconv.Atoi(text); err != nil || q.limit < 1 {
			return q, &SettingError{Name: "limit", Problem: fmt.Sprintf("must be a positive number, got %q", text)}
		}
	}
	if text := values.Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return q, &SettingError{Name: "wait_ms", Problem: fmt.Sprintf("must be a non-negative number of milliseconds, got %q", text)}
		}
		q.wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	q.limit = min(q.limit, maxPageRecords)
	return q, nil
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counters.Reads++
	s.mu.Unlock()
	q, err := parseQuery(r)
	if err != nil {
		endpoint.WriteJSON(w, http.StatusBadRequest, endpoint.Problem{Problem: err.Error()})
		return
	}
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	for waiting := q.wait > 0; ; {
		if !s.injectFaults(w) {
			return
		}
		page, changed := s.read(q)
		switch {
		case q.from < page.First:
			endpoint.WriteJSON(w, http.StatusGone, map[string]uint64{"first": page.First})
			return
		case len(page.Records) > 0 || !waiting:
			endpoint.WriteJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// read returns a page and a channel that is closed when a record is stored or a
// fault changes.
func (s *Service) read(q readQuery) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(q.stream, time.Now()).page(q.from, q.limit), s.changed
}

// controlRoutes returns the HTTP interface by which tests control the service.
func (s *Service) controlRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		endpoint.WriteJSON(w, http.StatusOK, s.State())
	})
	r.Put("/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if !endpoint.Decode(w, r, &faults) {
			return
		}
		if err := s.SetFaults(faults); err != nil {
			endpoint.WriteJSON(w, http.StatusBadRequest, endpoint.Problem{Problem: err.Error()})
			return
		}
		endpoint.WriteJSON(w, http.StatusOK, s.State())
	})
	return r
}

// State returns a snapshot of the service.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{
		Address:  s.Address(),
		Faults:   s.faults,
		Counters: s.counters,
		Streams:  make(map[string]StreamState, len(s.streams)),
	}
	for name, st := range s.streams {
		state.Streams[name] = StreamState{First: st.firstOffset, Next: st.nextOffset()}
	}
	return state
}
