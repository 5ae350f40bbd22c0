package instancelist

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"fulmarhoist.example/internal/standin/endpoint"
)

// Settings describe an instance list. They are fixed while it runs.
type Settings struct {
	Listen  string // address for readers
	Control string // address for control requests
	Faults  Faults // faults in force at the start
}

// Outage says how the instance list fails.
type Outage string

const (
	// OutageNone is normal service.
	OutageNone Outage = ""
	// OutageUnavailable answers every reader with status 503.
	OutageUnavailable Outage = "unavailable"
	// OutageRefuse resets open connections and refuses new ones.
	OutageRefuse Outage = "refuse"
)

// Faults are the faults of an instance list that last until they are changed.
type Faults struct {
	LagMS  int64  `json:"lag_ms,omitempty"` // time until readers see a change
	Outage Outage `json:"outage,omitempty"`
}

// FaultError reports faults that the instance list does not know.
type FaultError struct {
	Field   string
	Problem string
}

func (e *FaultError) Error() string { return fmt.Sprintf("fault %s: %s", e.Field, e.Problem) }

func (f Faults) check() error {
	switch f.Outage {
	case OutageNone, OutageUnavailable, OutageRefuse:
	default:
		return &FaultError{Field: "outage", Problem: fmt.Sprintf("unknown value %q", f.Outage)}
	}
	if f.LagMS < 0 {
		return &FaultError{Field: "lag_ms", Problem: "must not be negative"}
	}
	return nil
}

// State is what an instance list is doing now.
type State struct {
	Address string  `json:"address"`
	Faults  Faults  `json:"faults"`
	Reads   int64   `json:"reads"`
	Newest  Listing `json:"newest"`
}

// Service is an instance list.
type Service struct {
	requests *endpoint.Server
	control  *endpoint.Server

	mu      sync.Mutex
	faults  Faults
	history history
	reads   int64
}

// Start runs an instance list.
func Start(settings Settings) (*Service, error) {
	s := &Service{history: newHistory()}
	port, err := endpoint.Open(settings.Listen)
	if err != nil {
		return nil, err
	}
	routes := chi.NewRouter()
	routes.Get("/instances", s.serveList)
	s.requests = endpoint.Serve(port, routes, nil)
	if err := s.Set(settings.Faults); err != nil {
		s.requests.Close()
		return nil, err
	}
	s.control, err = endpoint.ListenAndServe(settings.Control, s.controlRoutes())
	if err != nil {
		s.requests.Close()
		return nil, err
	}
	return s, nil
}

// Address is where readers connect.
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
	s.mu.Unlock()
	if faults.Outage == OutageRefuse {
		s.requests.Port.Refuse()
		s.requests.Port.ResetAll()
		return nil
	}
	return s.requests.Port.Admit()
}

func (s *Service) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.reads++
	outage := s.faults.Outage
	listing := s.history.visible(time.Now(), time.Duration(s.faults.LagMS)*time.Millisecond)
	s.mu.Unlock()
	if outage != OutageNone {
		endpoint.Reply(w, http.StatusServiceUnavailable, endpoint.Problem{Problem: "outage"})
		return
	}
	endpoint.Reply(w, http.StatusOK, listing)
}

func (s *Service) controlRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		endpoint.Reply(w, http.StatusOK, s.state())
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
		endpoint.Reply(w, http.StatusOK, s.state())
	})
	r.Put("/members", s.controlPut)
	r.Post("/members/{id}/leave", func(w http.ResponseWriter, r *http.Request) {
		s.controlChange(w, r, (*history).leave)
	})
	r.Delete("/members/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.controlChange(w, r, (*history).remove)
	})
	return r
}

func (s *Service) controlPut(w http.ResponseWriter, r *http.Request) {
	var m Member
	if !endpoint.Decode(w, r, &m) {
		return
	}
	if err := m.check(); err != nil {
		endpoint.Reply(w, http.StatusBadRequest, endpoint.Problem{Problem: err.Error()})
		return
	}
	s.mu.Lock()
	s.history.put(time.Now(), m)
	s.mu.Unlock()
	endpoint.Reply(w, http.StatusOK, s.state())
}

// controlChange applies a change to the member that the path names.
func (s *Service) controlChange(w http.ResponseWriter, r *http.Request, change func(*history, time.Time, string) bool) {
	id := chi.URLParam(r, "id")
	s.mu.Lock()
	found := change(&s.history, time.Now(), id)
	s.mu.Unlock()
	if !found {
		err := &MemberError{ID: id, Problem: "is not on the list"}
		endpoint.Reply(w, http.StatusNotFound, endpoint.Problem{Problem: err.Error()})
		return
	}
	endpoint.Reply(w, http.StatusOK, s.state())
}

func (s *Service) state() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Address: s.Address(), Faults: s.faults, Reads: s.reads, Newest: s.history.newest()}
}
