package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// leastSilence and silenceFactor set after which time without progress the
	// link of an idempotent request counts as silent: a connection that
	// something on the way has lost track of never answers, while a slow target
	// takes a few times the usual time of the class.
	leastSilence  = 250 * time.Millisecond
	silenceFactor = 20
	// patience is the part of the deadline after which a link counts as silent
	// in any case but not earlier for requests that may wait, because their
	// response times differ too much for an average.
	patience = 4
	// cancelMargin is the time before the deadline at which the target is asked
	// to cancel a request that must not run twice.
	cancelMargin = 500 * time.Millisecond
	// cancelTimeout bounds the question, with opening a connection for it.
	cancelTimeout = 400 * time.Millisecond
	// cancelPath is the path of the cancellation on a target.
	cancelPath = "/fulmarhoist-cancel"
)

// watch ends an attempt that makes no progress. Each part of the body that is
// sent or received counts as progress.
//
// For an idempotent request it cancels the attempt, so that another one can
// follow at once. For any other request it asks the target, over a new
// connection and shortly before the deadline, to cancel it; only a confirmation
// that it had not started ends the attempt, and lets it count as not run.
type watch struct {
	ctx      context.Context
	cancel   context.CancelFunc
	limit    time.Duration
	timer    *time.Timer
	asking   chan struct{} // closed when the question has been settled; nil if there is none
	canceled atomic.Bool
	silent   atomic.Bool // the attempt was ended because nothing came
}

func (s *sending) watch(ctx context.Context, attemptID string) *watch {
	w := &watch{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	if s.x.Contract.Terms.Idempotent {
		w.limit = s.silenceLimit()
		w.timer = time.AfterFunc(w.limit, func() {
			w.silent.Store(true)
			w.cancel()
		})
		return w
	}
	left := time.Until(s.x.Contract.Terms.Deadline)
	w.asking = make(chan struct{})
	address := s.permit.Target.Spec.Address
	w.timer = time.AfterFunc(left-min(cancelMargin, left/4), func() {
		defer close(w.asking)
		if confirmCanceled(address, attemptID) {
			w.canceled.Store(true)
			w.cancel()
		}
	})
	return w
}

// silenceLimit returns the time without progress after which the link counts as
// silent.
func (s *sending) silenceLimit() time.Duration {
	long := max(leastSilence, s.x.Contract.Terms.Deadline.Sub(s.began)/patience)
	usual, known := s.x.Service.Durations.Usual(s.x.Contract.Terms.Class)
	if !known || s.x.Demand.Rank != 0 {
		return long
	}
	return max(leastSilence, silenceFactor*max(usual, s.permit.Target.ExpectedDelay(s.began)))
}

// waiting starts to count the time without progress again.
func (w *watch) waiting() {
	if w.limit > 0 {
		w.timer.Reset(w.limit)
	}
}

// paused stops counting while this process waits for the caller.
func (w *watch) paused() {
	if w.limit > 0 {
		w.timer.Stop()
	}
}

// end stops the watch and tells whether the target confirmed that the request
// did not run and never will.
func (w *watch) end() (canceled bool) {
	if !w.timer.Stop() && w.asking != nil {
		<-w.asking
	}
	w.cancel()
	return w.canceled.Load()
}

// observe counts the parts of the request body as progress. A caller that is
// slow to send them does not make the link silent.
func (w *watch) observe(request *http.Request) {
	if request.Body != nil && w.limit > 0 {
		request.Body = &watched{ReadCloser: request.Body, before: w.paused, after: w.waiting}
	}
}

// body counts the parts of the answer as progress, and ends the watch with it. A
// caller that is slow to take them does not make the link silent.
func (w *watch) body(answer io.ReadCloser) io.ReadCloser {
	w.paused()
	return &watched{ReadCloser: answer, before: w.waiting, after: w.paused, end: func() { w.end() }}
}

// watched calls before and after around each read.
type watched struct {
	io.ReadCloser
	before, after func()
	end           func()
}

func (w *watched) Read(p []byte) (int, error) {
	w.before()
	n, err := w.ReadCloser.Read(p)
	w.after()
	return n, err
}

func (w *watched) Close() error {
	err := w.ReadCloser.Close()
	if w.end != nil {
		w.end()
	}
	return err
}

// confirmCanceled asks a target over a new connection to cancel an attempt. The
// result is true only if the target says that it had not started.
func confirmCanceled(address, attemptID string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}
	request := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: address, Path: cancelPath},
		Header: http.Header{headerAttemptID: {attemptID}},
	}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK && response.Header.Get(headerNotRun) != ""
}
