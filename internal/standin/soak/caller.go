package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// hostName is the Host header of all requests.
	hostName = "a.example"
	// meanThinkTime is the mean time between two requests of a caller.
	meanThinkTime = 60 * time.Millisecond
	// directoryCacheTTL is how long a caller caches a directory response.
	directoryCacheTTL = 1500 * time.Millisecond
	// connectionCloseFraction is the fraction of requests sent with
	// "Connection: close", so that the next one needs a new connection.
	connectionCloseFraction = 0.2
	// largeBodyBytes is the size of one in ten bodies of non-idempotent
	// requests.
	largeBodyBytes = 100 << 10
)

// caller is a closed-loop client: it sends one request at a time and keeps its
// connections alive.
type caller struct {
	run        *run
	number     int
	rng        *rand.Rand
	zone       string
	transport  *http.Transport
	resolved   []*instance // named by the last directory response
	resolvedAt time.Time
	sentCount  int // also the second half of the request id
}

// sendRequests sends requests until the context ends.
func (c *caller) sendRequests(ctx context.Context) {
	c.transport = &http.Transport{DisableCompression: true}
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.resolve(ctx)
		if len(c.resolved) > 0 {
			c.send(c.resolved[c.rng.IntN(len(c.resolved))], false)
		}
		sleepContext(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanThinkTime)))
	}
}

// resolve asks the directory of a random instance for the addresses to use,
// unless the cached response is still fresh.
func (c *caller) resolve(ctx context.Context) {
	if time.Since(c.resolvedAt) < directoryCacheTTL && len(c.resolved) > 0 {
		return
	}
	queried := c.run.instances[c.rng.IntN(len(c.run.instances))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resolveURL := "http://" + queried.directoryAddress + "/v1/resolve?name=" + hostName + "&region=r&zone=" + url.QueryEscape(c.zone)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, resolveURL, nil)
	if err != nil {
		return
	}
	response, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return
	}
	c.resolvedAt, c.resolved = time.Now(), nil
	for _, i := range c.run.instances {
		for _, address := range answer.Addresses {
			if address == i.callerAddress {
				c.resolved = append(c.resolved, i)
				c.run.checkDirectoryEntry(queried, i)
			}
		}
	}
}

// send sends one request and has the checker check its outcome. If fixedOnly is
// true, it uses only routes that are never removed.
func (c *caller) send(to *instance, fixedOnly bool) *outcome {
	c.sentCount++
	route, routeAddedAt := c.run.operator.pickRoute(c.rng, fixedOnly)
	r := &request{
		id: fmt.Sprintf("%04x%08x", c.number, c.sentCount), path: route.prefix, service: route.service, nonIdempotent: route.nonIdempotent, instance: to,
	}
	method, body := http.MethodGet, ""
	if r.nonIdempotent {
		method, body = http.MethodPost, r.id
		if c.rng.Float64() < 0.1 {
			body = strings.Repeat("x", largeBodyBytes)
		}
	}
	uri := route.prefix + "item%2F" + strconv.Itoa(c.sentCount) + "?n=" + strconv.Itoa(c.number)
	r.content = contentDigest(method, uri, []byte(body))
	deadline := time.Duration(600+c.rng.IntN(1500)) * time.Millisecond
	httpRequest, err := http.NewRequest(method, "http://"+to.callerAddress+uri, strings.NewReader(body))
	if err != nil {
		return &outcome{err: err}
	}
	httpRequest.Host = hostName
	httpRequest.Header.Set(headerRequestID, r.id)
	httpRequest.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	httpRequest.Close = c.rng.Float64() < connectionCloseFraction
	r.sentAt = time.Now()
	c.run.checker.recordSent(r)
	o := c.roundTrip(httpRequest, deadline)
	o.routeAddedAt = routeAddedAt
	c.run.checker.recordOutcome(r, o)
	return o
}

// roundTrip sends the request and reads the whole response. It waits for twice
// answerGracePeriod beyond the deadline in the request, so that a response that
// never comes counts as late.
func (c *caller) roundTrip(httpRequest *http.Request, deadline time.Duration) *outcome {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*answerGracePeriod)
	defer cancel()
	start := time.Now()
	o := &outcome{deadline: deadline}
	defer func() { o.elapsed = time.Since(start) }()
	response, err := c.transport.RoundTrip(httpRequest.WithContext(ctx))
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	o.status, o.signature, o.body, o.err = response.StatusCode, response.Header.Get(headerSignature), string(data), err
	o.leaving = response.Header.Get(headerLeaving) != ""
	return o
}

// sleep waits for the given duration.
func sleep(duration time.Duration) { sleepContext(context.Background(), duration) }

// sleepContext waits for the given duration or until the context ends.
func sleepContext(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
