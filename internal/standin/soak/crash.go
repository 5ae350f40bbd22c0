package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// crashSegment is the part of a path by which targets know a request that crashes
	// them as they begin to run it.
	crashSegment = "crash-"
	// crashesToRecognize is how many targets such a request may crash before it must be
	// recognized, and maxLateCrashes how many more may run it later than
	// faultGracePeriod after that.
	crashesToRecognize = 3
	maxLateCrashes     = 3
)

// crashCount counts the targets that ran a request with one path and crashed.
type crashCount struct {
	total        int
	recognizedAt time.Time // when crashesToRecognize of them had crashed
	late         int       // later than faultGracePeriod after that
}

// sendCrashingRequest sends copies of a request that crashes each target that runs it
// to random instances, and starts new targets in place of those that have crashed.
func sendCrashingRequest(r *run, rng *rand.Rand) string {
	path := fmt.Sprintf("%s%s%d", fixedRoutes[rng.IntN(len(fixedRoutes))].prefix, crashSegment, rng.Uint32())
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	copies := 0
	for end := time.Now().Add(randomDuration(rng, 4*time.Second, 8*time.Second)); time.Now().Before(end); copies++ {
		r.sendCrashingCopy(transport, r.randomInstance(rng), path, fmt.Sprintf("%08x%08x", rng.Uint32(), rng.Uint32()))
		sleep(randomDuration(rng, 50*time.Millisecond, 300*time.Millisecond))
		r.replaceCrashedTargets()
	}
	return fmt.Sprintf("%d copies of %s", copies, path)
}

// sendCrashingCopy sends one copy. It earns no answer, so the response is not checked.
func (r *run) sendCrashingCopy(transport *http.Transport, to *instance, path, id string) {
	httpRequest, err := http.NewRequest(http.MethodGet, "http://"+to.callerAddress+path, nil)
	if err != nil {
		return
	}
	httpRequest.Host = hostName
	httpRequest.Header.Set(headerRequestID, id)
	httpRequest.Header.Set(headerDeadline, "1000")
	r.checker.recordSent(&request{id: id, path: path, sentAt: time.Now(), instance: to})
	response, err := transport.RoundTrip(httpRequest)
	if err == nil {
		_ = response.Body.Close()
	}
}

// replaceCrashedTargets starts a target on each host whose last one was crashed by a
// request.
func (r *run) replaceCrashedTargets() {
	for _, host := range r.hosts {
		if crashed := host.takeCrashed(); crashed != nil {
			r.deregister(crashed)
			r.startTarget(host, crashed.service, false)
		}
	}
}

// crashes reports whether a request crashes the target that runs it.
func crashes(r *http.Request) bool { return strings.Contains(r.URL.Path, crashSegment) }

// crashRunning ends a target that has begun to run a request which crashes it.
func (h *targetHost) crashRunning(t *target, r *http.Request) {
	t.checker.recordCrash(r.Header.Get(headerRequestID), time.Now())
	if h.current() != t {
		return
	}
	h.crash()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashedByRequest = t
}

// takeCrashed returns the target that was crashed by a request if the host has run
// none since, and nil otherwise or if it was returned before.
func (h *targetHost) takeCrashed() *target {
	h.mu.Lock()
	defer h.mu.Unlock()
	crashed := h.crashedByRequest
	h.crashedByRequest = nil
	if h.active != nil {
		return nil
	}
	return crashed
}

// recordCrash records that a target crashed because it ran a request, and checks that
// few do so once the request must be known.
func (c *checker) recordCrash(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	count := c.crashes[r.path]
	if count == nil {
		count = &crashCount{}
		c.crashes[r.path] = count
	}
	c.counts["targets crashed by a request"]++
	count.total++
	if count.total == crashesToRecognize {
		count.recognizedAt = now
	}
	if count.total <= crashesToRecognize || r.sentAt.Sub(count.recognizedAt) < faultGracePeriod || !c.timeBoundsApply(r.instance, now) {
		return
	}
	count.late++
	if count.late > maxLateCrashes {
		c.addViolation("BUDGET", "request %s of %s is number %d to crash a target, and number %d later than %v after the third, limit %d",
			id, r.instance.name, count.total, count.late, faultGracePeriod, maxLateCrashes)
	}
}
