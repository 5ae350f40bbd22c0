package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"fulmarhoist.example/link"
)

const (
	// minSilence and silenceDelayFactor determine the time without a response
	// after which the link of an idempotent request counts as silent. The
	// factor is applied to the average response time of the class or the
	// expected delay of the target, if that is longer. A connection whose state
	// was lost by a device on the path never carries a response, while a slow
	// target takes only a few times the average.
	minSilence         = 250 * time.Millisecond
	silenceDelayFactor = 20
	// silenceDeadlineDivisor gives the time without a response instead for
	// requests that may wait, because their response times vary too much for an
	// average, and while no average is known: the time to the deadline divided
	// by it.
	silenceDeadlineDivisor = 4
	// cancelMargin is the time before the deadline at which the target is asked
	// to cancel a request that is not idempotent. A quarter of the time to the
	// deadline is used if that is shorter.
	cancelMargin = 500 * time.Millisecond
	// cancelTimeout is the timeout of the cancel request, including the time to
	// open a connection for it.
	cancelTimeout = 400 * time.Millisecond
	// cancelPath is the path of cancel requests on a target.
	cancelPath = "/fulmarhoist-cancel"
)

// SlowAfter implements Attempt. An idempotent request whose link is silent for that
// long needs another one; any other request is sent once.
func (a *linkAttempt) SlowAfter() time.Duration {
	fallback := max(minSilence, a.exchange.Contract.Terms.Deadline.Sub(a.began)/silenceDeadlineDivisor)
	average, known := a.exchange.Service.ResponseTimes.Average(a.exchange.Contract.Terms.Class)
	if !known || a.exchange.QueueRequest.Rank != 0 {
		return fallback
	}
	return max(minSilence, silenceDelayFactor*max(average, a.permit.Target.ExpectedDelay(a.began)))
}

// canceler asks the target, over a new connection and shortly before the deadline, to
// cancel a request that is not idempotent. Only a confirmation that the request had
// not started ends the attempt and makes it count as not run.
type canceler struct {
	ctx      context.Context    // of the attempt
	cancel   context.CancelFunc // nil if the request is idempotent
	timer    *time.Timer
	done     chan struct{} // closed at the end of the cancel request
	canceled atomic.Bool   // the target confirmed that the request has not run
	ended    atomic.Bool
}

// startCanceler starts the canceler of the attempt, which does nothing if the request
// is idempotent.
func (a *linkAttempt) startCanceler(ctx context.Context, attemptID string) *canceler {
	if a.exchange.Contract.Terms.Idempotent {
		return &canceler{ctx: ctx}
	}
	c := &canceler{}
	c.ctx, c.cancel = context.WithCancel(ctx)
	left := time.Until(a.exchange.Contract.Terms.Deadline)
	c.done = make(chan struct{})
	request := cancelRequest{
		address: a.permit.Target.Spec.Address, attemptID: attemptID, bootID: a.set.BootID(a.link),
	}
	c.timer = time.AfterFunc(left-min(cancelMargin, left/4), func() {
		defer close(c.done)
		if request.confirm() {
			c.canceled.Store(true)
			c.cancel()
		}
	})
	return c
}

// end ends the context of an attempt that is not idempotent, and reports whether the target confirmed that
// the request has not run and never will.
func (c *canceler) end() (canceled bool) {
	if c.cancel == nil || c.ended.Swap(true) {
		return c.canceled.Load()
	}
	if !c.timer.Stop() {
		<-c.done
	}
	c.cancel()
	return c.canceled.Load()
}

// watchResponse wraps the body of a response, so that the canceler ends with it.
func (c *canceler) watchResponse(body io.ReadCloser) io.ReadCloser { return &responseBody{body, c} }

// responseBody ends the canceler when it is closed.
type responseBody struct {
	io.ReadCloser
	canceler *canceler
}

func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.canceler.end()
	return err
}

// cancelRequest asks a target to cancel an attempt.
type cancelRequest struct {
	address   string
	attemptID string
	bootID    string // of the process that the attempt was sent to
}

// confirm sends the request over a new connection. It returns true only if the
// process that the attempt was sent to responds that the attempt had not
// started. A process that was started later at the same address has never seen
// the attempt, so its response says nothing about the process before it.
func (c *cancelRequest) confirm() bool {
	if c.bootID == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	transport := &http.Transport{
		DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: link.MaxResponseHeaderBytes,
	}
	request := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: c.address, Path: cancelPath},
		Header: http.Header{headerAttemptID: {c.attemptID}},
	}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK && response.Header.Get(headerNotRun) != "" &&
		response.Header.Get(headerBootID) == c.bootID
}
