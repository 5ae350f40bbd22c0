package capacity

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// targets is a number of servers in this process that answer at once. Each has
// an address of its own.
type targets struct {
	addresses []string
	conns     atomic.Int64
	server    http.Server
}

func startTargets(tb testing.TB, count int) *targets {
	tb.Helper()
	t := &targets{}
	t.server.ReadHeaderTimeout = time.Minute
	t.server.Handler = http.HandlerFunc(answer)
	t.server.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			t.conns.Add(1)
		case http.StateClosed:
			t.conns.Add(-1)
		default:
		}
	}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		t.addresses = append(t.addresses, listener.Addr().String())
		go func() { _ = t.server.Serve(listener) }()
	}
	tb.Cleanup(func() { _ = t.server.Close() })
	return t
}

func answer(w http.ResponseWriter, r *http.Request) {
	w.Header()["Fulmarhoist-Attempt-Id"] = r.Header["Fulmarhoist-Attempt-Id"]
	w.Header().Set("Fulmarhoist-Boot-Id", "boot")
	if r.URL.Path == "/fulmarhoist-load" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = io.WriteString(w, `{"done":true}`)
}
