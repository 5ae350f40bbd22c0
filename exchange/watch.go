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
	// minSilence and silenceDelayFactor determine the time without progress
	// after which the link of an idempotent request counts as silent. The
	// factor is applied to the average response time of the class or the
	// expected delay of the target, if that is longer. A connection whose state
	// was lost by a device on the path never carries a response, while a slow
	// target takes only a few times the average.
	minSilence         = 250 * time.Millisecond
	silenceDelayFactor = 20
	// silenceDeadlineDivisor gives the time without progress instead for
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

// watchdog ends an attempt that makes no progress.
//
// For an idempotent request it cancels the attempt if nothing has been sent or
// received for silenceLimit, so that another attempt can follow at once. Each
// part of a body counts as progress. The time spent waiting for the caller, to
// send or to receive a part, does not count.
//
// For any other request it asks the target, over a new connection and shortly
// before the deadline, to cancel the request. Only a confirmation that the
// request had not started ends the attempt and makes it count as not run.
type watchdog struct {
	ctx             context.Context
	cancel          context.CancelFunc
	silenceLimit    time.Duration // 0 if the request is not idempotent
	timer           *time.Timer
	cancelDone      chan struct{} // closed at the end of the cancel request; nil if the request is idempotent
	canceled        atomic.Bool   // the target confirmed that the request has not run
	silent          atomic.Bool   // the attempt was ended for lack of progress
	responseStarted atomic.Bool
	ended           atomic.Bool
}

// startWatchdog starts the watchdog of the attempt.
func (a *linkAttempt) startWatchdog(ctx context.Context, attemptID string) *watchdog {
	w := &watchdog{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	if a.exchange.Contract.Terms.Idempotent {
		w.silenceLimit = a.silenceLimit()
		w.timer = time.AfterFunc(w.silenceLimit, func() {
			w.silent.Store(true)
			w.cancel()
		})
		return w
	}
	left := time.Until(a.exchange.Contract.Terms.Deadline)
	w.cancelDone = make(chan struct{})
	request := cancelRequest{
		address: a.permit.Target.Spec.Address, attemptID: attemptID, bootID: a.set.BootID(a.link),
	}
	w.timer = time.AfterFunc(left-min(cancelMargin, left/4), func() {
		defer close(w.cancelDone)
		if request.confirm() {
			w.canceled.Store(true)
			w.cancel()
		}
	})
	return w
}

// silenceLimit returns the time without progress after which the link counts as
// silent.
func (a *linkAttempt) silenceLimit() time.Duration {
	fallback := max(minSilence, a.exchange.Contract.Terms.Deadline.Sub(a.began)/silenceDeadlineDivisor)
	average, known := a.exchange.Service.ResponseTimes.Average(a.exchange.Contract.Terms.Class)
	if !known || a.exchange.QueueRequest.Rank != 0 {
		return fallback
	}
	return max(minSilence, silenceDelayFactor*max(average, a.permit.Target.ExpectedDelay(a.began)))
}

// resume restarts the timer: the target is expected to make progress.
func (w *watchdog) resume() {
	if w.silenceLimit > 0 {
		w.timer.Reset(w.silenceLimit)
	}
}

// suspend stops the timer while the attempt waits for the caller.
func (w *watchdog) suspend() {
	if w.silenceLimit > 0 {
		w.timer.Stop()
	}
}

// end stops the watchdog and reports whether the target confirmed that the
// request has not run and never will.
func (w *watchdog) end() (canceled bool) {
	if w.ended.Swap(true) {
		return w.canceled.Load()
	}
	if !w.timer.Stop() && w.cancelDone != nil {
		<-w.cancelDone
	}
	w.cancel()
	return w.canceled.Load()
}

// watchRequest wraps the body of the request, which is read from the caller, so
// that reads suspend the watchdog.
func (w *watchdog) watchRequest(request *http.Request) {
	if request.Body != nil && w.silenceLimit > 0 {
		request.Body = &requestBody{request.Body, w}
	}
}

// requestBody suspends the watchdog while it is read.
type requestBody struct {
	io.ReadCloser
	watch *watchdog
}

func (b *requestBody) Read(p []byte) (int, error) {
	// A target may respond before it has read the whole body. From then on the
	// response body controls the watchdog.
	if !b.watch.responseStarted.Load() {
		b.watch.suspend()
		defer func() {
			if !b.watch.responseStarted.Load() {
				b.watch.resume()
			}
		}()
	}
	return b.ReadCloser.Read(p)
}

// watchResponse wraps the body of the response, so that the watchdog runs during
// reads only and ends when the body is closed.
func (w *watchdog) watchResponse(body io.ReadCloser) io.ReadCloser {
	w.responseStarted.Store(true)
	w.suspend()
	return &responseBody{body, w}
}

// responseBody runs the watchdog while it is read.
type responseBody struct {
	io.ReadCloser
	watch *watchdog
}

func (b *responseBody) Read(p []byte) (int, error) {
	b.watch.resume()
	defer b.watch.suspend()
	return b.ReadCloser.Read(p)
}

func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.watch.end()
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
