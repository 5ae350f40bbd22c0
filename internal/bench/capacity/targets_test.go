package capacity

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// testTargets is a set of targets in this process, each with an address of its
// own. They respond immediately, or after slowResponseTime if slow is set.
type testTargets struct {
	addresses []string
	openConns atomic.Int64
	slow      atomic.Bool
	server    http.Server
}

func startTargets(tb testing.TB, count int) *testTargets {
	tb.Helper()
	t := &testTargets{}
	t.server.ReadHeaderTimeout = time.Minute
	t.server.Handler = http.HandlerFunc(t.serveHTTP)
	t.server.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			t.openConns.Add(1)
		case http.StateClosed:
			t.openConns.Add(-1)
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

// slowResponseTime is longer than the response time that an instance assumes
// for a target that it has not used yet, so that it prefers unused targets.
const slowResponseTime = 25 * time.Millisecond

func (t *testTargets) serveHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Fulmarhoist-Attempt-Id"] = r.Header["Fulmarhoist-Attempt-Id"]
	w.Header().Set("Fulmarhoist-Boot-Id", "boot")
	if r.URL.Path == "/fulmarhoist-load" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if t.slow.Load() {
		<-time.After(slowResponseTime)
	}
	_, _ = io.WriteString(w, `{"done":true}`)
}
