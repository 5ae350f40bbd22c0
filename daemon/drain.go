package daemon

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"fulmarhoist.example/instance"
)

// drain tracks when no caller can still use a directory response that names
// this instance, and when the last request has ended. The HTTP server does not
// track requests that other instances forward, nor HTTP/2 requests whose caller
// has disconnected.
type drain struct {
	lifetime       func() time.Duration
	lastUsed       atomic.Int64  // last start or end of a caller's request, Unix nanoseconds
	activeRequests atomic.Int64  // negative after finish has returned
	idle           chan struct{} // capacity 1
}

func newDrain(lifetime func() time.Duration) *drain {
	return &drain{lifetime: lifetime, idle: make(chan struct{}, 1)}
}

// drainedCount is the value of activeRequests after finish has returned. Any
// number of calls of begin leaves it negative.
const drainedCount = math.MinInt64 / 2

// begin counts a request and reports whether it may be executed. If so, the
// caller must call end after it.
func (d *drain) begin() bool { return d.activeRequests.Add(1) > 0 }

func (d *drain) end() {
	if d.activeRequests.Add(-1) == 0 {
		select {
		case d.idle <- struct{}{}:
		default:
		}
	}
}

// finish waits until no request is active. After that begin returns false.
func (d *drain) finish() {
	for !d.activeRequests.CompareAndSwap(0, drainedCount) {
		<-d.idle
	}
}

// trackRequests returns a handler that counts each request and records when the
// instance was last used.
func (d *drain) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.begin() {
			panic(http.ErrAbortHandler)
		}
		defer d.end()
		d.lastUsed.Store(time.Now().UnixNano())
		next.ServeHTTP(w, r)
		d.lastUsed.Store(time.Now().UnixNano())
	})
}

// propagationDelay is the time within which peers learn that this instance is
// leaving, and stop naming it in directory responses: one heartbeat interval
// and one suspicion timeout.
const propagationDelay = instance.HeartbeatInterval + instance.SuspectAfter

// awaitCallers returns once the lifetime of a directory response has passed
// since a peer may last have named this instance. It returns earlier if no
// caller has used the instance for one such lifetime, or at once if no other
// instance accepts callers.
func (d *drain) awaitCallers(alone bool) {
	lifetime := d.lifetime()
	end := time.Now().Add(lifetime + propagationDelay)
	if alone {
		// No other instance names this one, and callers have no alternative.
		end = time.Now()
	}
	for {
		now := time.Now()
		idle := now.Sub(time.Unix(0, d.lastUsed.Load()))
		left := min(end.Sub(now), lifetime-idle)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		<-timer.C
	}
}
