package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

// maxControlBodyBytes bounds the body of a control request.
const maxControlBodyBytes = 1 << 20

// Server serves HTTP on a Port until it is closed.
type Server struct {
	Port *Port
	http *http.Server
	done chan struct{} // closed when the server has stopped
}

// ConnContext derives the context of a new connection from ctx.
type ConnContext func(ctx context.Context, conn net.Conn) context.Context

// Serve starts an HTTP server on the port. connContext may be nil.
func Serve(port *Port, handler http.Handler, connContext ConnContext) *Server {
	s := &Server{
		Port: port,
		http: &http.Server{
			Handler:           handler,
			ConnContext:       connContext,
			ReadHeaderTimeout: time.Minute,
			// net/http would log every broken connection, and the stand-ins
			// break connections on purpose.
			ErrorLog: log.New(io.Discard, "", 0),
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(port)
	}()
	return s
}

// ListenAndServe opens a port and starts an HTTP server on it.
func ListenAndServe(address string, handler http.Handler) (*Server, error) {
	port, err := Listen(address)
	if err != nil {
		return nil, err
	}
	return Serve(port, handler, nil), nil
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.Port.Address() }

// Close stops listening and resets all connections. It returns when the server
// has stopped.
func (s *Server) Close() {
	_ = s.Port.Close()
	_ = s.http.Close()
	<-s.done
}

// WriteJSON answers with the status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, fmt.Sprintf("encoding the response: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// Problem is the JSON body of an error answer.
type Problem struct {
	Problem string `json:"problem"`
}

// Decode reads a JSON body into value. It answers with status 400 and returns
// false if the body is malformed or has unknown fields.
func Decode(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		WriteJSON(w, http.StatusBadRequest, Problem{Problem: err.Error()})
		return false
	}
	return true
}

// ResetConnection resets the connection of the request, or closes it if it is
// not a Conn. It does not return: it panics with http.ErrAbortHandler, as
// net/http expects.
func ResetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		if c, ok := conn.(*Conn); ok {
			c.Reset()
		} else {
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}
