package daemon

import (
	"net/http"
	"sync/atomic"
	"time"

	"fulmarhoist.example/instance"
)

// drain knows when no caller can still hold a directory response that names
// this instance.
type drain struct {
	lifetime func() time.Duration
	lastUsed atomic.Int64 // last request of a caller, Unix nanoseconds
}

// watch records each request.
func (d *drain) watch(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
