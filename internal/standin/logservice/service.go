package logservice

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"fulmarhoist.example/internal/standin/endpoint"
)

const (
	maxRecord = 1 << 20
	// maxWait bounds a long poll.
	maxWait = time.Minute
)

// Service is a log service.
type Service struct {
	settings Settings
	requests *endpoint.Server
	control  *endpoint.Server

	mu       sync.Mutex
	streams  map[string]*stream
	allowed  allowance
	faults   Faults
	counters Counters
	changed  chan struct{} // closed and replaced when a record is stored or a fault changes
}

// Start runs a log service.
func Start(settings Settings) (*Service, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	s := &Service{
		settings: settings,
		streams:  make(map[string]*stream),
		allowed:  newAllowance(settings.AppendsPerSecond, settings.AppendBurst, time.Now()),
		faults:   settings.Faults,
		changed:  make(chan struct{}),
	}
	port, err := endpoint.Open(settings.Listen)
	if err != nil {
		return nil, err
	}
	if settings.Faults.Outage == OutageRefuse {
		port.Refuse()
	}
	routes := chi.NewRouter()
	routes.Post("/streams/{name}", s.serveAppend)
	routes.Get("/streams/{name}", s.serveRead)
	s.requests = endpoint.Serve(port, routes, nil)
	s.control, err = endpoint.ListenAndServe(settings.Control, s.controlRoutes())
	if err != nil {
		s.requests.Close()
		return nil, err
	}
	return s, nil
}

// Address is where appends and reads go.
func (s *Service) Address() string { return s.requests.Address() }

// ControlAddress is where control requests go.
func (s *Service) ControlAddress() string { return s.control.Address() }

// Close stops the service.
func (s *Service) Close() {
	s.control.Close()
	s.requests.Close()
}

// Set replaces the faults in force.
func (s *Service) Set(faults Faults) error {
	if err := faults.check(); err != nil {
		return err
	}
	s.mu.Lock()
	s.faults = faults
	s.announce()
	s.mu.Unlock()
	port := s.requests.Port
	switch faults.Outage {
	case OutageRefuse:
		port.Refuse()
		port.ResetAll()
		return nil
	case OutageReset:
		port.ResetAll()
	}
	return port.Admit()
}

func (s *Service) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin applies the delay and the outage. It returns false if it has answered.
func (s *Service) begin(w http.ResponseWriter) bool {
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
		endpoint.Reply(w, http.StatusServiceUnavailable, endpoint.Problem{Problem: "outage"})
	default:
		endpoint.Abort(w)
	}
	return false
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counters.AppendsReceived++
	s.mu.Unlock()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		endpoint.Reply(w, http.StatusRequestEntityTooLarge, endpoint.Problem{Problem: err.Error()})
		return
	}
	if !s.begin(w) {
		return
	}
	offset, result := s.append(chi.URLParam(r, "name"), data)
	switch result {
	case appendLimited:
		w.Header().Set("Retry-After", "1")
		endpoint.Reply(w, http.StatusTooManyRequests, endpoint.Problem{Problem: "append rate limit"})
	case appendLost:
		endpoint.Abort(w)
	case appendStored:
		endpoint.Reply(w, http.StatusCreated, map[string]uint64{"offset": offset})
	}
}

type appendResult uint8

const (
	appendStored appendResult = iota
	appendLimited
	appendLost // the connection breaks, with or without an effect
)

func (s *Service) append(name string, data []byte) (uint64, appendResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.allowed.take(now) {
		s.counters.AppendsLimited++
		return 0, appendLimited
	}
	if take(&s.faults.LoseRequests) {
		return 0, appendLost
	}
	offset := s.stream(name, now).append(now, data)
	s.counters.AppendsStored++
	s.announce()
	if take(&s.faults.LoseAnswers) {
		return 0, appendLost
	}
	return offset, appendStored
}

// stream gives a stream after its retention has been applied.
func (s *Service) stream(name string, now time.Time) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{}
		s.streams[name] = st
	}
	st.trim(now, s.settings.RetainRecords, s.settings.RetainFor)
	return st
}

// query holds the parameters of a read.
type query struct {
	stream string
	from   uint64
	limit  int
	wait   time.Duration
}

func parseQuery(r *http.Request) (query, error) {
	q := query{stream: chi.URLParam(r, "name"), limit: defaultPage}
	values := r.URL.Query()
	var err error
	if text := values.Get("from"); text != "" {
		if q.from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return q, &SettingError{Name: "from", Problem: "must be an offset"}
		}
	}
	if text := values.Get("limit"); text != "" {
		if q.limit, err = strconv.Atoi(text); err != nil || q.limit < 1 {
			return q, &SettingError{Name: "limit", Problem: "must be a positive number"}
		}
	}
	if text := values.Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return q, &SettingError{Name: "wait_ms", Problem: "must be a number of milliseconds"}
		}
		q.wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	q.limit = min(q.limit, maxPage)
	return q, nil
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counters.Reads++
	s.mu.Unlock()
	q, err := parseQuery(r)
	if err != nil {
		endpoint.Reply(w, http.StatusBadRequest, endpoint.Problem{Problem: err.Error()})
		return
	}
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	for waiting := q.wait > 0; ; {
		if !s.begin(w) {
			return
		}
		page, changed := s.read(q)
		switch {
		case q.from < page.First:
			endpoint.Reply(w, http.StatusGone, map[string]uint64{"first": page.First})
			return
		case len(page.Records) > 0 || !waiting:
			endpoint.Reply(w, http.StatusOK, page)
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

func (s *Service) read(q query) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(q.stream, time.Now()).page(q.from, q.limit), s.changed
}

func (s *Service) controlRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		endpoint.Reply(w, http.StatusOK, s.State())
	})
	r.Put("/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if !endpoint.Decode(w, r, &faults) {
			return
		}
		if err := s.Set(faults); err != nil {
			endpoint.Reply(w, http.StatusBadRequest, endpoint.Problem{Problem: err.Error()})
			return
		}
		endpoint.Reply(w, http.StatusOK, s.State())
	})
	return r
}

// State tells what the service is doing now.
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
		state.Streams[name] = StreamState{First: st.first, Next: st.next()}
	}
	return state
}
