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
	slow      atomic.Bool
	server    http.Server
}

func startTargets(tb testing.TB, count int) *targets {
	tb.Helper()
	t := &targets{}
	t.server.ReadHeaderTimeout = time.Minute
	t.server.Handler = http.HandlerFunc(t.answer)
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

// slowAnswer is longer than what an instance expects of a target that it has not
// used yet, so that it prefers those.
const slowAnswer = 25 * time.Millisecond

func (t *targets) answer(w http.ResponseWriter, r *http.Request) {
	w.Header()["Fulmarhoist-Attempt-Id"] = r.Header["Fulmarhoist-Attempt-Id"]
	w.Header().Set("Fulmarhoist-Boot-Id", "boot")
	if r.URL.Path == "/fulmarhoist-load" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if t.slow.Load() {
		<-time.After(slowAnswer)
	}
	_, _ = io.WriteString(w, `{"done":true}`)
}
