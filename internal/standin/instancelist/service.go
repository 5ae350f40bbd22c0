package instancelist

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"fulmarhoist.example/internal/standin/endpoint"
)

// Settings configure an instance list. They do not change while it runs, except
// that Service.SetFaults replaces the faults.
type Settings struct {
	Listen  string // address for readers
	Control string // address for control requests
	Faults  Faults // faults in force from the start
}

// Outage is the way in which the instance list fails.
type Outage string

const (
	// OutageNone means normal service.
	OutageNone Outage = ""
	// OutageUnavailable answers every read with status 503.
	OutageUnavailable Outage = "unavailable"
	// OutageRefuse resets open connections and refuses new ones.
	OutageRefuse Outage = "refuse"
)

// Faults are the injected faults of an instance list. They stay in force until
// they are replaced.
type Faults struct {
	LagMS  int64  `json:"lag_ms,omitempty"` // milliseconds until readers see a change
	Outage Outage `json:"outage,omitempty"`
}

// FaultError reports an invalid fault.
type FaultError struct {
	Field   string
	Problem string
}

func (e *FaultError) Error() string { return fmt.Sprintf("fault %s: %s", e.Field, e.Problem) }

func (f Faults) validate() error {
	switch f.Outage {
	case OutageNone, OutageUnavailable, OutageRefuse:
	default:
		return &FaultError{Field: "outage", Problem: fmt.Sprintf("unknown value %q, want empty, unavailable or refuse", f.Outage)}
	}
	if f.LagMS < 0 {
		return &FaultError{Field: "lag_ms", Problem: fmt.Sprintf("must not be negative, got %d", f.LagMS)}
	}
	return nil
}

// State is a snapshot of an instance list. Newest is the newest version, which
// readers may not see yet.
type State struct {
	Address string  `json:"address"`
	Faults  Faults  `json:"faults"`
	Reads   int64   `json:"reads"`
	Newest  Listing `json:"newest"`
}

// Service is an instance list. Its methods are safe for concurrent use.
type Service struct {
	requestServer *endpoint.Server
	controlServer *endpoint.Server

	mu      sync.Mutex
	faults  Faults
	history history
	reads   int64 // reads received, including those that failed
}

// Start starts an instance list.
func Start(settings Settings) (*Service, error) {
	s := &Service{history: newHistory()}
	port, err := endpoint.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	routes := chi.NewRouter()
	routes.Get("/instances", s.serveList)
	s.requestServer = endpoint.Serve(port, routes, nil)
	if err := s.SetFaults(settings.Faults); err != nil {
		s.requestServer.Close()
		return nil, err
	}
	s.controlServer, err = endpoint.ListenAndServe(settings.Control, s.controlRoutes())
	if err != nil {
		s.requestServer.Close()
		return nil, err
	}
	return s, nil
}

// Address returns the host:port for readers.
func (s *Service) Address() string { return s.requestServer.Address() }

// ControlAddress returns the host:port for control requests.
func (s *Service) ControlAddress() string { return s.controlServer.Address() }

// Close stops the service.
func (s *Service) Close() {
	s.controlServer.Close()
	s.requestServer.Close()
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(faults Faults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	if faults.Outage == OutageRefuse {
		s.requestServer.Port.RefuseConnections()
		s.requestServer.Port.ResetAll()
		return nil
	}
	return s.requestServer.Port.Resume()
}

func (s *Service) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.reads++
	outage := s.faults.Outage
	listing := s.history.visibleListing(time.Now(), time.Duration(s.faults.LagMS)*time.Millisecond)
	s.mu.Unlock()
	if outage != OutageNone {
		endpoint.WriteJSON(w, http.StatusServiceUnavailable, endpoint.Problem{Problem: "outage"})
		return
	}
	endpoint.WriteJSON(w, http.StatusOK, listing)
}

// controlRoutes returns the HTTP interface by which tests control the list.
func (s *Service) controlRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		endpoint.WriteJSON(w, http.StatusOK, s.state())
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
		endpoint.WriteJSON(w, http.StatusOK, s.state())
	})
	r.Put("/members", s.servePutMember)
	r.Post("/members/{id}/leave", func(w http.ResponseWriter, r *http.Request) {
		s.serveMemberChange(w, r, (*history).markLeaving)
	})
	r.Delete("/members/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.serveMemberChange(w, r, (*history).removeMember)
	})
	return r
}

// servePutMember adds or replaces a member.
func (s *Service) servePutMember(w http.ResponseWriter, r *http.Request) {
	var m Member
	if !endpoint.Decode(w, r, &m) {
		return
	}
	if err := m.validate(); err != nil {
		endpoint.WriteJSON(w, http.StatusBadRequest, endpoint.Problem{Problem: err.Error()})
		return
	}
	s.mu.Lock()
	s.history.setMember(time.Now(), m)
	s.mu.Unlock()
	endpoint.WriteJSON(w, http.StatusOK, s.state())
}

// serveMemberChange applies a change to the member whose id is in the path.
func (s *Service) serveMemberChange(w http.ResponseWriter, r *http.Request, change func(*history, time.Time, string) bool) {
	id := chi.URLParam(r, "id")
	s.mu.Lock()
	found := change(&s.history, time.Now(), id)
	s.mu.Unlock()
	if !found {
		err := &MemberError{ID: id, Problem: "is not on the list"}
		endpoint.WriteJSON(w, http.StatusNotFound, endpoint.Problem{Problem: err.Error()})
		return
	}
	endpoint.WriteJSON(w, http.StatusOK, s.state())
}

func (s *Service) state() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Address: s.Address(), Faults: s.faults, Reads: s.reads, Newest: s.history.newest()}
}
