package daemon

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"fulmarhoist.example/instance"
)

// drain knows when no caller can still hold a directory response that names
// this instance, and when the last request has ended. The HTTP server knows
// neither the requests that other instances forward nor those whose caller has
// left over HTTP/2.
type drain struct {
	lifetime func() time.Duration
	lastUsed atomic.Int64  // last request of a caller, Unix nanoseconds
	running  atomic.Int64  // negative after finish has returned
	ended    chan struct{} // capacity 1
}

func newDrain(lifetime func() time.Duration) *drain {
	return &drain{lifetime: lifetime, ended: make(chan struct{}, 1)}
}

// closed is the count of running requests after finish has returned.
const closed = math.MinInt64 / 2

// begin counts a request, and tells whether it may run. If so, end follows it.
func (d *drain) begin() bool { return d.running.Add(1) > 0 }

func (d *drain) end() {
	if d.running.Add(-1) == 0 {
		select {
		case d.ended <- struct{}{}:
		default:
		}
	}
}

// finish waits until no request runs. No other one begins after it.
func (d *drain) finish() {
	for !d.running.CompareAndSwap(0, closed) {
		<-d.ended
	}
}

// watch counts and records each request.
func (d *drain) watch(next http.Handler) http.Handler {
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

// noticeDelay is the time in which peers learn that this instance is leaving and
// stop naming it in directory responses: one heartbeat and one suspicion.
const noticeDelay = instance.HeartbeatInterval + instance.SuspectAfter

// wait returns when the longest lifetime of a directory response has passed
// since a peer may last have named this instance. It returns early if no caller
// has used the instance for that long.
func (d *drain) wait(alone bool) {
	lifetime := d.lifetime()
	end := time.Now().Add(lifetime + noticeDelay)
	if alone {
		// No other instance names this one, and callers have nowhere to go.
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
