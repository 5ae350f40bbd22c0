package targetserver

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"fulmarhoist.example/internal/standin/endpoint"
)

// State is a snapshot of a target server. InFlight counts the requests that run
// or wait in the current process.
type State struct {
	Address  string   `json:"address"`
	BootID   string   `json:"boot_id"`
	Up       bool     `json:"up"`
	Cold     bool     `json:"cold"`
	Draining bool     `json:"draining"`
	InFlight int64    `json:"inside"`
	Faults   Faults   `json:"faults"`
	Counters Counters `json:"counters"`
}

// DrainRequest is the body of a request to start or end draining.
type DrainRequest struct {
	Draining bool `json:"draining"`
}

// controlRoutes returns the HTTP interface by which tests control the server.
func (s *Server) controlRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		endpoint.WriteJSON(w, http.StatusOK, s.state())
	})
	r.Get("/journal", func(w http.ResponseWriter, _ *http.Request) {
		journal := s.journal.snapshot()
		journal.Counters = s.counters()
		endpoint.WriteJSON(w, http.StatusOK, journal)
	})
	r.Put("/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if !endpoint.Decode(w, r, &faults) {
			return
		}
		if err := s.setFaults(faults); err != nil {
			endpoint.WriteJSON(w, http.StatusInternalServerError, endpoint.Problem{Problem: err.Error()})
			return
		}
		endpoint.WriteJSON(w, http.StatusOK, s.state())
	})
	r.Put("/drain", func(w http.ResponseWriter, r *http.Request) {
		var drain DrainRequest
		if !endpoint.Decode(w, r, &drain) {
			return
		}
		s.draining.Store(drain.Draining)
		endpoint.WriteJSON(w, http.StatusOK, s.state())
	})
	r.Post("/restart", func(w http.ResponseWriter, _ *http.Request) {
		s.crashProcess(s.process.Load())
		endpoint.WriteJSON(w, http.StatusOK, s.state())
	})
	r.Post("/silence", func(w http.ResponseWriter, _ *http.Request) {
		s.requestServer.Port.SetSilence(endpoint.SilenceOpen)
		endpoint.WriteJSON(w, http.StatusOK, s.state())
	})
	return r
}

func (s *Server) state() State {
	p := s.process.Load()
	return State{
		Address:  s.Address(),
		BootID:   p.bootID,
		Up:       !p.crashed(),
		Cold:     p.isCold(time.Now()),
		Draining: s.draining.Load(),
		InFlight: p.inFlight.Load(),
		Faults:   *s.faults.load(),
		Counters: s.counters(),
	}
}

func (s *Server) counters() Counters {
	counters := s.journal.counterValues()
	counters.OpenConnections, counters.MaxOpenConnections = s.requestServer.Port.Connections()
	return counters
}
