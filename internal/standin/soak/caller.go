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
	hostName = "a.example"
	// callerPause is the mean time between two requests of a caller.
	callerPause = 60 * time.Millisecond
	// directoryLifetime is how long a caller keeps an answer of the directory.
	directoryLifetime = 1500 * time.Millisecond
	// freshShare is the part of requests on a new connection.
	freshShare = 0.2
	// largeBody is the size of some bodies.
	largeBody = 100 << 10
)

// caller sends requests one after the other, and keeps its connection until it
// breaks.
type caller struct {
	run       *run
	number    int
	random    *rand.Rand
	zone      string
	transport *http.Transport
	known     []*instance
	askedAt   time.Time
	sent      int
}

func (c *caller) work(ctx context.Context) {
	c.transport = &http.Transport{DisableCompression: true}
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.askDirectory(ctx)
		if len(c.known) > 0 {
			c.send(c.known[c.random.IntN(len(c.known))], false)
		}
		wait(ctx, time.Duration(c.random.ExpFloat64()*float64(callerPause)))
	}
}

// askDirectory asks any instance which ones to use.
func (c *caller) askDirectory(ctx context.Context) {
	if time.Since(c.askedAt) < directoryLifetime && len(c.known) > 0 {
		return
	}
	asked := c.run.instances[c.random.IntN(len(c.run.instances))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	address := "http://" + asked.directory + "/v1/resolve?name=" + hostName + "&region=r&zone=" + url.QueryEscape(c.zone)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return
	}
	response, err := c.transport.RoundTrip(r)
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
	c.askedAt, c.known = time.Now(), nil
	for _, i := range c.run.instances {
		for _, named := range answer.Addresses {
			if named == i.callers {
				c.known = append(c.known, i)
				c.run.checkNamed(asked, i)
			}
		}
	}
}

// send sends one request and checks what becomes of it.
func (c *caller) send(to *instance, plain bool) *outcome {
	c.sent++
	route, added := c.run.operator.pick(c.random, plain)
	r := &request{
		id: fmt.Sprintf("%04x%08x", c.number, c.sent), path: route.prefix, service: route.service, once: route.once, instance: to,
	}
	method, body := http.MethodGet, ""
	if r.once {
		method, body = http.MethodPost, r.id
		if c.random.Float64() < 0.1 {
			body = strings.Repeat("x", largeBody)
		}
	}
	uri := route.prefix + "item%2F" + strconv.Itoa(c.sent) + "?n=" + strconv.Itoa(c.number)
	r.content = contentOf(method, uri, []byte(body))
	limit := time.Duration(600+c.random.IntN(1500)) * time.Millisecond
	out, err := http.NewRequest(method, "http://"+to.callers+uri, strings.NewReader(body))
	if err != nil {
		return &outcome{err: err}
	}
	out.Host = hostName
	out.Header.Set(headerID, r.id)
	out.Header.Set(headerDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	out.Close = c.random.Float64() < freshShare
	r.sent = time.Now()
	c.run.ledger.sends(r)
	o := c.exchange(out, limit)
	o.added = added
	c.run.ledger.ended(r, o)
	return o
}

// exchange sends the request and reads the whole answer. A caller waits longer
// than it says, so that an answer that never comes is seen.
func (c *caller) exchange(out *http.Request, limit time.Duration) *outcome {
	ctx, cancel := context.WithTimeout(context.Background(), limit+2*lateAnswer)
	defer cancel()
	began := time.Now()
	o := &outcome{wanted: limit}
	defer func() { o.took = time.Since(began) }()
	response, err := c.transport.RoundTrip(out.WithContext(ctx))
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	o.status, o.signature, o.body, o.err = response.StatusCode, response.Header.Get(headerSignature), string(data), err
	return o
}

// pause waits for a time.
func pause(length time.Duration) { wait(context.Background(), length) }

// wait waits for a time, or until the context ends.
func wait(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
